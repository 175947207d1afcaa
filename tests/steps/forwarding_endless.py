"""Steps for targets that send endless data."""

import asyncio
import socket
import time

import aiohttp
from behave import given, then, when

from mothshunt.core.const import HEADER_REQUEST_ID
from testkit.endless_target import EndlessTarget, Mode
from testkit.memory import peak_resident_bytes, resident_bytes
from testkit.routed_deployment import (
    CALLERS_HOST,
    SERVICE,
    RoutedDeployment,
    routing_items,
)
from testkit.shape import small

MEGABYTE = 1_000_000
SMALL_BUFFER_BYTES = 4096
CALLERS_AT_A_TIME = 20


@given("a routed deployment with one target that can send endless data")
def deployment(context):
    context.routed = routed = RoutedDeployment(context.stack, small())
    context.target = EndlessTarget(1, SERVICE)
    routed.run_target(context.target)
    path = routed.write("items.json", routing_items(version=1))
    done = routed.command("routing", "apply", path)
    assert done.returncode == 0, done
    context.entry = routed.deployment["north-1"]
    routed.run(routed.async_until(lambda: answers_soundly(context)))
    context.rest_bytes = resident_bytes(context.entry.process.pid)
    context.peak_bytes = peak_resident_bytes(context.entry.process.pid)


async def answers_soundly(context):
    context.target.mode = Mode.SOUND
    return (await read(context))[0] == 200


def read(context, request_id="r-1"):
    address = context.routed.address(context.entry)
    return context.routed.get(address, CALLERS_HOST, "/stock/a", request_id=request_id)


@then("the entry next to it answers a read in each endless mode:")
def answers_each(context):
    found = [
        (row["mode"], *ask(context, Mode(row["mode"]))) for row in context.table.rows
    ]
    wrong = [
        (row["mode"], status, round(took_ms))
        for row, (_, status, took_ms) in zip(context.table.rows, found, strict=True)
        if status != row["status"] or took_ms > int(row["within ms"])
    ]
    assert not wrong, wrong


def ask(context, mode):
    """Read in one mode, after a sound response on the same connection."""
    routed = context.routed
    routed.run(routed.async_until(lambda: answers_soundly(context)))
    context.target.mode = mode
    began = time.monotonic()
    status, body = routed.run(read(context, request_id=f"r-{mode.name}"))
    took_ms = (time.monotonic() - began) * 1000
    if status == 200:
        # Bytes after the response must not be buffered while the connection is idle.
        assert body == "sound", body
        routed.run(asyncio.sleep(0.3))
    return ("broken" if status == 0 else str(status)), took_ms


@when("a caller reads {megabytes:d} MB of an endless body and disconnects")
def takes_and_leaves(context, megabytes):
    context.target.mode = Mode.BODY
    context.routed.run(take(context, megabytes * MEGABYTE))


async def take(context, most):
    url = f"http://{context.routed.address(context.entry)}/stock/a"
    headers = {"Host": CALLERS_HOST, HEADER_REQUEST_ID: "r-body"}
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as answer,
    ):
        taken = 0
        while taken < most:
            taken += len(await answer.content.readany())
        answer.close()


@when("{count:d} callers request an endless body and read nothing for {seconds:d} s")
def read_nothing(context, count, seconds):
    context.target.mode = Mode.BODY
    context.routed.run(async_read_nothing(context, count))
    context.routed.run(asyncio.sleep(seconds))


async def async_read_nothing(context, count):
    address = context.routed.address(context.entry).split(":")
    for number in range(count):
        caller = context.stack.enter_context(socket.socket())
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.connect((address[0], int(address[1])))
        head = f"GET /stock/a HTTP/1.1\r\nHost: {CALLERS_HOST}\r\n"
        head += f"{HEADER_REQUEST_ID}: r-{number}\r\n\r\n"
        caller.sendall(head.encode())
        if number % CALLERS_AT_A_TIME == 0:
            await asyncio.sleep(0.1)


@then("the entry next to it answers soundly meanwhile")
def sound_meanwhile(context):
    context.routed.run(context.routed.async_until(lambda: answers_soundly(context)))


@then("the target's connection is closed within {limit_ms:d} ms")
def closed_within(context, limit_ms):
    closed = asyncio.wait_for(wait_closed(context.target), limit_ms / 1000)
    context.routed.run(closed)


async def wait_closed(target):
    await target.closed.wait()


@then("the memory of that entry has grown by {megabytes:d} MB at most")
def memory_bounded(context, megabytes):
    peak = peak_resident_bytes(context.entry.process.pid)
    grown = (peak - context.rest_bytes) / MEGABYTE
    print(f"worst: {grown:.1f} MB; the target sent {context.target.sent_bytes}")
    assert peak == context.peak_bytes or grown <= megabytes, grown
