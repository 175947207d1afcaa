"""Steps for queues at targets that entry instances know of."""

from collections import Counter
from dataclasses import replace

from behave import given, then, when

from bench.load import SCENARIOS
from bench.load.report import Outcome
from bench.load.scenario import read_scenario
from bench.load.world import World
from mothshunt.load_sharing.activity import SharingCondition
from mothshunt.placement.model import ReportedLoad

NOW = 100.0
SLOTS = 6
SERVED = (Outcome.IN_TIME, Outcome.LATE)


@given('the load scenario "{name}" with seed {seed:d}')
def load_scenario(context, name, seed):
    context.plan = replace(read_scenario(SCENARIOS / f"{name}.toml"), seed=seed)


@when("it is played as {entries:d} entry instances of the product")
def play(context, entries):
    plan = replace(context.plan, entries=entries)
    context.endings = World.from_scenario(plan, "product").play().endings


def served_share(endings):
    counts = Counter(ending.outcome for ending in endings)
    return sum(counts[outcome] for outcome in SERVED) / counts.total()


def later_endings(context, second, kind=None):
    return [
        ending
        for ending in context.endings
        if ending.asked_at >= second and kind in (None, ending.kind.name)
    ]


@then(
    'from second {second:d} on "{kind}" is served at least {part:g} times as often'
    ' as "{other}"'
)
def served_as_often(context, second, kind, part, other):
    share = served_share(later_endings(context, second, kind))
    other_share = served_share(later_endings(context, second, other))
    assert share >= part * other_share, (share, other_share)


@then("from second {second:d} on at most {share:g} of the requests are refused or fail")
def few_unserved(context, second, share):
    unserved = 1 - served_share(later_endings(context, second))
    assert unserved <= share, unserved


@given(
    "{full:d} of {count:d} targets have a queue of {waiting:g} requests for each slot"
)
def queues(context, full, count, waiting):
    context.waiting = [waiting * SLOTS] * full + [0] * (count - full)
    context.condition = SharingCondition(has_slowdowns=True)


@given("no machine of a target is slow")
def no_slowdown(context):
    context.condition.has_slowdowns = False


@when("an entry instance of {entries:d} gets {count:d} responses of each target")
def responses(context, entries, count):
    context.entries = entries
    for _ in range(count):
        for waiting in context.waiting:
            reported = ReportedLoad(running=SLOTS, waiting=int(waiting), slots=SLOTS)
            context.condition.record("history", reported, NOW)


@when("the queues end, and it gets {count:d} responses of each target")
def queues_end(context, count):
    context.waiting = [0] * len(context.waiting)
    responses(context, context.entries, count)


def shares(context, now):
    return context.condition.is_met(context.entries, now, is_active=False)


@then("it shares loads")
def shares_now(context):
    assert shares(context, NOW)


@then("it does not share loads")
def shares_not_now(context):
    assert not shares(context, NOW)


@then("{seconds:g} s later it does not share loads")
def shares_not_later(context, seconds):
    assert not shares(context, NOW + seconds)
