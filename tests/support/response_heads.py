"""Exchanges with a target that answers with given bytes, by each way there is."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass
from types import SimpleNamespace

from mothshunt.core.clock import SystemClock
from mothshunt.core.codes import Failure
from mothshunt.forwarding.attempt import OutgoingRequest
from mothshunt.forwarding.connections import ConnectionPool
from mothshunt.forwarding.model import HeaderNames, RoutedRequest
from mothshunt.isolation.relay import RelayClient, RelayRequest
from mothshunt.metrics.registry import Metrics
from testkit.routed_entry import RoutedWorld, request_bytes, table
from tests.support.dispatch_entry import BASE, send, start_entry
from tests.support.dispatch_fakes import FakeControl, ListChooser, contract
from tests.support.raw_target import RawTarget
from tests.support.target_behaviours import ID

CALLS = (("GET", "/reads/a"), ("POST", "/orders/a"))


@dataclass(frozen=True, kw_only=True)
class Exchange:
    """Tell what a caller got, and how often its request reached the target."""

    method: str
    status: int | None
    ran: str | None
    names: tuple[str, ...]
    body: bytes
    arrivals: int


async def async_exchanges(way, response, *, is_trickled=False):
    """Return how a read and an order end that are answered with given bytes.

    :param way: Key of ``WAYS``.
    :param response: The bytes; ``%ID%`` stands for the field with the request id.
    :param is_trickled: Whether they are sent byte by byte.
    """

    async def behaviour(target, request, writer):
        field = f"{ID}: {request.header_by_name.get(ID, '')}\r\n".encode()
        data = response.replace(b"%ID%", field)
        for part in [bytes([b]) for b in data] if is_trickled else [data]:
            writer.write(part)
            await asyncio.sleep(0.0002 if is_trickled else 0)

    exchanges = []
    for method, path in CALLS:
        target = RawTarget("t1", behaviour)
        await target.start()
        try:
            async with WAYS[way](target) as async_call:
                status, headers, body = await async_call(method, path)
        finally:
            await target.stop()
        exchanges.append(
            Exchange(
                method=method,
                status=status,
                ran=headers.get("Mothshunt-Ran"),
                names=tuple(headers),
                body=body,
                arrivals=len(target.requests),
            )
        )
    return exchanges


@asynccontextmanager
async def _by_route(target):
    world = RoutedWorld()
    await world.start()
    world.add_target(target.name, target.port)

    async def call(method, path):
        answer = await world.exchange(request_bytes(method, path))
        head, _, body = answer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:])
        return int(lines[0].split(" ")[1]), fields, body

    yield call
    await world.stop()


@asynccontextmanager
async def _by_contract(target):
    world = SimpleNamespace(
        contract=contract(), metrics=Metrics(), control=FakeControl()
    )
    world.chooser = ListChooser()
    world.chooser.add(target.name, target.port)
    world.server = await start_entry(world)

    async def call(method, path):
        return await send(world, method, BASE + path)

    yield call
    await world.server.async_stop()


@asynccontextmanager
async def _by_relay(target):
    clock, names = SystemClock(), HeaderNames()
    pool = ConnectionPool(clock, Metrics())
    entry = SimpleNamespace(
        instance="b",
        host="127.0.0.1",
        port=target.port,
        region="north",
        availability_zone="north-a",
    )

    async def call(method, path):
        now = clock.monotonic()
        (routes,) = table().routes_by_host.values()
        routed = RoutedRequest(
            request_id="r-1",
            route=next(r for r in routes if path.startswith(r.path_prefix)),
            service="s",
            method=method,
            target=path,
            affinity_key=None,
            received_at=now,
            deadline=now + 2.0,
        )
        body = SimpleNamespace(payload=lambda: None, failure=None)
        outgoing = OutgoingRequest(
            routed=routed, headers={}, body=body, max_field_bytes=8190
        )
        request = RelayRequest(outgoing=outgoing, headers={ID: "r-1"}, sender="a")
        result = await RelayClient(pool, names, clock).async_send(request, entry, 1)
        if isinstance(result, Failure):
            return result.code.http_status, {names.not_run: result.ran.value}, b""
        message = result.response.message
        return message.code, message.headers, result.response.buffered_body

    yield call
    await pool.async_stop()


WAYS = {"routes": _by_route, "contracts": _by_contract, "another entry": _by_relay}
