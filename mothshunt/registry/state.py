"""Targets that are known at one instance, ordered by incarnation and sequence."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from mothshunt.core.types import Incarnation, ServiceName, TargetId
from mothshunt.registry import const
from mothshunt.registry.messages import (
    RegistryPulse,
    RegistryRow,
    RegistryRows,
    Renewal,
)
from mothshunt.util.hashing import hash_text

MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True, eq=False)
class KnownTarget:
    """Target with its newest renewal.

    :param renewal: The renewal.
    :param renewed_at: Time at which a control instance received the newest renewal, in
        seconds.
    :param cold_until: Time until which the target is cold, in seconds.
    :param digest: Digest of its name and incarnation.
    """

    renewal: Renewal
    renewed_at: float
    cold_until: float
    digest: int


class RenewalEffect(Enum):
    """Effect of a renewal on the registry."""

    #: The renewal is not newer than the stored one, or the registry is full.
    IGNORED = "nothing"
    #: Only the time of the newest renewal changed.
    REFRESHED = "refresh"
    #: The target is new, or its properties changed.
    CHANGED = "change"


@dataclass(slots=True)
class TargetRegistry:
    """Newest renewal of each target.

    The content depends on the renewals only, not on the order in which they arrive.

    :param known_by_target: The known targets.
    :param change_count: Number of changes so far, refreshes not included.
    :param newest_renewed_at: Time of the newest renewal of any target, in seconds.
    """

    known_by_target: dict[TargetId, KnownTarget] = field(default_factory=dict)
    change_count: int = 0
    newest_renewed_at: float = 0.0
    _sorted: list[KnownTarget] = field(default_factory=list)
    _sorted_at_change_count: int = -1

    def incarnation(self, target: TargetId) -> Incarnation | None:
        """Return the present incarnation of a target; ``None`` if it isn't known.

        :param target: Name of the target.
        """
        known = self.known_by_target.get(target)
        return None if known is None else known.renewal.incarnation

    def apply_renewal(self, renewal: Renewal, renewed_at: float) -> RenewalEffect:
        """Apply a renewal unless the stored one is as new.

        :param renewal: The renewal.
        :param renewed_at: Time at which a control instance received the renewal, in
            seconds; its ``cold_ms`` counts from then.
        """
        cold_until = renewed_at + renewal.cold_ms / MILLISECONDS_PER_SECOND
        return self._apply(renewal, renewed_at, cold_until)

    def apply_row(self, row: RegistryRow, now: float) -> RenewalEffect:
        """Apply a renewal that a control instance has sent.

        :param row: The renewal, with the time left as cold and its age.
        :param now: Current time, in seconds.
        """
        renewal, renewed_at = read_row(row, now)
        cold_until = now + renewal.cold_ms / MILLISECONDS_PER_SECOND
        return self._apply(renewal, renewed_at, cold_until)

    def _apply(
        self, renewal: Renewal, renewed_at: float, cold_until: float
    ) -> RenewalEffect:
        stored = self.known_by_target.get(renewal.target)
        if stored is None and len(self.known_by_target) >= const.MAX_TARGETS:
            return RenewalEffect.IGNORED
        if stored is not None and _version(renewal) <= _version(stored.renewal):
            if renewal.incarnation == stored.renewal.incarnation:
                # Its content is older, but its arrival shows that the target is alive.
                self._refresh(stored, renewed_at)
            return RenewalEffect.IGNORED
        if stored is not None and _properties(renewal) == _properties(stored.renewal):
            stored.renewal = renewal
            stored.cold_until = cold_until
            self._refresh(stored, renewed_at)
            return RenewalEffect.REFRESHED
        if stored is not None and renewal.incarnation == stored.renewal.incarnation:
            renewed_at = max(renewed_at, stored.renewed_at)
        known = KnownTarget(
            renewal=renewal,
            renewed_at=renewed_at,
            cold_until=cold_until,
            digest=_digest(renewal),
        )
        self.known_by_target[renewal.target] = known
        self.newest_renewed_at = max(self.newest_renewed_at, renewed_at)
        self._remove_replaced(renewal)
        self.change_count += 1
        return RenewalEffect.CHANGED

    def _refresh(self, known: KnownTarget, renewed_at: float) -> None:
        known.renewed_at = max(known.renewed_at, renewed_at)
        self.newest_renewed_at = max(self.newest_renewed_at, renewed_at)

    def _remove_replaced(self, renewal: Renewal) -> None:
        """Remove the older of two targets with the same address.

        That may be the target just renewed: a delayed renewal can name an address that
        another target has taken over since.
        """
        address = (renewal.host, renewal.port)
        for target, known in list(self.known_by_target.items()):
            other = known.renewal
            if target == renewal.target or (other.host, other.port) != address:
                continue
            older = min(renewal, other, key=_version)
            del self.known_by_target[older.target]

    def pulse(
        self, now: float, renewal_interval_s: float, *, is_settled: bool = True
    ) -> RegistryPulse:
        """Return a pulse with the age of each target's newest renewal.

        :param now: Current time, in seconds.
        :param renewal_interval_s: Time between two renewals of a target, in seconds.
        :param is_settled: Whether this instance is settled; see ``RegistryRows``.
        """
        unit_ms = _unit_ms(renewal_interval_s)
        ages = bytearray()
        digest = 0
        for known in self._sorted_by_name():
            units = _age_units(known, now, unit_ms)
            if units <= const.MAX_UNITS:
                ages.append(units)
                digest ^= known.digest
        return RegistryPulse(
            digest=digest, unit_ms=unit_ms, ages=bytes(ages), is_settled=is_settled
        )

    def apply_pulse(self, pulse: RegistryPulse, now: float) -> bool:
        """Refresh the targets with a pulse if its sender knows the same ones.

        :param pulse: Pulse of a control instance.
        :param now: Current time, in seconds.
        :return: Whether the sender knows the same targets.
        """
        present = [
            known
            for known in self._sorted_by_name()
            if _age_units(known, now, pulse.unit_ms) <= const.MAX_UNITS
        ]
        digest = 0
        for known in present:
            digest ^= known.digest
        if digest != pulse.digest or len(present) != len(pulse.ages):
            return False
        unit_s = pulse.unit_ms / MILLISECONDS_PER_SECOND
        for known, units in zip(present, pulse.ages, strict=True):
            self._refresh(known, now - units * unit_s)
        return True

    def _sorted_by_name(self) -> list[KnownTarget]:
        if self._sorted_at_change_count != self.change_count:
            self._sorted = [known for _, known in sorted(self.known_by_target.items())]
            self._sorted_at_change_count = self.change_count
        return self._sorted

    def remove_lost(self, now: float) -> None:
        """Remove targets that have not renewed for long although others have.

        :param now: Current time, in seconds.
        """
        oldest = min(now, self.newest_renewed_at) - const.REMOVE_AFTER_S
        for target, known in list(self.known_by_target.items()):
            if known.renewed_at < oldest:
                del self.known_by_target[target]
                self.change_count += 1

    def of_service(self, service: ServiceName) -> Iterator[KnownTarget]:
        """Return the known targets of a service.

        :param service: Name of the service.
        """
        for known in self.known_by_target.values():
            if known.renewal.service == service:
                yield known

    def renewal_lag_s(self, known: KnownTarget) -> float:
        """Return the time from a target's newest renewal to that of any target.

        The time is in seconds. It stands still while no renewals arrive at all, so that
        a loss of all control instances does not make targets look lost.

        :param known: The target.
        """
        return max(0.0, self.newest_renewed_at - known.renewed_at)

    def rows(self, targets: Iterable[TargetId], now: float) -> tuple[RegistryRow, ...]:
        """Return the newest renewals of targets with their age.

        :param targets: Names of the targets; unknown ones are skipped.
        :param now: Current time, in seconds.
        """
        known_targets = (self.known_by_target.get(target) for target in targets)
        return tuple(_row(known, now) for known in known_targets if known is not None)

    def all_rows(self, now: float, *, is_settled: bool = True) -> RegistryRows:
        """Return the newest renewals of all targets with their age.

        :param now: Current time, in seconds.
        :param is_settled: Whether this instance is settled; see ``RegistryRows``.
        """
        rows = self.rows(self.known_by_target, now)
        return RegistryRows(rows=rows, is_settled=is_settled)


def _unit_ms(renewal_interval_s: float) -> int:
    interval_ms = renewal_interval_s * MILLISECONDS_PER_SECOND
    return max(1, round(interval_ms / const.UNITS_PER_INTERVAL))


def _age_units(known: KnownTarget, now: float, unit_ms: int) -> int:
    """Return the age of a target's newest renewal in units of a pulse.

    The age is rounded up, so that no receiver takes the renewal for newer than it is.
    """
    age_ms = max(0.0, now - known.renewed_at) * MILLISECONDS_PER_SECOND
    return math.ceil(age_ms / unit_ms)


def _row(known: KnownTarget, now: float) -> RegistryRow:
    renewal = known.renewal
    return (
        renewal.target,
        renewal.incarnation,
        renewal.sequence,
        renewal.service,
        renewal.host,
        renewal.port,
        renewal.region,
        renewal.availability_zone,
        renewal.release,
        renewal.slots,
        renewal.state,
        math.ceil(max(0.0, known.cold_until - now) * MILLISECONDS_PER_SECOND),
        max(0, int((now - known.renewed_at) * MILLISECONDS_PER_SECOND)),
    )


def read_row(row: RegistryRow, now: float) -> tuple[Renewal, float]:
    """Return the renewal in a row and the time at which it was received, in seconds.

    :param row: The row.
    :param now: Current time, in seconds.
    """
    target, incarnation, sequence, service, host, port = row[:6]
    region, zone, release, slots, state, cold_ms, age_ms = row[6:]
    renewal = Renewal(
        target=target,
        incarnation=incarnation,
        sequence=sequence,
        service=service,
        host=host,
        port=port,
        region=region,
        availability_zone=zone,
        release=release,
        slots=slots,
        state=state,
        cold_ms=cold_ms,
    )
    return renewal, now - age_ms / MILLISECONDS_PER_SECOND


def _digest(renewal: Renewal) -> int:
    return hash_text(f"{renewal.target} {renewal.incarnation}")


def _version(renewal: Renewal) -> tuple[int, int]:
    return (renewal.incarnation, renewal.sequence)


def _properties(renewal: Renewal) -> tuple[object, ...]:
    return (
        renewal.incarnation,
        renewal.service,
        renewal.host,
        renewal.port,
        renewal.availability_zone,
        renewal.slots,
        renewal.state,
        renewal.cold_ms > 0,
    )
