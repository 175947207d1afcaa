"""Scenarios of load, read from a TOML file."""

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from pathlib import Path
from typing import Annotated

from expression import Result
from pydantic import ConfigDict, Field

from mothshunt.core.types import (
    AvailabilityZoneId,
    RegionId,
    ServiceName,
    WorkspaceName,
)
from mothshunt.util import schema

_STRICT = ConfigDict(extra="forbid")

Positive = Annotated[float, Field(gt=0)]
Part = Annotated[float, Field(ge=0, le=1)]


class BadScenarioError(ValueError):
    """Tell every fault of a scenario file with its place."""


class EventKind(Enum):
    """What may happen in a scenario."""

    #: ``x`` times the callers of a zone, or of all.
    BURST = "burst"
    #: A part of the callers of a zone moves to another.
    SHIFT = "shift"
    #: Targets turn away a part ``x`` of what they get, at random.
    SHED = "shed"
    #: Targets take ``x`` times as long.
    SLOW = "slow"
    #: The machines of a part of the targets are ``x`` times as slow, each time others.
    FLICKER = "flicker"
    #: Targets name a rate limit of ``x`` requests a second.
    LIMIT = "limit"
    #: Targets are gone, and come back without any memory.
    RESTART_TARGETS = "restart_targets"
    #: Entry instances are gone, and come back knowing nothing.
    RESTART_ENTRIES = "restart_entries"
    #: Targets of a zone accept no connections, and keep what they know.
    CUT_TARGETS = "cut_targets"
    #: Control instances pass on no sums of what callers ask for.
    SILENCE_SUMS = "silence_sums"
    #: The sums arrive ``x`` seconds later.
    DELAY_SUMS = "delay_sums"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServicePlan:
    """Describe the targets of one service.

    :param name: Its name.
    :param targets: Number of targets, spread over the zones in turn.
    :param slots: Requests that a target runs at a time.
    :param queue: Requests that wait at most; further ones are turned away.
    :param known_ms: Time of a request whose object the target handled lately.
    :param unknown_ms: Time of any other request.
    :param memory: Objects that a target remembers.
    :param speed_spread: Part by which targets are faster or slower than usual.
    :param renewal_interval_s: Time between two renewals of a target.
    :param reports_slowdown: Whether targets report how slow their machine is.
    """

    __pydantic_config__ = _STRICT

    name: ServiceName
    targets: Annotated[int, Field(ge=1)]
    slots: Annotated[int, Field(ge=1)]
    queue: Annotated[int, Field(ge=0)] = 8
    known_ms: Positive
    unknown_ms: Positive
    memory: Annotated[int, Field(ge=1)] = 64
    speed_spread: Part = 0.2
    renewal_interval_s: Positive = 1.5
    reports_slowdown: bool = False

    def work_factor(self, kind: "KindPlan") -> float:
        """Return the time of a kind as a multiple of that of the service.

        :param kind: The kind.
        """
        return 1.0 if kind.work_ms is None else kind.work_ms / self.unknown_ms


@dataclass(frozen=True, kw_only=True, slots=True)
class KindPlan:
    """Describe one kind of request.

    :param name: Its name.
    :param service: Service that it asks for.
    :param per_s: Requests a second, over all zones.
    :param objects: Objects that the requests concern.
    :param skew: Exponent by which some objects are asked for more often; 0 for none.
    :param idempotent: Whether it may run more than once.
    :param target_latency_ms: Time within which an answer is worth most.
    :param deadline_ms: Time for which callers wait.
    :param worth: What an answer in that time is worth.
    :param late_worth: What a later answer is worth.
    :param retries: Times that callers come back.
    :param max_attempts: Targets that one request may be sent to.
    :param priority: Rank of the kind; 0 is the most urgent.
    :param work_ms: Time that it takes for an unknown object, if that is not the time of
        the service; for a known one the time is shorter in the same proportion.
    :param has_affinity: Whether entries choose by the object; if not, each request
        takes the time of an unknown object.
    """

    __pydantic_config__ = _STRICT

    name: str
    service: ServiceName
    per_s: Positive
    objects: Annotated[int, Field(ge=1)] = 300
    skew: Annotated[float, Field(ge=0)] = 0.6
    idempotent: bool = True
    target_latency_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    late_worth: Annotated[float, Field(ge=0)] = 0.2
    retries: Annotated[int, Field(ge=0)] = 1
    max_attempts: Annotated[int, Field(ge=1)] = 2
    priority: Annotated[int, Field(ge=0)] = 0
    work_ms: Positive | None = None
    has_affinity: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class EventPlan:
    """Say what happens at some time.

    :param kind: What happens.
    :param at: Second at which it begins.
    :param for_s: How long it lasts.
    :param x: How strong it is.
    :param share: Part of the targets, entries or callers that it meets.
    :param zone: Availability zone that it meets; all where there is none.
    :param to_zone: Availability zone that callers move to.
    :param of: Kind of request that a burst is of; all kinds where there is none.
    """

    __pydantic_config__ = _STRICT

    kind: EventKind
    at: Annotated[float, Field(ge=0)]
    for_s: Positive = 2.0
    x: Positive = 1.0
    share: Part = 1.0
    zone: AvailabilityZoneId | None = None
    to_zone: AvailabilityZoneId | None = None
    of: str | None = None

    def holds(self, now: float) -> bool:
        """Tell whether it lasts at some time.

        :param now: The time, in seconds.
        """
        return self.at <= now < self.at + self.for_s


@dataclass(frozen=True, kw_only=True, slots=True)
class WavePlan:
    """Describe waves of demand, which reach the regions at different times.

    :param swing: Largest deviation from the mean demand, as a part of it.
    :param period_s: Time from one peak to the next, in seconds.
    :param phase_by_region: Part of the period by which a region is ahead.
    """

    __pydantic_config__ = _STRICT

    swing: Part
    period_s: Positive
    phase_by_region: Mapping[RegionId, float]

    def factor(self, region: RegionId, now: float) -> float:
        """Return the demand of a region as a multiple of its mean.

        :param region: The region.
        :param now: The present time, in seconds.
        """
        turns = now / self.period_s + self.phase_by_region.get(region, 0.0)
        return 1.0 + self.swing * math.sin(2 * math.pi * turns)


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """Describe a deployment, its callers and what happens.

    :param name: Its name.
    :param pattern: The load that it stands for, in one sentence.
    :param seconds: Length.
    :param seed: Seed of all that is drawn.
    :param regions: Availability zones of each region.
    :param callers: Weight of the callers of each zone; alike where it is empty.
    :param entries_per_zone: Entry instances of each zone.
    :param entries: Entry instances in all, spread over the zones in turn; 0 for
        ``entries_per_zone`` in each.
    :param zone_ms: Time one way between zones.
    :param region_ms: Time one way between regions.
    :param caller_ms: Time one way from callers to entries.
    :param max_region_shift: Part of a region's requests that may change region from
        one window of 2 s to the next.
    :param retry_ratio: Attempts beyond the first, as a part of the requests.
    :param retry_slack: Attempts beyond the first in 10 s that are allowed besides.
    :param services: The services.
    :param kinds: The kinds of request.
    :param events: What happens.
    :param target_weights: Weight of the targets of each zone; alike where it is empty.
    :param workspaces: Part of the requests of each workspace; none where it is empty.
    :param waves: Waves of demand; ``None`` for a steady one.
    """

    __pydantic_config__ = _STRICT

    name: str
    pattern: str
    seconds: Positive = 30.0
    seed: int = 1
    regions: Mapping[RegionId, tuple[AvailabilityZoneId, ...]]
    callers: Mapping[AvailabilityZoneId, float] = field(default_factory=dict)
    entries_per_zone: Annotated[int, Field(ge=1)] = 1
    entries: Annotated[int, Field(ge=0)] = 0
    zone_ms: float = 0.9
    region_ms: float = 35.0
    caller_ms: float = 1.0
    max_region_shift: Part = 0.15
    retry_ratio: float = 0.2
    retry_slack: float = 56.0
    services: tuple[ServicePlan, ...]
    kinds: tuple[KindPlan, ...]
    events: tuple[EventPlan, ...] = ()
    target_weights: Mapping[AvailabilityZoneId, float] = field(default_factory=dict)
    workspaces: Mapping[WorkspaceName, float] = field(default_factory=dict)
    waves: WavePlan | None = None

    @property
    def region_by_zone(self) -> dict[AvailabilityZoneId, RegionId]:
        """Regions of the availability zones, in the order of the file."""
        return {z: region for region, zones in self.regions.items() for z in zones}

    @property
    def entry_zones(self) -> list[AvailabilityZoneId]:
        """Availability zone of each entry instance."""
        zones = list(self.region_by_zone)
        if self.entries:
            return [zones[number % len(zones)] for number in range(self.entries)]
        return [zone for zone in zones for _ in range(self.entries_per_zone)]

    def service(self, name: ServiceName) -> ServicePlan:
        """Return a service.

        :param name: Its name.
        """
        return next(plan for plan in self.services if plan.name == name)

    def first_part(self, part: float) -> "Scenario":
        """Return the scenario cut short.

        :param part: Part of its length that is left.
        """
        return replace(self, seconds=self.seconds * part)

    def delay_s(self, one: AvailabilityZoneId, other: AvailabilityZoneId) -> float:
        """Return the time one way between two zones, in seconds.

        :param one: One zone.
        :param other: The other one.
        """
        if one == other:
            return 0.0
        region_by_zone = self.region_by_zone
        is_near = region_by_zone[one] == region_by_zone[other]
        return (self.zone_ms if is_near else self.region_ms) / 1000


def read_scenario(path: Path) -> Scenario:
    """Read a scenario file.

    :param path: The TOML file.
    :raises BadScenarioError: When it is not what the format asks for.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise BadScenarioError(f"{path}: {error}") from error
    match schema.from_plain(Scenario, document):
        case Result(tag="ok", ok=scenario):
            faults = list(_contradictions(scenario))
        case Result(error=found):
            faults = [f"{fault.path}: {fault.problem}" for fault in found]
    if faults:
        raise BadScenarioError("\n".join(f"{path}: {fault}" for fault in faults))
    return scenario


def _contradictions(scenario: Scenario) -> list[str]:
    services = {plan.name for plan in scenario.services}
    zones = set(scenario.region_by_zone)
    faults = [
        f"/kinds/{kind.name}: no service {kind.service}"
        for kind in scenario.kinds
        if kind.service not in services
    ]
    faults += [
        f"/callers/{z}: no such zone" for z in scenario.callers if z not in zones
    ]
    faults += [
        f"/target_weights/{z}: no such zone"
        for z in scenario.target_weights
        if z not in zones
    ]
    kinds = {kind.name for kind in scenario.kinds}
    faults += [
        f"/events/{index}: no kind {event.of}"
        for index, event in enumerate(scenario.events)
        if event.of is not None and event.of not in kinds
    ]
    faults += [
        f"/events/{index}: no zone {zone}"
        for index, event in enumerate(scenario.events)
        for zone in (event.zone, event.to_zone)
        if zone is not None and zone not in zones
    ]
    return faults
