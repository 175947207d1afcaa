"""Targets of one service as an entry instance tracks them."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from mothshunt.core.types import RegionId, TargetId, TargetState
from mothshunt.discovery.model import Target
from mothshunt.drain.model import DrainSet
from mothshunt.steering.const import (
    COLD_AFTER_ABSENCE_S,
    DEFAULT_LATENCY_S,
    LATENCY_WEIGHT,
    STATE_RETENTION_S,
    WARM_AT_START_S,
)
from mothshunt.steering.target_state import TrackedTarget


@dataclass(slots=True)
class RegionGroup:
    """Usable targets of one region.

    :param region: The region.
    :param targets: Targets that accept new requests.
    :param mean_latency_s: Moving average of the latency of all of them, in seconds.
    """

    region: RegionId
    targets: list[TrackedTarget] = field(default_factory=list)
    mean_latency_s: float = DEFAULT_LATENCY_S

    def record_latency(self, elapsed_s: float) -> None:
        """Update the mean latency with an answered request.

        :param elapsed_s: Latency, in seconds.
        """
        weight = LATENCY_WEIGHT / max(1, len(self.targets))
        self.mean_latency_s += weight * (elapsed_s - self.mean_latency_s)

    def utilization(self, cold_ramp_s: float, now: float) -> float:
        """Return the estimated requests in flight as a share of the targets' limits.

        :param cold_ramp_s: Time in which a cold target is ramped up, in seconds.
        :param now: Monotonic time, in seconds.
        """
        limit = sum(item.concurrency_limit(cold_ramp_s, now) for item in self.targets)
        in_flight = sum(item.estimated_in_flight(now) for item in self.targets)
        return in_flight / limit if limit else math.inf


@dataclass(slots=True)
class ServicePool:
    """State of all targets of one service.

    :param started_at: Monotonic time at which this process started, in seconds.
    """

    started_at: float
    tracked_by_id: dict[TargetId, TrackedTarget] = field(default_factory=dict)
    group_by_region: dict[RegionId, RegionGroup] = field(default_factory=dict)
    suspects: list[TrackedTarget] = field(default_factory=list)
    _targets: Sequence[Target] | None = None
    _drains: DrainSet | None = None

    def update(self, targets: Sequence[Target], drains: DrainSet, now: float) -> None:
        """Apply the current targets and drains; returns early if neither changed.

        :param targets: Live targets of the service.
        :param drains: Drains in force.
        :param now: Monotonic time, in seconds.
        """
        if targets is self._targets and drains is self._drains:
            return
        self._targets = targets
        self._drains = drains
        for group in self.group_by_region.values():
            group.targets.clear()
        usable_ids = set()
        for target in targets:
            tracked = self._track(target)
            if _accepts_requests(target, drains):
                usable_ids.add(target.id)
                self._group(target.region).targets.append(tracked)
        for target_id, tracked in self.tracked_by_id.items():
            _set_usable(tracked, target_id in usable_ids, now)
        self._drop_absent(targets, now)
        self.refresh_suspects()

    def refresh_suspects(self) -> None:
        """Rebuild the list of suspect targets among the usable ones."""
        self.suspects = [
            tracked
            for group in self.group_by_region.values()
            for tracked in group.targets
            if tracked.is_suspect
        ]

    def _track(self, target: Target) -> TrackedTarget:
        """Return the state of a target; a new incarnation starts with a fresh one."""
        tracked = self.tracked_by_id.get(target.id)
        if tracked is None or tracked.target.incarnation != target.incarnation:
            in_flight = 0 if tracked is None else tracked.in_flight
            tracked = TrackedTarget(target, self._cold_since(target), in_flight)
            self.tracked_by_id[target.id] = tracked
        tracked.target = target
        tracked.apply_report()
        return tracked

    def _cold_since(self, target: Target) -> float:
        """Return the time from which a newly seen target counts as cold.

        A process that has just started sees every target for the first time; those
        count as warm.
        """
        if target.first_seen_at <= self.started_at + WARM_AT_START_S:
            return -math.inf
        return target.first_seen_at

    def _group(self, region: RegionId) -> RegionGroup:
        group = self.group_by_region.get(region)
        if group is None:
            group = self.group_by_region[region] = RegionGroup(region)
        return group

    def _drop_absent(self, targets: Sequence[Target], now: float) -> None:
        live_ids = {target.id for target in targets}
        for target_id, tracked in list(self.tracked_by_id.items()):
            if target_id in live_ids or tracked.in_flight:
                continue
            if now - tracked.unusable_since > STATE_RETENTION_S:
                del self.tracked_by_id[target_id]


def _set_usable(tracked: TrackedTarget, usable: bool, now: float) -> None:
    """Record when a target stops or resumes accepting requests."""
    if usable and now - tracked.unusable_since > COLD_AFTER_ABSENCE_S:
        tracked.cold_since = now
    if usable:
        tracked.unusable_since = math.inf
    elif tracked.unusable_since == math.inf:
        tracked.unusable_since = now


def _accepts_requests(target: Target, drains: DrainSet) -> bool:
    return not (
        target.state is TargetState.LEAVING
        or target.slots <= 0
        or target.id in drains.targets
        or target.availability_zone in drains.availability_zones
        or target.region in drains.regions
    )
