"""Steps for requests that arrive before an entry instance serves or while it leaves."""

import asyncio
import time

from behave import then, when

from mothshunt.core.clock import SystemClock
from mothshunt.forwarding import const
from mothshunt.forwarding.opening import AdmissionGate
from testkit.routed_entry import request_bytes

DEADLINE = "Mothshunt-Deadline-Ms"


def read(left_ms, number=0):
    headers = f"{DEADLINE}: {left_ms}\r\n" if left_ms is not None else ""
    path = "/reads/a"
    return request_bytes("GET", path, headers=headers, request_id=f"id-{number}")


async def exchange_after(world, delay_s, data):
    await asyncio.sleep(delay_s)
    return await world.exchange(data)


def send_timed(context, left_ms, *others):
    """Send a request while other coroutines run; record its response and duration."""

    async def timed():
        began = time.monotonic()
        answer = await context.world.exchange(read(left_ms))
        context.took_ms = (time.monotonic() - began) * 1000
        return answer

    async def run():
        return (await asyncio.gather(timed(), *others))[0]

    context.answers = [context.runner.run(run())]


@when(
    "{count:d} routed callers with {left_ms:d} ms left send requests in the"
    " {before_ms:d} ms before the entry serves"
)
def callers_come(context, count, left_ms, before_ms):
    context.left_ms, context.before_ms = left_ms, before_ms

    async def run():
        calls = [
            exchange_after(
                context.world, before_ms / 1000 * number / count, read(left_ms, number)
            )
            for number in range(count)
        ]
        waiting = asyncio.gather(*calls)
        await asyncio.sleep(before_ms / 1000)
        context.world.admission.open()
        return await waiting

    context.answers = context.runner.run(run())


@then("no target got a deadline header of more than the time left")
def deadline_headers(context):
    for target in context.target_by_name.values():
        deadlines_ms = [
            int(r.header_by_name[DEADLINE.lower()]) for r in target.requests
        ]
        assert deadlines_ms, "no request reached the target"
        # The first callers waited for almost the whole time before the entry served.
        assert min(deadlines_ms) <= context.left_ms - context.before_ms * 0.8, (
            deadlines_ms
        )
        assert max(deadlines_ms) <= context.left_ms, deadlines_ms


@when("it has been starting for {seconds:g} s")
def starting_for(context, seconds):
    context.world.admission.expected_at -= seconds


@when('a routed caller with {left_ms:d} ms left sends GET "/reads/a"')
def sends_with_time(context, left_ms):
    send_timed(context, left_ms)


@when('a routed caller without a deadline sends GET "/reads/a"')
def sends_without_time(context):
    send_timed(context, None)


@when(
    "it stops {delay_ms:d} ms after a routed caller with {left_ms:d} ms left"
    " sent a request"
)
def stops(context, delay_ms, left_ms):
    async def stop():
        await asyncio.sleep(delay_ms / 1000)
        context.world.admission.refuse_held()

    send_timed(context, left_ms, stop())


@when("{count:d} requests are held")
def many_held(context, count):
    assert count == const.MAX_HELD_REQUESTS
    context.admission = AdmissionGate.from_start(SystemClock())


@then("one more is refused at once")
def one_more(context):
    async def run():
        held = [
            asyncio.create_task(context.admission.async_wait(3.0))
            for _ in range(const.MAX_HELD_REQUESTS)
        ]
        await asyncio.sleep(0)
        async with asyncio.timeout(0.1):
            is_open = await context.admission.async_wait(3.0)
        context.admission.open()
        return is_open, await asyncio.gather(*held)

    is_open, held = asyncio.run(run())
    assert not is_open
    assert all(held)


@when(
    "it leaves within {leave_s:g} s while {count:d} routed callers with {left_ms:d} ms"
    " left send requests in the first {first_ms:d} ms"
)
def leaves(context, leave_s, count, left_ms, first_ms):
    async def run():
        calls = [
            exchange_after(
                context.world, first_ms / 1000 * number / count, read(left_ms, number)
            )
            for number in range(count)
        ]
        answers = asyncio.gather(*calls)
        await context.world.leave(leave_s)
        # Requests still in flight are cut off, as at the end of a stop.
        await context.world.server.async_stop()
        return await answers

    context.answers = context.runner.run(run())


@then('no request reached "{name}"')
def none_reached(context, name):
    assert not context.target_by_name[name].requests


@then(
    "an entry that ends in {ends_s:g} s admits a request with {left_s:g} s left:"
    " {takes}"
)
def takes_request(context, ends_s, left_s, takes):
    admission = AdmissionGate.from_start(SystemClock())
    admission.open()
    admission.set_end(100.0 + ends_s)
    assert admission.may_admit(100.0 + left_s) == (takes == "yes")
