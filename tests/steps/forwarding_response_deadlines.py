"""Steps for responses that targets don't complete before the deadline."""

import asyncio
import contextlib
import time

from behave import then, when

from testkit.routed_entry import request_bytes
from tests.steps.forwarding_attempts import body, is_complete_success, send

RESPONSE_TIMEOUT_S = 5
SMALL_RECEIVE_BUFFER_BYTES = 4096
#: Less than what is taken for a caller that reads nothing.
SHORT_PAUSE_S = 0.02


def timed(context, call):
    began = time.monotonic()
    context.answers = [call()]
    context.took_ms = (time.monotonic() - began) * 1000


@when('a routed caller times {method} "{path}"')
def times(context, method, path):
    timed(context, lambda: send(context, method, path))


async def async_read_late(port, data, pause_s):
    """Read a response after a pause in which the caller takes no bytes."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", port, limit=SMALL_RECEIVE_BUFFER_BYTES
    )
    writer.write(data)
    await asyncio.sleep(pause_s)
    answer = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while part := await reader.read(65536):
                answer += part
    writer.close()
    return answer


@when('a routed caller sends {method} "{path}" and reads nothing for {pause_ms:d} ms')
def reads_late(context, method, path, pause_ms):
    data = request_bytes(method, path)
    reading = async_read_late(context.world.server.port, data, pause_ms / 1000)
    timed(context, lambda: context.runner.run(reading))


@when('a routed caller reads "{path}" slowly, in {least_ms:d} ms')
def reads_slowly(context, path, least_ms):
    async def async_read():
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", context.world.server.port, limit=SMALL_RECEIVE_BUFFER_BYTES
        )
        writer.write(request_bytes("GET", path))
        answer = b""
        ends_at = time.monotonic() + least_ms / 1000
        while part := await reader.read(65536):
            answer += part
            if time.monotonic() < ends_at:
                await asyncio.sleep(SHORT_PAUSE_S)
        writer.close()
        return answer

    timed(context, lambda: context.runner.run(async_read()))
    assert context.took_ms >= least_ms, context.took_ms


@when('a routed caller pipelines GET "{first}" and "{second}"')
def pipelines(context, first, second):
    requests = [
        request_bytes("GET", path, request_id=f"id-{number}").replace(
            b"Connection: close\r\n", b"Connection: close\r\n" if number else b""
        )
        for number, path in enumerate((first, second))
    ]
    data = b"".join(requests)
    timed(context, lambda: context.runner.run(context.world.exchange(data)))


@then("the routed caller got a body of {size_mb:d} MB")
def body_of(context, size_mb):
    answer = context.answers[-1]
    assert len(body(answer)) == size_mb * 1_000_000, len(answer)


@then("the first of the pipelined responses is complete, the second is not")
def second_is_broken_off(context):
    first, separator, second = context.answers[-1].rpartition(b"HTTP/1.1 ")
    assert is_complete_success(first), context.answers
    assert not is_complete_success(separator + second), context.answers


@when('a routed caller that speaks HTTP/1.0 sends {method} "{path}"')
def speaks_http_10(context, method, path):
    data = request_bytes(method, path).replace(b"HTTP/1.1", b"HTTP/1.0")
    exchange = async_read_to_end(context.world.server.port, data)
    answer, context.end = context.runner.run(exchange)
    context.answers = [answer]


async def async_read_to_end(port, data):
    """Return what a caller gets, and how its connection ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    answer = b""
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while part := await reader.read(65536):
                answer += part
    except ConnectionResetError:
        return answer, "reset"
    finally:
        writer.close()
    return answer, "closed"


@then("the connection of the routed caller was {end}")
def connection_ended(context, end):
    assert context.end == end, (context.end, context.answers)
