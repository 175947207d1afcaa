"""Steps for the plans and the runs of the soak."""

from behave import then, when

from testkit.soak.plan import CATCH_UP_S, ChangeKind, FaultKind, Plan
from testkit.soak.soak import Soak

ENTRIES = ("e1", "e2", "e3")
CONTROL = ("c1", "c2", "c3")
#: Faults keep entries and their connections down for much of the time; what is left
#: must be served.
MOST = 0.7


def plan(seed, seconds=60.0):
    return Plan.from_seed(seed, seconds, ENTRIES, CONTROL)


@when("the plans of seeds {first:d} to {last:d} are drawn, each of {seconds:d} s")
def drawn(context, first, last, seconds):
    context.plans = [plan(seed, seconds) for seed in range(first, last + 1)]


@then("each control instance has had time to come back before another one has a fault")
def never_overlap(context):
    for drawn_plan in context.plans:
        faults = [f for f in drawn_plan.faults if f.instance in CONTROL]
        for index, fault in enumerate(faults):
            for later in faults[index + 1 :]:
                back_at = fault.at_s + fault.length_s + CATCH_UP_S
                assert later.instance == fault.instance or later.at_s >= back_at


@then("each kind of fault and change is in some of them")
def all_kinds(context):
    faults = {fault.kind for each in context.plans for fault in each.faults}
    changes = {change.kind for each in context.plans for change in each.changes}
    assert faults == set(FaultKind)
    assert changes == set(ChangeKind)


@then("one entry instance has no fault in each, nor any control instance in some")
def some_have_none(context):
    faulty = [{fault.instance for fault in each.faults} for each in context.plans]
    assert all(not names.issuperset(ENTRIES) for names in faulty)
    assert any(names.isdisjoint(CONTROL) for names in faulty)


@then("the plans of seed {seed:d} are equal, and that of seed {other:d} is another one")
def same_seed(context, seed, other):
    assert plan(seed) == plan(seed)
    assert plan(seed) != plan(other)


@when("the soak of seed {seed:d} runs for {seconds:d} s")
def runs(context, seed, seconds):
    context.report = Soak(seed, seconds).run()
    print(context.report.text())


@then("it broke no promise, each bound was judged, and most requests were answered")
def broke_none(context):
    report = context.report
    for promise in ("left", "evacuated", "moved", "limited"):
        assert report.counts[f"judged {promise}"] > 0, report.counts
    for notice in ("leaving", "pause"):
        assert report.counts[f"noticed {notice}"] > 0, report.counts
    assert report.violations == [], report.violations
    asked = sum(n for name, n in report.counts.items() if name.startswith("status"))
    assert report.counts["status 200"] >= MOST * asked, report.counts
