"""Steps on idempotency keys, through an entry instance and a fake of control."""

import asyncio

from behave import given, then, when

from mothshunt.ledger.const import LAPSE_GRACE_S
from mothshunt.ledger.sweep import Sweeper
from tests.support.dispatch_entry import BASE, send, start_entry
from tests.support.raw_target import BEHAVIOURS, RawTarget

FAR_LATER_S = 1_000_000.0


@when("the same ledger is asked through another entry")
def another_entry(context):
    old = context.server
    context.server = context.runner.run(start_entry(context))
    context.runner.run(old.async_stop())


@given('asking control for a {kind} meets "{fault}" for {times:d} asks')
def control_fault(context, kind, fault, times):
    context.control.faults_by_kind[kind] = [fault] * times


@when("asking control for a {kind} works again")
def control_works(context, kind):
    context.control.faults_by_kind[kind] = []


@when("the late commands are applied")
def apply_late(context):
    context.runner.run(asyncio.wait_for(context.control.released.wait(), 10))
    for command in context.control.late:
        context.control.apply(command)


@when("the time of every open claim is over")
def time_over(context):
    claims = context.control.applier.state.claimed_by_key
    sweeper = Sweeper()
    assert sweeper.lapsed(claims.items(), 0.0) is None
    assert sweeper.lapsed(claims.items(), LAPSE_GRACE_S) is None
    lapse = sweeper.lapsed(claims.items(), FAR_LATER_S)
    assert lapse is not None, "no claim was open"
    context.control.apply(lapse)


@when('two dispatch callers add Idempotency-Key "{key}" to {method} "{path}" at once')
def two_callers(context, key, method, path):
    async def both():
        headers = {"Idempotency-Key": key}
        sends = [send(context, method, BASE + path, headers=headers) for _ in "ab"]
        return await asyncio.gather(*sends)

    context.answers.extend(context.runner.run(both()))


@then("one was told code {first:d} and the other code {second:d}")
def told_codes(context, first, second):
    found = {int(answer[1]["Mothshunt-Code"]) for answer in context.answers[-2:]}
    assert found == {first, second}, found


@when('a raw target "{name}" that {behaviour} comes first')
def target_first(context, name, behaviour):
    target = RawTarget(name, BEHAVIOURS[behaviour])
    context.runner.run(target.start())
    context.target_by_name[name] = target
    context.chooser.add(name, target.port)
    context.chooser.targets.insert(0, context.chooser.targets.pop())


@when(
    'a dispatch caller with Idempotency-Key "{key}" leaves {method} "{path}" '
    "after {delay_ms:d} ms"
)
def keyed_caller_leaves(context, key, method, path, delay_ms):
    async def leave():
        headers = {"Idempotency-Key": key}
        timeout_s = delay_ms / 1000
        await send(context, method, BASE + path, headers=headers, timeout_s=timeout_s)
        await asyncio.sleep(0.3)

    context.runner.run(leave())


@given("the dispatch chooser finds room only after {delay_ms:d} ms")
def room_later(context, delay_ms):
    context.chooser.delay_s = delay_ms / 1000


@when("the dispatch chooser finds room at once")
def room_at_once(context):
    context.chooser.delay_s = 0.0


@when("the dispatch entry stops")
def entry_stops(context):
    context.runner.run(context.server.async_stop())
