"""Targets of one service, and estimates of their response times."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from mothshunt.core.types import AvailabilityZoneId, RegionId
from mothshunt.placement import const
from mothshunt.placement.model import Choice, RateLimitView, ReportedLoad
from mothshunt.placement.service_time import ServiceTime
from mothshunt.placement.spill import RegionLoad, Spillover
from mothshunt.placement.spread import GlobalAffinity
from mothshunt.placement.target_load import TargetLoad
from mothshunt.placement.tolerance import RemoteTolerance

RegionByZone = Mapping[AvailabilityZoneId, RegionId]


class Scope(Enum):
    """Regions that the candidate targets of a request are taken from."""

    #: The region of this instance.
    REGION = "region"
    OTHER_REGIONS = "beyond"
    #: All regions of the deployment.
    ALL = "all"


@dataclass(slots=True, eq=False)
class Estimate:
    """Estimate of how soon a target would respond to a request.

    :param load: The target.
    :param queue_factor: Queue length with this request, as a multiple of the slots.
    :param is_known: Whether the target knows the object.
    :param expected_s: Expected service time of an average target, in seconds.
    :param total_s: Expected time to the response, queueing included, in seconds.
    :param unknown_object_s: The same if the target does not know the object.
    :param reason: Scope and rank of the target, for the logs.
    """

    load: TargetLoad
    queue_factor: float
    is_known: bool
    expected_s: float
    total_s: float
    unknown_object_s: float
    reason: str = ""

    def is_preferred_over(self, higher: "Estimate") -> bool:
        """Whether this target is preferred over one that ranks higher.

        A target that does not know the object takes longer and drops another object for
        it. If many targets are busy, that makes all of them busier.

        :param higher: Estimate for the target that ranks higher.
        """
        if self.total_s >= higher.total_s * const.LOWER_RANK_TIME_FACTOR:
            return False
        has_no_queue = self.queue_factor == 0.0
        return self.is_known or (
            has_no_queue and higher.queue_factor > const.CROWDED_QUEUE_FACTOR
        )


@dataclass(slots=True)
class ChoiceCounters:
    """Counters of the choices for a service.

    :param chosen: Requests for which a target was chosen.
    :param known: Those whose target knew the object.
    :param refused: Requests that were refused because all targets were too busy.
    :param count_by_reason: Choices by scope and rank of the target.
    :param reports: Responses that reported the load of their target.
    :param expected_requests: Sum of the requests that were expected at these targets.
    :param reported_requests: Sum of the requests that they reported.
    """

    chosen: int = 0
    known: int = 0
    refused: int = 0
    count_by_reason: dict[str, int] = field(default_factory=dict)
    reports: int = 0
    expected_requests: float = 0.0
    reported_requests: float = 0.0

    def count(self, choice: Choice) -> None:
        """Count a choice.

        :param choice: The choice.
        """
        self.chosen += 1
        self.known += choice.is_known
        held = self.count_by_reason.get(choice.reason, 0)
        self.count_by_reason[choice.reason] = held + 1

    def count_report(self, choice: Choice, reported: ReportedLoad) -> None:
        """Count a load that a target reported, beside the one that was expected.

        :param choice: The choice that the target responded to.
        :param reported: The load.
        """
        self.reports += 1
        self.expected_requests += choice.load
        self.reported_requests += reported.running + reported.waiting


@dataclass(slots=True, eq=False)
class ServiceTargets:
    """Targets of one service, in this region and in others, with shared statistics.

    :param local: Targets in the region of this instance.
    :param remote: Targets in other regions.
    :param global_affinity: Share of the objects that have one target in the whole
        deployment.
    :param spillover: Share of the other requests that goes to other regions.
    :param service_time: Service times of the targets.
    :param counters: Choices since the last report.
    :param tolerance: Share of the requests that are in time in other regions too.
    """

    global_affinity: GlobalAffinity
    spillover: Spillover
    service_time: ServiceTime
    counters: ChoiceCounters
    tolerance: RemoteTolerance = field(default_factory=RemoteTolerance)
    local: list[TargetLoad] = field(default_factory=list)
    remote: list[TargetLoad] = field(default_factory=list)

    def all_targets(self) -> Iterator[TargetLoad]:
        """Return the targets of all regions, those of this region first."""
        yield from self.local
        yield from self.remote

    def loads_by_scope(self) -> dict[Scope, list[TargetLoad]]:
        """Return the targets of each scope."""
        return {
            Scope.REGION: self.local,
            Scope.OTHER_REGIONS: self.remote,
            Scope.ALL: [*self.local, *self.remote],
        }


def load_by_region(
    targets: ServiceTargets,
    demand_by_zone: Mapping[AvailabilityZoneId, float],
    region_by_zone: RegionByZone,
    rate_limits: RateLimitView,
) -> dict[RegionId, RegionLoad]:
    """Return the demand for a service and the capacity of its targets, by region.

    :param targets: Targets of the service.
    :param demand_by_zone: Requests a second, by availability zone.
    :param region_by_zone: Regions of the availability zones.
    :param rate_limits: Rate limits that targets name.
    """
    mean_s = targets.service_time.mean_s or 1.0
    capacity_by_region: dict[RegionId, float] = {}
    for load in targets.all_targets():
        per_s = load.target.slots / (mean_s * load.slowness)
        limit_per_s = rate_limits.limit_per_s(load.target)
        if limit_per_s is not None:
            per_s = min(per_s, limit_per_s)
        region = load.target.region
        capacity_by_region[region] = capacity_by_region.get(region, 0.0) + per_s
    if not any(demand_by_zone.values()):
        # Before the first requests, assume the same demand in each availability zone.
        expected_per_s = sum(capacity_by_region.values()) * const.SPILLOVER_UTILIZATION
        demand_by_zone = dict.fromkeys(
            region_by_zone, expected_per_s / max(1, len(region_by_zone))
        )
    demand_by_region: dict[RegionId, float] = {}
    for zone, per_s in demand_by_zone.items():
        found = region_by_zone.get(zone)
        if found is not None:
            demand_by_region[found] = demand_by_region.get(found, 0.0) + per_s
    return {
        region: RegionLoad(
            demand_per_s=demand_by_region.get(region, 0.0),
            capacity_per_s=capacity_by_region.get(region, 0.0),
        )
        for region in {*capacity_by_region, *demand_by_region}
    }
