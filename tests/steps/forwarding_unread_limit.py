"""Steps for responses that callers leave unread."""

import asyncio
import socket

from behave import given, then, when

from mothshunt.forwarding import const
from mothshunt.forwarding.unread_limit import UnreadLimit
from testkit.routed_entry import request_bytes
from tests.steps.forwarding_attempts import routed_target, set_up

MEGABYTE = 1024 * 1024
SMALL_BUFFER_BYTES = 4096
#: Slow enough for a response of 8 MB to last longer than the test.
SLOW_READ_BYTES = 64 * 1024
SLOW_READ_INTERVAL_S = 0.06


@given("a routed entry that keeps {size_mb:d} MB of unread responses")
def limited_entry(context, size_mb):
    set_up(context, timeout_s=3.0, max_unread_bytes=size_mb * MEGABYTE)


@given('routed targets "{names}" that send 8 MB at once')
def large_targets(context, names):
    for name in names.split(", "):
        routed_target(context, name, "sends 8 MB at once")


async def async_connect(context, number, buffer_bytes=SMALL_BUFFER_BYTES):
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, ("127.0.0.1", context.world.server.port))
    await loop.sock_sendall(
        caller, request_bytes("GET", "/reads/a", request_id=f"id-{number}")
    )
    return context.stack.enter_context(caller)


@when(
    "{count:d} routed callers of 8 MB read nothing for {seconds:g} s, and one reads"
    " slowly"
)
def read_nothing(context, count, seconds):
    async def async_read_slowly():
        caller = await async_connect(context, count, SLOW_READ_BYTES)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            if not await loop.sock_recv(caller, SLOW_READ_BYTES):
                return False
            await asyncio.sleep(SLOW_READ_INTERVAL_S)
        return True

    async def async_run():
        reading = asyncio.create_task(async_read_slowly())
        for number in range(count):
            await async_connect(context, number)
        return await reading

    context.is_slow_served = context.runner.run(async_run())


@then("at most {size_mb:d} MB of responses are unread")
def unread_at_most(context, size_mb):
    unread = context.world.server._unread_bytes()
    assert unread <= size_mb * MEGABYTE, unread


@then("some of the routed callers were disconnected")
def some_disconnected(context):
    count = context.world.metrics.counter_value(const.METRIC_UNREAD_DISCONNECTS)
    assert count > 0


@then("the routed caller that reads slowly was not")
def slow_served(context):
    assert context.is_slow_served


@given("a limit of {count:d} unread bytes and of {stall_s:g} s")
def limit(context, count, stall_s):
    context.limit = UnreadLimit[str](max_bytes=count, stall_s=stall_s)


@when('the unread bytes are "{unread}" at {now:g} s')
def unread_bytes(context, unread, now):
    parts = (part.split(" ") for part in unread.split(", "))
    size_by_caller = {name: int(size) for name, size in parts}
    context.found = context.limit.check(size_by_caller, now)


@then('the callers "{names}" are to be disconnected')
def to_be_disconnected(context, names):
    assert context.found == ([] if names == "none" else names.split(", "))
