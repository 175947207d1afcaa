"""Entry instances that may be sending requests, as one instance knows them."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from mothshunt.core.types import (
    AvailabilityZoneId,
    InstanceId,
    InstanceState,
    RegionId,
    ServiceName,
)
from mothshunt.membership import const
from mothshunt.membership.roster_messages import (
    DEMAND_UNITS_PER_RPS,
    DemandByZone,
    DemandRow,
    EntryReport,
    EntryRow,
    ReadyEntry,
    RosterPulse,
    RosterRows,
    roster_digest,
)


@dataclass(slots=True, eq=False)
class ControlRoster:
    """Entry instances that one control instance lists.

    :param row_by_id: Rows of the entry instances attached to it.
    :param ready_since_by_id: Time from which it has listed each of them as ready, in
        seconds.
    :param demand: Sum of their request rates.
    :param digest: Digest of the rows.
    :param confirmed_at: Time at which the rows were last confirmed, in seconds.
    :param differs_since: Time since which the digest that it sends has differed from
        ``digest``, in seconds; ``None`` while it is the same.
    """

    row_by_id: dict[InstanceId, EntryRow] = field(default_factory=dict)
    ready_since_by_id: dict[InstanceId, float] = field(default_factory=dict)
    demand: tuple[DemandRow, ...] = ()
    digest: int = 0
    confirmed_at: float = float("-inf")
    differs_since: float | None = None

    def apply_rows(self, rows: RosterRows, now: float) -> None:
        """Apply rows that the control instance sent.

        :param rows: The rows.
        :param now: The present time, in seconds.
        """
        if rows.is_whole:
            self.row_by_id.clear()
            self.differs_since = None
        for instance in rows.gone:
            self.row_by_id.pop(instance, None)
        for row in rows.rows:
            self.row_by_id[row.instance] = row
        self.digest = roster_digest(self.row_by_id.values())
        held = self.ready_since_by_id
        self.ready_since_by_id = {
            instance: held.get(instance, now)
            for instance, row in self.row_by_id.items()
            if row.is_ready
        }


@dataclass(slots=True)
class RosterView:
    """Entry instances that may be sending requests, from all control instances.

    The view is the union of what the control instances list. An entry instance that
    none lists any more still counts for a while: limits that are divided among all
    entry instances must not be exceeded by those that are cut off.

    :param own: This instance's own report; counted in any case.
    :param own_ready_since: Time from which this instance accepts requests, in seconds;
        ``None`` while it doesn't.
    """

    own: EntryReport
    own_ready_since: float | None = None
    _roster_by_control: dict[InstanceId, ControlRoster] = field(default_factory=dict)
    _row_by_id: dict[InstanceId, EntryRow] = field(default_factory=dict)
    # Rows are kept for ENTRY_RETENTION_S, zones for SHARE_RETENTION_S after an entry
    # instance was last listed.
    _row_listed_at_by_id: dict[InstanceId, float] = field(default_factory=dict)
    _share_listed_at_by_id: dict[InstanceId, float] = field(default_factory=dict)
    _zone_by_id: dict[InstanceId, AvailabilityZoneId] = field(default_factory=dict)
    _own_listed_at: float = float("-inf")
    _own_listed_since: float = float("-inf")
    _ready: Sequence[ReadyEntry] = ()
    _ready_computed_at: float = float("-inf")

    def apply_rows(self, control: InstanceId, rows: RosterRows, now: float) -> None:
        """Apply rows that a control instance sent.

        :param control: Name of the control instance.
        :param rows: The rows.
        :param now: The present time, in seconds.
        """
        roster = self._roster_by_control.setdefault(control, ControlRoster())
        roster.apply_rows(rows, now)
        self._ready_computed_at = float("-inf")
        self._confirm_rows(roster, now)

    def apply_pulse(self, control: InstanceId, pulse: RosterPulse, now: float) -> bool:
        """Apply a pulse, which confirms the rows of a control instance.

        :param control: Name of the control instance.
        :param pulse: The pulse.
        :param now: The present time, in seconds.
        :return: Whether to request all rows, because the digest has differed for too
            long.
        """
        roster = self._roster_by_control.setdefault(control, ControlRoster())
        if pulse.demand:
            roster.demand = pulse.demand
        if roster.digest == pulse.digest:
            roster.differs_since = None
            self._confirm_rows(roster, now)
            return False
        if roster.differs_since is None:
            roster.differs_since = now
        if now - roster.differs_since < const.DIGEST_MISMATCH_GRACE_S:
            return False
        roster.differs_since = now
        return True

    def _confirm_rows(self, roster: ControlRoster, now: float) -> None:
        roster.confirmed_at = now
        for instance, row in roster.row_by_id.items():
            self._row_listed_at_by_id[instance] = now
            self._row_by_id[instance] = row
            self._share_listed_at_by_id[instance] = now
            self._zone_by_id[instance] = row.availability_zone
        if self.own.instance in roster.row_by_id:
            self.record_own_listing(now)
        for instance, listed_at in list(self._row_listed_at_by_id.items()):
            if now - listed_at >= const.ENTRY_RETENTION_S:
                del self._row_listed_at_by_id[instance]
                del self._row_by_id[instance]
        for instance, listed_at in list(self._share_listed_at_by_id.items()):
            if now - listed_at >= const.SHARE_RETENTION_S:
                del self._share_listed_at_by_id[instance]
                self._zone_by_id.pop(instance, None)
        for control, other in list(self._roster_by_control.items()):
            if (
                now - other.confirmed_at >= const.ENTRY_RETENTION_S
                and other is not roster
            ):
                del self._roster_by_control[control]

    def record_own_listing(self, now: float) -> None:
        """Record that a control instance lists this instance to the others.

        :param now: The present time, in seconds.
        """
        if now - self._own_listed_at > const.MAX_LISTING_AGE_S:
            self._own_listed_since = now
        self._own_listed_at = now
        self._share_listed_at_by_id[self.own.instance] = now
        self._zone_by_id[self.own.instance] = self.own.availability_zone

    def limit_share(self, window_s: float, now: float) -> float:
        """Return the share of a limit over a window that this instance may use.

        The shares of all instances add up to at most 1. One that is cut off from this
        one may go on using its share, so it counts for a while after it was last
        listed. One that is new, or was frozen or cut off itself, has no share
        until what the others used while they did not count it is out of the window.

        :param window_s: Window of the limit, in seconds.
        :param now: The present time, in seconds.
        """
        if not self._is_known_to_all(window_s, now):
            return 0.0
        return 1 / len(self._limit_sharers(now))

    def zone_limit_share(
        self, zone: AvailabilityZoneId, window_s: float, now: float
    ) -> float:
        """Return this instance's share of a limit that belongs to one zone.

        Instances of other zones have a share only while the zone has no instance.
        Otherwise the same rules as in ``limit_share`` hold.

        :param zone: The zone that the limit belongs to.
        :param window_s: Window of the limit, in seconds.
        :param now: The present time, in seconds.
        """
        if not self._is_known_to_all(window_s, now):
            return 0.0
        sharers = self._limit_sharers(now)
        in_zone = sum(self._zone_by_id[instance] == zone for instance in sharers)
        if in_zone == 0:
            return 1 / len(sharers)
        return 1 / in_zone if zone == self.own.availability_zone else 0.0

    def _is_known_to_all(self, window_s: float, now: float) -> bool:
        """Whether all others have counted this instance for a whole window."""
        if now - self._own_listed_at > const.MAX_LISTING_AGE_S:
            return False
        return now - self._own_listed_since >= window_s + const.MAX_ANNOUNCE_DELAY_S

    def _limit_sharers(self, now: float) -> list[InstanceId]:
        """Return the instances among which limits are divided."""
        return [
            instance
            for instance, listed_at in self._share_listed_at_by_id.items()
            if now - listed_at < const.SHARE_RETENTION_S
        ]

    def rows(self) -> list[EntryRow]:
        """Return all entry instances that may be sending requests, this one first."""
        others = (r for i, r in self._row_by_id.items() if i != self.own.instance)
        return [self.own.row, *others]

    def count(self) -> int:
        """Return the number of entry instances that may be sending requests."""
        return len(self._row_by_id) + (self.own.instance not in self._row_by_id)

    def ready_entries(self, now: float) -> Sequence[ReadyEntry]:
        """Return the entry instances that accept requests, sorted by name.

        An instance is returned if more than half of the control instances with a valid
        roster list it as ready. A single control instance is not enough: one that is
        cut off goes on listing the entry instances that were cut off with it. Whether
        this instance is ready is taken from its own state. While no control instance
        has a valid roster, no other instance is returned.

        :param now: The present time, in seconds.
        """
        if now - self._ready_computed_at >= const.READY_CACHE_S:
            self._ready = self._compute_ready(now)
            self._ready_computed_at = now
        return self._ready

    def _compute_ready(self, now: float) -> Sequence[ReadyEntry]:
        rosters = [
            roster
            for roster in self._roster_by_control.values()
            if now - roster.confirmed_at <= const.ROSTER_LIFETIME_S
        ]
        votes = Counter(i for roster in rosters for i in roster.ready_since_by_id)
        listed = {i for i, count in votes.items() if 2 * count > len(rosters)}
        ready = []
        for instance in listed - {self.own.instance}:
            listing = [r for r in rosters if instance in r.ready_since_by_id]
            newest = max(listing, key=lambda roster: roster.confirmed_at)
            since = min(roster.ready_since_by_id[instance] for roster in listing)
            ready.append(ReadyEntry(newest.row_by_id[instance], since))
        if self.own_ready_since is not None:
            ready.append(ReadyEntry(self.own.row, self.own_ready_since))
        return sorted(ready)

    def known_entry_count(self) -> int:
        """Return the number of known entry instances, ready or not."""
        return self.count()

    def set_own_state(self, state: InstanceState, now: float) -> None:
        """Change the state of this instance.

        :param state: The new state.
        :param now: The present time, in seconds.
        """
        self.own = replace(self.own, state=state)
        self.own_ready_since = now if state is InstanceState.READY else None
        self._ready_computed_at = float("-inf")

    def region_by_zone(self) -> dict[AvailabilityZoneId, RegionId]:
        """Return the region of each availability zone with an entry instance."""
        return {row.availability_zone: row.region for row in self.rows()}

    def demand(self, own: Mapping[ServiceName, float]) -> DemandByZone:
        """Return the request rates by service and availability zone.

        A control instance that some entry instances can't reach reports a lower rate,
        so the highest rate that any control instance reports is taken.

        :param own: Request rates at this instance.
        """
        own_zone = self.own.availability_zone
        demand: DemandByZone = {s: {own_zone: per_s} for s, per_s in own.items()}
        for roster in self._roster_by_control.values():
            for service, row in roster.demand:
                by_zone = demand.setdefault(service, {})
                for zone, units in row:
                    held = by_zone.get(zone, 0.0)
                    by_zone[zone] = max(held, units / DEMAND_UNITS_PER_RPS)
        return demand
