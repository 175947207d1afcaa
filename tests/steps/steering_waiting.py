"""Steps for requests that wait for capacity."""

import asyncio

from behave import given, then, when

from mothshunt.contract.model import ShiftLimit
from mothshunt.steering.model import Outcome
from mothshunt.steering.waiting import wait_deadline
from tests.support.steering_world import LoopClock, World, target

DEADLINE_S = 8.0


@given("an entry whose only slot is taken")
def one_slot(context):
    context.scenario_of = _run
    context.results = None


def _run(scenario):
    """Run a scenario in an event loop, with an entry whose only slot is in use."""

    async def async_main():
        world = World(LoopClock(), shift=ShiftLimit(cap=0, step=1))
        world.targets_now = (target("n1", "north-a", slots=1),)
        limits = world.limits()
        limits.holder.earliest_start = world.clock.monotonic()
        steering = world.steering(limits)
        await limits.async_start()
        await steering.async_start()
        try:
            await asyncio.sleep(0.05)
            taken = await _async_choose(world, steering, idempotent=False)
            assert taken.is_ok(), taken
            return await scenario(world, steering, taken.ok)
        finally:
            await steering.async_stop()
            await limits.async_stop()

    return asyncio.run(async_main())


async def _async_choose(world, steering, *, idempotent, deadline_s=DEADLINE_S):
    return await steering.async_choose(
        contract=world.contract,
        service="inventory",
        idempotent=idempotent,
        excluded=frozenset(),
        deadline=world.clock.monotonic() + deadline_s,
    )


def _free(world, steering, choice):
    steering.finish(choice, Outcome.ANSWERED, world.clock.monotonic())


@when("an idempotent and then a non-idempotent request wait for it")
def both_kinds_wait(context):
    async def async_scenario(world, steering, taken):
        idempotent = asyncio.create_task(
            _async_choose(world, steering, idempotent=True)
        )
        await asyncio.sleep(0)
        non_idempotent = asyncio.create_task(
            _async_choose(world, steering, idempotent=False)
        )
        await asyncio.sleep(0)
        _free(world, steering, taken)
        return await idempotent, await non_idempotent

    context.asked = async_scenario


@when("the slot is freed")
def slot_freed(context):
    context.results = context.scenario_of(context.asked)


@then(
    "the non-idempotent request got it and the other is refused with a retry-after time"
)
def non_idempotent_first(context):
    idempotent, non_idempotent = context.results
    assert non_idempotent.is_ok(), non_idempotent
    assert idempotent.is_error(), idempotent
    assert idempotent.error.retry_after_s > 0, idempotent


@when("a request with a deadline in {deadline:g} seconds waits for it")
def waits_with_deadline(context, deadline):
    async def async_scenario(world, steering, taken):
        started = world.clock.monotonic()
        result = await _async_choose(
            world, steering, idempotent=True, deadline_s=deadline
        )
        return result, world.clock.monotonic() - started, deadline

    context.results = context.scenario_of(async_scenario)


@then("it is refused at least {seconds:d} seconds before its deadline")
def refused_before(context, seconds):
    result, elapsed, deadline_s = context.results
    assert result.is_error(), result
    assert elapsed < deadline_s - seconds, elapsed


@then(
    "with up to 1 second to its deadline a request is refused after {ratio:g} of that"
    " time"
)
def refused_by_ratio(context, ratio):
    for deadline_s in (0.05, 0.4, 1.0):
        limit = wait_deadline(100.0, 100.0 + deadline_s) - 100.0
        assert abs(limit - ratio * deadline_s) < 1e-9, (deadline_s, limit)


@then(
    "with {deadline:d} seconds to its deadline a request is refused after {wait:g}"
    " seconds"
)
def refused_after(context, deadline, wait):
    assert wait_deadline(100.0, 100.0 + deadline) == 100.0 + wait


@when("{count:d} requests ask for it at the same moment")
def many_ask(context, count):
    async def async_scenario(world, steering, taken):
        asking = [_async_choose(world, steering, idempotent=True) for _ in range(count)]
        results = await asyncio.gather(*asking)
        return results, world.metrics

    context.results = context.scenario_of(async_scenario)


@then('{count:d} are refused as "{name}" and each refusal is counted')
def refused_and_counted(context, count, name):
    results, metrics = context.results
    refused = [result.error.code.name for result in results if result.is_error()]
    assert refused.count(name) == count, refused
    for reason in set(refused):
        counted = metrics.counter_value(
            "mothshunt_choices_refused_total", reason=reason
        )
        assert counted == refused.count(reason), (reason, counted)


@when("two requests wait for it and the first caller leaves as the slot is freed")
def caller_leaves(context):
    async def async_scenario(world, steering, taken):
        first = asyncio.create_task(_async_choose(world, steering, idempotent=True))
        second = asyncio.create_task(_async_choose(world, steering, idempotent=True))
        await asyncio.sleep(0)
        _free(world, steering, taken)
        first.cancel()
        return await second

    context.results = context.scenario_of(async_scenario)


@then("the second request got the slot")
def second_got_slot(context):
    assert context.results.is_ok(), context.results
