"""Entry instances that are attached to a control instance."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from mothshunt.core.types import InstanceId, InstanceState
from mothshunt.membership import const
from mothshunt.membership.roster_messages import (
    DEMAND_UNITS,
    DemandByZone,
    DemandRow,
    EntryLoad,
    EntryReport,
    EntryRow,
    ReadyEntry,
)


@dataclass(slots=True, eq=False)
class EntryStanding:
    """Hold what a control instance knows of an entry instance.

    :param report: Its last report.
    :param load: What it has to do.
    :param reported_at: Time at which it was last heard of, in seconds.
    :param detached_at: Time at which its stream closed, in seconds; ``None`` while
        one is open.
    :param ready_since: Time from which it is known to take requests, in seconds;
        ``None`` while it doesn't.
    """

    report: EntryReport
    reported_at: float
    load: EntryLoad = field(default_factory=EntryLoad)
    detached_at: float | None = None
    ready_since: float | None = None

    def note_state(self, now: float) -> None:
        """Note whether the instance takes requests.

        :param now: The present time, in seconds.
        """
        if self.report.state is not InstanceState.READY:
            self.ready_since = None
        elif self.ready_since is None:
            self.ready_since = now


@dataclass(slots=True)
class RosterTable:
    """Follow the entry instances that are attached to a control instance."""

    standing_by_id: dict[InstanceId, EntryStanding] = field(default_factory=dict)

    def report(self, report: EntryReport, now: float) -> bool:
        """Take the report of an attached entry instance.

        :param report: The report.
        :param now: The present time, in seconds.
        :return: Whether the instance is new here or its state changed.
        """
        held = self.standing_by_id.get(report.instance)
        if held is None:
            standing = EntryStanding(report=report, reported_at=now)
            standing.note_state(now)
            self.standing_by_id[report.instance] = standing
            return True
        is_changed = held.report.state is not report.state
        held.report = report
        held.reported_at = now
        held.detached_at = None
        held.note_state(now)
        return is_changed

    def take_load(self, instance: InstanceId, load: EntryLoad, now: float) -> None:
        """Take what an attached entry instance has to do.

        :param instance: Name of the instance.
        :param load: What it has to do.
        :param now: The present time, in seconds.
        """
        standing = self.standing_by_id.get(instance)
        if standing is not None:
            standing.load = load
            standing.reported_at = now

    def detach(self, instance: InstanceId, now: float) -> None:
        """Note that no stream leads to an instance any more.

        :param instance: Name of the instance.
        :param now: The present time, in seconds.
        """
        standing = self.standing_by_id.get(instance)
        if standing is not None and standing.detached_at is None:
            standing.detached_at = now

    def expire(self, now: float) -> list[InstanceId]:
        """Drop the entry instances that have been gone for long, and return them.

        :param now: The present time, in seconds.
        """
        gone = [
            instance
            for instance, standing in self.standing_by_id.items()
            if standing.detached_at is not None
            and now - standing.detached_at >= const.ENTRY_GONE_AFTER_S
        ]
        for instance in gone:
            del self.standing_by_id[instance]
        return gone

    def attached(self, *, primary_only: bool = False) -> list[InstanceId]:
        """Return the entry instances that a stream leads to.

        :param primary_only: Whether only those that are to be told of each change.
        """
        return [
            instance
            for instance, standing in self.standing_by_id.items()
            if standing.detached_at is None
            and (standing.report.is_primary or not primary_only)
        ]

    def rows(self) -> tuple[EntryRow, ...]:
        """Return what entry instances are told of each other."""
        return tuple(s.report.row for s in self.standing_by_id.values())

    def demand(self) -> tuple[DemandRow, ...]:
        """Return what callers ask the attached entry instances for, by zone."""
        demand: DemandByZone = {}
        for standing in self.standing_by_id.values():
            zone = standing.report.availability_zone
            for service, per_s in standing.load.demand:
                by_zone = demand.setdefault(service, {})
                by_zone[zone] = by_zone.get(zone, 0.0) + per_s
        return tuple(
            (
                service,
                tuple((z, round(per_s * DEMAND_UNITS)) for z, per_s in by_zone.items()),
            )
            for service, by_zone in demand.items()
        )

    def ready_entries(self, now: float) -> Sequence[ReadyEntry]:
        """Return the entry instances that take requests, sorted by name.

        :param now: The present time, in seconds.
        """
        return sorted(
            ReadyEntry(standing.report.row, standing.ready_since)
            for standing in self.standing_by_id.values()
            if standing.ready_since is not None
        )

    def known_entry_count(self) -> int:
        """Return the number of entry instances that are known here."""
        return len(self.standing_by_id)
