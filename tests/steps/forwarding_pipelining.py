"""Steps for requests that a caller pipelines on one connection."""

import asyncio
import re
import time

from behave import given, then, when

from testkit.routed_entry import HOST
from tests.support.raw_target import RawTarget
from tests.support.target_behaviours import ID, echo

LARGE_BYTES = 300_000


class SlowTarget(RawTarget):
    """Target that records when it begins and ends each request."""

    def __init__(self):
        super().__init__("t1", self.respond)
        self.began_at_by_id = {}
        self.ended_at_by_id = {}
        self.running = 0
        self.most_running = 0

    async def respond(self, target, request, writer):
        name = request.header_by_name[ID]
        self.began_at_by_id[name] = time.monotonic()
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await asyncio.sleep(int(re.search(r"\d+", request.path)[0]) / 1000)
            is_large = request.path.endswith("large")
            filler = b"x" * LARGE_BYTES if is_large else b""
            writer.write(echo(request, filler + f"[{name}]".encode()))
            self.ended_at_by_id[name] = time.monotonic()
        finally:
            self.running -= 1


@given("a routed target whose responses take the time that the path names")
def slow_target(context):
    target = SlowTarget()
    context.runner.run(target.start())
    context.target_by_name["t1"] = target
    context.world.add_target("t1", target.port)
    context.slow_target = target


def pipelined(requests: list[str]) -> bytes:
    data = ""
    for number, line in enumerate(requests):
        method, path = line.split(" ")
        data += f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        data += f"Mothshunt-Request-Id: id-{number:02d}\r\n"
        data += "Content-Length: 0\r\n\r\n" if method == "POST" else "\r\n"
    return data.encode()


async def exchange(context, requests: list[str], meanwhile=None) -> None:
    port = context.world.server.port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    context.wanted = [f"id-{number:02d}" for number in range(len(requests))]
    began_at = time.monotonic()
    writer.write(pipelined(requests))
    leaving = None
    if meanwhile is not None:
        await asyncio.sleep(0.1)
        leaving = asyncio.create_task(meanwhile())
    received = b""
    async with asyncio.timeout(5):
        while received.count(b"[id-") < len(requests):
            part = await reader.read(65536)
            if not part:
                break
            received += part
    context.took_ms = (time.monotonic() - began_at) * 1000
    context.received_ids = re.findall(r"\[(id-\d+)\]", received.decode())
    context.statuses = re.findall(r"HTTP/1.1 (\d+)", received.decode())
    writer.close()
    if leaving is not None:
        leaving.cancel()


@when('a routed caller pipelines "{requests}"')
def pipeline(context, requests):
    context.runner.run(exchange(context, requests.split(", ")))


@when('a routed caller pipelines {count:d} times "{request}"')
def pipeline_many(context, count, request):
    context.runner.run(exchange(context, [request] * count))


@when('a routed caller pipelines "{requests}" as the entry leaves')
def pipeline_leaving(context, requests):
    world = context.world
    leaving = exchange(context, requests.split(", "), lambda: world.leave(3.0))
    context.runner.run(leaving)


@when('a routed caller pipelines "{requests}" and leaves')
def pipeline_and_leave(context, requests):
    data = pipelined(requests.split(", "))
    context.runner.run(context.world.exchange(data, close_after_s=0.2))


@then("the pipelined responses come in order within {limit_ms:d} ms")
def in_order(context, limit_ms):
    assert context.received_ids == context.wanted, context.received_ids
    assert set(context.statuses) == {"200"}, context.statuses
    assert context.took_ms <= limit_ms, context.took_ms


@then("the target began all of them within {limit_ms:d} ms")
def began_together(context, limit_ms):
    times = context.slow_target.began_at_by_id.values()
    assert (max(times) - min(times)) * 1000 <= limit_ms


@then("each request reached the target after the one ahead of it was answered")
def one_by_one(context):
    target = context.slow_target
    for ahead, behind in zip(context.wanted, context.wanted[1:], strict=False):
        assert target.began_at_by_id[behind] >= target.ended_at_by_id[ahead]


@then("at most {count:d} requests were at the target at a time")
def most_running(context, count):
    assert context.slow_target.most_running <= count, context.slow_target.most_running


@then("no request is at the target {delay_ms:d} ms later")
def none_running(context, delay_ms):
    context.runner.run(asyncio.sleep(delay_ms / 1000))
    assert len(context.slow_target.began_at_by_id) == 2
    assert context.slow_target.running == 0, context.slow_target.running


@then("no request is in flight")
def none_in_flight(context):
    assert context.world.server.in_flight() == 0, context.world.server.in_flight()
