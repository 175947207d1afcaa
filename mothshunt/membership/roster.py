"""Entry instances attached to a control instance."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from mothshunt.core.types import InstanceId, InstanceState
from mothshunt.membership import const
from mothshunt.membership.roster_messages import (
    DEMAND_UNITS_PER_RPS,
    DemandByZone,
    DemandRow,
    EntryLoad,
    EntryReport,
    EntryRow,
    ReadyEntry,
)
from mothshunt.placement.admission_counts import ServiceCounts, sum_counts


@dataclass(slots=True, eq=False)
class AttachedEntry:
    """Entry instance, as a control instance knows it.

    :param report: Its last report.
    :param load: Its last load report.
    :param reported_at: Time at which it last sent a report or a load, in seconds.
    :param load_at: Time at which it sent the load report, in seconds.
    :param detached_at: Time at which its stream closed, in seconds; ``None`` while it
        is open.
    :param ready_since: Time from which it is known to accept requests, in seconds;
        ``None`` while it doesn't.
    """

    report: EntryReport
    reported_at: float
    load: EntryLoad = field(default_factory=EntryLoad)
    load_at: float = float("-inf")
    detached_at: float | None = None
    ready_since: float | None = None

    def update_ready_since(self, now: float) -> None:
        """Update ``ready_since`` from the reported state.

        :param now: The present time, in seconds.
        """
        if self.report.state is not InstanceState.READY:
            self.ready_since = None
        elif self.ready_since is None:
            self.ready_since = now


@dataclass(slots=True)
class RosterTable:
    """Entry instances attached to a control instance, by name."""

    entry_by_id: dict[InstanceId, AttachedEntry] = field(default_factory=dict)

    def record_report(self, report: EntryReport, now: float) -> bool:
        """Record the report of an attached entry instance.

        :param report: The report.
        :param now: The present time, in seconds.
        :return: Whether the instance is new here or its state changed.
        """
        held = self.entry_by_id.get(report.instance)
        if held is None:
            entry = AttachedEntry(report=report, reported_at=now)
            entry.update_ready_since(now)
            self.entry_by_id[report.instance] = entry
            return True
        is_changed = held.report.state is not report.state
        held.report = report
        held.reported_at = now
        held.detached_at = None
        held.update_ready_since(now)
        return is_changed

    def record_load(self, instance: InstanceId, load: EntryLoad, now: float) -> None:
        """Record the load of an attached entry instance.

        :param instance: Name of the instance.
        :param load: Its load.
        :param now: The present time, in seconds.
        """
        entry = self.entry_by_id.get(instance)
        if entry is not None:
            entry.load = load
            entry.load_at = entry.reported_at = now

    def detach(self, instance: InstanceId, now: float) -> None:
        """Record that the stream of an instance closed.

        :param instance: Name of the instance.
        :param now: The present time, in seconds.
        """
        entry = self.entry_by_id.get(instance)
        if entry is not None and entry.detached_at is None:
            entry.detached_at = now

    def remove_expired(self, now: float) -> list[InstanceId]:
        """Remove and return the instances whose stream has been closed for too long.

        :param now: The present time, in seconds.
        """
        gone = [
            instance
            for instance, entry in self.entry_by_id.items()
            if entry.detached_at is not None
            and now - entry.detached_at >= const.ENTRY_DETACH_GRACE_S
        ]
        for instance in gone:
            del self.entry_by_id[instance]
        return gone

    def attached(self, *, primary_only: bool = False) -> list[InstanceId]:
        """Return the connected entry instances.

        :param primary_only: Whether to return only those that this control instance
            is a primary of.
        """
        return [
            instance
            for instance, entry in self.entry_by_id.items()
            if entry.detached_at is None
            and (entry.report.is_primary or not primary_only)
        ]

    def rows(self) -> tuple[EntryRow, ...]:
        """Return the rows that are sent to entry instances."""
        return tuple(s.report.row for s in self.entry_by_id.values())

    def demand(self) -> tuple[DemandRow, ...]:
        """Return the request rates at attached instances, by service and zone."""
        demand: DemandByZone = {}
        for entry in self.entry_by_id.values():
            zone = entry.report.availability_zone
            for service, per_s in entry.load.demand:
                by_zone = demand.setdefault(service, {})
                by_zone[zone] = by_zone.get(zone, 0.0) + per_s
        return tuple(
            (
                service,
                tuple(
                    (z, round(per_s * DEMAND_UNITS_PER_RPS))
                    for z, per_s in by_zone.items()
                ),
            )
            for service, by_zone in demand.items()
        )

    def counts(self, now: float) -> tuple[ServiceCounts, ...]:
        """Return the sums of the counts in recent load reports, by service.

        :param now: The present time, in seconds.
        """
        rows = (
            row
            for entry in self.entry_by_id.values()
            if entry.load.counts and now - entry.load_at <= const.MAX_COUNTS_AGE_S
            for row in entry.load.counts
        )
        sums = sum_counts(rows, const.MAX_SUMMED_WORKSPACES)
        return tuple(sums.values())[: const.MAX_SUMMED_SERVICES]

    def ready_entries(self, now: float) -> Sequence[ReadyEntry]:
        """Return the entry instances that accept requests, sorted by name.

        :param now: The present time, in seconds.
        """
        return sorted(
            ReadyEntry(entry.report.row, entry.ready_since)
            for entry in self.entry_by_id.values()
            if entry.ready_since is not None
        )

    def known_entry_count(self) -> int:
        """Return the number of known entry instances."""
        return len(self.entry_by_id)
