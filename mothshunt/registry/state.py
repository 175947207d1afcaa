"""Targets that are known at one instance, ordered by incarnation and sequence."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum

from mothshunt.core.types import Incarnation, ServiceName, TargetId
from mothshunt.registry import const
from mothshunt.registry.messages import (
    RegistryRefreshes,
    RegistryRow,
    RegistryRows,
    Renewal,
)

MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True, eq=False)
class KnownTarget:
    """Hold what is known of a target.

    :param renewal: Its newest renewal.
    :param heard_at: Time at which a control instance received it, in seconds.
    :param first_heard_at: Time at which its incarnation was first heard of, in seconds.
    :param told_at: Time at which it was last passed on, in seconds.
    """

    renewal: Renewal
    heard_at: float
    first_heard_at: float
    told_at: float = 0.0

    def cold_until(self) -> float:
        """Return the time up to which the target is cold, in seconds."""
        return self.heard_at + self.renewal.cold_ms / MILLISECONDS_PER_SECOND


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

    def take(self, renewal: Renewal, heard_at: float) -> News:
        """Take a renewal unless the one held is as new.

        :param renewal: The renewal.
        :param heard_at: Time at which a control instance received it, in seconds.
        """
        held = self.known_by_target.get(renewal.target)
        if held is not None and _order(renewal) <= _order(held.renewal):
            return News.NOTHING
        if held is None and len(self.known_by_target) >= const.MAX_TARGETS:
            return News.NOTHING
        self.newest_heard_at = max(self.newest_heard_at, heard_at)
        is_same = held is not None and _identity(renewal) == _identity(held.renewal)
        if held is not None and is_same:
            held.renewal = renewal
            held.heard_at = heard_at
            return News.REFRESH
        first_heard_at = heard_at
        if held is not None and held.renewal.incarnation == renewal.incarnation:
            first_heard_at = held.first_heard_at
        self.known_by_target[renewal.target] = KnownTarget(
            renewal=renewal, heard_at=heard_at, first_heard_at=first_heard_at
        )
        self._drop_replaced(renewal)
        self.changes += 1
        return News.CHANGE

    def refresh(
        self, target: TargetId, incarnation: Incarnation, sequence: int, heard_at: float
    ) -> None:
        """Take a renewal that changed nothing at the instance that received it.

        :param target: Name of the target.
        :param incarnation: Its incarnation.
        :param sequence: Number of the renewal.
        :param heard_at: Time at which a control instance received it, in seconds.
        """
        held = self.known_by_target.get(target)
        if held is None or held.renewal.incarnation != incarnation:
            return
        if sequence <= held.renewal.sequence:
            return
        held.renewal = replace(held.renewal, sequence=sequence)
        held.heard_at = heard_at
        self.newest_heard_at = max(self.newest_heard_at, heard_at)

    def refreshes(self, targets: Iterable[TargetId], now: float) -> RegistryRefreshes:
        """Return the newest renewals of targets, without what they say.

        :param targets: Names of the targets; those not known are passed over.
        :param now: The present time, in seconds.
        """
        return RegistryRefreshes(
            rows=tuple(
                (
                    row.renewal.target,
                    row.renewal.incarnation,
                    row.renewal.sequence,
                    row.age_ms,
                )
                for row in self.rows(targets, now)
            )
        )

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
        return tuple(
            RegistryRow(
                renewal=known.renewal,
                age_ms=max(0, int((now - known.heard_at) * MILLISECONDS_PER_SECOND)),
            )
            for known in found
            if known is not None
        )

    def whole(self, now: float) -> RegistryRows:
        """Return all that is known.

        :param now: The present time, in seconds.
        """
        return RegistryRows(rows=self.rows(self.known_by_target, now), is_whole=True)


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
