"""The targets of one service as an entry instance sees them."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from mothshunt.core.types import RegionId, TargetId
from mothshunt.core.types import TargetState as AnnouncedState
from mothshunt.discovery.model import Target
from mothshunt.drain.model import DrainSet
from mothshunt.steering.const import (
    COLD_AFTER_AWAY_S,
    DEFAULT_LATENCY_S,
    FORGET_AFTER_S,
    LATENCY_WEIGHT,
    WARM_AT_START_S,
)
from mothshunt.steering.target_state import TargetState


@dataclass(slots=True)
class RegionGroup:
    """Hold the usable targets of one region.

    :param region: The region.
    :param states: Targets that may get new work.
    :param usual_latency_s: Moving average over all of them, in seconds.
    """

    region: RegionId
    states: list[TargetState] = field(default_factory=list)
    usual_latency_s: float = DEFAULT_LATENCY_S

    def learn(self, elapsed_s: float) -> None:
        """Take an answered request into the usual latency.

        :param elapsed_s: Latency, in seconds.
        """
        weight = LATENCY_WEIGHT / max(1, len(self.states))
        self.usual_latency_s += weight * (elapsed_s - self.usual_latency_s)

    def use_ratio(self, cold_ramp_s: float, now: float) -> float:
        """Return the estimated part of all slots that is in use.

        :param cold_ramp_s: Time to bring a cold target to its full share, in seconds.
        :param now: Monotonic time, in seconds.
        """
        allowed = sum(state.allowed(cold_ramp_s, now) for state in self.states)
        used = sum(state.occupancy(now) for state in self.states)
        return used / allowed if allowed else math.inf


@dataclass(slots=True)
class ServicePool:
    """Keep what is known of the targets of one service up to date.

    :param started_at: Monotonic time at which this process started, in seconds.
    """

    started_at: float
    state_by_id: dict[TargetId, TargetState] = field(default_factory=dict)
    group_by_region: dict[RegionId, RegionGroup] = field(default_factory=dict)
    suspects: list[TargetState] = field(default_factory=list)
    _targets: Sequence[Target] | None = None
    _drains: DrainSet | None = None

    def update(self, targets: Sequence[Target], drains: DrainSet, now: float) -> None:
        """Take over the targets and drains in force; cheap when nothing changed.

        :param targets: Live targets of the service.
        :param drains: Drains in force.
        :param now: Monotonic time, in seconds.
        """
        if targets is self._targets and drains is self._drains:
            return
        self._targets = targets
        self._drains = drains
        for group in self.group_by_region.values():
            group.states.clear()
        usable = set()
        for target in targets:
            state = self._take(target)
            if _may_get_work(target, drains):
                usable.add(target.id)
                self._group(target.region).states.append(state)
        for target_id, state in self.state_by_id.items():
            _set_usable(state, target_id in usable, now)
        self._forget(targets, now)
        self.list_suspects()

    def list_suspects(self) -> None:
        """Collect the suspect targets that may get work."""
        self.suspects = [
            state
            for group in self.group_by_region.values()
            for state in group.states
            if state.suspect
        ]

    def _take(self, target: Target) -> TargetState:
        state = self.state_by_id.get(target.id)
        if state is None or state.target.incarnation != target.incarnation:
            in_flight = 0 if state is None else state.in_flight
            state = TargetState(target, self._cold_since(target), in_flight)
            self.state_by_id[target.id] = state
        state.target = target
        state.take_report()
        return state

    def _cold_since(self, target: Target) -> float:
        """Return when a target was new; to a new process every target is."""
        if target.first_seen_at <= self.started_at + WARM_AT_START_S:
            return -math.inf
        return target.first_seen_at

    def _group(self, region: RegionId) -> RegionGroup:
        group = self.group_by_region.get(region)
        if group is None:
            group = self.group_by_region[region] = RegionGroup(region)
        return group

    def _forget(self, targets: Sequence[Target], now: float) -> None:
        live = {target.id for target in targets}
        for target_id, state in list(self.state_by_id.items()):
            if target_id in live or state.in_flight:
                continue
            if now - state.unusable_since > FORGET_AFTER_S:
                del self.state_by_id[target_id]


def _set_usable(state: TargetState, usable: bool, now: float) -> None:
    """Note when a target stops and starts again to get new work."""
    if usable and now - state.unusable_since > COLD_AFTER_AWAY_S:
        state.cold_since = now
    if usable:
        state.unusable_since = math.inf
    elif state.unusable_since == math.inf:
        state.unusable_since = now


def _may_get_work(target: Target, drains: DrainSet) -> bool:
    return not (
        target.state is AnnouncedState.LEAVING
        or target.slots <= 0
        or target.id in drains.targets
        or target.availability_zone in drains.availability_zones
        or target.region in drains.regions
    )
