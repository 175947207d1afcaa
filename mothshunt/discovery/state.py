"""Targets that are known at one instance."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from mothshunt.core.types import (
    CustomerId,
    InstanceId,
    ServiceName,
    TargetId,
    TargetState,
)
from mothshunt.discovery import const
from mothshunt.discovery.messages import AnnouncedLoad, LoadRow, RowState, TargetRow
from mothshunt.discovery.model import LoadReport, Target

_RANK_BY_STATE = {RowState.SERVING: 0, RowState.LEAVING: 1, RowState.LEFT: 2}


@dataclass(frozen=True, slots=True)
class ServiceKey:
    """Service of a customer."""

    customer: CustomerId
    service: ServiceName


@dataclass(slots=True)
class KnownTarget:
    """Target with its newest row and load report.

    :param row: Newest row of the target.
    :param first_seen_at: Monotonic time at which a row of the incarnation first
        arrived, in seconds.
    :param changed_at: Monotonic time of the last change of the row, in seconds.
    :param report: Last load report.
    :param owner_lost_at: Monotonic time since which the owner is unreachable, in
        seconds; ``None`` while it is reachable.
    """

    row: TargetRow
    first_seen_at: float
    changed_at: float
    report: LoadReport | None = None
    owner_lost_at: float | None = None


@dataclass(slots=True)
class TargetTable:
    """Newest row of each target, by incarnation and state; a ``TargetDirectory``."""

    known_by_target: dict[TargetId, KnownTarget] = field(default_factory=dict)
    _targets_by_service: dict[ServiceKey, Sequence[Target]] = field(
        default_factory=dict
    )

    def targets(self, customer: CustomerId, service: ServiceName) -> Sequence[Target]:
        """Return the live targets of a service; see ``TargetDirectory``."""
        key = ServiceKey(customer, service)
        targets = self._targets_by_service.get(key)
        if targets is None:
            targets = self._targets_by_service[key] = tuple(self._collect(key))
        return targets

    def apply_row(self, row: TargetRow, now: float) -> bool:
        """Apply a row unless the stored one is newer.

        :param row: The row.
        :param now: Monotonic time, in seconds.
        :return: Whether the state or the owner of the target changed.
        """
        target = row.announcement.target
        known = self.known_by_target.get(target)
        if known is not None and not _supersedes(row, known.row):
            return False
        if known is not None and _has_same_state_and_owner(row, known.row):
            return False
        first_seen_at = now
        if known is not None and _incarnation(known.row) == _incarnation(row):
            first_seen_at = known.first_seen_at
        report = known.report if known is not None else None
        self.known_by_target[target] = KnownTarget(row, first_seen_at, now, report)
        self._invalidate_cache(known, row)
        return True

    def apply_load(self, load: LoadRow, now: float) -> bool:
        """Apply a load report unless the stored one is as new.

        :param load: The report.
        :param now: Monotonic time, in seconds.
        :return: Whether the report was stored.
        """
        known = self.known_by_target.get(load.target)
        if known is None or _incarnation(known.row) != load.incarnation:
            return False
        measured_at = now - load.load.age_ms / 1000
        if known.report is not None and known.report.measured_at >= measured_at:
            return False
        known.report = LoadReport(
            in_flight=load.load.in_flight,
            connections=load.load.connections,
            measured_at=measured_at,
        )
        self._invalidate_cache(known, known.row)
        return True

    def load_row(self, target: TargetId, now: float) -> LoadRow | None:
        """Return the last load report of a target with its current age.

        :param target: Name of the target.
        :param now: Monotonic time, in seconds.
        """
        known = self.known_by_target.get(target)
        if known is None or known.report is None:
            return None
        load = AnnouncedLoad(
            in_flight=known.report.in_flight,
            connections=known.report.connections,
            age_ms=max(0, int((now - known.report.measured_at) * 1000)),
        )
        incarnation = known.row.announcement.incarnation
        return LoadRow(target=target, incarnation=incarnation, load=load)

    def sweep(self, reachable: AbstractSet[InstanceId], now: float) -> None:
        """Remove targets whose owner is lost, and rows of those that left long ago.

        :param reachable: Entry instances that are reachable.
        :param now: Monotonic time, in seconds.
        """
        for target, known in list(self.known_by_target.items()):
            if self._is_expired(known, reachable, now):
                del self.known_by_target[target]
                self._invalidate_cache(known, known.row)

    def _is_expired(
        self, known: KnownTarget, reachable: AbstractSet[InstanceId], now: float
    ) -> bool:
        if known.row.state in (RowState.LEFT, RowState.LAPSED):
            return now - known.changed_at > const.LEFT_RETENTION_S
        if known.row.owner in reachable:
            known.owner_lost_at = None
            return False
        if known.owner_lost_at is None:
            known.owner_lost_at = now
        return now - known.owner_lost_at > const.LEASE_S

    def _invalidate_cache(self, known: KnownTarget | None, row: TargetRow) -> None:
        for changed in (row, known.row if known is not None else row):
            announced = changed.announcement
            key = ServiceKey(announced.customer, announced.service)
            self._targets_by_service.pop(key, None)

    def _collect(self, key: ServiceKey) -> list[Target]:
        return [
            _target(known)
            for known in self.known_by_target.values()
            if known.row.announcement.customer == key.customer
            and known.row.announcement.service == key.service
            and known.row.state in (RowState.SERVING, RowState.LEAVING)
        ]


def _incarnation(row: TargetRow) -> int:
    return row.announcement.incarnation


def _supersedes(row: TargetRow, stored: TargetRow) -> bool:
    if _incarnation(row) != _incarnation(stored):
        return _incarnation(row) > _incarnation(stored)
    if row.state is RowState.LAPSED:
        return row.owner == stored.owner and stored.state is not RowState.LEFT
    if stored.state is RowState.LAPSED:
        return True
    return _RANK_BY_STATE[row.state] >= _RANK_BY_STATE[stored.state]


def _has_same_state_and_owner(row: TargetRow, stored: TargetRow) -> bool:
    return row.state is stored.state and row.owner == stored.owner


def _target(known: KnownTarget) -> Target:
    announced = known.row.announcement
    is_serving = known.row.state is RowState.SERVING
    return Target(
        id=announced.target,
        incarnation=announced.incarnation,
        customer=announced.customer,
        service=announced.service,
        host=announced.host,
        port=announced.port,
        region=announced.region,
        availability_zone=announced.availability_zone,
        slots=announced.slots,
        state=TargetState.SERVING if is_serving else TargetState.LEAVING,
        first_seen_at=known.first_seen_at,
        report=known.report,
    )
