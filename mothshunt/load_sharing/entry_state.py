"""Loads of targets at one entry instance: what it tells, and what it is told."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from mothshunt.core.types import InstanceId, RegionId, ServiceName, TargetId
from mothshunt.load_sharing import const
from mothshunt.load_sharing.log_events import TargetSpread
from mothshunt.load_sharing.messages import (
    LoadNews,
    LoadsObserved,
    TargetKey,
    target_key,
)
from mothshunt.load_sharing.state import HeldLoad, LoadObserver
from mothshunt.placement.even_load import EvenLoad, moved_shares
from mothshunt.placement.model import ReportedLoad, RoutableTarget
from mothshunt.placement.state import never_regional


@dataclass(frozen=True, slots=True)
class _Demand:
    """Demand by target as one control instance sums it.

    :param count_by_key: Requests by target.
    :param total: Sum of them.
    :param received_at: Time at which it was received, in seconds.
    """

    count_by_key: Mapping[TargetKey, int]
    total: int
    received_at: float


@dataclass(slots=True)
class EntryLoads:
    """Exchange of the loads of targets at one entry instance, without any I/O.

    :param even_load: Figures that the choices depend on.
    :param is_regional: Whether the objects of a service have their targets in the
        region of their callers. They are then moved within the region, as moving them
        from one target of a busy region to another gains nothing.
    :param observer: What has been learned and not told yet.
    """

    even_load: EvenLoad
    is_regional: Callable[[ServiceName], bool] = never_regional
    observer: LoadObserver = field(default_factory=LoadObserver)
    _key_by_target: dict[TargetId, TargetKey] = field(default_factory=dict)
    _target_by_key: dict[TargetKey, TargetId] = field(default_factory=dict)
    _slots_by_service: dict[ServiceName, dict[TargetId, int]] = field(
        default_factory=dict
    )
    _region_by_target: dict[TargetId, RegionId] = field(default_factory=dict)
    _demand_by_control: dict[InstanceId, _Demand] = field(default_factory=dict)

    def set_targets(self, targets: Iterable[RoutableTarget]) -> None:
        """Replace the targets.

        :param targets: Targets that requests may be sent to.
        """
        held, self._key_by_target = self._key_by_target, {}
        slots_by_service: dict[ServiceName, dict[TargetId, int]] = defaultdict(dict)
        self._region_by_target = {}
        for target in targets:
            key = held.get(target.id)
            self._key_by_target[target.id] = (
                target_key(target.id) if key is None else key
            )
            slots_by_service[target.service][target.id] = target.slots
            self._region_by_target[target.id] = target.region
        self._target_by_key = {k: target for target, k in self._key_by_target.items()}
        self._slots_by_service = slots_by_service
        self.even_load.retain(self._key_by_target)

    def record_response(
        self, target: RoutableTarget, reported: ReportedLoad, now: float
    ) -> None:
        """Record the load that a response carried.

        :param target: The target.
        :param reported: The load.
        :param now: The present time, in seconds.
        """
        key = self._key_by_target.get(target.id)
        if key is None:
            return
        requests = reported.running + reported.waiting
        self.observer.record(key, requests, target.slots, reported.slowdown, now)

    def take_message(self, now: float) -> LoadsObserved | None:
        """Return the next message to the control instances; ``None`` for none.

        :param now: The present time, in seconds.
        """
        counts = self.even_load.take_first_counts()
        return self.observer.take_message(
            (
                (self._key_by_target[target], count)
                for target, count in counts.items()
                if target in self._key_by_target
            ),
            now,
        )

    def apply(self, control: InstanceId, news: LoadNews, now: float) -> None:
        """Apply what a control instance tells.

        :param control: Name of the control instance.
        :param news: Its message.
        :param now: The present time, in seconds.
        """
        for row in news.loads:
            target = self._target_by_key.get(row.key)
            if target is None:
                continue
            load = HeldLoad.from_row(row, now)
            if self.even_load.record_figure(
                target, load.requests, load.slowdown, load.observed_at
            ):
                self.observer.record_known(row.key, row.requests, row.slowdown_percent)
        if news.demand:
            counts = dict(news.demand)
            demand = _Demand(counts, sum(counts.values()), now)
            self._demand_by_control[control] = demand
            self._move_objects(now)

    def spreads(self, now: float) -> Iterator[TargetSpread]:
        """Return the spread of the load over the targets of each service.

        :param now: The present time, in seconds.
        """
        figures, moved = (
            self.even_load.figure_by_target,
            self.even_load.moved_share_by_target,
        )
        for service, slots_by_target in self._slots_by_service.items():
            uses = [
                figures[target].mean_requests / slots
                for target, slots in slots_by_target.items()
                if target in figures and figures[target].is_recent(now)
            ]
            mean = sum(uses) / len(uses) if uses else 0.0
            if mean <= 0.0:
                continue
            moved_share = sum(moved.get(target, 0.0) for target in slots_by_target)
            yield TargetSpread(
                service=service,
                targets=len(uses),
                utilization=round(mean, 2),
                busiest_by_mean=round(max(uses) / mean, 2),
                moved_share=round(moved_share / len(slots_by_target), 3),
            )

    def _move_objects(self, now: float) -> None:
        """Derive which objects move from the sum of the most entry instances.

        A control instance that was restarted, or that some entry instances can't reach,
        has a lower sum than the others.
        """
        for control, demand in list(self._demand_by_control.items()):
            if now - demand.received_at > const.DEMAND_LIFETIME_S:
                del self._demand_by_control[control]
        best = max(self._demand_by_control.values(), key=lambda d: d.total)
        shares: dict[TargetId, float] = {}
        for slots_by_target in self._slots_by_group():
            demand_by_target = {
                target: float(best.count_by_key.get(self._key_by_target[target], 0))
                for target in slots_by_target
            }
            shares.update(moved_shares(slots_by_target, demand_by_target))
        self.even_load.moved_share_by_target = shares

    def _slots_by_group(self) -> Iterator[dict[TargetId, int]]:
        """Return the targets among which objects are moved, with their slots."""
        for service, slots_by_target in self._slots_by_service.items():
            if not self.is_regional(service):
                yield slots_by_target
                continue
            by_region: dict[RegionId, dict[TargetId, int]] = defaultdict(dict)
            for target, slots in slots_by_target.items():
                by_region[self._region_by_target[target]][target] = slots
            yield from by_region.values()
