"""Servers that fall silent while they send their answers."""

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
SERVERS = 18
#: The site's ``srv_crash`` takes a share of 0.14 of a service's servers.
DARK_SERVERS = 2
TIMEOUT_S = 1.2
LATE_S = 0.5
DEADLINE_MS = 2500
ANSWER_BYTES = 5000
#: Time from the first half of an answer to the second, in seconds.
ANSWER_S = 0.45
REQUESTS_PER_S = 210
LOAD_S = 6.0
DARK_AT_S = 2.0
MIN_UNANSWERED = 8
MAX_SHARE = 0.25


class Service:
    """Servers that send each answer in two halves, without a length."""

    def __init__(self) -> None:
        self.dark: set[str] = set()

    async def async_answer(
        self, server: Server, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request, unless the server is or becomes dark.

        :param server: The server.
        :param headers: Header fields of the request.
        :param writer: Connection of the request.
        """
        await self._async_wait_while_dark(server)
        writer.write(server.head(headers, "Connection: close"))
        writer.write(b"x" * (ANSWER_BYTES // 2))
        await writer.drain()
        await asyncio.sleep(ANSWER_S)
        await self._async_wait_while_dark(server)
        writer.write(b"x" * (ANSWER_BYTES // 2))
        await writer.drain()
        writer.close()
        raise ConnectionResetError("the answer ends with the connection")

    async def _async_wait_while_dark(self, server: Server) -> None:
        if server.id in self.dark:
            # A server that lost its power never goes on with what it was doing.
            await asyncio.Event().wait()


async def async_case(record: Record) -> bool:
    """Play the case; return whether CONFIG held.

    :param record: Record of the run.
    """
    service = Service()
    async with Deployment(record) as deployment:
        for _ in range(SERVERS):
            server = await deployment.async_add_server("huvo11a")
            server.on_request = service.async_answer
        paths = [
            route_item("r-1", "/leny950/", "huvo11a", 7, timeout=f"{TIMEOUT_S}s"),
        ]
        items = {
            "upsert": {
                "services": [service_item("huvo11a", 7)],
                "limits": limits_item(7),
                "hosts": [{"host": HOST, "paths": paths}],
            },
            "remove": {"routes": []},
        }
        reply = await deployment.async_order(
            "POST", "/-/Configuration.Patch", items, timeout_s=30.0
        )
        if reply[0] != 200:
            raise CaseNotRunError("the first desired state is not acknowledged")
        await deployment.async_wait_served("/leny950/x", HOST)
        await asyncio.sleep(4.0)
        began_at = time.monotonic()
        tasks = []
        went_dark = False
        while time.monotonic() - began_at < LOAD_S:
            now_s = time.monotonic() - began_at
            if has_trouble() and not went_dark and now_s >= DARK_AT_S:
                went_dark = True
                by_running = sorted(deployment.servers, key=lambda s: -s.running)
                for server in by_running[:DARK_SERVERS]:
                    service.dark.add(server.id)
                    server.is_reporting = False
                    record.write(f"{server.id} goes dark")
            number = len(tasks)
            entry = deployment.entries[number % len(deployment.entries)]
            tasks.append(
                asyncio.create_task(
                    async_timed_request(deployment, entry, f"load-{number}")
                )
            )
            next_at = began_at + len(tasks) / REQUESTS_PER_S
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        took_s = await asyncio.gather(*tasks)
    lasting = [took for took in took_s if took > TIMEOUT_S]
    unanswered = [took for took in lasting if took > TIMEOUT_S + LATE_S]
    record.write(
        f"{len(took_s)} requests, {len(lasting)} last longer than the timeout,"
        f" {len(unanswered)} have no final answer {LATE_S} s later"
    )
    is_broken = (
        len(unanswered) >= MIN_UNANSWERED and len(unanswered) > len(lasting) * MAX_SHARE
    )
    return not is_broken


async def async_timed_request(
    deployment: Deployment, entry: Process, attempt: str
) -> float:
    """Send a request; return the time to its final answer, in seconds.

    :param deployment: The deployment.
    :param entry: Entry process that it is sent to.
    :param attempt: Id of the client attempt.
    """
    began_at = time.monotonic()
    await deployment.async_request(
        entry,
        "/leny950/x",
        HOST,
        attempt,
        deadline_ms=DEADLINE_MS,
        wait_s=DEADLINE_MS / 1000,
    )
    return time.monotonic() - began_at


if __name__ == "__main__":
    run_case(async_case, Path(__file__).resolve().parent)
