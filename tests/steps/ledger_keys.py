"""Steps for idempotency keys on an entry instance with a fake of control."""

import asyncio

from behave import given, then, when

from mothshunt.ledger.const import LAPSE_GRACE_S
from mothshunt.ledger.sweep import Sweeper
from tests.support.dispatch_entry import BASE, send, start_entry
from tests.support.raw_target import BEHAVIOURS, RawTarget

#: Time at which every claim has lapsed.
FAR_LATER_S = 1_000_000.0


@when("another entry instance with the same ledger takes over")
def replace_entry(context):
    old = context.server
    context.server = context.runner.run(start_entry(context))
    context.runner.run(old.async_stop())


@given('the next {times:d} {kind} commands to control have the fault "{fault}"')
def set_control_fault(context, kind, fault, times):
    context.control.faults_by_kind[kind] = [fault] * times


@when("control answers {kind} commands again")
def clear_control_faults(context, kind):
    context.control.faults_by_kind[kind] = []


@when("the delayed commands are applied")
def apply_late(context):
    context.runner.run(asyncio.wait_for(context.control.released.wait(), 10))
    for command in context.control.late:
        context.control.apply(command)


@when("every open claim lapses")
def lapse_open_claims(context):
    claims = context.control.applier.state.open_claim_by_key
    sweeper = Sweeper()
    assert sweeper.lapse_command(claims.items(), 0.0) is None
    assert sweeper.lapse_command(claims.items(), LAPSE_GRACE_S) is None
    lapse = sweeper.lapse_command(claims.items(), FAR_LATER_S)
    assert lapse is not None, "there is no open claim"
    context.control.apply(lapse)


@when('two dispatch callers add Idempotency-Key "{key}" to {method} "{path}" at once')
def two_callers(context, key, method, path):
    async def both():
        headers = {"Idempotency-Key": key}
        sends = [send(context, method, BASE + path, headers=headers) for _ in "ab"]
        return await asyncio.gather(*sends)

    context.answers.extend(context.runner.run(both()))


@then("one caller got code {first:d} and the other code {second:d}")
def got_codes(context, first, second):
    found = {int(answer[1]["Mothshunt-Code"]) for answer in context.answers[-2:]}
    assert found == {first, second}, found


@when('a raw target "{name}" that {behaviour} becomes the first choice')
def add_first_target(context, name, behaviour):
    target = RawTarget(name, BEHAVIOURS[behaviour])
    context.runner.run(target.start())
    context.target_by_name[name] = target
    context.chooser.add(name, target.port)
    context.chooser.targets.insert(0, context.chooser.targets.pop())


@when(
    'a dispatch caller with Idempotency-Key "{key}" disconnects from {method} "{path}" '
    "after {delay_ms:d} ms"
)
def keyed_caller_disconnects(context, key, method, path, delay_ms):
    async def disconnect():
        headers = {"Idempotency-Key": key}
        timeout_s = delay_ms / 1000
        await send(context, method, BASE + path, headers=headers, timeout_s=timeout_s)
        await asyncio.sleep(0.3)

    context.runner.run(disconnect())


@given("a target has free capacity only after {delay_ms:d} ms")
def capacity_later(context, delay_ms):
    context.chooser.delay_s = delay_ms / 1000


@when("a target has free capacity at once")
def capacity_at_once(context):
    context.chooser.delay_s = 0.0


@when("the dispatch entry instance stops")
def entry_stops(context):
    context.runner.run(context.server.async_stop())
