"""Steps for the even load of targets from figures that are some time old."""

from collections import Counter
from dataclasses import replace
from random import Random

from behave import given, then, when

from bench.load import SCENARIOS
from bench.load.scenario import EventKind, EventPlan, read_scenario
from bench.load.world import World
from mothshunt.placement.even_load import EvenLoad, LoadFigure, moved_shares
from mothshunt.placement.model import AttemptOutcome, ReportedLoad
from mothshunt.placement.target_load import TargetLoad
from tests.support.placement_world import placement, request, target

NOW = 100.0
TOOK_S = 0.3
#: Time of a request without an object, so that 0.67 of the slots are in use.
WORK_MS = 280.0
LATENCY_MS = 450.0


@given(
    "{entries:d} entry instances and {count:d} targets of {slots:d} slots"
    " with shared loads"
)
def shared(context, entries, count, slots):
    targets = [target(number, slots) for number in range(count)]
    context.placements = []
    for number in range(entries):
        built = placement(targets, seed=number)
        built.record_newest_renewal(0.0)
        built.even_load = EvenLoad(Random(number))
        built.even_load.position = (number, entries)
        context.placements.append(built)
    context.targets, context.slots = targets, slots
    context.figures, context.liar = {}, None


def tell(context, now):
    for built in context.placements:
        for name, (requests, slowdown) in context.figures.items():
            built.even_load.record_figure(name, requests, slowdown, now)
        built.refresh_use(now)


@given(
    "{age:g} s ago {count:d} target had {few:d} requests and the others had {many:d}"
)
def old_figures(context, age, count, few, many):
    for number, held in enumerate(context.targets):
        context.figures[held.id] = (few if number < count else many, 1.0)
    tell(context, NOW - age)


@given("one target always reports {requests:d} requests and a slowdown of {slowdown:g}")
def false_load(context, requests, slowdown):
    context.liar = context.targets[7].id
    for held in context.targets:
        context.figures[held.id] = (2, 1.0)
    context.figures[context.liar] = (requests, slowdown)
    tell(context, NOW - 1.0)


@when("each entry instance sends {count:d} requests without an object")
def send(context, count):
    context.sent = Counter({held.id: 0 for held in context.targets})
    for turn in range(count):
        now = NOW + turn * TOOK_S
        choices = []
        for built in context.placements:
            choice = built.choose(request(None, latency_s=2.0, left_s=4.0), now).ok
            context.sent[choice.target.id] += 1
            choices.append((built, choice))
        if context.liar is None:
            continue
        tell(context, now + TOOK_S / 2)
        for built, choice in choices:
            requests, slowdown = context.figures[choice.target.id]
            reported = ReportedLoad(
                running=requests, waiting=0, slots=context.slots, slowdown=slowdown
            )
            outcome = AttemptOutcome.ANSWERED
            built.finish(choice, outcome, reported, now + TOOK_S)


@then("the busiest target has under {bound:g} times the mean")
def busiest(context, bound):
    loads = [context.figures[t.id][0] + context.sent[t.id] for t in context.targets]
    ratio = max(loads) * len(loads) / sum(loads)
    assert ratio < bound, ratio


@then("that target got between {low:g} and {high:g} times the mean")
def liar_share(context, low, high):
    mean = sum(context.sent.values()) / len(context.sent)
    ratio = context.sent[context.liar] / mean
    assert low <= ratio <= high, ratio


@given("a figure of {requests:d} requests with a slowdown of {slowdown:g}")
def figure(context, requests, slowdown):
    context.figure = LoadFigure()
    context.figure.record(requests, slowdown, NOW)


@then(
    "the expected slowdown is {first:g} at once, {second:g} after {some:g} s and"
    " {third:g} after {more:g} s"
)
def slowdown_fades(context, first, second, some, third, more):
    found = [context.figure.slowdown_factor(NOW + age) for age in (0.0, some, more)]
    wanted = (first, second, third)
    assert all(abs(f - w) < 1e-6 for f, w in zip(found, wanted, strict=True)), found


@given("{count:d} targets, of which one has twice the demand of each other one")
def uneven_demand(context, count):
    context.slots_by_target = {f"t-{number}": 3 for number in range(count)}
    context.demand = dict.fromkeys(context.slots_by_target, 1000.0)
    context.demand["t-0"] = 2000.0


@then("only that target gives objects away")
def only_that(context):
    context.shares = moved_shares(context.slots_by_target, context.demand)
    assert set(context.shares) == {"t-0"}, context.shares


@then(
    "its objects that move are what exceeds {bound:g} times the mean, within {slack:g}"
)
def moved_excess(context, bound, slack):
    mean = sum(context.demand.values()) / len(context.demand)
    wanted = 1 - bound * mean / context.demand["t-0"]
    assert abs(context.shares["t-0"] - wanted) <= slack, context.shares


@then("a demand that is {part:g} higher moves at most {most:g} more of its objects")
def moves_few(context, part, most):
    context.demand["t-0"] *= 1 + part
    later = moved_shares(context.slots_by_target, context.demand)
    assert later["t-0"] - context.shares["t-0"] <= most, later


@given("{seconds:g} s of {entries:d} entry instances and {count:d} targets, {objects}")
def emulated(context, seconds, entries, count, objects):
    plan = read_scenario(SCENARIOS / "even-florists.toml")
    plan = replace(plan, seconds=seconds, entries=entries)
    if objects == "without objects":
        plan = replace(
            plan,
            kinds=tuple(
                replace(kind, has_affinity=False, target_latency_ms=LATENCY_MS)
                for kind in plan.kinds
            ),
            services=tuple(replace(s, unknown_ms=WORK_MS) for s in plan.services),
        )
    assert all(service.targets == count for service in plan.services)
    context.plan, context.prepare = plan, lambda world: None


@given("nothing else happens")
def nothing(context):
    pass


@given("forwarded figures are {seconds:g} s late")
def late(context, seconds):
    def prepare(world):
        world.sharing.extra_delay_s = seconds

    context.prepare = prepare


@given("a control instance is lost after {seconds:g} s")
def lost(context, seconds):
    def prepare(world):
        control = next(iter(world.sharing.zone_by_control))
        world.after(seconds, lambda: world.sharing.lost_controls.add(control))

    context.prepare = prepare


@given("machines are slow in turn")
def slow_in_turn(context):
    plan = context.plan
    event = EventPlan(
        kind=EventKind.FLICKER, at=0.0, for_s=plan.seconds, x=2.5, share=0.15
    )
    services = tuple(replace(s, reports_slowdown=True) for s in plan.services)
    context.plan = replace(plan, events=(event,), services=services)


def play(context, decider):
    world = World.from_scenario(context.plan, decider)
    context.prepare(world)
    return world.play()


@then("over the run the busiest target has under {bound:g} times the mean")
def run_ratio(context, bound):
    ratio = play(context, "even").spread.run_ratio()
    assert ratio < bound, ratio


@then("the worth with shared loads is at least that without")
def worth(context):
    context.even, context.own = play(context, "even"), play(context, "mothshunt")
    worths = context.even.worth(), context.own.worth()
    assert worths[0] >= worths[1], worths


@then("the busiest target is less busy with shared loads than without")
def less_busy(context):
    ratios = [f.spread.run_ratio() for f in (context.even, context.own)]
    assert ratios[0] < ratios[1], ratios


def part_counts():
    for count in range(3, 101, 7):
        loads = [TargetLoad(target=target(n, 3), renewed_at=0.0) for n in range(count)]
        for entries in range(1, 101, 3):
            found = Counter({load.target.id: 0 for load in loads})
            for number in range(entries):
                even_load = EvenLoad(Random(1))
                even_load.position = (number, entries)
                found.update(load.target.id for load in even_load.own_part(loads))
            yield entries, count, found.values()


@then("for 1 to 100 entry instances and 3 to 100 targets no target is left out")
def none_left_out(context):
    context.part_counts = list(part_counts())
    for entries, count, found in context.part_counts:
        assert min(found) > 0, (entries, count, found)


@then("each is in the parts of at most {most:d} instance more than any other")
def equally_many(context, most):
    for entries, count, found in context.part_counts:
        assert max(found) - min(found) <= most, (entries, count, found)
