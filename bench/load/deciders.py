"""Ways to choose a target: the product's, and two that it is compared with."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from expression import Error, Ok, Result

from bench.load.limits import EntryLimits
from bench.load.scenario import Scenario
from mothshunt.core.codes import Failure
from mothshunt.core.types import (
    AvailabilityZoneId,
    RegionId,
    ServiceName,
    TargetId,
)
from mothshunt.load_sharing.activity import SharingCondition
from mothshunt.load_sharing.entry_state import EntryLoads
from mothshunt.placement import codes
from mothshunt.placement.admission import LevelAdmission
from mothshunt.placement.even_load import EvenLoad
from mothshunt.placement.model import (
    AttemptOutcome,
    Choice,
    PlacementRequest,
    ReportedLoad,
    RoutableTarget,
)
from mothshunt.placement.state import Placement
from mothshunt.placement.target_load import TargetLoad

Demand = Mapping[ServiceName, Mapping[AvailabilityZoneId, float]]
#: Requests at a target, as a multiple of its slots, at which a simple way gives up.
SIMPLE_LIMIT = 3.0
SIMPLE_RETRY_S = 0.2


class Decider(Protocol):
    """Choose targets for the requests of one entry instance."""

    def follow_limits(self, limits: EntryLimits) -> None:
        """Use what is known of rate limits from now on.

        :param limits: Rate limits of targets.
        """
        ...

    def replace_targets(self, targets: Iterable[RoutableTarget], now: float) -> None:
        """Use these targets from now on.

        :param targets: All targets that live.
        :param now: The present time, in seconds.
        """
        ...

    def choose(self, request: PlacementRequest, now: float) -> Result[Choice, Failure]:
        """Choose a target and take room at it.

        :param request: What is asked for.
        :param now: The present time, in seconds.
        """
        ...

    def finish(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Give room back and learn.

        :param choice: What ``choose`` returned.
        :param outcome: How the attempt ended.
        :param reported: What the target told of its load.
        :param now: The present time, in seconds.
        """
        ...

    def adjust(
        self, demand: Demand, region_by_zone: Mapping[AvailabilityZoneId, RegionId]
    ) -> None:
        """Take what callers ask for, each half second.

        :param demand: Requests a second by service and zone.
        :param region_by_zone: Regions of the zones.
        """
        ...


@dataclass(slots=True)
class ProductDecider:
    """Choose as an entry instance of the product does.

    :param placement: Its deciding state.
    :param admission: Its control of admission; ``None`` where it has none.
    """

    placement: Placement
    admission: LevelAdmission | None = None

    def follow_limits(self, limits: EntryLimits) -> None:
        """Use what is known of rate limits."""
        self.placement.rate_limits = limits

    @classmethod
    def from_scenario(
        cls, scenario: Scenario, zone: AvailabilityZoneId, random: Random
    ) -> "ProductDecider":
        """Build the decider of one entry instance.

        :param scenario: The scenario.
        :param zone: Availability zone of the instance.
        :param random: Source of what it draws.
        """
        return cls(
            Placement(
                zone=zone,
                region=scenario.region_by_zone[zone],
                max_region_shift=scenario.max_region_shift,
                renewal_interval_s=scenario.services[0].renewal_interval_s,
                random=random,
            )
        )

    @classmethod
    def with_admission(
        cls, scenario: Scenario, zone: AvailabilityZoneId, random: Random
    ) -> "ProductDecider":
        """Build the decider of an entry instance that controls admission.

        :param scenario: The scenario.
        :param zone: Availability zone of the instance.
        :param random: Source of what it draws.
        """
        decider = cls.from_scenario(scenario, zone, random)
        decider.admission = LevelAdmission(
            random, services=frozenset(plan.name for plan in scenario.services)
        )
        decider.placement.admission = decider.admission
        return decider

    def replace_targets(self, targets: Iterable[RoutableTarget], now: float) -> None:
        """Use these targets from now on."""
        held = self.placement.load_by_target
        loads = []
        for target in targets:
            load = held.get(target.id)
            if load is None or load.target.incarnation != target.incarnation:
                load = TargetLoad(target=target, renewed_at=now)
            load.record_renewal(target, now, 0.0)
            loads.append(load)
        self.placement.replace_targets(loads, {})
        self.placement.record_newest_renewal(now)

    def choose(self, request: PlacementRequest, now: float) -> Result[Choice, Failure]:
        """Choose a target and take room at it."""
        return self.placement.choose(request, now)

    def finish(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Give room back and learn."""
        self.placement.finish(choice, outcome, reported, now)

    def adjust(
        self, demand: Demand, region_by_zone: Mapping[AvailabilityZoneId, RegionId]
    ) -> None:
        """Take what callers ask for."""
        self.placement.adjust(demand, region_by_zone)


@dataclass(kw_only=True, slots=True)
class EvenDecider(ProductDecider):
    """Choose as an entry instance that shares the loads of targets.

    :param loads: What it tells and is told; used by the world.
    """

    loads: EntryLoads

    @classmethod
    def from_scenario(
        cls, scenario: Scenario, zone: AvailabilityZoneId, random: Random
    ) -> "EvenDecider":
        """Build the decider of one entry instance."""
        placement = ProductDecider.from_scenario(scenario, zone, random).placement
        placement.even_load = EvenLoad(random)
        return cls(placement=placement, loads=EntryLoads(placement.even_load))

    def replace_targets(self, targets: Iterable[RoutableTarget], now: float) -> None:
        """Use these targets from now on."""
        ProductDecider.replace_targets(self, targets, now)
        self.loads.set_targets(
            load.target for load in self.placement.load_by_target.values()
        )
        self.placement.refresh_use(now)

    def finish(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Give room back, learn, and note what is to be told."""
        self.placement.finish(choice, outcome, reported, now)
        if reported is not None:
            self.loads.record_response(choice.target, reported, now)


@dataclass(kw_only=True, slots=True)
class DeployedDecider(EvenDecider):
    """Choose as an entry instance that shares loads only where the product does.

    :param entries: Entry instances of the deployment.
    :param condition: Condition on which loads are shared.
    """

    entries: int
    condition: SharingCondition = field(default_factory=SharingCondition)

    @classmethod
    def from_scenario(
        cls, scenario: Scenario, zone: AvailabilityZoneId, random: Random
    ) -> "DeployedDecider":
        """Build the decider of one entry instance."""
        even = EvenDecider.from_scenario(scenario, zone, random)
        even.placement.even_load = None
        return cls(
            placement=even.placement,
            loads=even.loads,
            entries=len(scenario.entry_zones),
        )

    def replace_targets(self, targets: Iterable[RoutableTarget], now: float) -> None:
        """Use these targets from now on, and share their loads where it is due."""
        is_active = self.placement.even_load is not None
        is_due = self.condition.is_met(self.entries, now, is_active=is_active)
        self.placement.even_load = self.loads.even_load if is_due else None
        EvenDecider.replace_targets(self, targets, now)

    def finish(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Give room back, learn, and note what is to be told."""
        if reported is not None:
            self.condition.record(choice.target.service, reported, now)
        if self.placement.even_load is None:
            self.placement.finish(choice, outcome, reported, now)
        else:
            EvenDecider.finish(self, choice, outcome, reported, now)


@dataclass(slots=True)
class SimpleDecider:
    """Choose by a rank, among the targets of the region where it has any.

    :param region: Region of the entry instance.
    :param rank: The least is chosen.
    """

    region: RegionId
    rank: Callable[[TargetLoad, float], float]
    load_by_target: dict[TargetId, TargetLoad] = field(default_factory=dict)

    def follow_limits(self, limits: EntryLimits) -> None:
        """Take no notice of rate limits."""

    def replace_targets(self, targets: Iterable[RoutableTarget], now: float) -> None:
        """Use these targets from now on."""
        held = self.load_by_target
        self.load_by_target = {
            t.id: held.get(t.id) or TargetLoad(target=t, renewed_at=now)
            for t in targets
        }

    def choose(self, request: PlacementRequest, now: float) -> Result[Choice, Failure]:
        """Choose the target of the least rank that is not over its limit."""
        usable = [
            load
            for load in self.load_by_target.values()
            if load.target.service == request.service
            and load.target.id not in request.excluded
            and load.estimated_requests(now) < load.target.slots * SIMPLE_LIMIT
        ]
        near = [load for load in usable if load.target.region == self.region]
        if not usable:
            return Error(Failure(code=codes.NO_CAPACITY, retry_after_s=SIMPLE_RETRY_S))
        chosen = min(near or usable, key=lambda load: self.rank(load, now))
        return Ok(chosen.reserve(now, "simple", request.affinity_key))

    def finish(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Give room back and learn."""
        load = self.load_by_target.get(choice.target.id)
        if load is not None:
            load.finish(choice, outcome, reported, now)

    def adjust(
        self, demand: Demand, region_by_zone: Mapping[AvailabilityZoneId, RegionId]
    ) -> None:
        """Take no notice of what callers ask for."""


def _random(
    scenario: Scenario, zone: AvailabilityZoneId, random: Random
) -> SimpleDecider:
    return SimpleDecider(scenario.region_by_zone[zone], lambda *_: random.random())


def _least_loaded(
    scenario: Scenario, zone: AvailabilityZoneId, random: Random
) -> SimpleDecider:
    def rank(load: TargetLoad, now: float) -> float:
        return load.estimated_requests(now) / load.target.slots + random.random() * 0.01

    return SimpleDecider(scenario.region_by_zone[zone], rank)


#: Makes the decider of an entry instance in a zone.
DECIDERS: dict[str, Callable[[Scenario, AvailabilityZoneId, Random], Decider]] = {
    "mothshunt": ProductDecider.from_scenario,
    "admission": ProductDecider.with_admission,
    "even": EvenDecider.from_scenario,
    "product": DeployedDecider.from_scenario,
    "least_loaded": _least_loaded,
    "random": _random,
}
