"""Steps for planned stops of a routed entry under load."""

import asyncio
import contextlib
import re
import socket
from random import Random

from behave import then

from mothshunt.forwarding import const
from testkit.routed_entry import HOST, RoutedWorld
from tests.support.raw_target import Behaviour, RawTarget
from tests.support.target_behaviours import ID, answers, echo

CONNECTIONS = 150
LEAVE_S = 2.0
#: Time that callers give their requests, in milliseconds: short enough for a leaving
#: instance to admit requests until it stops listening.
LEFT_MS = 500
#: Standard deviation of the times at which requests are sent around the end of a stop,
#: in seconds.
AROUND_S = 0.012


async def answers_soon(target, request, writer):
    await asyncio.sleep(0.004)
    await answers(target, request, writer)


@then(
    "around the end of {count:d} planned stops, every request that a target got "
    "is answered"
)
def stops(context, count):
    reached_count = 0
    for seed in range(count):
        random = Random(seed)
        end_s = LEAVE_S * const.LISTEN_FRACTION
        offsets_s = [end_s + random.gauss(0, AROUND_S) for _ in range(CONNECTIONS)]
        reached, answered = asyncio.run(stop_under_load(offsets_s, answers_soon))
        assert reached <= answered, (seed, reached - answered)
        reached_count += len(reached)
    # Stops during which no request reached the target would test nothing.
    assert reached_count > count * CONNECTIONS / 10, reached_count
    print(f"requests at the target around the stops: {reached_count}")


def answers_within(random: Random, least_s: float, most_s: float) -> Behaviour:
    """Return a behaviour that answers after a random time."""

    async def answers_late(target, request, writer):
        await asyncio.sleep(random.uniform(least_s, most_s))
        await answers(target, request, writer)

    return answers_late


async def stop_under_load(
    offsets_s: list[float], behaviour: Behaviour
) -> tuple[set[str], set[str]]:
    """Stop an entry; return the ids of the target's requests and of answered ones.

    :param offsets_s: Time of each request after the start of the stop, in seconds.
    :param behaviour: What the target does with a request.
    """
    world = RoutedWorld()
    target = RawTarget("t1", behaviour)
    await target.start()
    await world.start()
    world.add_target("t1", target.port)
    loop = asyncio.get_running_loop()
    connections = [
        await asyncio.open_connection("127.0.0.1", world.server.port) for _ in offsets_s
    ]
    began_at = loop.time()
    sending = [
        asyncio.create_task(
            send_request(*connection, f"id-{number}", began_at + offsets_s[number])
        )
        for number, connection in enumerate(connections)
    ]
    await world.server.async_leave(LEAVE_S, loop.time)
    await world.server.async_stop()
    answered = {name for name in await asyncio.gather(*sending) if name is not None}
    reached = {request.header_by_name[ID] for request in target.requests}
    await target.stop()
    await world.pool.async_stop()
    return reached, answered


async def send_request(reader, writer, request_id: str, at: float) -> str | None:
    """Send a request at a given time; return its id if it was answered.

    Answers are a complete response of the target, a refusal, and a complete status 504
    once the time has passed that the caller gives.
    """
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, at - loop.time()))
    head = f"POST /orders/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
    head += f"Mothshunt-Deadline-Ms: {LEFT_MS}\r\n"
    answer = b""
    sent_at = loop.time()
    with contextlib.suppress(ConnectionError, TimeoutError):
        writer.write(f"{head}Mothshunt-Request-Id: {request_id}\r\n\r\n".encode())
        async with asyncio.timeout(3.0):
            while not is_whole(answer):
                part = await reader.read(65536)
                if not part:
                    break
                answer += part
    writer.close()
    if not is_whole(answer):
        return None
    status = answer[9:12]
    if status == b"200":
        return request_id if answer.endswith(request_id.encode()) else None
    is_overdue = loop.time() >= sent_at + LEFT_MS / 1000
    return request_id if status == b"503" or (status == b"504" and is_overdue) else None


def is_whole(answer: bytes) -> bool:
    """Whether a response is as long as its head says."""
    head, separator, body = answer.partition(b"\r\n\r\n")
    length = re.search(rb"\r\nContent-Length: (\d+)", head)
    return bool(separator) and length is not None and len(body) >= int(length[1])


@then(
    "in {count:d} planned stops with slow targets, every request that a target got is"
    " answered"
)
def slow_stops(context, count):
    for seed in range(count):
        random = Random(seed)
        offsets_s = [random.uniform(0, LEAVE_S) for _ in range(CONNECTIONS)]
        behaviour = answers_within(random, 0.02, 0.25)
        reached, answered = asyncio.run(stop_under_load(offsets_s, behaviour))
        assert len(reached) > CONNECTIONS / 3, len(reached)
        assert reached <= answered, (seed, reached - answered)


LARGE_BODY = b"x" * 250_000
SMALL_BUFFER_BYTES = 4096


async def answers_large(target, request, writer):
    writer.write(echo(request, LARGE_BODY))


@then("a caller that reads slowly during a planned stop gets its whole answer")
def slow_caller(context):
    assert asyncio.run(read_slowly_during_stop()).endswith(LARGE_BODY)


async def read_slowly_during_stop() -> bytes:
    """Return what a caller gets that begins to read late in a stop of the process."""
    world = RoutedWorld()
    target = RawTarget("t1", answers_large)
    await target.start()
    await world.start()
    world.add_target("t1", target.port)
    loop = asyncio.get_running_loop()
    # Accepted connections inherit it; the kernel would take the whole answer otherwise.
    (listener,) = world.server._server.sockets
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", world.server.port))
        head = f"GET /reads/a HTTP/1.1\r\nHost: {HOST}\r\n"
        head += f"Mothshunt-Deadline-Ms: {LEFT_MS}\r\nMothshunt-Request-Id: id-1\r\n"
        await loop.sock_sendall(caller, f"{head}\r\n".encode())
        reading = asyncio.create_task(read_after(caller, LEAVE_S * 0.6))
        await asyncio.sleep(0.1)
        protocols = world.server._protocols.connections
        transports = [protocol.transport for protocol in protocols]
        await world.server.async_leave(LEAVE_S, loop.time)
        await world.server.async_stop()
        for transport in transports:
            # What the end of the process does to bytes that the kernel doesn't have.
            if transport.get_write_buffer_size():
                transport.abort()
        answer = await reading
    await target.stop()
    await world.pool.async_stop()
    return answer


async def read_after(caller: socket.socket, pause_s: float) -> bytes:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(pause_s)
    answer = b""
    with contextlib.suppress(ConnectionError):
        while part := await loop.sock_recv(caller, SMALL_BUFFER_BYTES):
            answer += part
            await asyncio.sleep(0.002)
    return answer


class RequestSendingEvent(asyncio.Event):
    """Event that sends a request after its waiter saw that nothing is in flight."""

    def __init__(self, send_late_request):
        super().__init__()
        self._send_late_request = send_late_request
        self.set()

    async def wait(self):
        found = await super().wait()
        send_late_request, self._send_late_request = self._send_late_request, None
        if send_late_request is not None:
            send_late_request()
            # The event loop reads the request and starts its handler.
            await asyncio.sleep(0.002)
        return found


@then("a request that arrives after the check for requests in flight is answered")
def last_moment(context):
    assert asyncio.run(request_at_last_moment()) == "id-last"


async def request_at_last_moment() -> str | None:
    world = RoutedWorld()
    target = RawTarget("t1", answers_soon)
    await target.start()
    await world.start()
    world.add_target("t1", target.port)
    loop = asyncio.get_running_loop()
    connection = await asyncio.open_connection("127.0.0.1", world.server.port)
    sent = []

    def send_late_request():
        sent.append(
            asyncio.create_task(send_request(*connection, "id-last", loop.time()))
        )

    world.server._idle = RequestSendingEvent(send_late_request)
    await world.server.async_leave(LEAVE_S, loop.time)
    await world.server.async_stop()
    answered = await sent[0]
    await target.stop()
    await world.pool.async_stop()
    return answered


@then("a stop of 2 s with {count:d} idle connections ends within {bound_s:g} s")
def stop_with_idle(context, count, bound_s):
    took_s = asyncio.run(stop_with_idle_connections(count))
    assert took_s < bound_s, took_s


async def stop_with_idle_connections(count: int) -> float:
    world = RoutedWorld()
    await world.start()
    loop = asyncio.get_running_loop()
    connections = [
        await asyncio.open_connection("127.0.0.1", world.server.port)
        for _ in range(count)
    ]
    began_at = loop.time()
    await world.server.async_leave(LEAVE_S, loop.time)
    took_s = loop.time() - began_at
    await world.server.async_stop()
    await world.pool.async_stop()
    for _, writer in connections:
        writer.close()
    return took_s
