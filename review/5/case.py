"""A tenant with a home region, whose entry process is cut off from all servers."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    CaseNotRunError,
    Deployment,
    Process,
    Record,
    Server,
    has_trouble,
    limits_item,
    route_item,
    run_case,
    service_item,
)

HOST = "hulo84.example"
HOME = "jateng"
KEY_HOMED = "bbkf83fgfwrz56aw63is"
KEY_OTHER = "47qdqiqrh4jcda9rgy35"
#: Servers in each of the three regions.
SERVERS_PER_REGION = 3
WORK_S = 0.05
#: Requests of each entry process that run at a time while connections are opened.
WARM_CONCURRENCY = 6
CUT_S = 6.0
INTERVAL_S = 0.06
DEADLINE_MS = 2500
MIN_BEFORE = 20


class Network:
    """Cut between one entry process and all servers.

    A server knows the machine at the other end of a connection from the first request
    that arrives on it: the requests of the time before the cut are named after the
    machine that their client connected to.

    :param record: Record of the run.
    :param home_machine: Name of the machine in the home region.
    """

    def __init__(self, record: Record, home_machine: str) -> None:
        self.is_cut = False
        self.foreign_arrivals: list[str] = []
        self._record = record
        self._home_machine = home_machine
        self._machine_by_connection: dict[asyncio.StreamWriter, str] = {}

    async def async_answer(
        self, server: Server, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request, unless it comes from the machine that is cut off.

        :param server: The server.
        :param headers: Header fields of the request.
        :param writer: Connection of the request.
        """
        attempt = headers.get("mothshunt-attempt-id", "")
        machine = self._machine_by_connection.get(writer)
        if machine is None and not self.is_cut:
            machine = attempt.split("/")[0]
            self._machine_by_connection[writer] = machine
        if self.is_cut and machine in (None, self._home_machine):
            # Nothing arrives over a link that is cut: neither the request nor a reset.
            self._record.write(f"{attempt} is lost on the link to {server.id}")
            await asyncio.Event().wait()
        tenant = headers.get("mothshunt-tenant", "")
        self._record.write(
            f"{server.id} in {server.region} gets {attempt} of {tenant} from {machine}"
        )
        if tenant == "homed" and machine != self._home_machine:
            self.foreign_arrivals.append(attempt)
        await asyncio.sleep(WORK_S)
        return False


def tenant_item(name: str, key: str, homes: list[str]) -> dict[str, object]:
    """Return a tenant of the desired state.

    :param name: Its name.
    :param key: Its key.
    :param homes: Its home regions.
    """
    return {
        "name": name,
        "api_keys": [key],
        "priority": 1,
        "per_s": 0,
        "burst": 0,
        "allowed_regions": homes,
        "version": "r7",
    }


async def async_send(
    deployment: Deployment, entry: Process, name: str, key: str, path: str
) -> str:
    """Send a POST of a tenant with a body; return what came of it.

    :param deployment: The deployment.
    :param entry: Entry process that it is sent to.
    :param name: Last part of the id of the client attempt.
    :param key: Key of the tenant.
    :param path: Path of the request.
    """
    outcome, _ = await deployment.async_request(
        entry,
        path,
        HOST,
        f"{entry.name}/{name}",
        method="POST",
        deadline_ms=DEADLINE_MS,
        wait_s=DEADLINE_MS / 1000,
        body=b"tenant data",
        headers={"Authorization": f"Bearer {key}"},
    )
    return outcome


async def async_open_connections(deployment: Deployment, name: str) -> None:
    """Have each entry process open some connections to the servers of each region.

    :param deployment: The deployment.
    :param name: Part of the ids of the requests.
    """
    for number in range(4):
        await asyncio.gather(
            *(
                async_send(
                    deployment, entry, f"{name}-{number}-{index}", KEY_OTHER, path
                )
                for entry in deployment.entries
                for path in ("/leny950/x", "/puka111/x", "/huvo22/x")
                for index in range(WARM_CONCURRENCY)
            )
        )


async def async_case(record: Record) -> bool:
    """Play the case; return whether HOME held.

    :param record: Record of the run.
    """
    async with Deployment(record) as deployment:
        home = next(e for e in deployment.entries if e.region == HOME)
        others = [entry for entry in deployment.entries if entry is not home]
        network = Network(record, home.name)
        for _ in range(3 * SERVERS_PER_REGION):
            server = await deployment.async_add_server("huvo11a")
            server.on_request = network.async_answer
        kinds = {"kind": "non_idempotent", "timeout": "2500ms"}
        paths = [
            # Homes of routes: only so that connections to these servers are opened.
            route_item(
                "r-1", "/leny950/", "huvo11a", 7, **kinds, allowed_regions=[HOME]
            ),
            route_item("r-2", "/puka111/", "huvo11a", 7, **kinds),
            route_item("r-3", "/huvo22/", "huvo11a", 7, **kinds),
        ]
        items = {
            "upsert": {
                "services": [service_item("huvo11a", 7)],
                "limits": limits_item(7),
                "hosts": [{"host": HOST, "paths": paths}],
                "tenants": [
                    tenant_item("homed", KEY_HOMED, [HOME]),
                    tenant_item("other", KEY_OTHER, []),
                ],
            },
            "remove": {"routes": []},
        }
        reply = await deployment.async_order(
            "POST", "/-/Configuration.Patch", items, timeout_s=30.0
        )
        if reply[0] != 200:
            raise CaseNotRunError("the first desired state is not acknowledged")
        ends_at = time.monotonic() + 30.0
        while True:
            outcomes = [
                await async_send(deployment, e, "start", KEY_OTHER, "/puka111/x")
                for e in deployment.entries
            ]
            if outcomes.count("200") == len(outcomes):
                break
            if time.monotonic() > ends_at:
                raise CaseNotRunError("not all entry processes serve")
            await asyncio.sleep(0.3)
        await asyncio.sleep(4.0)
        await async_open_connections(deployment, "warm")
        before = [
            await async_send(deployment, home, f"before-{n}", KEY_HOMED, "/puka111/x")
            for n in range(MIN_BEFORE)
        ]
        record.write(f"before the cut: {before.count('200')} of {len(before)} served")
        if before.count("200") < MIN_BEFORE * 0.9:
            raise CaseNotRunError("the tenant is not served before the cut")
        await async_open_connections(deployment, "again")
        if has_trouble():
            network.is_cut = True
            for server in deployment.servers:
                server.refuse_connections()
            record.write(f"{home.name} is cut off from all servers")
        tasks = []
        ends_at = time.monotonic() + CUT_S
        while time.monotonic() < ends_at:
            number = len(tasks)
            for name, key in (("homed", KEY_HOMED), ("other", KEY_OTHER)):
                tasks.append(
                    asyncio.create_task(
                        async_send(
                            deployment, home, f"{name}-{number}", key, "/puka111/x"
                        )
                    )
                )
            if number % 8 == 0:
                # The others go on with what their own clients send.
                tasks += [
                    asyncio.create_task(
                        async_send(
                            deployment, e, f"own-{number}", KEY_OTHER, "/leny950/x"
                        )
                    )
                    for e in others
                ]
            await asyncio.sleep(INTERVAL_S)
        outcomes = await asyncio.gather(*tasks)
        record.write(f"during the cut: {outcomes.count('200')} of {len(outcomes)}")
    foreign = len(network.foreign_arrivals)
    record.write(
        f"{foreign} requests of the tenant with the home {HOME}, all of clients there,"
        " came to a server from a machine of another region"
    )
    return foreign == 0


if __name__ == "__main__":
    run_case(async_case, Path(__file__).resolve().parent)
