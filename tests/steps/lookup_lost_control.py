"""Steps for look-ups at entry instances while control instances are lost."""

from random import Random

from behave import given, then, when

from mothshunt.core.types import AvailabilityZoneId, InstanceId, InstanceState, RegionId
from mothshunt.lookup import codes
from mothshunt.lookup.directory import EntryLookup
from mothshunt.membership import const
from mothshunt.membership.roster import RosterTable
from mothshunt.membership.roster_messages import (
    EntryReport,
    RosterPulse,
    RosterRows,
    roster_digest,
)
from mothshunt.membership.roster_view import RosterView
from mothshunt.metrics.registry import Metrics

LONGEST_S = 2.0
REGION_BY_LETTER = {"n": "north", "s": "south"}
STEP_S = 0.1


def report(name, state=InstanceState.READY):
    region = REGION_BY_LETTER[name[0]]
    return EntryReport(
        instance=InstanceId(name),
        region=RegionId(region),
        availability_zone=AvailabilityZoneId(f"{region}-a"),
        host="10.0.0.1",
        port=8641,
        state=state,
    )


def names(text):
    return text.split(", ") if text else []


class Entry:
    """Directory of one entry instance, with the tables of the control instances."""

    def __init__(self, name, controls, now):
        self.now = now
        self.tables = {f"c{n + 1}": RosterTable() for n in range(controls)}
        self.view = RosterView(report(name, InstanceState.STARTING))
        self.directory = EntryLookup(self.view, LONGEST_S, Metrics())

    def send_rows(self, control):
        rows = RosterRows(rows=self.tables[control].rows(), is_whole=True)
        self.view.apply_rows(control, rows, self.now)

    def send_pulses(self, lost=()):
        for control, table in self.tables.items():
            if control not in lost:
                pulse = RosterPulse(digest=roster_digest(table.rows()))
                self.view.apply_pulse(control, pulse, self.now)

    def let_time_pass(self, seconds, lost=()):
        """Let time pass, with a pulse per second of each control instance not lost."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 1.0)
            self.send_pulses(lost)

    def find(self):
        return self.directory.find(RegionId("west"), AvailabilityZoneId("w"), self.now)

    def listed(self):
        found = self.find()
        return [entry.instance for entry in found.ok.entries] if found.is_ok() else []


@given(
    '{count:d} control instances that report the entries "{ready}" as ready to "{name}"'
)
@given('{count:d} control instances that report the entries "" as ready to "{name}"')
def controls(context, count, name, ready=""):
    context.lost = set()
    context.entry = Entry(name, count, 100.0)
    for control, table in context.entry.tables.items():
        for other in names(ready):
            table.record_report(report(other), context.entry.now)
        context.entry.send_rows(control)
    if name in names(ready):
        context.entry.view.set_own_state(InstanceState.READY, context.entry.now)


@when('control instances "{lost}" are lost for {seconds:g} s')
def lose(context, lost, seconds):
    context.lost |= set(names(lost))
    context.entry.let_time_pass(seconds, context.lost)


@when('the others report to "{name}" that "{other}" is gone')
def report_gone(context, name, other):
    for control, table in context.entry.tables.items():
        if control not in context.lost:
            del table.entry_by_id[other]
            context.entry.send_rows(control)


@when('the others report to "{name}" that "{other}" accepts no requests')
def report_not_ready(context, name, other):
    for control, table in context.entry.tables.items():
        table.record_report(report(other, InstanceState.LEAVING), context.entry.now)
        context.entry.send_rows(control)


@when('the entry instance "{name}" is {state}')
def own_state(context, name, state):
    context.entry.view.set_own_state(InstanceState(state), context.entry.now)


@then('"{name}" lists "{wanted}"')
def lists(context, name, wanted):
    assert context.entry.listed() == names(wanted), context.entry.listed()


@then('"{name}" refuses look-ups with a retry-after time')
def refuses(context, name):
    found = context.entry.find()
    assert found.error.code is codes.NO_ENTRY
    assert found.error.retry_after_s > 0


@then(
    "in {count:d} random runs of entries and control instances none is listed over"
    " {limit:g} s after its end"
)
def random_runs(context, count, limit):
    worst_s = 0.0
    for seed in range(count):
        worst_s = max(worst_s, longest_listed(Random(seed)))
        assert worst_s <= limit, (seed, worst_s)
    print(f"worst: {worst_s:.1f} of {limit:g} s")


def longest_listed(random):
    """Return how long after its end an entry was still listed at most, in seconds.

    Entries end at random times, some of them together with a control instance. The
    control instances notice that after the time that they allow an entry, plus a random
    delay.
    """
    controls = random.choice([1, 3, 5])
    entry = Entry("n-0", controls, 0.0)
    entry.view.set_own_state(InstanceState.READY, 0.0)
    others = [f"n-{number}" for number in range(1, 6)]
    for control, table in entry.tables.items():
        for name in ["n-0", *others]:
            table.record_report(report(name), 0.0)
        entry.send_rows(control)
    lost, ended_at, noticed_at = set(), {}, []
    worst_s = 0.0
    while entry.now < 20.0:
        entry.now += STEP_S
        if random.random() < 0.03 and len(ended_at) < len(others):
            name = random.choice([name for name in others if name not in ended_at])
            ended_at[name] = entry.now
            if random.random() < 0.3 and len(lost) < controls:
                lost.add(random.choice(sorted(set(entry.tables) - lost)))
            for control in entry.tables:
                late_s = const.ENTRY_DETACH_GRACE_S + random.uniform(0.0, 0.3)
                noticed_at.append((entry.now + late_s, control, name))
        for at, control, name in list(noticed_at):
            if at <= entry.now:
                noticed_at.remove((at, control, name))
                entry.tables[control].entry_by_id.pop(name, None)
                if control not in lost:
                    entry.send_rows(control)
        if round(entry.now / STEP_S) % 10 == 0:
            entry.send_pulses(lost)
        for name in set(entry.listed()) & set(ended_at):
            worst_s = max(worst_s, entry.now - ended_at[name])
    return worst_s
