"""Steps for the fault-injecting proxy."""

import asyncio
import socket
import time

from behave import given, then, when

from testkit.loop_thread import LoopThread
from testkit.ports import HOST
from testkit.process import wait_until
from testkit.proxy import BOTH, Direction, FaultProxy

BOUND_S = 20
#: Time in which nothing may arrive where nothing should.
QUIET_S = 0.4
DIRECTIONS_BY_TEXT = {
    "to the server": (Direction.TO_SERVER,),
    "to the client": (Direction.TO_CLIENT,),
    "both ways": BOTH,
}


class EchoServer:
    def __init__(self):
        self.ended = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        finally:
            self.ended += 1
            writer.close()


def connect(context):
    client = socket.create_connection((HOST, context.proxy_port), timeout=BOUND_S)
    context.stack.callback(client.close)
    return client


def echoes(client, text, timeout_s):
    client.settimeout(timeout_s)
    try:
        client.sendall(text)
        return receive(client, len(text)) == text
    except TimeoutError:
        return False


def receive(client, length):
    data = b""
    while len(data) < length:
        part = client.recv(length - len(data))
        if not part:
            raise AssertionError("the connection ended")
        data += part
    return data


@given("an echo server behind a fault-injecting proxy")
def echo_behind_proxy(context):
    context.loop = LoopThread()
    context.stack.callback(context.loop.close)
    context.echo = EchoServer()
    port = context.loop.run(context.echo.start())
    context.proxy = FaultProxy(HOST, port)
    context.proxy_port = context.loop.run(context.proxy.async_start())
    context.stack.callback(lambda: context.loop.run(context.proxy.async_stop()))


@when("the proxy delays {there:d} ms to the server and {back:d} ms to the client")
def delays(context, there, back):
    context.delay_s = there / 1000
    context.proxy.set_delay(there / 1000, (Direction.TO_SERVER,))
    context.proxy.set_delay(back / 1000, (Direction.TO_CLIENT,))


@then("{count:d} messages through one connection echo in order")
def echo_in_order(context, count):
    client = connect(context)
    start = time.monotonic()
    assert echoes(client, b"x", BOUND_S)
    context.one_s = time.monotonic() - start
    start = time.monotonic()
    messages = [f"{number:08d}".encode() for number in range(count)]
    for message in messages:
        client.sendall(message)
        time.sleep(0.001)
    assert receive(client, 8 * count) == b"".join(messages)
    context.all_s = time.monotonic() - start


@then("one message takes at least {ms:d} ms and the 100 took less than {n:d} delays")
def took(context, ms, n):
    assert context.one_s >= ms / 1000, context.one_s
    assert context.all_s < n * context.delay_s, context.all_s


@given("an open connection through the proxy")
def open_connection(context):
    context.client = connect(context)
    assert echoes(context.client, b"hello", BOUND_S)


@when("open connections go silent {direction}")
def silence(context, direction):
    directions = DIRECTIONS_BY_TEXT[direction]
    assert context.loop.call(context.proxy.silence_open, directions) == len(directions)


@then("the open connection echoes nothing, and neither end sees it close")
def open_is_silent(context):
    assert not echoes(context.client, b"anyone?", QUIET_S)
    assert context.echo.ended == 0


@then("a new connection echoes")
def new_echoes(context):
    assert echoes(connect(context), b"new", BOUND_S)


@then("a new connection echoes nothing")
def new_is_silent(context):
    assert not echoes(connect(context), b"new", QUIET_S)


@when("the proxy is cut")
def cut(context):
    context.loop.call(context.proxy.cut)


@when("the proxy is healed")
def heal(context):
    context.loop.call(context.proxy.heal)


@then("what the open connection had sent is echoed")
def late_echo(context):
    context.client.settimeout(BOUND_S)
    assert receive(context.client, 7) == b"anyone?"


@when("the client of the open connection ends its stream")
def end_stream(context):
    context.client.shutdown(socket.SHUT_WR)


@then("the echo server sees the stream end")
def server_sees_end(context):
    wait_until(lambda: context.echo.ended == 1, BOUND_S, "the stream ended")


@when("open connections are reset")
def reset(context):
    open_connection(context)
    context.loop.call(context.proxy.reset_open)


@then("no connection is open at the proxy")
def none_open(context):
    wait_until(lambda: context.proxy.open_connections == 0, BOUND_S, "none open")
