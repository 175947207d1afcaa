"""Steps for the streams between instances."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from random import Random

from behave import given, then, when

from mothshunt.core.clock import SystemClock
from mothshunt.core.codes import MothshuntError
from mothshunt.core.types import InstanceId
from mothshunt.helpers.peer import compression, frame
from mothshunt.helpers.peer.admission import HandshakeLimiter
from mothshunt.helpers.peer.frame import Frame, FrameKind
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.helpers.peer.pending import PendingReporter
from mothshunt.metrics.registry import Metrics
from mothshunt.settings.config import Address
from mothshunt.util import wire
from mothshunt.util.wire import message
from testkit.proxy import Bandwidth, FaultProxy

WAIT_S = 10.0


@message("test.ping")
@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    number: int


@message("test.hold")
@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    number: int


@message("test.blob")
@dataclass(frozen=True, kw_only=True, slots=True)
class Blob:
    content: bytes


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
    context.link_port = None
    for name, key in key_by_id.items():
        run(context, make_network(context, name, key))
    for network in context.network_by_id.values():
        context.stack.callback(run, context, network.async_stop())


def failing(*_):
    raise ValueError("a fault of the test")


@given('the handler of messages at "{name}" fails')
def failing_handler(context, name):
    context.network_by_id[name].on_message(Ping, failing)


@given('the listener for new streams at "{name}" fails')
def failing_listener(context, name):
    context.network_by_id[name].on_connect(failing)


@when('"{a}" posts {count:d} messages to "{b}"')
def posts(context, a, count, b):
    context.link = context.network_by_id[a]._dialled_by_peer[b]

    async def post():
        for number in range(count):
            assert context.network_by_id[a].post(b, Ping(number=number))
            await asyncio.sleep(0.01)

    run(context, post())


@then('"{a}" and "{b}" still have their first stream')
def one_stream(context, a, b):
    assert context.network_by_id[a]._dialled_by_peer[b] is context.link


@then('"{name}" counts {count:d} times "{reason}"')
def counts_times(context, name, count, reason):
    metrics = context.network_by_id[name].metrics
    found = metrics.counter_value("mothshunt_peer_closed_total", reason=reason)
    assert found == count, found


@when('all streams of "{name}" are closed')
def all_closed(context, name):
    async def close():
        network = context.network_by_id[name]
        for link in [*network._accepted_by_peer.values()]:
            link.close()
        await asyncio.sleep(0.05)

    run(context, close())


@then('after each of {count:d} seeded malformed frames "{a}" gets an answer from "{b}"')
def survives_frames(context, count, a, b):
    for seed in range(count):
        link = context.network_by_id[a]._dialled_by_peer.get(b)
        if link is not None:
            content = malformed_frame(Random(seed))
            data = len(content).to_bytes(4, "big") + content
            with contextlib.suppress(ConnectionError):
                send_raw(context, a, b, data)
        is_answered(context, a, b)


def malformed_frame(random: Random) -> bytes:
    """Return random bytes, a valid frame with changed bytes, or deeply nested lists."""
    if random.random() < 0.2:
        return random.randbytes(random.randint(1, 300))
    kind = random.choice([FrameKind.MESSAGE, FrameKind.REQUEST, FrameKind.ANSWER])
    whole = frame.encode(Frame(kind, random.getrandbits(31), Ping(number=7))).plain[4:]
    if random.random() < 0.3:
        # Nested more deeply than any message, and than a decoder may descend.
        return b"\x91" * random.choice([50, 600, 5000]) + b"\x01"
    changed = bytearray(whole)
    for _ in range(random.randint(1, 3)):
        changed[random.randrange(len(changed))] = random.getrandbits(8)
    return bytes(changed)[: random.randint(1, len(changed))]


@when('"{name}" stops and its event loop ends')
def stops_with_loop(context, name):
    context.errors = []
    context.loop.set_exception_handler(
        lambda loop, details: context.errors.append(details["message"])
    )
    run(context, context.network_by_id[name].async_stop())
    # The same as asyncio.run does at its end.
    left = asyncio.all_tasks(context.loop)
    for task in left:
        task.cancel()
    run(context, asyncio.wait(left) if left else asyncio.sleep(0))


@then("the event loop reported no error")
def no_error(context):
    assert context.errors == [], context.errors


async def async_limit_link(context, name, bytes_per_s):
    (server,) = (n for peer, n in context.network_by_id.items() if peer != name)
    proxy = FaultProxy(
        server.listen.host,
        server.listen.port,
        bandwidth_to_client=Bandwidth(bytes_per_s),
    )
    context.stack.callback(lambda: run(context, proxy.async_stop()))
    return await proxy.async_start()


@given('the link to "{name}" carries {bytes_per_s:d} bytes a second')
def slow_link(context, name, bytes_per_s):
    context.link_port = run(context, async_limit_link(context, name, bytes_per_s))


@when('"{a}" dials "{b}"')
def dials(context, a, b):
    async def dial():
        listen = context.network_by_id[b].listen
        port = context.link_port or listen.port
        context.network_by_id[a].dial(InstanceId(b), listen.host, port)
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
            while not metrics.counter_value(
                "mothshunt_peer_closed_total", reason=reason
            ):
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


@given("a rate limit for handshakes")
def limiter(context):
    context.limiter = HandshakeLimiter()


def begin(context, count, now):
    admitted = 0
    for _ in range(count):
        if context.limiter.admit(now):
            context.limiter.end()
            admitted += 1
    return admitted


@when("{count:d} handshakes begin and end at the same time")
def begin_many(context, count):
    context.admitted = begin(context, count, 100.0)


@then("{count:d} of them are admitted")
def were_admitted(context, count):
    assert context.admitted == count, context.admitted


@then("{count:d} of those that begin 1 s later are admitted")
def later(context, count):
    assert begin(context, 1000, 101.0) == count


@given("nothing waits to be sent to peers")
def nothing_waits(context):
    context.reporter = PendingReporter()
    assert context.reporter.next_report({}) is None


@when('{count:d} bytes wait for "{a}" and {other:d} for "{b}"')
def bytes_wait(context, count, a, other, b):
    context.report = context.reporter.next_report({a: count, b: other})


@then(
    'a line reports {count:d} bytes on {streams:d} streams, most of them for "{peer}"'
)
def line_reports(context, count, streams, peer):
    report = context.report
    assert (report.pending_bytes, report.streams, report.peer) == (count, streams, peer)


@then("nothing is reported")
def nothing_reported(context):
    assert context.report is None, context.report


def random_blob(count, seed=0):
    """Return a message that can't be compressed."""
    return Blob(content=Random(seed).randbytes(count))


@when('"{b}" posts a message of {count:d} random bytes to "{a}"')
@when('"{b}" posts one message of {count:d} random bytes {times:d} times to "{a}"')
def posts_blob(context, b, count, a, times=1):
    context.blob = random_blob(count)
    context.blobs = []
    receiver = context.network_by_id[a]
    receiver.on_message(Blob, lambda peer, blob: context.blobs.append(blob))

    async def post():
        for _ in range(times):
            assert context.network_by_id[b].post(a, context.blob)

    run(context, post())


@then('"{a}" receives it within {bound_s:g} s')
def receives_blob(context, a, bound_s):
    async def receive():
        async with asyncio.timeout(bound_s):
            while not context.blobs:
                await asyncio.sleep(0.05)

    run(context, receive())
    assert context.blobs == [context.blob]


@when('"{b}" posts {count:d} messages of {size:d} random bytes each to "{a}"')
def posts_blobs(context, b, count, size, a):
    async def post():
        for number in range(count):
            context.network_by_id[b].post(a, random_blob(size, number))
            await asyncio.sleep(0)

    run(context, post())


@then('at most {bound:d} bytes wait at "{b}"')
def bytes_wait_at(context, bound, b):
    waiting = context.network_by_id[b].pending_bytes()
    assert waiting <= bound, waiting


@given('instance "{b}" with {count:d} peers whose links carry {rate:d} bytes a second')
def many_peers(context, b, count, rate):
    context.loop = asyncio.new_event_loop()
    context.stack.callback(context.loop.close)
    context.network_by_id = {}
    run(context, make_network(context, b, b"k" * 32))
    server = context.network_by_id[b]
    link = Bandwidth(rate * count)

    async def connect():
        proxy = FaultProxy(
            server.listen.host, server.listen.port, bandwidth_to_client=link
        )
        context.stack.callback(lambda: run(context, proxy.async_stop()))
        port = await proxy.async_start()
        for number in range(count):
            name = f"a{number}"
            await make_network(context, name, b"k" * 32)
            context.network_by_id[name].dial(InstanceId(b), "127.0.0.1", port)
        async with asyncio.timeout(WAIT_S):
            while len(server.connected()) < count:
                await asyncio.sleep(0.02)

    for_each = context.network_by_id
    context.stack.callback(
        lambda: [run(context, network.async_stop()) for network in for_each.values()]
    )
    run(context, connect())


@when('"{b}" posts {count:d} messages of {size:d} random bytes each to all of them')
def posts_to_all(context, b, count, size):
    async def post():
        for number in range(count):
            for index, peer in enumerate(context.network_by_id[b].connected()):
                blob = random_blob(size, 1000 * number + index)
                context.network_by_id[b].post(peer, blob)
            await asyncio.sleep(0)

    run(context, post())


@then("a message of {size:d} bytes is still queued for each of them")
def still_queued(context, size):
    async def post():
        network = context.network_by_id["b1"]
        return [network.post(peer, random_blob(size)) for peer in network.connected()]

    assert all(run(context, post()))


@then('"{b}" can\'t post a message of {count:d} equal bytes to "{a}"')
def cannot_post(context, b, count, a):
    async def post():
        return context.network_by_id[b].post(a, Blob(content=b"x" * count))

    assert run(context, post()) is False


@then('a compressed frame that is "{fault}" is refused with code {number:d}')
def compressed_refused(context, fault, number):
    plain = frame.encode(Frame(FrameKind.MESSAGE, 0, Blob(content=b"x" * 9000)))
    whole = plain.compressed[4:]
    content = {
        "cut short": compression.compress(b"x" * 9000)[:-5],
        "of 20000000 equal bytes": compression.compress(b"x" * 20_000_000),
        "nested in another": compression.compress(whole),
        "no bytes": "text",
    }[fault]
    document = [wire.WIRE_VERSION, int(FrameKind.COMPRESSED), 0, content]
    refused_with = 0
    try:
        frame.decode(wire.pack_plain(document))
    except MothshuntError as error:
        refused_with = error.failure.code.number
    assert refused_with == number, refused_with
