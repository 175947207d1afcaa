"""Parts of a service's requests that leave their availability zone or region.

They follow from what callers ask for and what targets can do, place by place. Work
stays where it arises as long as its place has room; what goes beyond is sent where
room is left, at the cost of the way there. When no place has room, all are loaded
alike.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from mothshunt.core.types import AvailabilityZoneId, RegionId
from mothshunt.placement import const

P = TypeVar("P", AvailabilityZoneId, RegionId)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceLoad:
    """Hold what is asked for at one place and what its targets can do.

    :param demand_per_s: Requests a second that arise there.
    :param capacity_per_s: Requests a second that its targets can run.
    """

    demand_per_s: float
    capacity_per_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Flow(Generic[P]):
    """Say which part of a place's requests leaves it, and where to.

    :param part: Part that leaves.
    :param room_by_place: Requests a second that other places can take.
    """

    part: float
    room_by_place: Mapping[P, float]


def plan_flow(load_by_place: Mapping[P, PlaceLoad], own: P) -> Flow[P]:
    """Return what should leave a place.

    :param load_by_place: All places that may run the requests.
    :param own: The place that is asked for.
    """
    demand = sum(load.demand_per_s for load in load_by_place.values())
    capacity = sum(load.capacity_per_s for load in load_by_place.values())
    if capacity <= 0:
        return Flow(part=0.0, room_by_place={})
    level = max(const.COMFORTABLE_LOAD, demand / capacity)
    room_by_place = {
        place: load.capacity_per_s * level - load.demand_per_s
        for place, load in load_by_place.items()
    }
    present = load_by_place.get(own)
    if present is None or present.demand_per_s <= 0:
        return Flow(part=0.0, room_by_place={})
    excess = max(0.0, -room_by_place[own])
    return Flow(
        part=min(1.0, excess / present.demand_per_s),
        room_by_place={
            place: room
            for place, room in room_by_place.items()
            if place != own and room > 0
        },
    )


@dataclass(slots=True)
class Spill:
    """Move the parts towards what is planned, in steps that callers' objects can take.

    :param max_region_shift: Part of a region's requests that may change region from
        one window to the next.
    :param zone_part: Part that goes to other availability zones of the region.
    :param region_part: Part that goes to other regions.
    :param room_by_region: Weights of the other regions.
    """

    max_region_shift: float
    zone_part: float = 0.0
    region_part: float = 0.0
    room_by_region: Mapping[RegionId, float] = field(default_factory=dict)

    def follow(
        self,
        zone: Flow[AvailabilityZoneId],
        region: Flow[RegionId],
        *,
        has_traffic: bool,
    ) -> None:
        """Move towards what is planned; called once each adjustment interval.

        :param zone: What should leave the own availability zone.
        :param region: What should leave the own region.
        :param has_traffic: Whether requests were sent that could change their place.
        """
        if region.room_by_place or not self.room_by_region:
            self.room_by_region = region.room_by_place
        if not has_traffic:
            self.zone_part, self.region_part = zone.part, region.part
            return
        self.zone_part = _towards(self.zone_part, zone.part, const.ZONE_STEP)
        steps = const.SHIFT_WINDOW_S / const.ADJUST_INTERVAL_S
        step = self.max_region_shift * const.SHIFT_SAFETY / steps
        self.region_part = _towards(self.region_part, region.part, step)


def _towards(present: float, wanted: float, step: float) -> float:
    return present + max(-step, min(step, wanted - present))
