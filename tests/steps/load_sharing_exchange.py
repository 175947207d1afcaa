"""Steps for the exchange of the loads of targets between instances."""

import math
import time
from random import Random

from behave import given, then, when
from expression import Result
from hypothesis import given as property_given
from hypothesis import settings
from hypothesis import strategies as st

from mothshunt.configuration.model import Configuration
from mothshunt.core.types import InstanceState
from mothshunt.load_sharing import const
from mothshunt.load_sharing.coordinator import LoadSharer
from mothshunt.load_sharing.entry_state import EntryLoads
from mothshunt.load_sharing.messages import (
    DemandRow,
    LoadNews,
    LoadRow,
    LoadsObserved,
    target_key,
)
from mothshunt.load_sharing.state import LoadBoard
from mothshunt.membership.roster_messages import EntryReport, EntryRow, RosterRows
from mothshunt.membership.roster_view import RosterView
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.even_load import EvenLoad
from mothshunt.placement.model import ReportedLoad
from mothshunt.routing.model import RoutingTable, Workspace
from mothshunt.util import wire
from tests.support.placement_world import placement, target
from tests.support.recording_network import ManualClock, RecordingNetwork

NOW = 100.0
CONTROL_INSTANCES, PRIMARIES = 5, 2
LINK_BITS_PER_S, CORES = 2_000_000, 0.43


def entry_loads(targets):
    loads = EntryLoads(EvenLoad(Random(1)))
    loads.set_targets(targets)
    return loads


def load(requests, slots, slowdown=1.0):
    running = min(requests, slots)
    return ReportedLoad(
        running=running, waiting=requests - running, slots=slots, slowdown=slowdown
    )


@given("{count:d} entry instances that share loads")
def entries(context, count):
    context.targets = [target(0, 3)]
    context.entries = [entry_loads(context.targets) for _ in range(count)]
    context.board, context.now = LoadBoard(), NOW


@when(
    "the {rank} learns of {requests:d} requests at a target of {slots:d} slots"
    " with a slowdown of {slowdown:g}"
)
def learns(context, rank, requests, slots, slowdown):
    loads = context.entries[["first", "second"].index(rank)]
    loads.record_response(context.targets[0], load(requests, slots, slowdown), NOW)
    loads.even_load.record_figure(context.targets[0].id, requests, slowdown, NOW)


@when(
    "the first learns {times:d} times of {requests:d} requests at a target"
    " of {slots:d} slots"
)
def learns_often(context, times, requests, slots):
    loads = context.entries[0]
    context.told = 0
    for number in range(times):
        now = NOW + number
        loads.record_response(context.targets[0], load(requests, slots), now)
        message = loads.take_message(now)
        context.told += len(message.loads) if message else 0


@then("it told one figure in all")
def told_once(context):
    assert context.told == 1, context.told


@when("{seconds:g} s passes until it is told and forwarded")
def forwarded(context, seconds):
    first, *others = context.entries
    # The clocks of the instances differ: only ages are sent.
    observed = first.take_message(NOW + seconds / 2)
    context.board.record(observed, 5000.0)
    news = context.board.take_news(5000.0 + seconds / 2)
    for loads in others:
        loads.apply("c1", news, 70.0)


def figures(context, loads):
    return loads.even_load.figure_by_target[context.targets[0].id]


@then("the others know of {requests:d} requests there, observed {age:g} s ago")
def others_know(context, requests, age):
    for loads in context.entries[1:]:
        found = figures(context, loads)
        assert found.requests == requests, found
        assert abs(70.0 - found.observed_at - age) < 0.002, found


@when("a figure of {requests:d} requests that is {age:g} s old is forwarded")
def old_forwarded(context, requests, age):
    key = target_key(context.targets[0].id)
    news = LoadNews(loads=(LoadRow(key, requests, 100, round(age * 1000)),))
    context.entries[1].apply("c1", news, NOW + 0.1)


@then("the second knows of {requests:d} requests there")
def second_knows(context, requests):
    assert figures(context, context.entries[1]).requests == requests


@given(
    "{count:d} entry instances that get {per_s:d} responses a second"
    " of {number:d} targets"
)
def busy(context, count, per_s, number):
    """Play 10 s; count what the first entry instance sends, gets and computes."""
    random, seconds = Random(1), 10
    targets = [target(index, 3) for index in range(number)]
    all_loads = [entry_loads(targets) for _ in range(count)]
    boards = [LoadBoard() for _ in range(CONTROL_INSTANCES)]
    context.sent = context.received = context.bits = 0
    context.processor_s, context.seconds = 0.0, seconds
    at, now = 0.0, NOW
    while now < NOW + seconds:
        now += const.SHARE_INTERVAL_S
        for _ in range(round(per_s * const.SHARE_INTERVAL_S)):
            at = now - random.random() * const.SHARE_INTERVAL_S
            index, held = random.randrange(count), random.choice(targets)
            began = time.process_time()
            all_loads[index].even_load.count_first(held.id)
            all_loads[index].record_response(held, load(random.randrange(6), 3), at)
            context.processor_s += (time.process_time() - began) * (index == 0)
        for index, loads in enumerate(all_loads):
            began = time.process_time()
            message = loads.take_message(now)
            packed = wire.pack(message) if message else b""
            if index == 0 and message:
                context.processor_s += time.process_time() - began
                context.sent += 1
                context.bits += 8 * len(packed) * CONTROL_INSTANCES
            for board in boards:
                if message:
                    board.record(message, now)
        for board in boards[:PRIMARIES]:
            news = board.take_news(now)
            if news is None:
                continue
            packed = wire.pack(news)
            context.bits += 8 * len(packed)
            context.received += 1
            began = time.process_time()
            all_loads[0].apply("c1", wire.unpack(packed).ok, now)
            context.processor_s += time.process_time() - began


@then(
    "an entry instance sends each control instance at most {most:d} messages a second"
)
def sends_few(context, most):
    assert 0 < context.sent <= most * context.seconds, context.sent


@then(
    "an entry instance gets at most {most:d} messages a second of each of its"
    " {primaries:d} primaries"
)
def gets_few(context, most, primaries):
    limit = most * primaries * context.seconds
    assert 0 < context.received <= limit, context.received


@then("they take at most {part:d} of 100 of a link of 2 Mbit/s")
def few_bits(context, part):
    found = context.bits / context.seconds / LINK_BITS_PER_S
    assert found <= part / 100, found


@then("they take at most {part:d} of 100 of the processor time of 0.43 cores")
def little_time(context, part):
    found = context.processor_s / context.seconds / CORES
    assert found <= part / 100, found


@given("an entry instance that learned of {count:d} targets at once")
def burst(context, count):
    targets = [target(number, 3) for number in range(count)]
    context.loads = entry_loads(targets)
    for held in targets:
        context.loads.record_response(held, load(5, 3), NOW)


@then("its next messages have {sizes} figures")
def message_sizes(context, sizes):
    wanted = [int(size) for size in sizes.replace(" and", ",").split(",")]
    found = []
    while (message := context.loads.take_message(NOW + 0.5)) is not None:
        found.append(len(message.loads))
    assert found == wanted, found


NUMBERS = st.one_of(
    st.integers(-(2**40), 2**64 - 1), st.floats(), st.none(), st.text(max_size=3)
)
KNOWN = [target_key(target(number, 3).id) for number in range(3)]
ROWS = st.lists(
    st.lists(st.one_of(st.sampled_from(KNOWN), NUMBERS), min_size=1, max_size=5),
    max_size=4,
)


@then(
    "a message with any values is refused with code 1104 or leaves all figures finite"
)
def any_values(context):
    @settings(max_examples=500, deadline=None, derandomize=True)
    @property_given(ROWS, ROWS, st.sampled_from(["observed", "news"]))
    def check(loads, demand, kind):
        document = [f"load_sharing.{kind}", {"loads": loads, "demand": demand}]
        match wire.from_wire(document):
            case Result(tag="error", error=failure):
                assert failure.code.number == 1104, failure
                return
            case Result(ok=message):
                pass
        told = entry_loads([target(number, 3) for number in range(3)])
        if isinstance(message, LoadsObserved):
            board = LoadBoard()
            board.record(message, NOW)
            message = board.take_news(NOW)
        if message is not None:
            told.apply("c1", wire.unpack(wire.pack(message)).ok, NOW)
        for figure in told.even_load.figure_by_target.values():
            estimated = figure.estimated_requests(2.0, 0.3, NOW + 1)
            assert 0 <= estimated < math.inf, figure
            assert 1.0 <= figure.slowdown_factor(NOW) <= 3.0, figure
        for share in told.even_load.moved_share_by_target.values():
            assert 0.0 <= share <= 1.0, share

    check()


@given(
    "an entry instance of {entries:d}, whose settings {verb} it,"
    " with {count:d} workspaces"
)
def sharer(context, entries, verb, count):
    context.network = RecordingNetwork()
    context.targets = [target(0, 3)]
    context.placement = placement(context.targets)
    report = EntryReport(
        instance="e1",
        region="north",
        availability_zone="north-a",
        host="10.0.0.1",
        port=1,
        state=InstanceState.READY,
    )
    roster = RosterView(report)
    others = tuple(
        EntryRow(f"e{number}", "north", "north-a", "10.0.0.1", 1, True)
        for number in range(2, entries + 1)
    )
    roster.apply_rows("c1", RosterRows(rows=others, is_whole=True), NOW)
    context.sharer = LoadSharer(
        network=context.network,
        controls=lambda: ("c1",),
        placement=context.placement,
        roster=roster,
        clock=ManualClock(),
        metrics=Metrics(),
        is_permitted=verb == "permit",
    )
    workspaces = {
        f"w{number}": Workspace(
            name=f"w{number}",
            key_digests=(),
            requests_per_s=0,
            burst=0,
            priority=None,
            home_regions=(),
            document="",
        )
        for number in range(count)
    }
    table = RoutingTable(workspace_by_name=workspaces)
    context.sharer.on_configuration(Configuration(revision=1, routing=table))


@when("it learns of a target with a slowdown of {slowdown:g}")
def learns_slowdown(context, slowdown):
    for _ in range(3):
        reported = load(4, 3, slowdown)
        context.sharer.record_response(context.targets[0], reported)
        context.sharer.refresh()
        context.sharer.share()


@then("it shares no loads")
def shares_none(context):
    assert context.network.posted_by_peer == {}
    assert context.placement.even_load is None


@then("it shares loads only")
def shares_loads(context):
    assert context.placement.even_load is not None
    # No health check and no other question: only what responses told.
    kinds = {type(m) for m in context.network.posted_by_peer["c1"]}
    assert kinds == {LoadsObserved}, kinds


@given('targets with a demand of "{one}" in one region and "{other}" in another')
def regional_demand(context, one, other):
    regions = (("north", one), ("south", other))
    context.demand_by_target = {
        target(number, 3, f"{region}-a", region): float(count)
        for region, counts in regions
        for number, count in enumerate(counts.split(", "))
    }


@when("the objects of the service are {kind}")
def objects_of_kind(context, kind):
    loads = EntryLoads(EvenLoad(Random(1)), is_regional=lambda _: kind == "regional")
    demand_by_target = context.demand_by_target
    loads.set_targets(demand_by_target)
    rows = tuple(
        DemandRow(target_key(found.id), round(count * 10))
        for found, count in demand_by_target.items()
    )
    loads.apply("c1", LoadNews(loads=(), demand=rows), 1.0)
    shares = loads.even_load.moved_share_by_target
    context.moved = [shares.get(found.id, 0.0) for found in demand_by_target]


@then('"{shares}" of the objects of each target move')
def objects_moved(context, shares):
    found = ", ".join(f"{share:.3f}" for share in context.moved)
    assert found == shares, found
