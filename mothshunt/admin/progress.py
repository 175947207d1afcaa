"""How far drains have come."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from mothshunt.admin.deployment_model import DrainDocument
from mothshunt.configuration.service import InstanceStatus
from mothshunt.core.types import Revision
from mothshunt.discovery.model import Target
from mothshunt.drain.model import Drain, DrainKind

STATE_LOST = "lost"
#: Seconds after which a target's change of load is known here: it is announced each
#: second, told of each second at most, and only when it changed.
TARGET_REPORT_DELAY_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Surroundings:
    """Hold what the progress of drains is worked out from.

    :param statuses: State of every recorded instance.
    :param targets: Targets that are known here.
    :param lookup_lifetime_s: Longest time for which callers cache a look-up.
    :param now: Monotonic time, in seconds.
    """

    statuses: Sequence[InstanceStatus]
    targets: Sequence[Target]
    lookup_lifetime_s: float
    now: float


@dataclass(slots=True)
class DrainWatch:
    """Remember since when each drain has been seen in force everywhere."""

    since_by_drain: dict[tuple[Drain, Revision], float] = field(default_factory=dict)

    def document(
        self, drain: Drain, revision: Revision, around: Surroundings
    ) -> DrainDocument:
        """Describe a drain and how far it has come.

        :param drain: The drain.
        :param revision: Revision at which it was made.
        :param around: What its progress is worked out from.
        """
        reachable = [s for s in around.statuses if s.state != STATE_LOST]
        pending = tuple(s.id for s in reachable if s.revision < revision)
        since = self._since((drain, revision), not pending, around.now)
        counts = tuple(_in_flight(drain, around))
        in_flight = sum(counts) if counts else None
        cached_s = _cached_lookups_s(drain, around, since)
        is_reported = _is_reported_since(drain, around, since)
        return DrainDocument(
            kind=drain.kind.value,
            name=drain.name,
            reason=drain.reason,
            revision=revision,
            in_force_on=tuple(s.id for s in reachable if s.revision >= revision),
            pending_on=pending,
            lost=tuple(s.id for s in around.statuses if s.state == STATE_LOST),
            in_flight=in_flight,
            cached_lookups_s=round(cached_s, 1),
            complete=not (pending or in_flight or cached_s) and is_reported,
        )

    def keep_only(self, drains: Sequence[tuple[Drain, Revision]]) -> None:
        """Forget drains that are no longer there.

        :param drains: Drains that are there.
        """
        for key in self.since_by_drain.keys() - set(drains):
            del self.since_by_drain[key]

    def _since(
        self, key: tuple[Drain, Revision], is_in_force: bool, now: float
    ) -> float:
        if not is_in_force:
            self.since_by_drain.pop(key, None)
            return now
        return self.since_by_drain.setdefault(key, now)


def _cached_lookups_s(drain: Drain, around: Surroundings, since: float) -> float:
    # Look-ups name entries, never targets.
    if drain.kind is DrainKind.TARGET:
        return 0.0
    return max(0.0, since + around.lookup_lifetime_s - around.now)


def _in_flight(drain: Drain, around: Surroundings) -> Iterator[int]:
    for status in _instances(drain, around):
        yield status.in_flight
    for target in _targets(drain, around):
        if target.report is not None:
            yield target.report.in_flight


def _is_reported_since(drain: Drain, around: Surroundings, since: float) -> bool:
    """Tell whether the loads known here are from after the drain was in force."""
    for status in _instances(drain, around):
        if status.age_s is None or around.now - status.age_s < since:
            return False
    targets = list(_targets(drain, around))
    if not all(target.report for target in targets):
        return False
    return not targets or around.now - since >= TARGET_REPORT_DELAY_S


def _instances(drain: Drain, around: Surroundings) -> Iterator[InstanceStatus]:
    for status in around.statuses:
        name = {
            DrainKind.INSTANCE: status.id,
            DrainKind.AVAILABILITY_ZONE: status.availability_zone,
            DrainKind.REGION: status.region,
        }.get(drain.kind)
        if name == drain.name and status.state != STATE_LOST:
            yield status


def _targets(drain: Drain, around: Surroundings) -> Iterator[Target]:
    for target in around.targets:
        name = {
            DrainKind.TARGET: target.id,
            DrainKind.AVAILABILITY_ZONE: target.availability_zone,
            DrainKind.REGION: target.region,
        }.get(drain.kind)
        if name == drain.name:
            yield target
