"""A process that answers look-ups, or the same bytes from a bare handler.

Usage: ``python -m bench.lookup_server bare|lookup``; prints its port. The path
``/cpu`` gives the processor time used so far, in seconds.
"""

import asyncio
import sys
import time

from aiohttp import web

from bench.steering_profiles import RACKHAVEN, entry_records
from mothshunt.configuration.model import Configuration
from mothshunt.core.types import Incarnation, InstanceState, Revision
from mothshunt.drain.model import DrainSet
from mothshunt.lookup.answers import AnswerCache
from mothshunt.lookup.coordinator import LookupHandler
from mothshunt.lookup.state import EntryTable
from mothshunt.membership.model import EntryPresence
from mothshunt.metrics.registry import Metrics


class _World:
    """Stand in for the configuration and the entry instances."""

    def __init__(self) -> None:
        contract = RACKHAVEN.contract()
        self._configuration = Configuration(
            revision=Revision(1), contract_by_customer={contract.customer: contract}
        )
        self._entries = [
            EntryPresence(
                record=record,
                incarnation=Incarnation(1),
                state=InstanceState.READY,
                load=0,
            )
            for record in entry_records()
        ]

    def current(self) -> Configuration:
        return self._configuration

    def entries(self) -> list[EntryPresence]:
        return self._entries


def _handler(world: _World) -> LookupHandler:
    record = entry_records()[0]
    return LookupHandler(
        region=record.region,
        availability_zone=record.availability_zone,
        entries=world,
        configuration=world,
        is_ready=lambda: True,
        metrics=Metrics(),
    )


def _body(world: _World) -> bytes:
    record = entry_records()[0]
    table = EntryTable(record.region, record.availability_zone)
    table.update(world.entries(), DrainSet())
    body = AnswerCache(table).body(RACKHAVEN.contract(), 0)
    assert body is not None
    return body


async def _async_main(kind: str) -> None:
    world = _World()
    handler = _handler(world)
    body = _body(world)

    async def async_bare(request: web.Request) -> web.Response:
        return web.Response(body=body, headers={"Content-Type": "application/json"})

    async def async_cpu(request: web.Request) -> web.Response:
        return web.json_response(time.process_time())

    app = web.Application()
    answer = async_bare if kind == "bare" else handler.async_handle
    app.router.add_get("/v1/lookup", answer)
    app.router.add_get("/cpu", async_cpu)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    print(runner.addresses[0][1], flush=True)
    # The parent closes standard input when it is done.
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await runner.cleanup()


if __name__ == "__main__":
    asyncio.run(_async_main(sys.argv[1]))
