"""Steps for the admission of requests to services that are short of capacity."""

import itertools
import time
from collections import Counter
from dataclasses import replace
from random import Random

import msgpack
from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings
from hypothesis import strategies as st

from bench.load.report import WINDOW_S, Outcome, by_group, quantile
from bench.load.scenario import EventKind, EventPlan
from bench.load.world import World
from mothshunt.membership.roster import RosterTable
from mothshunt.membership.roster_coordinator import RosterReporter
from mothshunt.membership.roster_messages import EntryLoad, RosterPulse
from mothshunt.membership.roster_view import RosterView
from mothshunt.placement.admission import LevelAdmission, controlled_services
from mothshunt.placement.admission_counts import (
    ServiceCounts,
    UrgencyCounts,
)
from mothshunt.placement.admission_level import AdmissionLevel, fractions_by_urgency
from mothshunt.placement.fair_share import fair_limit
from mothshunt.placement.model import (
    AttemptOutcome,
    Choice,
    PlacementRequest,
    ReportedLoad,
)
from mothshunt.routing.model import (
    RequestKind,
    Route,
    RoutingTable,
    Service,
    WeightedService,
    Workspace,
)
from mothshunt.util import wire
from tests.steps.membership_roster import report
from tests.support.placement_world import target
from tests.support.recording_network import RecordingNetwork

SERVICE = "s"
#: Share of the others' fraction that no urgency falls below.
LEAST_SHARE = 0.25


# Decisions


@then(
    "for any demand and budget the fractions fall with the urgency and fit the budget"
)
def fractions_fit(context):
    @settings(max_examples=300, deadline=None)
    @property_given(
        st.dictionaries(st.integers(0, 5), st.floats(0.1, 500), min_size=1),
        st.floats(0, 3000),
    )
    def check(asked, budget):
        fractions = fractions_by_urgency(asked, budget)
        in_order = [fractions[u] for u in sorted(asked)]
        assert all(a >= b - 1e-9 for a, b in itertools.pairwise(in_order)), fractions
        assert min(in_order) >= LEAST_SHARE * max(in_order), fractions
        used = sum(asked[u] * fractions[u] for u in asked)
        assert used <= max(budget, 0) * (1 + 1e-9) + 1e-9, (used, budget)
        assert used >= min(budget, sum(asked.values())) * (1 - 1e-9) - 1e-9

    check()


@then("for any demand of workspaces the fair limit uses the budget and no more")
def fair_limits(context):
    @settings(max_examples=300, deadline=None)
    @property_given(
        st.dictionaries(st.text(min_size=1, max_size=3), st.floats(0.1, 99)),
        st.floats(0, 500),
        st.integers(0, 9),
        st.floats(0, 1),
    )
    def check(asked, budget, unnamed_count, unnamed_each):
        unnamed = unnamed_count * unnamed_each
        limit = fair_limit(asked, unnamed, unnamed_count, budget)
        everyone = [*asked.values(), *[unnamed_each] * unnamed_count]
        used = sum(min(count, limit) for count in everyone)
        assert abs(used - min(budget, sum(everyone))) < 1e-6, (used, budget)

    check()


def counts(asked, capacity, fractions):
    """Return what callers ask for and targets report under these fractions."""
    admitted = sum(n * fractions.get(u, 1.0) for u, n in asked.items())
    load = admitted / capacity
    answered = round(min(admitted, capacity))
    return ServiceCounts(
        service=SERVICE,
        urgencies=tuple(
            UrgencyCounts(u, n, round(n * (1 - fractions.get(u, 1.0))), 0)
            for u, n in asked.items()
        ),
        answered=answered,
        busy=round(answered * min(1.0, load) * 100),
        waiting=round(answered * max(0.0, load - 1.0) * 4 * 100),
    )


@given("a service that is asked for twice its capacity")
def short_service(context):
    context.level = AdmissionLevel()
    context.capacity = 100
    context.asked = {0: 120, 1: 80}
    context.fractions = []


@when("its counts are the same for {updates:d} updates")
def same_counts(context, updates):
    # Counts are those of two updates ago, as reports and pulses take their time.
    ages = [{}, {}]
    for _ in range(updates):
        held = dict(context.level.fraction_by_urgency)
        seen = counts(context.asked, context.capacity, ages[0])
        ages = [ages[1], held]
        context.level.adjust(seen, is_own=False)
        fraction = context.level.fraction
        context.fractions.append({u: fraction(u) for u in context.asked})


@when("its demand falls to half its capacity for {updates:d} updates")
def demand_falls(context, updates):
    context.asked = {0: 30, 1: 20}
    same_counts(context, updates)


@then(
    "no fraction fell by more than {down:g} or rose by more than {up:g} in one update"
)
def bounded_steps(context, down, up):
    steps = [
        after[u] - before[u]
        for before, after in itertools.pairwise(context.fractions)
        for u in before
    ]
    assert min(steps) >= -down - 1e-9, min(steps)
    assert max(steps) <= up + 1e-9, max(steps)


@then("the most urgent kind is admitted more than the less urgent one")
def urgent_first(context):
    last = context.fractions[-1]
    assert last[0] > last[1], last


@then("the fractions moved by less than {bound:g} in the last {updates:d} updates")
def settled(context, bound, updates):
    for urgency in context.asked:
        late = [fractions[urgency] for fractions in context.fractions[-updates:]]
        assert max(late) - min(late) < bound, late


@then("everything is admitted")
def all_admitted(context):
    assert context.level.is_full, context.level


# An entry instance


def request(urgency=0, left_s=1.2, workspace=None) -> PlacementRequest:
    return PlacementRequest(
        service=SERVICE,
        affinity_key=None,
        target_latency_s=0.25,
        time_left_s=left_s,
        urgency=urgency,
        workspace=workspace,
    )


@given("an entry instance whose service is short by the sums of all")
def short_entry(context):
    context.admission = LevelAdmission(Random(3), services=frozenset({SERVICE}))
    short = ServiceCounts(
        service=SERVICE,
        urgencies=(UrgencyCounts(0, 1000, 0, 0),),
        answered=100,
        busy=10_000,
        waiting=20_000,
    )
    for now in range(8):
        context.admission.record_sums("c1", (short,), float(now))
        context.admission.update(float(now))
    assert context.admission.fraction(SERVICE, 0) < 0.2


@when("no sums arrive for {seconds:d} s while its own requests are answered at once")
def no_sums(context, seconds):
    context.now = 7.0
    own_seconds(context, seconds)


def own_seconds(context, seconds):
    for _ in range(seconds):
        context.now += 1.0
        for _ in range(3):
            if context.admission.reject(request()) is None:
                choice = Choice(
                    target=target(0, 3), sent_at=context.now, load=1.0, reason="test"
                )
                choice.target = replace(choice.target, service=SERVICE)
                idle = ReportedLoad(running=0, waiting=0, slots=3)
                context.admission.record_choice(choice, request(), context.now)
                context.admission.record_end(
                    choice, AttemptOutcome.ANSWERED, idle, context.now + 0.1
                )
        context.admission.take_counts()
        context.admission.update(context.now)


@then("it uses its own counts")
def own_counts(context):
    assert context.admission.uses_own_counts


@then("after {seconds:d} s everything is admitted there")
def reopened(context, seconds):
    own_seconds(context, seconds)
    assert context.admission.fraction(SERVICE, 0) == 1.0


def record_load(context, name, requests, now):
    row = ServiceCounts(SERVICE, (UrgencyCounts(0, requests, 0, 0),))
    context.roster.record_report(report(name), now)
    context.roster.record_load(name, EntryLoad(counts=(row,)), now)


@given('load reports of entries "{names}" with {requests:d} requests each at {now:g} s')
def load_reports(context, names, requests, now):
    context.roster = RosterTable()
    for name in names.split(", "):
        record_load(context, name, requests, now)


@given('a load report of entry "{name}" with {requests:d} requests at {now:g} s')
def later_report(context, name, requests, now):
    record_load(context, name, requests, now)


@then("the sums are of {requests:d} requests at {now:g} s")
def sums_are(context, requests, now):
    (row,) = context.roster.counts(now)
    assert row.asked == requests, row


class Reporter:
    """Entry instance that gets pulses, without any network."""

    def __init__(self):
        self.now = 0.0
        self.admission = LevelAdmission(Random(3), services=frozenset({SERVICE}))
        self.reporter = RosterReporter(
            network=RecordingNetwork(),
            clock=self,
            attachments=None,
            view=RosterView(report("e1")),
            revision=lambda: 0,
            in_flight=lambda: 0,
            admission=self.admission,
        )

    def monotonic(self):
        return self.now

    def pulse(self, control, asked, busy):
        row = ServiceCounts(
            service=SERVICE,
            urgencies=(UrgencyCounts(0, asked, 0, 0),),
            answered=100,
            busy=busy,
        )
        pulse = RosterPulse(digest=0, counts=(row,))
        self.reporter._on_pulse(control, pulse)


@given('an entry instance that gets sums from control instances "c1, c2"')
def two_controls(context):
    context.entry = Reporter()
    for second in range(8):
        context.entry.now = float(second)
        for control in ("c1", "c2"):
            context.entry.pulse(control, 300, 10_000)
        context.entry.admission.update(context.entry.now)
    assert context.entry.admission.fraction(SERVICE, 0) < 0.5


@when('"c1" is frozen for {seconds:d} s, and demand falls meanwhile')
def one_frozen(context, seconds):
    for _ in range(seconds):
        context.entry.now += 1.0
        context.entry.pulse("c2", 100, 5_000)
        context.entry.admission.update(context.entry.now)


@then('it uses the sums of "c2", and everything is admitted')
def other_used(context):
    assert not context.entry.admission.uses_own_counts
    assert context.entry.admission.fraction(SERVICE, 0) == 1.0


@when("{number:d} requests with {left_s:g} s left are rejected")
def rejected(context, number, left_s):
    context.retry_after_s = []
    while len(context.retry_after_s) < number:
        failure = context.admission.reject(request(left_s=left_s))
        if failure is not None:
            context.retry_after_s.append(failure.retry_after_s)


@then("their retry times are between {low:g} and {high:g} s")
def within_third(context, low, high):
    assert min(context.retry_after_s) >= low, min(context.retry_after_s)
    assert max(context.retry_after_s) <= high, max(context.retry_after_s)
    context.range = (low, high)


@then("no tenth of that range has more than a third of them")
def spread(context):
    low, high = context.range
    tenths = Counter(int((s - low) / (high - low) * 10) for s in context.retry_after_s)
    assert max(tenths.values()) <= len(context.retry_after_s) / 3, tenths


# Switching on, and messages


def table(priorities, workspaces=()) -> RoutingTable:
    routes = tuple(
        Route(
            name=f"r{number}",
            host="h",
            path_prefix=f"/{number}/",
            kind=RequestKind.IDEMPOTENT,
            timeout_s=1.0,
            target_latency_s=0.2,
            priority=priority,
            services=(WeightedService(service=SERVICE, weight=1.0),),
            max_attempts=2,
            has_affinity=True,
            home_regions=(),
            document="",
        )
        for number, priority in enumerate(priorities)
    )
    service = Service(
        name=SERVICE,
        health_path="/",
        max_connections=9,
        cold_start_s=1.0,
        cold_requests_per_s=1.0,
        document="",
    )
    return RoutingTable(
        routes_by_host={"h": routes},
        service_by_name={SERVICE: service},
        workspace_by_name={
            name: Workspace(
                name=name,
                key_digests=(),
                requests_per_s=0.0,
                burst=0.0,
                priority=None,
                home_regions=(),
                document="",
            )
            for name in workspaces
        },
    )


@given("a service with routes of one priority and no workspaces")
def one_priority(context):
    context.routing = table([1, 1])
    context.admits_by_priority = True


@given("a service with routes of two priorities and a workspace")
def two_priorities(context):
    context.routing = table([0, 1], ["w"])
    context.admits_by_priority = False


@given("a service with routes of two priorities and the setting for them")
def two_priorities_and_setting(context):
    context.routing = table([0, 1])
    context.admits_by_priority = True


@given("a service with one route and a workspace and the setting")
def with_workspace(context):
    context.routing = table([1], ["w"])
    context.admits_by_priority = True


@then("no service is controlled")
def not_controlled(context):
    found = controlled_services(
        context.routing, admits_by_priority=context.admits_by_priority
    )
    assert found == frozenset(), found
    assert LevelAdmission().take_counts() == ()


@then("the service is controlled")
def controlled(context):
    found = controlled_services(
        context.routing, admits_by_priority=context.admits_by_priority
    )
    assert found == {SERVICE}, found


@then("load reports and pulses have the same bytes as in the release before")
def same_bytes(context):
    load = EntryLoad(revision=3, in_flight=2, demand=((SERVICE, 1.5),))
    body = {"revision": 3, "in_flight": 2, "demand": [[SERVICE, 1.5]]}
    assert wire.pack(load) == msgpack.packb(["membership.entry_load", body])
    pulse = RosterPulse(digest=7, demand=((SERVICE, (("north-a", 15),)),))
    body = {"digest": 7, "demand": [[SERVICE, [["north-a", 15]]]]}
    assert wire.pack(pulse) == msgpack.packb(["membership.roster_pulse", body])


@then("a receiver of the release before reads load reports and pulses with counts")
def older_reads(context):
    # A field that no release has stands for one that the receiver does not know.
    rows = (ServiceCounts(SERVICE, (UrgencyCounts(0, 1, 0, 0),)),)
    for message in (EntryLoad(counts=rows), RosterPulse(digest=1, counts=rows)):
        kind, body = wire.to_wire(message)
        unknown = {**body, "from_a_later_release": body["counts"]}
        read = wire.unpack(wire.pack_plain([kind, unknown]))
        assert read.ok == message, read


@given("{entries:d} entry instances with 2 services, 4 urgencies and 80 workspaces")
def many_entries(context, entries):
    # The least of several measurements: beside busy processes, one may take longer.
    context.us_per_request = min(measured(context, entries) for _ in range(5))


def measured(context, entries):
    """Count, decide and report requests; return the processor time of each."""
    random = Random(5)
    context.loads = []
    began = time.process_time()
    requests = 0
    for _ in range(entries):
        admission = LevelAdmission(random, services=frozenset({"orders", "catalogue"}))
        for service in ("orders", "catalogue"):
            for _ in range(8):
                requests += 1
                name = f"workspace-{random.randrange(80):03}"
                one = replace(
                    request(random.randrange(4), workspace=name), service=service
                )
                admission.reject(one)
        context.loads.append(EntryLoad(counts=admission.take_counts()))
    return (time.process_time() - began) / requests * 1e6


@then(
    "a load report takes less than {load_bytes:d} bytes and a pulse less than {most:d}"
)
def few_bytes(context, load_bytes, most):
    bare = len(wire.pack(EntryLoad()))
    largest = max(len(wire.pack(load)) for load in context.loads)
    assert largest - bare < load_bytes, largest - bare
    roster = RosterTable()
    for number, load in enumerate(context.loads):
        roster.record_report(report(f"e{number}"), 0.0)
        roster.record_load(f"e{number}", load, 0.0)
    pulse = RosterPulse(digest=1, counts=roster.counts(0.5))
    assert len(wire.pack(pulse)) < most, len(wire.pack(pulse))


@then("counting, deciding and reporting a request takes less than {most:d} us")
def little_time(context, most):
    assert context.us_per_request < most, context.us_per_request


# Played without a network


def add_event(context, **fields):
    scenario = context.load_scenario
    event = EventPlan(**fields)
    context.load_scenario = replace(scenario, events=(*scenario.events, event))


@given("its callers ask for {factor:g} times as much from {at:g} s on")
def more_demand(context, factor, at):
    add_event(context, kind=EventKind.BURST, at=at, for_s=99.0, x=factor)


@given("its callers belong to no workspace")
def no_workspaces(context):
    context.load_scenario = replace(context.load_scenario, workspaces={})


@given("nothing fails")
def no_failure(context):
    pass


@given("control instances are silent from {at:g} s to {end:g} s")
def silent(context, at, end):
    add_event(context, kind=EventKind.SILENCE_SUMS, at=at, for_s=end - at)


@given("sums arrive {late_s:g} s late from {at:g} s to {end:g} s")
def late_sums(context, late_s, at, end):
    add_event(context, kind=EventKind.DELAY_SUMS, at=at, for_s=end - at, x=late_s)


@given('targets of region "{region}" come back cold at {at:g} s')
def come_back_cold(context, region, at):
    for zone in context.load_scenario.regions[region]:
        kind = EventKind.RESTART_TARGETS
        add_event(context, kind=kind, at=at - 3.0, for_s=3.0, zone=zone)


@given('targets of region "{region}" are unreachable from {at:g} s to {end:g} s')
def unreachable(context, region, at, end):
    for zone in context.load_scenario.regions[region]:
        add_event(context, kind=EventKind.CUT_TARGETS, at=at, for_s=end - at, zone=zone)


@when("it is played with admission control")
def played(context):
    context.world = World.from_scenario(context.load_scenario, "admission")
    context.figures = context.world.play()
    context.kinds = by_group(context.figures, lambda ending: ending.kind.name)


def ranked_pairs(context):
    """Return pairs of kinds of one service, the more urgent first."""
    for one, other in itertools.permutations(context.load_scenario.kinds, 2):
        if one.service == other.service and one.priority < other.priority:
            yield context.kinds[one.name], context.kinds[other.name], other.name


@then("no kind is served more often by {bound:g} than a more urgent one of its service")
def served_in_order(context, bound):
    for urgent, other, name in ranked_pairs(context):
        assert other.served <= urgent.served + bound, (name, context.kinds)


@then("no kind is served less than a quarter as often as another of its service")
def none_starved(context):
    for urgent, other, name in ranked_pairs(context):
        assert other.served >= LEAST_SHARE * urgent.served, (name, context.kinds)


@then("no kind has a share of its value above a more urgent one's by {bound:g}")
def value_in_order(context, bound):
    for urgent, other, name in ranked_pairs(context):
        assert other.worth <= urgent.worth + bound, (name, context.kinds)


@then("{part:g} of the rejections come within an eighth of the target latency")
def immediate(context, part):
    for name, shares in context.figures.rejected_after.items():
        assert quantile(sorted(shares), part) <= 1 / 8, (name, len(shares))


@then("no level reverses its direction by more than {swing:g} more than {most:d} times")
def no_swings(context, swing, most):
    series = {}
    for _, levels in context.world.levels:
        for service, fractions in levels.items():
            for urgency in (0, 1, 2):
                held = series.setdefault((service, urgency), [])
                held.append(fractions.get(urgency, 1.0))
    for name, values in series.items():
        assert reversals(values, swing) <= most, (name, values)


def reversals(values, swing):
    """Return how often a series turns round by more than a swing."""
    count, direction, extreme = 0, 0, values[0]
    for value in values:
        if (direction >= 0 and value > extreme) or (direction <= 0 and value < extreme):
            extreme = value
            direction = direction or (1 if value > values[0] else -1)
        elif abs(value - extreme) > swing:
            count += 1
            direction, extreme = -direction, value
    return count


@then(
    "no workspace that asks for less is served less often by {bound:g} than the largest"
)
def fair_workspaces(context, bound):
    groups = by_group(context.figures, lambda ending: ending.workspace)
    largest = groups["large"].served
    for name, group in groups.items():
        assert group.served >= largest - bound, (name, groups)


@then("callers that came back are served as often as new ones, within {bound:g}")
def returns_served(context, bound):
    """Compare with new requests of the same kind and time.

    Most of those that come back are of less urgent kinds and of times of shortage, in
    which new ones are served less often as well.
    """
    served = (Outcome.IN_TIME, Outcome.LATE)
    for kind in context.load_scenario.kinds:
        endings = [e for e in context.figures.endings if e.kind is kind]
        count_by_window = Counter(int(e.asked_at / WINDOW_S) for e in endings)
        at_once = Counter(
            int(e.asked_at / WINDOW_S)
            for e in endings
            if e.returns == 0 and e.outcome in served
        )
        later = [
            e
            for e in endings
            if e.returns > 0 and count_by_window[int(e.tried_at / WINDOW_S)]
        ]
        windows = [int(e.tried_at / WINDOW_S) for e in later]
        new = sum(at_once[w] / count_by_window[w] for w in windows) / len(later)
        returned = sum(e.outcome in served for e in later) / len(later)
        assert returned >= new - bound, (kind.name, returned, new)
