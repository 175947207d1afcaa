"""Targets that are known at one instance, ordered by incarnation and sequence."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from mothshunt.core.types import ServiceName, TargetId
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
    """Hold what is known of a target.

    :param renewal: Its newest renewal.
    :param heard_at: Time at which a control instance last heard of it, in seconds.
    :param cold_until: Time up to which it is cold, in seconds.
    :param digest: Digest of its name and incarnation.
    """

    renewal: Renewal
    heard_at: float
    cold_until: float
    digest: int


class News(Enum):
    """What a renewal changes."""

    #: An older renewal than the one held.
    NOTHING = "nothing"
    #: The target is still as it was.
    REFRESH = "refresh"
    #: The target is new, or something about it changed.
    CHANGE = "change"


@dataclass(slots=True)
class TargetRegistry:
    """Hold the newest renewal of each target.

    The result depends on the renewals only, not on the order in which they arrive.

    :param known_by_target: What is known.
    :param changes: Grows with each change other than a refresh.
    :param newest_heard_at: Time of the newest renewal of any target, in seconds.
    """

    known_by_target: dict[TargetId, KnownTarget] = field(default_factory=dict)
    changes: int = 0
    newest_heard_at: float = 0.0
    _sorted: list[KnownTarget] = field(default_factory=list)
    _sorted_at_change: int = -1

    def take(self, renewal: Renewal, heard_at: float) -> News:
        """Take a renewal unless the one held is as new.

        :param renewal: The renewal.
        :param heard_at: Time at which a control instance heard of the target, in
            seconds; what the renewal says of being cold counts from then.
        """
        cold_until = heard_at + renewal.cold_ms / MILLISECONDS_PER_SECOND
        return self._take(renewal, heard_at, cold_until)

    def take_row(self, row: RegistryRow, now: float) -> News:
        """Take what a control instance tells of a target.

        :param row: What it tells.
        :param now: The present time, in seconds.
        """
        renewal, heard_at = read_row(row, now)
        cold_until = now + renewal.cold_ms / MILLISECONDS_PER_SECOND
        return self._take(renewal, heard_at, cold_until)

    def _take(self, renewal: Renewal, heard_at: float, cold_until: float) -> News:
        held = self.known_by_target.get(renewal.target)
        if held is None and len(self.known_by_target) >= const.MAX_TARGETS:
            return News.NOTHING
        if held is not None and _order(renewal) <= _order(held.renewal):
            if renewal.incarnation == held.renewal.incarnation:
                # Its content is older, but it was heard of as well.
                self._hear(held, heard_at)
            return News.NOTHING
        if held is not None and _identity(renewal) == _identity(held.renewal):
            held.renewal = renewal
            held.cold_until = cold_until
            self._hear(held, heard_at)
            return News.REFRESH
        if held is not None and renewal.incarnation == held.renewal.incarnation:
            heard_at = max(heard_at, held.heard_at)
        known = KnownTarget(
            renewal=renewal,
            heard_at=heard_at,
            cold_until=cold_until,
            digest=_digest(renewal),
        )
        self.known_by_target[renewal.target] = known
        self.newest_heard_at = max(self.newest_heard_at, heard_at)
        self._drop_replaced(renewal)
        self.changes += 1
        return News.CHANGE

    def _hear(self, known: KnownTarget, heard_at: float) -> None:
        known.heard_at = max(known.heard_at, heard_at)
        self.newest_heard_at = max(self.newest_heard_at, heard_at)

    def _drop_replaced(self, renewal: Renewal) -> None:
        """Drop a target whose address a later one has taken over, or this one.

        A renewal that was held up may name an address that another target has by now.
        """
        address = (renewal.host, renewal.port)
        for target, known in list(self.known_by_target.items()):
            other = known.renewal
            if target == renewal.target or (other.host, other.port) != address:
                continue
            older = min(renewal, other, key=_order)
            del self.known_by_target[older.target]

    def pulse(
        self, now: float, renewal_interval_s: float, *, is_settled: bool = True
    ) -> RegistryPulse:
        """Return when each target was heard of.

        :param now: The present time, in seconds.
        :param renewal_interval_s: Time between two renewals of a target, in seconds.
        :param is_settled: Whether this instance goes by what it knows.
        """
        unit_ms = _unit_ms(renewal_interval_s)
        ages = bytearray()
        digest = 0
        for known in self._by_name():
            units = _units(known, now, unit_ms)
            if units <= const.MAX_UNITS:
                ages.append(units)
                digest ^= known.digest
        return RegistryPulse(
            digest=digest, unit_ms=unit_ms, ages=bytes(ages), is_settled=is_settled
        )

    def take_pulse(self, pulse: RegistryPulse, now: float) -> bool:
        """Take when each target was heard of, if the sender knows the same targets.

        :param pulse: What a control instance tells.
        :param now: The present time, in seconds.
        :return: Whether it knows the same.
        """
        present = [
            known
            for known in self._by_name()
            if _units(known, now, pulse.unit_ms) <= const.MAX_UNITS
        ]
        digest = 0
        for known in present:
            digest ^= known.digest
        if digest != pulse.digest or len(present) != len(pulse.ages):
            return False
        unit_s = pulse.unit_ms / MILLISECONDS_PER_SECOND
        for known, units in zip(present, pulse.ages, strict=True):
            self._hear(known, now - units * unit_s)
        return True

    def _by_name(self) -> list[KnownTarget]:
        if self._sorted_at_change != self.changes:
            self._sorted = [known for _, known in sorted(self.known_by_target.items())]
            self._sorted_at_change = self.changes
        return self._sorted

    def forget_lost(self, now: float) -> None:
        """Forget targets that were not heard of for long, while others were.

        :param now: The present time, in seconds.
        """
        oldest = min(now, self.newest_heard_at) - const.FORGET_AFTER_S
        for target, known in list(self.known_by_target.items()):
            if known.heard_at < oldest:
                del self.known_by_target[target]
                self.changes += 1

    def of_service(self, service: ServiceName) -> Iterator[KnownTarget]:
        """Return the known targets of a service.

        :param service: Name of the service.
        """
        for known in self.known_by_target.values():
            if known.renewal.service == service:
                yield known

    def silent_s(self, known: KnownTarget) -> float:
        """Return how much longer a target has been silent than the others, in seconds.

        While no control instance passes renewals on, no target counts as lost.

        :param known: The target.
        """
        return max(0.0, self.newest_heard_at - known.heard_at)

    def rows(self, targets: Iterable[TargetId], now: float) -> tuple[RegistryRow, ...]:
        """Return the newest renewals of targets with their age.

        :param targets: Names of the targets; those not known are passed over.
        :param now: The present time, in seconds.
        """
        found = (self.known_by_target.get(target) for target in targets)
        return tuple(_row(known, now) for known in found if known is not None)

    def whole(self, now: float, *, is_settled: bool = True) -> RegistryRows:
        """Return all that is known.

        :param now: The present time, in seconds.
        :param is_settled: Whether this instance goes by what it knows.
        """
        rows = self.rows(self.known_by_target, now)
        return RegistryRows(rows=rows, is_settled=is_settled)


def _unit_ms(renewal_interval_s: float) -> int:
    interval_ms = renewal_interval_s * MILLISECONDS_PER_SECOND
    return max(1, round(interval_ms / const.UNITS_PER_INTERVAL))


def _units(known: KnownTarget, now: float, unit_ms: int) -> int:
    """Return the age of a target, rounded up: it is never taken for younger."""
    age_ms = max(0.0, now - known.heard_at) * MILLISECONDS_PER_SECOND
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
        max(0, int((now - known.heard_at) * MILLISECONDS_PER_SECOND)),
    )


def read_row(row: RegistryRow, now: float) -> tuple[Renewal, float]:
    """Return a renewal, and the time at which it was heard of, in seconds.

    :param row: What a control instance tells.
    :param now: The present time, in seconds.
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


def _order(renewal: Renewal) -> tuple[int, int]:
    return (renewal.incarnation, renewal.sequence)


def _identity(renewal: Renewal) -> tuple[object, ...]:
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
