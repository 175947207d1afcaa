"""Steps on leave and pause notices of targets."""

from dataclasses import replace
from random import Random

from behave import given, then, when

from mothshunt.placement.model import AttemptOutcome, TargetNotice
from mothshunt.placement.withheld import TargetNotices
from tests.support import placement_world as world
from tests.support.withheld_world import NoticeSimulation

LEAVES = TargetNotice(is_leaving=True)


def next_incarnation(target):
    return replace(target, incarnation=target.incarnation + 1)


@given("a target that announced at {now:g} s that it leaves")
def announced_leaving(context, now):
    context.received_at = now
    context.target = world.target(0, 4)


def notices_after_repeat(context) -> TargetNotices:
    notices = TargetNotices()
    assert notices.record(context.target, LEAVES, context.received_at)
    assert not notices.record(context.target, LEAVES, context.received_at + 0.1)
    return notices


def next_leaves(context, renewed_at) -> list[bool]:
    notices = notices_after_repeat(context)
    later = next_incarnation(context.target)
    # Further renewals must not change the first result.
    return [
        notices.is_leaving(later.id, later.incarnation, renewed_at + later_s, now)
        for later_s, now in ((0.0, 10.5), (1.0, 11.5), (29.0, 39.5), (60.0, 70.5))
    ]


@then("its next incarnation, first renewed at {renewed_at:g} s, leaves as well")
def next_leaves_as_well(context, renewed_at):
    assert next_leaves(context, renewed_at) == [True] * 4


@then("its next incarnation, first renewed at {renewed_at:g} s, gets nothing for 30 s")
def next_possibly_leaving(context, renewed_at):
    assert next_leaves(context, renewed_at) == [True, True, True, False]


@then("its next incarnation, first renewed at {renewed_at:g} s, is used")
def next_is_used(context, renewed_at):
    assert next_leaves(context, renewed_at) == [False] * 4


@given("a target that asked at {now:g} s for a pause of {pause_s:g} s")
def asked_for_pause(context, now, pause_s):
    context.notices = TargetNotices()
    context.target = world.target(0, 4)
    asks(context, now, pause_s)


@when("it asks at {now:g} s for a pause of {pause_s:g} s")
def asks(context, now, pause_s):
    context.notices.record(context.target, TargetNotice(pause_s=pause_s), now)


@when("its next incarnation asks at {now:g} s for a pause of {pause_s:g} s")
def next_asks(context, now, pause_s):
    later = next_incarnation(context.target)
    context.notices.record(later, TargetNotice(pause_s=pause_s), now)


@then("it pauses until {end:g} s")
def pauses_until(context, end):
    assert context.notices.paused_until(context.target) == end


@then("its next incarnation pauses until {end:g} s")
def next_pauses_until(context, end):
    later = next_incarnation(context.target)
    assert context.notices.paused_until(later) == end


@then("in {count:d} random runs no target gets a request after it left or in a pause")
def random_runs(context, count):
    sent = refused = 0
    for seed in range(count):
        run = NoticeSimulation(Random(seed))
        run.run(steps=400)
        sent += run.sent
        refused += run.refused
    # The check proves nothing unless requests were both sent and refused.
    assert sent > 50 * count, sent
    assert refused > 10 * count, refused
    print(f"sent {sent}, refused for a pause or lack of targets {refused}")


@given("{count:d} targets of which {paused:d} asked for a pause of {pause_s:g} s")
def some_paused(context, count, paused, pause_s):
    context.targets = [world.target(number, 4) for number in range(count)]
    context.placement = world.placement(context.targets)
    for target in context.targets[:paused]:
        context.placement.record_notice(target, TargetNotice(pause_s=pause_s), 0.0)


@then("none of those gets any of {count:d} requests, and no request is refused")
def none_gets(context, count):
    paused = {
        target.id
        for target in context.targets
        if context.placement.notices.paused_until(target) > 0.0
    }
    for number in range(count):
        request = world.request(f"object-{number}")
        choice = context.placement.choose(request, 0.1).ok
        assert choice.target.id not in paused, choice
        context.placement.finish(choice, AttemptOutcome.ANSWERED, None, 0.1)
