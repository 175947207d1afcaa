"""Exchange of rosters between entry and control instances."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol

from mothshunt.core.clock import Clock
from mothshunt.core.types import InstanceId, InstanceState, RegionId, ServiceName
from mothshunt.helpers import log
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.membership import const
from mothshunt.membership.attachments import Attachments
from mothshunt.membership.log_events import EntriesGone, EntryChanged
from mothshunt.membership.primaries import Location
from mothshunt.membership.roster import RosterTable
from mothshunt.membership.roster_messages import (
    ControlAddress,
    ControlList,
    EntryLoad,
    EntryReport,
    RosterPulse,
    RosterRequest,
    RosterRows,
    roster_digest,
)
from mothshunt.membership.roster_view import RosterView
from mothshunt.placement.admission_counts import ServiceCounts
from mothshunt.settings.config import ControlPeer


@dataclass(slots=True, eq=False)
class RosterHub:
    """Collector of the reports of entry instances at a control instance.

    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param control: Returns the addresses of all control instances.
    :param location: Region and availability zone of this instance.
    :param table: Attached entry instances.
    """

    network: StreamNetwork
    clock: Clock
    control: Callable[[], tuple[ControlAddress, ...]]
    location: Location
    table: RosterTable = field(default_factory=RosterTable)
    _attach_listeners: list[Callable[[InstanceId], None]] = field(default_factory=list)
    _changed: set[InstanceId] = field(default_factory=set)
    _gone: set[InstanceId] = field(default_factory=set)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Register the message handlers and start to send the roster."""
        self.network.on_message(EntryReport, self.record_report)
        self.network.on_message(EntryLoad, self.record_load)
        self.network.on_message(RosterRequest, self._on_request)
        self.network.on_disconnect(self._on_disconnect)
        self._task = start_background("roster", self._async_run)

    async def async_stop(self) -> None:
        """Stop sending the roster."""
        await async_cancel(self._task)

    def on_attached(self, listener: Callable[[InstanceId], None]) -> None:
        """Register a listener for each entry instance that attaches here.

        :param listener: Called in the event loop with the instance's name.
        """
        self._attach_listeners.append(listener)

    def attached(self) -> list[InstanceId]:
        """Return the connected entry instances."""
        return self.table.attached()

    def primary_entries(self) -> list[InstanceId]:
        """Return the entry instances that this control instance is a primary of."""
        return self.table.attached(primary_only=True)

    def region_by_entry(self) -> dict[InstanceId, RegionId]:
        """Return the regions of the entry instances that reported here."""
        return {
            instance: entry.report.region
            for instance, entry in self.table.entry_by_id.items()
        }

    def record_report(self, peer: InstanceId, report: EntryReport) -> None:
        """Record the report of an entry instance; send the roster to a new one.

        :param peer: Instance that sent it.
        :param report: The report.
        """
        if report.instance != peer:
            return
        entry = self.table.entry_by_id.get(peer)
        is_new = entry is None or entry.detached_at is not None
        if self.table.record_report(report, self.clock.monotonic()):
            log.write(EntryChanged(entry=peer, state=report.state.value))
            self._gone.discard(peer)
            self._changed.add(peer)
        if is_new:
            self.network.post(peer, self._control_list())
            self.network.post(peer, self._full_roster())
            for listener in self._attach_listeners:
                listener(peer)

    def record_load(self, peer: InstanceId, load: EntryLoad) -> None:
        """Record the load of an entry instance.

        :param peer: Instance that sent it.
        :param load: Its load.
        """
        self.table.record_load(peer, load, self.clock.monotonic())

    def _on_request(self, peer: InstanceId, request: RosterRequest) -> None:
        self.network.post(peer, self._full_roster())

    def _on_disconnect(self, peer: InstanceId) -> None:
        self.table.detach(peer, self.clock.monotonic())

    def _full_roster(self) -> RosterRows:
        return RosterRows(rows=self.table.rows(), is_whole=True)

    def _control_list(self) -> ControlList:
        return ControlList(
            region=self.location.region,
            availability_zone=self.location.availability_zone,
            control=self.control(),
        )

    def _post_changes(self, now: float) -> None:
        gone = self.table.remove_expired(now)
        if gone:
            log.write(EntriesGone(entries=tuple(gone), left=len(self.attached())))
        self._changed.difference_update(gone)
        self._gone.update(gone)
        if not self._changed and not self._gone:
            return
        entry_by_id = self.table.entry_by_id
        rows = RosterRows(
            rows=tuple(entry_by_id[i].report.row for i in self._changed),
            gone=tuple(self._gone),
        )
        self._changed.clear()
        self._gone.clear()
        self.network.post_all(self.attached(), rows)

    async def _async_run(self) -> None:
        pulse_at = pulse_all_at = 0.0
        while True:
            await asyncio.sleep(const.ROSTER_FLUSH_INTERVAL_S)
            now = self.clock.monotonic()
            self._post_changes(now)
            if now < pulse_at:
                continue
            pulse_at = now + const.PRIMARY_PULSE_INTERVAL_S
            digest = roster_digest(self.table.rows())
            primary = self.primary_entries()
            pulse = RosterPulse(
                digest=digest,
                demand=self.table.demand(),
                counts=self.table.counts(now),
            )
            self.network.post_all(primary, pulse)
            if now >= pulse_all_at:
                pulse_all_at = now + const.SECONDARY_PULSE_INTERVAL_S
                others = set(self.attached()).difference(primary)
                self.network.post_all(others, RosterPulse(digest=digest))
                self.network.post_all(self.attached(), self._control_list())


class CountExchange(Protocol):
    """Counter of requests that is told the sums of all entry instances."""

    def take_counts(self) -> tuple[ServiceCounts, ...]:
        """Return the counts since the last call."""
        ...

    def record_sums(
        self, control: InstanceId, rows: tuple[ServiceCounts, ...], now: float
    ) -> None:
        """Record the sums of the counts of all entry instances.

        :param control: Control instance that sent them.
        :param rows: The sums.
        :param now: The present time, in seconds.
        """
        ...


@dataclass(slots=True, eq=False)
class RosterReporter:
    """Sender of an entry instance's reports; receiver of the rosters.

    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param attachments: Streams to the control instances.
    :param view: View that the received rosters are applied to.
    :param revision: Returns the revision in force here.
    :param in_flight: Returns the number of requests in flight here.
    :param local: Collector of reports here, if this is a control instance too.
    :param admission: Counts requests for the load reports, and is told the sums of all
        entry instances.
    """

    network: StreamNetwork
    clock: Clock
    attachments: Attachments
    view: RosterView
    revision: Callable[[], int]
    in_flight: Callable[[], int]
    local: RosterHub | None = None
    admission: CountExchange | None = None
    _demand: Mapping[ServiceName, float] = field(default_factory=dict)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Register the message handlers and start to report."""
        self.network.on_message(RosterRows, self._on_rows)
        self.network.on_message(RosterPulse, self._on_pulse)
        self.network.on_message(ControlList, self._on_control_list)
        self.attachments.on_attach(self._report_to)
        self.attachments.on_primary_change(self._report_to)
        self._task = start_background("entry-report", self._async_run)

    async def async_stop(self) -> None:
        """Stop reporting."""
        await async_cancel(self._task)

    def set_state(self, state: InstanceState) -> None:
        """Change the state of this instance and report it at once.

        :param state: The new state.
        """
        self.view.set_own_state(state, self.clock.monotonic())
        self.report()

    def set_demand(self, demand: Mapping[ServiceName, float]) -> None:
        """Set the request rates to send with the next load report.

        :param demand: Requests a second by service.
        """
        self._demand = demand

    def report(self) -> None:
        """Send the address and state of this instance to all control instances."""
        for control in self.attachments.attached():
            self._report_to(control)
        if self.local is not None:
            own = replace(self.view.own, is_primary=True)
            self.local.record_report(own.instance, own)

    def _report_load(self) -> None:
        load = EntryLoad(
            revision=self.revision(),
            in_flight=self.in_flight(),
            demand=tuple(
                (service, round(per_s, const.DEMAND_DIGITS))
                for service, per_s in self._demand.items()
            ),
            counts=() if self.admission is None else self.admission.take_counts(),
        )
        self.network.post_all(self.attachments.attached(), load)
        if self.local is not None:
            own, now = self.view.own.instance, self.clock.monotonic()
            self.local.record_load(own, load)
            self._record_sums(own, self.local.table.counts(now))
            self.view.record_own_listing(self.clock.monotonic())

    def _report_to(self, control: InstanceId) -> None:
        is_primary = control in self.attachments.primaries
        self.network.post(control, replace(self.view.own, is_primary=is_primary))

    async def _async_run(self) -> None:
        report_at = 0.0
        while True:
            await asyncio.sleep(const.ENTRY_LOAD_INTERVAL_S)
            now = self.clock.monotonic()
            if now >= report_at:
                report_at = now + const.ENTRY_REPORT_INTERVAL_S
                self.report()
            self._report_load()

    def _on_rows(self, peer: InstanceId, rows: RosterRows) -> None:
        self.view.apply_rows(peer, rows, self.clock.monotonic())

    def _on_pulse(self, peer: InstanceId, pulse: RosterPulse) -> None:
        if self.view.apply_pulse(peer, pulse, self.clock.monotonic()):
            self.network.post(peer, RosterRequest())
        self._record_sums(peer, pulse.counts)

    def _record_sums(
        self, control: InstanceId, counts: tuple[ServiceCounts, ...]
    ) -> None:
        if counts and self.admission is not None:
            self.admission.record_sums(control, counts, self.clock.monotonic())

    def _on_control_list(self, peer: InstanceId, message: ControlList) -> None:
        self.attachments.set_location(
            peer,
            Location(
                region=message.region, availability_zone=message.availability_zone
            ),
        )
        self.attachments.update_peers(
            ControlPeer(id=c.id, host=c.host, port=c.port) for c in message.control
        )
