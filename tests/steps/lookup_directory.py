"""Steps for look-ups by the region and zone that the caller states."""

from collections import Counter
from random import Random

from behave import given, then, when

from mothshunt.core.types import AvailabilityZoneId, InstanceId, InstanceState, RegionId
from mothshunt.lookup import codes, directory
from mothshunt.lookup.const import METRIC_LOOKUPS
from mothshunt.lookup.directory import EntryLookup
from mothshunt.membership.roster import RosterTable
from mothshunt.membership.roster_messages import EntryReport
from mothshunt.metrics.registry import Metrics

REGION = RegionId("north")
ZONE = AvailabilityZoneId("north-a")
LONGEST_S = 2.0


def report(context, name, state):
    entry = EntryReport(
        instance=InstanceId(name),
        region=REGION,
        availability_zone=ZONE,
        host="127.0.0.1",
        port=8000,
        state=state,
    )
    context.roster.record_report(entry, context.time)


@given('a directory that knows the entry "{name}" as starting')
def knows(context, name):
    context.time = 100.0
    context.roster = RosterTable()
    context.metrics = Metrics()
    context.directory = EntryLookup(context.roster, LONGEST_S, context.metrics)
    context.lines = []
    write = directory.log.write
    directory.log.write = context.lines.append
    context.stack.callback(setattr, directory.log, "write", write)
    report(context, name, InstanceState.STARTING)


@when('the entry "{name}" is ready')
def ready(context, name):
    report(context, name, InstanceState.READY)


@when("{count:d} callers ask it within {seconds:g} s")
def ask(context, count, seconds):
    context.found = []
    for number in range(count):
        now = context.time + seconds * number / count
        context.found.append(context.directory.find(REGION, ZONE, now))
    context.time += seconds


@when("1 caller asks it {seconds:g} s later")
def asks_later(context, seconds):
    context.time += seconds
    context.found = [context.directory.find(REGION, ZONE, context.time)]


@then("each was refused with code {number:d} and a retry-after time")
def refused(context, number):
    for found in context.found:
        assert found.is_error()
        assert found.error.code is codes.NO_ENTRY
        assert found.error.code.number == number
        assert found.error.retry_after_s > 0


@then('each got an answer with "{name}"')
def answered_with(context, name):
    for found in context.found:
        assert [entry.instance for entry in found.ok.entries] == [name]


@then(
    "{count:d} line was logged that no entry instance was found, for {lookups:d}"
    " look-up, {known:d} known"
)
@then(
    "{count:d} lines were logged that no entry instance was found, the last for"
    " {lookups:d} look-ups, {known:d} known"
)
def lines_logged(context, count, lookups, known):
    assert len(context.lines) == count, context.lines
    assert context.lines[-1].unanswered == lookups, context.lines
    assert context.lines[-1].known == known, context.lines


@then("the look-ups were counted as {answered:d} answered and {none:d} unanswered")
def counted(context, answered, none):
    assert context.metrics.counter_value(METRIC_LOOKUPS, outcome="answered") == answered
    assert context.metrics.counter_value(METRIC_LOOKUPS, outcome="none") == none


@then("it may cache the answer for {seconds:g} s")
def may_cache(context, seconds):
    assert abs(context.found[-1].ok.lifetime_s - seconds) < 1e-6, context.found[-1]


@when(
    "{entries:d} entry instances become ready within {seconds:g} s, and {callers:d}"
    " callers ask and send"
)
def common_start(context, entries, seconds, callers):
    """Let each caller send 20 requests a second, and ask again when its answer ends."""
    random = Random(17)
    start = context.time
    ready_at = sorted(random.uniform(0.0, seconds) for _ in range(entries - 1))
    due = [(0.0, "north-1")]
    due += [(at, f"north-{number}") for number, at in enumerate(ready_at, 2)]
    answers = [((), 0.0)] * callers
    cache_factor = [3.0 if number % 3 == 0 else 1.0 for number in range(callers)]
    context.sent = []
    for step in range(40):
        context.time = start + 0.05 * step
        while due and start + due[0][0] <= context.time:
            report(context, due.pop(0)[1], InstanceState.READY)
        for caller in range(callers):
            known, until = answers[caller]
            if context.time >= until:
                found = context.directory.find(REGION, ZONE, context.time).ok
                known = [entry.instance for entry in found.entries]
                cached_s = found.lifetime_s * cache_factor[caller]
                answers[caller] = (known, context.time + cached_s)
            context.sent.append((context.time - start, random.choice(known)))


@then(
    "from {first:g} s to {last:g} s after the first was ready no entry instance got"
    " over {times:g} times the mean"
)
def not_overloaded(context, first, last, times):
    sent = Counter(name for at, name in context.sent if first <= at < last)
    mean = sum(sent.values()) / 20
    assert max(sent.values()) <= times * mean, (mean, sent.most_common(3))
    print(f"worst: {max(sent.values()) / mean:.1f} of {times:g} times the mean")
