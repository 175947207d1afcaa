"""Spillover: the share of a region's requests that is sent to other regions.

The share is computed from the demand and the capacity of each region. Requests stay in
the region where they arrive as long as its targets have spare capacity. The excess goes
to regions with spare capacity, at the cost of the additional delay. If no region has
any, all regions are loaded to the same utilization.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from mothshunt.core.types import RegionId
from mothshunt.placement import const
from mothshunt.util.hashing import HASH_RANGE, hash_text


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionLoad:
    """Demand and capacity of one region.

    :param demand_per_s: Requests a second that callers send to the region.
    :param capacity_per_s: Requests a second that the region's targets can handle.
    """

    demand_per_s: float
    capacity_per_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SpilloverPlan:
    """Share of a region's requests that should go to other regions, and to which.

    :param share: Share of the requests that should go to other regions.
    :param spare_by_region: Spare capacity of the other regions, in requests a second.
    """

    share: float
    spare_by_region: Mapping[RegionId, float]


def plan_spillover(
    load_by_region: Mapping[RegionId, RegionLoad], own: RegionId
) -> SpilloverPlan:
    """Return the spillover that the loads of all regions call for.

    :param load_by_region: Loads of all regions that may handle the requests.
    :param own: The region to plan for.
    """
    demand = sum(load.demand_per_s for load in load_by_region.values())
    capacity = sum(load.capacity_per_s for load in load_by_region.values())
    if capacity <= 0:
        return SpilloverPlan(share=0.0, spare_by_region={})
    utilization = max(const.SPILLOVER_UTILIZATION, demand / capacity)
    spare_by_region = {
        region: load.capacity_per_s * utilization - load.demand_per_s
        for region, load in load_by_region.items()
    }
    own_load = load_by_region.get(own)
    if own_load is None or own_load.demand_per_s <= 0:
        return SpilloverPlan(share=0.0, spare_by_region={})
    excess = max(0.0, -spare_by_region[own])
    return SpilloverPlan(
        share=min(1.0, excess / own_load.demand_per_s),
        spare_by_region={
            region: spare
            for region, spare in spare_by_region.items()
            if region != own and spare > 0
        },
    )


def choose_region(
    key: str, weight_by_region: Mapping[RegionId, float]
) -> RegionId | None:
    """Return the region for an object by weighted rendezvous hashing.

    Small changes of the weights move few objects to another region.

    :param key: Key of the object.
    :param weight_by_region: Weights of the regions; ``None`` is returned if none is
        above 0.
    """
    best: RegionId | None = None
    best_score = float("-inf")
    for region, weight in weight_by_region.items():
        if weight <= 0:
            continue
        uniform = (hash_text(f"{region}/{key}") + 1) / (HASH_RANGE + 1)
        score = math.log(uniform) / weight
        if best is None or score > best_score:
            best, best_score = region, score
    return best


@dataclass(slots=True)
class Spillover:
    """Spillover of one service, which follows the plan in limited steps.

    :param max_region_shift: Largest share of a region's requests that may change
        region from one window to the next.
    :param remote_share: Share of the requests that goes to other regions at present.
    :param spare_by_region: Spare capacity of the other regions, in requests a second;
        they are chosen in proportion to it.
    """

    max_region_shift: float
    remote_share: float = 0.0
    spare_by_region: Mapping[RegionId, float] = field(default_factory=dict)

    def adjust(self, plan: SpilloverPlan, *, has_traffic: bool) -> None:
        """Move one step towards the plan; called once each adjustment interval.

        :param plan: Spillover that is called for.
        :param has_traffic: Whether requests were sent that a step would move; without
            any the plan takes effect at once.
        """
        if plan.spare_by_region or not self.spare_by_region:
            self.spare_by_region = plan.spare_by_region
        if not has_traffic:
            self.remote_share = plan.share
            return
        steps = const.SHIFT_WINDOW_S / const.ADJUST_INTERVAL_S
        step = self.max_region_shift * const.SHIFT_LIMIT_SHARE / steps
        self.remote_share = _move_towards(self.remote_share, plan.share, step)


def _move_towards(present: float, wanted: float, step: float) -> float:
    return present + max(-step, min(step, wanted - present))
