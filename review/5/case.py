"""A desired state with a time that is too large to be read."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    CaseNotRunError,
    Deployment,
    Record,
    has_trouble,
    limits_item,
    route_item,
    run_case,
    service_item,
)

HOST = "hulo84.example"
PREFIX = "/leny950/"
SERVERS = 6
OLD_TIMEOUT = "2500ms"
#: A number of more than 308 digits is infinite as a floating point number.
BAD_TIMEOUT = "9" * 400 + "ms"
GOOD_TIMEOUT = "3000ms"
#: ``config_apply`` of the site and a little more, in seconds.
APPLY_S = 3.0
REQUESTS_PER_ENTRY = 10
MAX_NOT_FOUND = 10


def read_routes(body: bytes) -> list[dict[str, object]]:
    """Return the routes of a desired state that was read back.

    :param body: JSON text.
    """
    hosts = json.loads(body).get("hosts", [])
    return [item for host in hosts for item in host["paths"]]


async def async_case(record: Record) -> bool:
    """Play the case; return whether CONFIG and DENIED held.

    :param record: Record of the run.
    """
    async with Deployment(record) as deployment:
        for _ in range(SERVERS):
            await deployment.async_add_server("huvo11a")
        first = route_item("r-1", PREFIX, "huvo11a", 7, timeout=OLD_TIMEOUT)
        other = route_item("r-2", "/puka111/", "huvo11a", 7)
        items = {
            "upsert": {
                "services": [service_item("huvo11a", 7)],
                "limits": limits_item(7),
                "hosts": [{"host": HOST, "paths": [first, other]}],
            },
            "remove": {"routes": []},
        }
        reply = await deployment.async_order(
            "POST", "/-/Configuration.Patch", items, timeout_s=30.0
        )
        if reply[0] != 200:
            raise CaseNotRunError("the first desired state is not acknowledged")
        await deployment.async_wait_served(PREFIX + "x", HOST)
        timeout = BAD_TIMEOUT if has_trouble() else GOOD_TIMEOUT
        second = route_item("r-1", PREFIX, "huvo11a", 9, timeout=timeout)
        patch = {
            "upsert": {"hosts": [{"host": HOST, "paths": [second]}]},
            "remove": {"routes": []},
        }
        reply = await deployment.async_order("POST", "/-/Configuration.Patch", patch)
        is_acknowledged = reply[0] == 200
        await asyncio.sleep(APPLY_S)
        outcomes = []
        for number in range(REQUESTS_PER_ENTRY):
            for entry in deployment.entries:
                attempt = f"after-{number}-{entry.name}"
                outcome, _ = await deployment.async_request(
                    entry, PREFIX + "x", HOST, attempt
                )
                outcomes.append(outcome)
        reply = await deployment.async_order("GET", "/-/Configuration.Get")
        if reply[0] != 200:
            raise CaseNotRunError("the desired state can't be read back")
        wanted = second if is_acknowledged else first
        is_held = wanted in read_routes(reply[2])
        not_found = outcomes.count("404")
        record.write(
            f"acknowledged: {is_acknowledged}; read back as acknowledged: {is_held};"
            f" answered 404: {not_found} of {len(outcomes)}"
        )
        return is_held and not_found <= MAX_NOT_FOUND


if __name__ == "__main__":
    run_case(async_case, Path(__file__).resolve().parent)
