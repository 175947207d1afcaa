"""Steps for whole answers."""

import asyncio
import json

from behave import given, then, when

from testkit.load import LoadReport
from testkit.request import Outcome, Request
from tests.steps.promise_requests import BOUND_S

HASTE_MS = 200
NO_HASTE_MS = 8_000


def read(name, *, size=2000, deadline_ms=NO_HASTE_MS, stream_ms=None):
    headers = {"X-Test-Answer-Bytes": str(size)}
    if stream_ms is not None:
        headers["X-Test-Stream-Ms"] = str(stream_ms)
    return Request(
        request_id=name,
        service="cabinet-status",
        deadline_ms=deadline_ms,
        headers=headers,
    )


def send_reads(context, region, requests):
    """Send reads one after the other; add how they ended to ``context.reads``."""
    caller = context.env.caller(context.customer, region)
    context.reads = getattr(context, "reads", [])
    for request in requests:
        context.reads.append(context.env.send(caller, request))


@given('the target "{target}" is told to {behaviour}')
def told(context, target, behaviour):
    context.env.fleet.behave(target, **json.loads(behaviour))


@when("{count:d} reads with answers of {size:d} bytes are sent in {region}")
def reads_sent(context, count, size, region):
    done = len(getattr(context, "reads", []))
    names = [f"read-{done + number}" for number in range(count)]
    send_reads(context, region, [read(name, size=size) for name in names])


@when("{count:d} reads that take {ms:d} ms are sent in {region}")
def slow_reads(context, count, ms, region):
    requests = [
        Request(
            request_id=f"slow-{number}",
            service="cabinet-status",
            deadline_ms=NO_HASTE_MS,
            headers={"X-Test-Service-Ms": str(ms)},
        )
        for number in range(count)
    ]
    send_reads(context, region, requests)


@when("reads with a deadline of 200 ms and reads without haste are mixed in {region}")
def mixed(context, region):
    requests = [
        read(f"mixed-{n}", deadline_ms=HASTE_MS if n % 2 == 0 else NO_HASTE_MS)
        for n in range(40)
    ]
    send_reads(context, region, requests)


@when("{count:d} callers hang up in the middle of long answers in {region}")
def hang_up(context, count, region):
    caller = context.env.caller(context.customer, region)

    async def begin_and_leave(number):
        request = read(f"gone-{number}", size=300_000, stream_ms=2000)
        try:
            async with asyncio.timeout(0.05 + 0.01 * number):
                await caller.async_send(request)
        except TimeoutError:
            return

    async def all_of_them():
        for number in range(count):
            await begin_and_leave(number)

    context.env.submit(all_of_them()).result(BOUND_S)


@then("each read got its own whole answer or broke visibly")
def own_answer(context):
    violations = context.env.violations(LoadReport(results=context.reads))
    assert not violations, violations


@then("at least {count:d} reads got a whole answer")
def enough_whole(context, count):
    ends = LoadReport(results=context.reads)
    whole = ends.count(Outcome.WHOLE)
    assert whole >= count, (ends.count_by_outcome(), ends.refused_by_code())
