"""Steps for the kit's HTTP client for callers."""

import asyncio
import contextlib

import aiohttp
from behave import given, then, when
from behave.api.async_step import async_run_until_complete

from testkit.caller import make_session


@given("a kit server that closes each connection after reading a request")
def closing_server(context):
    context.requests_read = 0


@when("the kit's HTTP client sends {method} to it")
@async_run_until_complete
async def sends(context, method):
    async def close_after_reading(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            context.requests_read += 1
        writer.close()

    server = await asyncio.start_server(close_after_reading, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, make_session() as session:
        with contextlib.suppress(aiohttp.ClientError):
            await session.request(method, f"http://127.0.0.1:{port}/")


@then("the kit server has read {count:d} request")
def has_read(context, count):
    assert context.requests_read == count, context.requests_read
