"""Part of a service's requests that leaves its region.

It follows from what callers ask for and what targets can do, region by region. Work
stays where it arises as long as its region has room; what goes beyond is sent where
room is left, at the cost of the way there. When no region has room, all are loaded
alike.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from mothshunt.core.types import RegionId
from mothshunt.placement import const
from mothshunt.util.hashing import HASH_RANGE, hash_text


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceLoad:
    """Hold what is asked for in one region and what its targets can do.

    :param demand_per_s: Requests a second that arise there.
    :param capacity_per_s: Requests a second that its targets can run.
    """

    demand_per_s: float
    capacity_per_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Flow:
    """Say which part of a region's requests leaves it, and where to.

    :param part: Part that leaves.
    :param room_by_region: Requests a second that other regions can take.
    """

    part: float
    room_by_region: Mapping[RegionId, float]


def plan_flow(load_by_region: Mapping[RegionId, PlaceLoad], own: RegionId) -> Flow:
    """Return what should leave a region.

    :param load_by_region: All regions that may run the requests.
    :param own: The region that is asked for.
    """
    demand = sum(load.demand_per_s for load in load_by_region.values())
    capacity = sum(load.capacity_per_s for load in load_by_region.values())
    if capacity <= 0:
        return Flow(part=0.0, room_by_region={})
    level = max(const.COMFORTABLE_LOAD, demand / capacity)
    room_by_region = {
        region: load.capacity_per_s * level - load.demand_per_s
        for region, load in load_by_region.items()
    }
    present = load_by_region.get(own)
    if present is None or present.demand_per_s <= 0:
        return Flow(part=0.0, room_by_region={})
    excess = max(0.0, -room_by_region[own])
    return Flow(
        part=min(1.0, excess / present.demand_per_s),
        room_by_region={
            region: room
            for region, room in room_by_region.items()
            if region != own and room > 0
        },
    )


def choose_region(
    key: str, weight_by_region: Mapping[RegionId, float]
) -> RegionId | None:
    """Return the region of an object by weighted rendezvous hashing.

    An object stays where it is while the weights change little.

    :param key: The object.
    :param weight_by_region: Weights of the regions; ``None`` is returned where all
        are 0.
    """
    best: RegionId | None = None
    best_score = float("-inf")
    for region, weight in weight_by_region.items():
        if weight <= 0:
            continue
        chance = (hash_text(f"{region}/{key}") + 1) / (HASH_RANGE + 1)
        score = math.log(chance) / weight
        if best is None or score > best_score:
            best, best_score = region, score
    return best


@dataclass(slots=True)
class Spill:
    """Move the part towards what is planned, in steps that are allowed.

    :param max_region_shift: Part of a region's requests that may change region from
        one window to the next.
    :param region_part: Part that goes to other regions.
    :param room_by_region: Weights of the other regions.
    """

    max_region_shift: float
    region_part: float = 0.0
    room_by_region: Mapping[RegionId, float] = field(default_factory=dict)

    def follow(self, flow: Flow, *, has_traffic: bool) -> None:
        """Move towards what is planned; called once each adjustment interval.

        :param flow: What should leave the own region.
        :param has_traffic: Whether requests were sent that could change their place.
        """
        if flow.room_by_region or not self.room_by_region:
            self.room_by_region = flow.room_by_region
        if not has_traffic:
            self.region_part = flow.part
            return
        steps = const.SHIFT_WINDOW_S / const.ADJUST_INTERVAL_S
        step = self.max_region_shift * const.SHIFT_SAFETY / steps
        self.region_part = _towards(self.region_part, flow.part, step)


def _towards(present: float, wanted: float, step: float) -> float:
    return present + max(-step, min(step, wanted - present))
