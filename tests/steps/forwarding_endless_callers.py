"""Steps for callers that send endless requests."""

import asyncio
import contextlib
import time

from behave import then, when

from testkit.routed_entry import HOST

MEGABYTE = 1_000_000
PIECE = b"x" * 65536
GIVE_UP_S = 5.0
HEAD = (
    f"POST /orders/a HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
    "Mothshunt-Request-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n"
).encode()
BYTES = {
    "a chunk extension without end": (b"5;x=", PIECE),
    "trailers without end": (
        b"5\r\nabcde\r\n0\r\n",
        b"X-Line: " + PIECE[:900] + b"\r\n",
    ),
    "one chunk size without end": (b"0", b"0" * 65536),
}


@when("a routed caller sends a body with {kind} until its connection is closed")
def sends_endless(context, kind):
    first, repeated = BYTES[kind]

    async def send():
        port = context.world.server.port
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        began = time.monotonic()
        context.sent_bytes = 0
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(GIVE_UP_S):
                writer.write(HEAD + first)
                while True:
                    writer.write(repeated)
                    await writer.drain()
                    context.sent_bytes += len(repeated)
                    # The entry runs in the same event loop.
                    await asyncio.sleep(0)
        context.took_ms = (time.monotonic() - began) * 1000
        writer.close()

    context.runner.run(send())


@then("it was disconnected within {limit_ms:d} ms, after {megabytes:d} MB at most")
def cut_off(context, limit_ms, megabytes):
    assert context.took_ms <= limit_ms, context.took_ms
    assert context.sent_bytes <= megabytes * MEGABYTE, context.sent_bytes


@when("a routed caller sends a non-idempotent request in {count:d} chunks of one byte")
def sends_small_chunks(context, count):
    data = HEAD + b"1\r\nx\r\n" * count + b"0\r\n\r\n"
    context.answers = [context.runner.run(context.world.exchange(data))]
