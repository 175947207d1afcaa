"""Targets of one service, and what a request can expect of them."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from mothshunt.core.types import AvailabilityZoneId, RegionId
from mothshunt.placement import const
from mothshunt.placement.model import Choice
from mothshunt.placement.service_time import ServiceTime
from mothshunt.placement.spill import PlaceLoad, Spill
from mothshunt.placement.spread import Spread
from mothshunt.placement.target_load import TargetLoad

RegionByZone = Mapping[AvailabilityZoneId, RegionId]


class Ring(Enum):
    """Distance of a target from this instance."""

    REGION = "region"
    BEYOND = "beyond"
    #: The whole deployment.
    ALL = "all"


@dataclass(slots=True, eq=False)
class Estimate:
    """Hold what a request can expect of a target.

    :param load: The target.
    :param queued_part: Requests that would wait there, as a part of its slots.
    :param is_known: Whether the target handled the object before.
    :param expected_s: Time that a usual target takes for the request, in seconds.
    :param total_s: Time to the answer, in seconds.
    :param usual_s: The same of a target that doesn't know the object.
    :param reason: Distance and rank of the target.
    """

    load: TargetLoad
    queued_part: float
    is_known: bool
    expected_s: float
    total_s: float
    usual_s: float
    reason: str = ""

    def is_better_than(self, higher: "Estimate") -> bool:
        """Tell whether this target is to be chosen before one that ranks higher.

        One that does not know the object takes longer and gives up another object for
        it. Where many are busy, that makes all of them busier.

        :param higher: What can be expected of the other one.
        """
        if self.total_s >= higher.total_s * const.LOWER_RANK_GAIN:
            return False
        is_free = self.queued_part == 0.0
        return self.is_known or (is_free and higher.queued_part > const.CROWDED_PART)


@dataclass(slots=True)
class Tally:
    """Count what was chosen for a service.

    :param chosen: Requests that got a target.
    :param known: Those whose target handled the object before.
    :param refused: Requests that got none for want of room.
    :param count_by_reason: Chosen targets by distance and rank.
    """

    chosen: int = 0
    known: int = 0
    refused: int = 0
    count_by_reason: dict[str, int] = field(default_factory=dict)

    def count(self, choice: Choice) -> None:
        """Count a choice.

        :param choice: The choice.
        """
        self.chosen += 1
        self.known += choice.is_known
        held = self.count_by_reason.get(choice.reason, 0)
        self.count_by_reason[choice.reason] = held + 1


@dataclass(slots=True, eq=False)
class ServiceTargets:
    """Hold the targets of one service, by their distance.

    :param in_region: In the region of this instance.
    :param beyond: In other regions.
    :param spread: Objects that have one target in the whole deployment.
    :param spill: Part of the others that leaves the region.
    :param times: How long the targets take.
    :param tally: What was chosen since the last report.
    """

    spread: Spread
    spill: Spill
    times: ServiceTime
    tally: Tally
    in_region: list[TargetLoad] = field(default_factory=list)
    beyond: list[TargetLoad] = field(default_factory=list)

    def all_targets(self) -> Iterator[TargetLoad]:
        """Return all targets."""
        yield from self.in_region
        yield from self.beyond

    def loads_by_ring(self) -> dict[Ring, list[TargetLoad]]:
        """Return the targets by their distance."""
        return {
            Ring.REGION: self.in_region,
            Ring.BEYOND: self.beyond,
            Ring.ALL: [*self.in_region, *self.beyond],
        }


def load_by_region(
    targets: ServiceTargets,
    demand_by_zone: Mapping[AvailabilityZoneId, float],
    region_by_zone: RegionByZone,
) -> dict[RegionId, PlaceLoad]:
    """Return what callers ask of a service and what its targets can do, by region.

    :param targets: The targets.
    :param demand_by_zone: Requests a second, by availability zone.
    :param region_by_zone: Regions of the availability zones.
    """
    usual_s = targets.times.mean_s or 1.0
    capacity_by_region: dict[RegionId, float] = {}
    for load in targets.all_targets():
        per_s = load.target.slots / (usual_s * load.slowness)
        region = load.target.region
        capacity_by_region[region] = capacity_by_region.get(region, 0.0) + per_s
    if not any(demand_by_zone.values()):
        # Until callers come, they are expected everywhere alike.
        expected_per_s = sum(capacity_by_region.values()) * const.COMFORTABLE_LOAD
        demand_by_zone = dict.fromkeys(
            region_by_zone, expected_per_s / max(1, len(region_by_zone))
        )
    demand_by_region: dict[RegionId, float] = {}
    for zone, per_s in demand_by_zone.items():
        found = region_by_zone.get(zone)
        if found is not None:
            demand_by_region[found] = demand_by_region.get(found, 0.0) + per_s
    return {
        region: PlaceLoad(
            demand_per_s=demand_by_region.get(region, 0.0),
            capacity_per_s=capacity_by_region.get(region, 0.0),
        )
        for region in {*capacity_by_region, *demand_by_region}
    }
