"""Steps for the selection of a target."""

import dataclasses
from collections import Counter

from behave import given, then, when

from mothshunt.contract.model import ShiftLimit
from mothshunt.core.types import TargetState
from mothshunt.drain.model import DrainKind
from mothshunt.limits.grantor import LeaseGrantor
from mothshunt.steering.model import Outcome
from tests.support.steering_world import FakeClock, World, target


def _set_up(context, **terms):
    shift = terms.pop("shift", ShiftLimit(cap=40, step=40))
    context.world = World(FakeClock(), shift=shift, **terms)
    world = context.world
    world.clock.now = 999.0
    limits = world.limits()
    world.clock.now = 1000.0
    context.holder = limits.holder
    context.grantor = LeaseGrantor(1, 1000.0)
    context.grantor.configure(world.configuration)
    context.chooser = world.chooser(limits)
    context.choices = []
    context.refused = []


def _renew(context):
    now = context.world.clock.now
    granted = context.grantor.grant(context.holder.prepare_renewal(now), now)
    context.holder.accept(granted.ok, now)


def _choose(context, idempotent, excluded=frozenset()):
    for _ in range(4):
        result = context.chooser.choose(
            contract=context.world.contract,
            service="inventory",
            idempotent=idempotent,
            excluded=excluded,
            drains=context.world.configuration.drains,
            now=context.world.clock.now,
        )
        if result.is_ok():
            context.choices.append(result.ok)
            return result.ok
        _renew(context)
    context.refused.append(result.error)
    return None


def _count(context):
    return Counter(choice.target.id for choice in context.choices)


@given('an entry in "north-a" with full shares')
def an_entry(context):
    _set_up(context)


@given("a contract that ramps up cold targets over {seconds:d} seconds")
def cold_contract(context, seconds):
    _set_up(context, cold_ramp_s=seconds)


@given("a contract that allows {count:d} connections to a target")
def connections_contract(context, count):
    _set_up(context, connections=count)


@given("a contract with a region capacity of {capacity:d} and no shift")
def capacity_contract(context, capacity):
    _set_up(context, capacity=capacity, shift=ShiftLimit(cap=0, step=1))


@given(
    'steering targets "{one}" in "{zone}" and "{two}" in "{other}" with {slots:d} slots'
)
def two_targets(context, one, zone, two, other, slots):
    context.world.targets_now = (
        target(one, zone, slots=slots),
        target(two, other, slots=slots),
    )


@given(
    'a steering target "{name}" in "{zone}" with {slots:d} slots that reports '
    "{load:d} in flight"
)
def reporting_target(context, name, zone, slots, load):
    now = context.world.clock.now
    context.world.targets_now = (
        target(name, zone, slots=slots, reported=load, now=now),
    )


@when('steering target "{name}" in "{zone}" with {slots:d} slots is new')
def new_target(context, name, zone, slots):
    now = context.world.clock.now
    new = target(name, zone, slots=slots, seen_at=now)
    context.world.targets_now = (*context.world.targets_now, new)


@when('{what} of "{name}" is taken out of service')
def take_out(context, what, name):
    world = context.world
    found = next(item for item in world.targets_now if item.id == name)
    if what == "the announcement":
        leaving = dataclasses.replace(found, state=TargetState.LEAVING)
        world.targets_now = tuple(
            leaving if item is found else item for item in world.targets_now
        )
        return
    kind, value = {
        "the target": (DrainKind.TARGET, found.id),
        "the availability zone": (
            DrainKind.AVAILABILITY_ZONE,
            found.availability_zone,
        ),
        "the region": (DrainKind.REGION, found.region),
    }[what]
    world.drain(kind, value)


@when("the drain ends")
def drain_ends(context):
    context.world.undrain()


@when("{count:d} requests choose a target")
@when("{count:d} idempotent requests choose a target")
def many_choose(context, count):
    for _ in range(count):
        _choose(context, idempotent=True)


@when("a non-idempotent request chooses a target")
def non_idempotent_chooses(context):
    context.last = _choose(context, idempotent=False)


@when("an idempotent request chooses a target")
def idempotent_chooses(context):
    context.last = _choose(context, idempotent=True)


@when('a request to "{name}" ends as "{outcome}"')
def one_ends(context, name, outcome):
    many_end(context, 1, name, outcome)


@when('{count:d} requests to "{name}" end as "{outcome}"')
def many_end(context, count, name, outcome):
    others = {item.id for item in context.world.targets_now} - {name}
    to_finish = []
    for _ in range(count):
        choice = _choose(context, idempotent=True, excluded=frozenset(others))
        if choice is not None:
            to_finish.append(choice)
    for choice in to_finish:
        context.choices.remove(choice)
        now = context.world.clock.now
        context.chooser.finish(choice, Outcome(outcome), now)


@when("{seconds:g} seconds pass for the entry")
def time_passes(context, seconds):
    context.world.clock.now += seconds
    _renew(context)


@then('{some:d} went to "{one}" and {rest:d} went to "{two}"')
def went_to_both(context, some, one, rest, two):
    counted = _count(context)
    assert (counted[one], counted[two]) == (some, rest), counted


@then('{some:d} went to "{name}"')
def went_to(context, some, name):
    assert _count(context)[name] == some, _count(context)


@then('some went to "{name}"')
def some_went_to(context, name):
    assert _count(context)[name] > 0, _count(context)


@then("each target gets a probe request within {seconds:d} seconds")
def gets_probe(context, seconds):
    for _ in range(seconds * 10):
        time_passes(context, 0.1)
        choice = _choose(context, idempotent=True)
        if choice is not None:
            now = context.world.clock.now
            context.chooser.finish(choice, Outcome.CONNECT_FAILED, now)
    names = {item.id for item in context.world.targets_now}
    assert set(_count(context)) == names, _count(context)
    # Probe requests are limited: at most half of the requests may be sent.
    assert len(context.choices) <= seconds * 10 / 2, len(context.choices)


@then('{count:d} were refused as "{name}" with a retry-after time')
def refused_as(context, count, name):
    found = [item for item in context.refused if item.code.name == name]
    assert len(found) == count, context.refused
    assert all(item.retry_after_s > 0 for item in found), found


@then('the last refusal is "{name}"')
def last_refusal(context, name):
    assert context.refused[-1].code.name == name, context.refused[-1]


@then("the last request was not refused")
def not_refused(context):
    assert context.last is not None, context.refused[-1]
