"""Which entry instances may be sending requests, as one instance sees it."""

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
    DEMAND_UNITS,
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
    """Hold what one control instance tells of the entry instances.

    :param row_by_id: Those attached to it.
    :param ready_since_by_id: Time from which it has named each of them as ready, in
        seconds.
    :param demand: What callers ask them for.
    :param digest: Digest of the rows.
    :param heard_at: Time at which the rows were last confirmed, in seconds.
    :param differs_since: Time since which its digest has been another one, in seconds;
        ``None`` while it is the same.
    """

    row_by_id: dict[InstanceId, EntryRow] = field(default_factory=dict)
    ready_since_by_id: dict[InstanceId, float] = field(default_factory=dict)
    demand: tuple[DemandRow, ...] = ()
    digest: int = 0
    heard_at: float = float("-inf")
    differs_since: float | None = None

    def take(self, rows: RosterRows, now: float) -> None:
        """Take what the control instance tells.

        :param rows: What it tells.
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
    """Follow at one instance which entry instances may be sending requests.

    What several control instances tell is united, and an instance that none names any
    more counts on for a while: limits that are divided among all must not be exceeded
    by those who are cut off.

    :param own: This instance's own report; counted in any case.
    :param own_ready_since: Time from which this instance takes requests, in seconds;
        ``None`` while it doesn't.
    """

    own: EntryReport
    own_ready_since: float | None = None
    _roster_by_control: dict[InstanceId, ControlRoster] = field(default_factory=dict)
    _row_by_id: dict[InstanceId, EntryRow] = field(default_factory=dict)
    _seen_at_by_id: dict[InstanceId, float] = field(default_factory=dict)
    _named_at_by_id: dict[InstanceId, float] = field(default_factory=dict)
    _zone_by_id: dict[InstanceId, AvailabilityZoneId] = field(default_factory=dict)
    _own_named_at: float = float("-inf")
    _own_named_since: float = float("-inf")
    _ready: Sequence[ReadyEntry] = ()
    _ready_worked_out_at: float = float("-inf")

    def take_rows(self, control: InstanceId, rows: RosterRows, now: float) -> None:
        """Take what a control instance tells of entry instances.

        :param control: Name of the control instance.
        :param rows: What it tells.
        :param now: The present time, in seconds.
        """
        roster = self._roster_by_control.setdefault(control, ControlRoster())
        roster.take(rows, now)
        self._ready_worked_out_at = float("-inf")
        self._see(roster, now)

    def take_pulse(self, control: InstanceId, pulse: RosterPulse, now: float) -> bool:
        """Take it that the entry instances of a control instance are the same.

        :param control: Name of the control instance.
        :param pulse: What it tells.
        :param now: The present time, in seconds.
        :return: Whether all rows are to be asked for, as they have differed for long.
        """
        roster = self._roster_by_control.setdefault(control, ControlRoster())
        if pulse.demand:
            roster.demand = pulse.demand
        if roster.digest == pulse.digest:
            roster.differs_since = None
            self._see(roster, now)
            return False
        if roster.differs_since is None:
            roster.differs_since = now
        if now - roster.differs_since < const.DIFFERS_FOR_S:
            return False
        roster.differs_since = now
        return True

    def _see(self, roster: ControlRoster, now: float) -> None:
        roster.heard_at = now
        for instance, row in roster.row_by_id.items():
            self._seen_at_by_id[instance] = now
            self._row_by_id[instance] = row
            self._named_at_by_id[instance] = now
            self._zone_by_id[instance] = row.availability_zone
        if self.own.instance in roster.row_by_id:
            self.note_named(now)
        for instance, seen_at in list(self._seen_at_by_id.items()):
            if now - seen_at >= const.ENTRY_COUNTS_FOR_S:
                del self._seen_at_by_id[instance]
                del self._row_by_id[instance]
        for instance, named_at in list(self._named_at_by_id.items()):
            if now - named_at >= const.PART_KEPT_S:
                del self._named_at_by_id[instance]
                self._zone_by_id.pop(instance, None)
        for control, other in list(self._roster_by_control.items()):
            if now - other.heard_at >= const.ENTRY_COUNTS_FOR_S and other is not roster:
                del self._roster_by_control[control]

    def note_named(self, now: float) -> None:
        """Take it that a control instance names this instance to the others.

        :param now: The present time, in seconds.
        """
        if now - self._own_named_at > const.NAMED_WITHIN_S:
            self._own_named_since = now
        self._own_named_at = now
        self._named_at_by_id[self.own.instance] = now
        self._zone_by_id[self.own.instance] = self.own.availability_zone

    def part_of_limit(self, window_s: float, now: float) -> float:
        """Return the part of a limit over a window that this instance may use.

        The parts of all instances add up to the whole at most. One that is cut off from
        here may go on using its part, so it counts for a while after it was last named.
        One that is new, or was frozen or cut off itself, has no part until what the
        others used while they did not count it is out of the window.

        :param window_s: Window of the limit, in seconds.
        :param now: The present time, in seconds.
        """
        if not self._is_counted(window_s, now):
            return 0.0
        return 1 / len(self._sharing(now))

    def part_of_zone_limit(
        self, zone: AvailabilityZoneId, window_s: float, now: float
    ) -> float:
        """Return the part of a limit that the instances of one zone share.

        Instances elsewhere have a part only while the zone has none. Otherwise as
        ``part_of_limit``.

        :param zone: The zone that the limit belongs to.
        :param window_s: Window of the limit, in seconds.
        :param now: The present time, in seconds.
        """
        if not self._is_counted(window_s, now):
            return 0.0
        sharing = self._sharing(now)
        in_zone = sum(self._zone_by_id[instance] == zone for instance in sharing)
        if in_zone == 0:
            return 1 / len(sharing)
        return 1 / in_zone if zone == self.own.availability_zone else 0.0

    def _is_counted(self, window_s: float, now: float) -> bool:
        """Tell whether all others have counted this instance for a window."""
        if now - self._own_named_at > const.NAMED_WITHIN_S:
            return False
        return now - self._own_named_since >= window_s + const.TOLD_WITHIN_S

    def _sharing(self, now: float) -> list[InstanceId]:
        """Return the instances among which limits are divided."""
        return [
            instance
            for instance, named_at in self._named_at_by_id.items()
            if now - named_at < const.PART_KEPT_S
        ]

    def rows(self) -> list[EntryRow]:
        """Return all entry instances that may be sending, this one included."""
        others = (r for i, r in self._row_by_id.items() if i != self.own.instance)
        return [self.own.row, *others]

    def count(self) -> int:
        """Return the number of entry instances that may be sending."""
        return len(self._row_by_id) + (self.own.instance not in self._row_by_id)

    def ready_entries(self, now: float) -> Sequence[ReadyEntry]:
        """Return the entry instances that take requests, sorted by name.

        They are those that most control instances name, of those that were heard of
        lately: one that is lost itself goes on naming what was lost with it. This
        instance knows of itself best. While it hears of no control instance, it is the
        only one that it can vouch for.

        :param now: The present time, in seconds.
        """
        if now - self._ready_worked_out_at >= const.READY_KEPT_S:
            self._ready = self._work_out_ready(now)
            self._ready_worked_out_at = now
        return self._ready

    def _work_out_ready(self, now: float) -> Sequence[ReadyEntry]:
        rosters = [
            roster
            for roster in self._roster_by_control.values()
            if now - roster.heard_at <= const.ROSTER_HOLDS_FOR_S
        ]
        votes = Counter(i for roster in rosters for i in roster.ready_since_by_id)
        named = {i for i, count in votes.items() if 2 * count > len(rosters)}
        found = []
        for instance in named - {self.own.instance}:
            naming = [r for r in rosters if instance in r.ready_since_by_id]
            newest = max(naming, key=lambda roster: roster.heard_at)
            since = min(roster.ready_since_by_id[instance] for roster in naming)
            found.append(ReadyEntry(newest.row_by_id[instance], since))
        if self.own_ready_since is not None:
            found.append(ReadyEntry(self.own.row, self.own_ready_since))
        return sorted(found)

    def known_entry_count(self) -> int:
        """Return the number of entry instances that are known, ready or not."""
        return self.count()

    def set_own_state(self, state: InstanceState, now: float) -> None:
        """Change the state of this instance.

        :param state: The new state.
        :param now: The present time, in seconds.
        """
        self.own = replace(self.own, state=state)
        self.own_ready_since = now if state is InstanceState.READY else None
        self._ready_worked_out_at = float("-inf")

    def region_by_zone(self) -> dict[AvailabilityZoneId, RegionId]:
        """Return the regions of the availability zones that they run in."""
        return {row.availability_zone: row.region for row in self.rows()}

    def demand(self, own: Mapping[ServiceName, float]) -> DemandByZone:
        """Return what callers ask for, by service and availability zone.

        A control instance that some entry instances can't reach tells less; the most
        that any of them tells is nearest to the whole.

        :param own: What callers ask this instance for.
        """
        own_zone = self.own.availability_zone
        demand: DemandByZone = {s: {own_zone: per_s} for s, per_s in own.items()}
        for roster in self._roster_by_control.values():
            for service, row in roster.demand:
                by_zone = demand.setdefault(service, {})
                for zone, units in row:
                    held = by_zone.get(zone, 0.0)
                    by_zone[zone] = max(held, units / DEMAND_UNITS)
        return demand
