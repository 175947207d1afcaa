"""Steps for the streams between instances."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass

from behave import given, then, when

from mothshunt.core.clock import SystemClock
from mothshunt.core.types import InstanceId
from mothshunt.helpers.peer.admission import HandshakeAdmission
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.metrics.registry import Metrics
from mothshunt.settings.config import Address
from mothshunt.util.wire import message

WAIT_S = 10.0


@message("test.ping")
@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    number: int


@message("test.hold")
@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    number: int


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def make_network(context, name, key):
    address = Address(host="127.0.0.1", port=free_port())
    network = StreamNetwork(InstanceId(name), key, address, SystemClock(), Metrics())
    context.received = []

    async def answer(peer, ping):
        context.received.append(ping)
        return Ping(number=ping.number + 1)

    async def hold(peer, held):
        await asyncio.sleep(WAIT_S)
        return held

    network.on_request(Ping, answer)
    network.on_request(Hold, hold)
    await network.async_start()
    context.network_by_id[name] = network


def run(context, work):
    return context.loop.run_until_complete(work)


@given('instances "{a}" and "{b}" that share a key')
def share_key(context, a, b):
    start_pair(context, {a: b"k" * 32, b: b"k" * 32})


@given('instances "{a}" and "{b}" that hold different keys')
def different_keys(context, a, b):
    start_pair(context, {a: b"k" * 32, b: b"q" * 32})


def start_pair(context, key_by_id):
    context.loop = asyncio.new_event_loop()
    context.stack.callback(context.loop.close)
    context.network_by_id = {}
    for name, key in key_by_id.items():
        run(context, make_network(context, name, key))
    for network in context.network_by_id.values():
        context.stack.callback(run, context, network.async_stop())


@when('"{name}" stops and its event loop ends')
def stops_with_loop(context, name):
    context.errors = []
    context.loop.set_exception_handler(
        lambda loop, details: context.errors.append(details["message"])
    )
    run(context, context.network_by_id[name].async_stop())
    # As asyncio.run does at its end.
    left = asyncio.all_tasks(context.loop)
    for task in left:
        task.cancel()
    run(context, asyncio.wait(left) if left else asyncio.sleep(0))


@then("the event loop told of no error")
def no_error(context):
    assert context.errors == [], context.errors


@when('"{a}" dials "{b}"')
def dials(context, a, b):
    async def dial():
        listen = context.network_by_id[b].listen
        context.network_by_id[a].dial(InstanceId(b), listen.host, listen.port)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                while b not in context.network_by_id[a].connected():
                    await asyncio.sleep(0.01)

    run(context, dial())


def send_raw(context, a, b, data):
    link = context.network_by_id[a]._dialled_by_peer[b]

    async def send():
        link.writer.write(data)
        await link.writer.drain()

    run(context, send())


@when('"{a}" sends a frame over the size limit to "{b}"')
def oversized(context, a, b):
    send_raw(context, a, b, (2**31).to_bytes(4, "big") + b"x" * 100)


@when('"{a}" sends a malformed frame to "{b}"')
def malformed(context, a, b):
    send_raw(context, a, b, (4).to_bytes(4, "big") + b"\xc1\xc1\xc1\xc1")


@when('"{b}" stops while a request from "{a}" waits')
def stops(context, a, b):
    async def stop_while_waiting():
        sender = context.network_by_id[a]
        request = asyncio.create_task(
            sender.async_request(InstanceId(b), Hold(number=1), WAIT_S)
        )
        await asyncio.sleep(0.05)
        await context.network_by_id[b].async_stop()
        return await request

    context.answer = run(context, stop_while_waiting())


@then('a request from "{a}" to "{b}" is answered')
def is_answered(context, a, b):
    async def ask():
        sender = context.network_by_id[a]
        async with asyncio.timeout(WAIT_S):
            while True:
                answer = await sender.async_request(InstanceId(b), Ping(number=1), 1.0)
                if answer.is_ok():
                    return answer.ok
                await asyncio.sleep(0.02)

    assert run(context, ask()) == Ping(number=2)


@then('"{a}" and "{b}" count the same bytes sent and received')
def same_bytes(context, a, b):
    one = context.network_by_id[a].traffic
    other = context.network_by_id[b].traffic
    assert one.bytes_received > 0, one
    assert one.bytes_received == other.bytes_sent, (one, other)
    assert other.bytes_received == one.bytes_sent, (one, other)


@then('"{name}" counts "{reason}"')
def counts(context, name, reason):
    metrics = context.network_by_id[name].metrics

    async def wait():
        async with asyncio.timeout(WAIT_S):
            while not metrics.value("mothshunt_peer_closed_total", reason=reason):
                await asyncio.sleep(0.02)

    run(context, wait())


@then('no message reached "{name}"')
def nothing_reached(context, name):
    assert context.received == []
    assert context.network_by_id[name].traffic.frames_received == 0


@then("the request fails with code {number:d}")
def fails_with(context, number):
    assert context.answer.is_error(), context.answer
    assert context.answer.error.code.number == number, context.answer


@given("an admission of handshakes")
def admission(context):
    context.admission = HandshakeAdmission()


def begin(context, count, now):
    admitted = 0
    for _ in range(count):
        if context.admission.admit(now):
            context.admission.end()
            admitted += 1
    return admitted


@when("{count:d} handshakes begin and end at one moment")
def begin_many(context, count):
    context.admitted = begin(context, count, 100.0)


@then("{count:d} of them are admitted")
def were_admitted(context, count):
    assert context.admitted == count, context.admitted


@then("all that begin 1 s later up to {count:d} are admitted")
def later(context, count):
    assert begin(context, 1000, 101.0) == count
