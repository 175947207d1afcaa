"""Entry instances that are attached to control instances, and who else is."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from mothshunt.core.types import (
    AvailabilityZoneId,
    InstanceId,
    InstanceState,
    RegionId,
    ServiceName,
)
from mothshunt.membership import const
from mothshunt.util.wire import message


@message("membership.service_demand")
@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceDemand:
    """Tell how much callers ask an entry instance for one service.

    :param service: The service.
    :param per_s: Requests a second, smoothed.
    """

    service: ServiceName
    per_s: float


@message("membership.entry_report")
@dataclass(frozen=True, kw_only=True, slots=True)
class EntryReport:
    """Tell a control instance how an entry instance stands.

    :param instance: Name of the entry instance.
    :param region: Region that it runs in.
    :param availability_zone: Availability zone that it runs in.
    :param host: IP number for callers.
    :param port: TCP port for callers.
    :param state: State of the instance.
    :param revision: Revision of the configuration in force there.
    :param demand: What callers ask it for.
    :param in_flight: Requests that are being answered there.
    """

    instance: InstanceId
    region: RegionId
    availability_zone: AvailabilityZoneId
    host: str
    port: int
    state: InstanceState
    revision: int = 0
    demand: tuple[ServiceDemand, ...] = ()
    in_flight: int = 0


@message("membership.control_address")
@dataclass(frozen=True, kw_only=True, slots=True)
class ControlAddress:
    """Name a control instance.

    :param id: Name of the instance.
    :param host: IP number of its peer streams.
    :param port: TCP port of its peer streams.
    """

    id: InstanceId
    host: str
    port: int


@message("membership.roster")
@dataclass(frozen=True, kw_only=True, slots=True)
class Roster:
    """Tell of the entry instances attached to a control instance, and of its peers.

    :param entries: The entry instances.
    :param control: All control instances, the sender included.
    """

    entries: tuple[EntryReport, ...]
    control: tuple[ControlAddress, ...] = ()


@dataclass(slots=True, eq=False)
class EntryStanding:
    """Hold what a control instance knows of an entry instance.

    :param report: Its last report.
    :param reported_at: Time of that report, in seconds.
    :param detached_at: Time at which its stream closed, in seconds; ``None`` while
        one is open.
    """

    report: EntryReport
    reported_at: float
    detached_at: float | None = None


@dataclass(slots=True)
class RosterTable:
    """Follow the entry instances that are attached to a control instance."""

    standing_by_id: dict[InstanceId, EntryStanding] = field(default_factory=dict)

    def report(self, report: EntryReport, now: float) -> bool:
        """Take the report of an attached entry instance.

        :param report: The report.
        :param now: The present time, in seconds.
        :return: Whether the state of the instance changed.
        """
        held = self.standing_by_id.get(report.instance)
        self.standing_by_id[report.instance] = EntryStanding(
            report=report, reported_at=now
        )
        return held is None or held.report.state is not report.state

    def detach(self, instance: InstanceId, now: float) -> None:
        """Note that no stream leads to an instance any more.

        :param instance: Name of the instance.
        :param now: The present time, in seconds.
        """
        standing = self.standing_by_id.get(instance)
        if standing is not None and standing.detached_at is None:
            standing.detached_at = now

    def expire(self, now: float) -> bool:
        """Drop the entry instances that have been gone for long.

        :param now: The present time, in seconds.
        :return: Whether any was dropped.
        """
        gone = [
            instance
            for instance, standing in self.standing_by_id.items()
            if standing.detached_at is not None
            and now - standing.detached_at >= const.ENTRY_GONE_AFTER_S
        ]
        for instance in gone:
            del self.standing_by_id[instance]
        return bool(gone)

    def reports(self) -> tuple[EntryReport, ...]:
        """Return the reports of all entry instances."""
        return tuple(standing.report for standing in self.standing_by_id.values())

    def ready(self) -> list[EntryReport]:
        """Return the entry instances that take requests, sorted by name."""
        return sorted(
            (r for r in self.reports() if r.state is InstanceState.READY),
            key=lambda report: report.instance,
        )


@dataclass(slots=True)
class RosterView:
    """Follow at one instance which entry instances may be sending requests.

    What several control instances tell is united, and an instance that none names any
    more counts on for a while: limits that are divided among all must not be exceeded
    by those who are cut off.

    :param own: This instance's own report; counted in any case.
    """

    own: EntryReport
    _seen_at_by_id: dict[InstanceId, float] = field(default_factory=dict)
    _report_by_id: dict[InstanceId, EntryReport] = field(default_factory=dict)

    def take(self, entries: Iterable[EntryReport], now: float) -> None:
        """Take what a control instance tells.

        :param entries: The entry instances attached to it.
        :param now: The present time, in seconds.
        """
        for report in entries:
            self._seen_at_by_id[report.instance] = now
            self._report_by_id[report.instance] = report
        for instance, seen_at in list(self._seen_at_by_id.items()):
            if now - seen_at >= const.ENTRY_COUNTS_FOR_S:
                del self._seen_at_by_id[instance]
                del self._report_by_id[instance]

    def entries(self) -> list[EntryReport]:
        """Return all entry instances that may be sending, this one included."""
        others = [r for i, r in self._report_by_id.items() if i != self.own.instance]
        return [self.own, *others]

    def count(self) -> int:
        """Return the number of entry instances that may be sending."""
        return len(self.entries())

    def demand(self) -> dict[ServiceName, dict[AvailabilityZoneId, float]]:
        """Return what callers ask for, by service and availability zone."""
        demand: dict[ServiceName, dict[AvailabilityZoneId, float]] = {}
        for report in self.entries():
            for item in report.demand:
                by_zone = demand.setdefault(item.service, {})
                zone = report.availability_zone
                by_zone[zone] = by_zone.get(zone, 0.0) + item.per_s
        return demand

    def count_in_zone(self, zone: AvailabilityZoneId) -> int:
        """Return how many of them run in an availability zone.

        :param zone: The zone.
        """
        return sum(1 for r in self.entries() if r.availability_zone == zone)
