"""Steps on the share of requests that goes to other regions."""

import math
from random import Random

from behave import given, then, when

from mothshunt.placement import const
from mothshunt.placement.spill import (
    RegionLoad,
    Spillover,
    SpilloverPlan,
    plan_spillover,
)

ELSEWHERE_PER_S = 50.0


def loads(demand, own, others):
    return {
        "own": RegionLoad(demand_per_s=demand, capacity_per_s=own),
        "other": RegionLoad(demand_per_s=ELSEWHERE_PER_S, capacity_per_s=others),
    }


@given(
    "{demand:g} requests a second with a capacity of {own:g}, and {others:g} elsewhere"
)
def demand_and_capacity(context, demand, own, others):
    context.plan = plan_spillover(loads(demand, own, others), "own")


@then("{percent:d} percent of them should go to other regions")
def should_spill(context, percent):
    assert abs(context.plan.share * 100 - percent) <= 1, context.plan


@then(
    "{count:d} random sequences of plans never shift more than {limit:g} from one"
    " window to the next"
)
def shift_is_bounded(context, count, limit):
    steps = round(const.SHIFT_WINDOW_S / const.ADJUST_INTERVAL_S)
    worst = 0.0
    for seed in range(count):
        random = Random(seed)
        spillover = Spillover(limit)
        shares = []
        for _ in range(steps * 12):
            plan = SpilloverPlan(
                share=random.choice([0.0, 0.5, 1.0]), spare_by_region={"x": 1.0}
            )
            spillover.adjust(plan, has_traffic=True)
            shares.append(spillover.remote_share)
        for start in range(len(shares) - 2 * steps + 1):
            first = sum(shares[start : start + steps]) / steps
            second = sum(shares[start + steps : start + 2 * steps]) / steps
            assert abs(second - first) <= limit, (first, second)
            worst = max(worst, abs(second - first))
    print(f"worst: {worst:.3f} of {limit}")


@given("a spillover without traffic")
def no_traffic(context):
    context.spillover = Spillover(0.15)


@when("a plan sends {percent:d} percent to other regions")
def plan_sends(context, percent):
    plan = SpilloverPlan(share=percent / 100, spare_by_region={"x": 1.0})
    context.spillover.adjust(plan, has_traffic=False)


@then("{percent:d} percent go to other regions")
def go_to_others(context, percent):
    assert abs(context.spillover.remote_share * 100 - percent) < 1, context.spillover


@given("three regions with 2, 8 and 8 targets and the same mean demand")
def three_regions(context):
    # One region has a quarter of the capacity of the others, at the same mean demand.
    context.capacity = {"a": 80.0, "b": 320.0, "c": 320.0}
    context.spillovers = {region: Spillover(0.15) for region in context.capacity}


@when("demand moves around the regions as a wave for {seconds:d} s")
def wave(context, seconds):
    context.utilizations = []
    steps = int(seconds / const.ADJUST_INTERVAL_S)
    for step in range(steps):
        now = step * const.ADJUST_INTERVAL_S
        demand = {
            region: 90 * (1 + 0.55 * math.sin(2 * math.pi * (now / 36 + number / 3)))
            for number, region in enumerate(context.capacity)
        }
        by_region = {
            region: RegionLoad(demand_per_s=demand[region], capacity_per_s=capacity)
            for region, capacity in context.capacity.items()
        }
        arriving = dict.fromkeys(demand, 0.0)
        for region, spillover in context.spillovers.items():
            spillover.adjust(plan_spillover(by_region, region), has_traffic=step > 0)
            spilled = spillover.remote_share * demand[region]
            arriving[region] += demand[region] - spilled
            spare = spillover.spare_by_region
            for other, other_spare in spare.items():
                arriving[other] += spilled * other_spare / sum(spare.values())
        context.utilizations.append(
            (now, {r: arriving[r] / context.capacity[r] for r in arriving})
        )


@then("after {seconds:d} s no region has a utilization above {most:g}")
def no_region_overloaded(context, seconds, most):
    for now, utilization in context.utilizations:
        if now >= seconds:
            assert max(utilization.values()) <= most, (now, utilization)
