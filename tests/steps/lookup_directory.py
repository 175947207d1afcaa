"""Steps for look-ups by the caller's own place."""

from behave import given, then, when

from mothshunt.core.types import AvailabilityZoneId, InstanceId, InstanceState, RegionId
from mothshunt.lookup import codes, directory
from mothshunt.lookup.const import METRIC_LOOKUPS
from mothshunt.lookup.directory import EntryDirectory
from mothshunt.membership.roster import RosterTable
from mothshunt.membership.roster_messages import EntryReport
from mothshunt.metrics.registry import Metrics

REGION = RegionId("north")
ZONE = AvailabilityZoneId("north-a")


def report(context, name, state):
    entry = EntryReport(
        instance=InstanceId(name),
        region=REGION,
        availability_zone=ZONE,
        host="127.0.0.1",
        port=8000,
        state=state,
    )
    context.roster.report(entry, context.time)


@given('a directory that knows the entry "{name}" as starting')
def knows(context, name):
    context.time = 100.0
    context.roster = RosterTable()
    context.metrics = Metrics()
    context.directory = EntryDirectory(context.roster, context.metrics)
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


@then("each was refused with code {number:d} and a time to come back")
def refused(context, number):
    for found in context.found:
        assert found.is_error()
        assert found.error.code is codes.NO_ENTRY
        assert found.error.code.number == number
        assert found.error.retry_after_s > 0


@then('each was told of "{name}"')
def told(context, name):
    for found in context.found:
        assert [entry.instance for entry in found.ok] == [name]


@then(
    "{count:d} line told that no entry instance was found, of {lookups:d} look-up,"
    " {known:d} known"
)
@then(
    "{count:d} lines told that no entry instance was found, the last of {lookups:d}"
    " look-ups, {known:d} known"
)
def lines_told(context, count, lookups, known):
    assert len(context.lines) == count, context.lines
    assert context.lines[-1].unanswered == lookups, context.lines
    assert context.lines[-1].known == known, context.lines


@then("the look-ups were counted as {answered:d} answered and {none:d} without one")
def counted(context, answered, none):
    assert context.metrics.value(METRIC_LOOKUPS, outcome="answered") == answered
    assert context.metrics.value(METRIC_LOOKUPS, outcome="none") == none
