"""Steps for the parts that leave their zone or region."""

import math
from random import Random

from behave import given, then, when

from mothshunt.placement import const
from mothshunt.placement.spill import Flow, PlaceLoad, Spill, plan_flow

ELSEWHERE_PER_S = 50.0


def loads(demand, own, others):
    return {
        "own": PlaceLoad(demand_per_s=demand, capacity_per_s=own),
        "other": PlaceLoad(demand_per_s=ELSEWHERE_PER_S, capacity_per_s=others),
    }


@given(
    "{demand:g} requests a second where {own:g} can be run, and {others:g} elsewhere"
)
def demand_and_capacity(context, demand, own, others):
    context.flow = plan_flow(loads(demand, own, others), "own")


@then("{part:d} percent of them should leave")
def should_leave(context, part):
    assert abs(context.flow.part * 100 - part) <= 1, context.flow


@then(
    "{count:d} random plans never shift more than {limit:g} from one window to the next"
)
def shift_is_bounded(context, count, limit):
    steps = round(const.SHIFT_WINDOW_S / const.ADJUST_INTERVAL_S)
    worst = 0.0
    for seed in range(count):
        random = Random(seed)
        spill = Spill(limit)
        parts = []
        for _ in range(steps * 12):
            wanted = Flow(
                part=random.choice([0.0, 0.5, 1.0]), room_by_region={"x": 1.0}
            )
            spill.follow(wanted, has_traffic=True)
            parts.append(spill.region_part)
        for start in range(len(parts) - 2 * steps + 1):
            first = sum(parts[start : start + steps]) / steps
            second = sum(parts[start + steps : start + 2 * steps]) / steps
            assert abs(second - first) <= limit, (first, second)
            worst = max(worst, abs(second - first))
    print(f"worst: {worst:.3f} of {limit}")


@given("a spill without traffic")
def no_traffic(context):
    context.spill = Spill(0.15)


@when("a plan sends {part:d} percent to other regions")
def plan_sends(context, part):
    wanted = Flow(part=part / 100, room_by_region={"x": 1.0})
    context.spill.follow(wanted, has_traffic=False)


@then("{part:d} percent go to other regions")
def go_to_others(context, part):
    assert abs(context.spill.region_part * 100 - part) < 1, context.spill


@given("three regions with 2, 8 and 8 targets and callers alike")
def three_regions(context):
    # Capacity and demand of the pattern: one region with few targets, callers alike.
    context.capacity = {"a": 80.0, "b": 320.0, "c": 320.0}
    context.spills = {region: Spill(0.15) for region in context.capacity}


@when("callers come in a wave for {seconds:d} s")
def wave(context, seconds):
    context.loads = []
    steps = int(seconds / const.ADJUST_INTERVAL_S)
    for step in range(steps):
        now = step * const.ADJUST_INTERVAL_S
        demand = {
            region: 90 * (1 + 0.55 * math.sin(2 * math.pi * (now / 36 + number / 3)))
            for number, region in enumerate(context.capacity)
        }
        by_region = {
            region: PlaceLoad(demand_per_s=demand[region], capacity_per_s=capacity)
            for region, capacity in context.capacity.items()
        }
        arriving = dict.fromkeys(demand, 0.0)
        for region, spill in context.spills.items():
            spill.follow(plan_flow(by_region, region), has_traffic=step > 0)
            leaves = spill.region_part * demand[region]
            arriving[region] += demand[region] - leaves
            rooms = spill.room_by_region
            for other, room in rooms.items():
                arriving[other] += leaves * room / sum(rooms.values())
        context.loads.append(
            (now, {r: arriving[r] / context.capacity[r] for r in arriving})
        )


@then("after {seconds:d} s no region is loaded above {most:g}")
def no_region_overloaded(context, seconds, most):
    for now, load in context.loads:
        if now >= seconds:
            assert max(load.values()) <= most, (now, load)
