"""An entry instance that runs in the process of the test, and a caller of it."""

import aiohttp

from mothshunt.core.clock import SystemClock
from mothshunt.dispatch.forwarder import Forwarder
from mothshunt.dispatch.server import TrafficServer
from mothshunt.ledger.client import LedgerClient
from tests.support.dispatch_fakes import FixedConfiguration

BASE = "/v1/services/rackhaven/circuit-ordering"


async def start_entry(context) -> TrafficServer:
    async def other_handler(request):
        return aiohttp.web.Response(text="handled elsewhere")

    async def failing_handler(request):
        raise RuntimeError("an exception in a handler")

    forwarder = Forwarder(
        configuration=FixedConfiguration(context.contract),
        chooser=context.chooser,
        ledger=LedgerClient(
            control=context.control, metrics=context.metrics, clock=SystemClock()
        ),
        metrics=context.metrics,
        clock=SystemClock(),
    )
    server = TrafficServer(
        host="127.0.0.1",
        port=0,
        forwarder=forwarder,
        lookup=other_handler,
        announce=other_handler,
        leave=failing_handler,
        metrics=context.metrics,
    )
    await server.async_start()
    return server


async def send(context, method, path, *, headers=None, body=None, timeout_s=20):
    url = f"http://127.0.0.1:{context.server.port}{path}"
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        # Retries by the session would hide how often the entry sends a request.
        session._retry_connection = False
        try:
            async with session.request(
                method, url, headers=headers, data=body
            ) as response:
                return response.status, response.headers, await response.read()
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            return None, {}, repr(error).encode()
