"""Steps about invalid input, retry budgets and the graceful stop of an entry."""

import asyncio
import json

import aiohttp
from behave import then, when

from mothshunt.contract.model import RetryBudget
from mothshunt.dispatch.retry import TokenBucket
from mothshunt.dispatch.silence import ResponseTimeEstimator
from tests.support.dispatch_entry import BASE, send


async def exchange_raw(context, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", context.server.port)
    writer.write(data)
    response = await asyncio.wait_for(reader.read(100_000), 10)
    writer.close()
    return response


@when("raw bytes {text} are sent to the dispatch entry")
def raw_bytes(context, text):
    context.raw = context.runner.run(exchange_raw(context, json.loads(text).encode()))


@when("a header field of {size:d} bytes is sent to the dispatch entry")
def long_header(context, size):
    head = b"GET /v1/lookup HTTP/1.1\r\nX-Long: " + b"x" * size + b"\r\n\r\n"
    context.raw = context.runner.run(exchange_raw(context, head))


@when("malformed chunks are sent to the dispatch entry with an Idempotency-Key")
def broken_chunks(context):
    head = (
        f"POST {BASE}/orders HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k-1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.server.port)
        writer.write(head.encode() + b"5\r\nhello\r\n")
        while context.server.in_flight() == 0:
            await asyncio.sleep(0.01)
        writer.write(b"not a size\r\n")
        response = await asyncio.wait_for(reader.read(100_000), 10)
        writer.close()
        return response

    context.raw = context.runner.run(exchange())


@when('a dispatch caller streams {size:d} bytes with {method} "{path}"')
def streams(context, size, method, path):
    async def parts():
        for _ in range(10):
            yield b"b" * (size // 10)

    coroutine = send(context, method, BASE + path, body=parts())
    context.answers.append(context.runner.run(coroutine))


@when(
    "a dispatch caller whose HTTP library retries "
    'sends {method} "{path}" {times:d} times'
)
def repeats(context, method, path, times):
    async def send_all():
        url = f"http://127.0.0.1:{context.server.port}{BASE}{path}"
        async with aiohttp.ClientSession() as session:
            for _ in range(times):
                try:
                    async with session.request(method, url, data=b"x") as response:
                        await response.read()
                except aiohttp.ClientError:
                    pass

    context.runner.run(send_all())


@when("a dispatch caller streams a body with a malformed chunk")
def breaks_off(context):
    head = (
        f"POST {BASE}/orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    )

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.server.port)
        writer.write(head.encode() + b"5\r\nhello\r\n")
        await asyncio.sleep(0.1)
        writer.write(b"not a size\r\n")
        response = await asyncio.wait_for(reader.read(100_000), 10)
        writer.close()
        return response

    context.raw = context.runner.run(exchange())


@then('target "{name}" got {size:d} bytes')
def target_got(context, name, size):
    assert len(context.target_by_name[name].requests[-1].body) == size


@when('a dispatch caller reads the traffic path "{path}"')
def get_path(context, path):
    context.answers.append(context.runner.run(send(context, "GET", path)))


@when("a dispatch caller sends a request whose handler raises an exception")
def failing_handler(context):
    coroutine = send(context, "POST", "/v1/targets/leave")
    context.answers.append(context.runner.run(coroutine))


@when(
    'a dispatch caller uploads {size:d} bytes under key "{key}" with {method} "{path}"'
)
def keyed_upload(context, size, key, method, path):
    headers = {"Idempotency-Key": key}
    coroutine = send(context, method, BASE + path, headers=headers, body=b"b" * size)
    context.answers.append(context.runner.run(coroutine))


@then("the raw response has code {number:d}")
def raw_code(context, number):
    assert f"Mothshunt-Code: {number}".encode() in context.raw, context.raw


@then("the dispatch entry still answers")
def still_answers(context):
    status, _, body = context.runner.run(send(context, "GET", "/v1/lookup"))
    assert (status, body) == (200, b"handled elsewhere")


@then(
    "{first:d} first attempts with ratio {ratio:g} and {minimum:g} per s "
    "allow {allowed:d} retries in {seconds:d} s"
)
def bucket_allows(context, first, ratio, minimum, allowed, seconds):
    bucket = TokenBucket(RetryBudget(ratio=ratio, minimum_per_s=minimum), 0.0)
    while bucket.take(0.0):
        pass
    taken = 0
    for number in range(1, first + 1):
        bucket.count_first_attempt()
        taken += bucket.take(seconds * number / first)
    # The rounding of sums of fractions may cost the last token, but never adds one.
    assert allowed - 1 <= taken <= allowed, taken


@when("a request is in flight at the dispatch entry")
def in_flight(context):
    async def begin():
        context.pending = asyncio.ensure_future(send(context, "GET", BASE + "/slow"))
        await asyncio.sleep(0.1)
        assert context.server.in_flight() == 1

    context.runner.run(begin())


@when("the dispatch entry stops accepting and drains")
def stop_and_drain(context):
    async def drain():
        await context.server.async_stop_accepting()
        await context.server.async_drain()
        assert context.server.in_flight() == 0
        context.answers.append(await context.pending)

    context.runner.run(drain())


@when("the dispatch entry is stopped twice during its drain")
def stopped_twice(context):
    async def stop():
        await context.server.async_stop_accepting()
        draining = asyncio.ensure_future(context.server.async_drain())
        await asyncio.gather(context.server.async_stop(), context.server.async_stop())
        await draining
        context.answers.append(await context.pending)

    context.runner.run(stop())


@when(
    "a caller sends a request on an open connection after the entry stopped accepting"
)
def asks_again(context):
    async def ask_again():
        base = f"http://127.0.0.1:{context.server.port}{BASE}"
        async with aiohttp.ClientSession() as session:
            async with session.get(base + "/first") as response:
                await response.read()
            await context.server.async_stop_accepting()
            async with session.get(base + "/again") as response:
                return response.status, response.headers, await response.read()

    context.answers.append(context.runner.run(ask_again()))


@then("nothing is in flight at the dispatch entry")
def nothing_in_flight(context):
    assert context.server.in_flight() == 0


@then("the dispatch entry accepts no connection")
def accepts_none(context):
    status, _, _ = context.runner.run(send(context, "GET", "/v1/lookup"))
    assert status is None, status


@then(
    "after {count:d} responses in {usual_s:g} s the silence time-out is {timeout_s:g} s"
)
def silence_timeout(context, count, usual_s, timeout_s):
    estimator = ResponseTimeEstimator()
    for _ in range(count):
        estimator.observe(usual_s)
    assert abs(estimator.silence_timeout_s() - timeout_s) < 0.01


@then(
    "the silence time-out reaches {timeout_s:g} s "
    "if each request after a fast one exceeds it"
)
def silence_timeout_grows(context, timeout_s):
    estimator = ResponseTimeEstimator()
    estimator.observe(0.005)
    for _ in range(20):
        estimator.observe(estimator.silence_timeout_s())
    assert estimator.silence_timeout_s() >= timeout_s


@when('a dispatch caller that speaks HTTP/1.0 sends {method} "{path}"')
def speaks_http_10(context, method, path):
    request = f"{method} {BASE}{path} HTTP/1.0\r\nHost: a\r\n\r\n"

    async def async_end():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.server.port)
        writer.write(request.encode())
        try:
            await asyncio.wait_for(reader.read(), 10)
        except ConnectionResetError:
            return "reset"
        finally:
            writer.close()
        return "closed"

    context.end = context.runner.run(async_end())


@then("the dispatch caller's connection was {end}")
def connection_ended(context, end):
    assert context.end == end, context.end
