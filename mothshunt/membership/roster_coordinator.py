"""Exchange of rosters between entry and control instances."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mothshunt.core.clock import Clock
from mothshunt.core.types import InstanceId, InstanceState, RegionId
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.membership import const
from mothshunt.membership.attachments import Attachments
from mothshunt.membership.roster import (
    ControlAddress,
    EntryReport,
    Roster,
    RosterTable,
    RosterView,
    ServiceDemand,
)
from mothshunt.settings.config import ControlPeer

_LOGGER = get_logger("membership")

#: Time between two looks at entry instances that may be gone, in seconds.
EXPIRE_INTERVAL_S = 0.2


@dataclass(slots=True, eq=False)
class RosterHub:
    """Gather the reports of entry instances at a control instance.

    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param control: Returns the addresses of all control instances.
    :param region: Region of this instance; its entry instances are told often, the
        others are told often by control instances of their own.
    :param table: What is known.
    """

    network: StreamNetwork
    clock: Clock
    control: Callable[[], tuple[ControlAddress, ...]]
    region: RegionId
    table: RosterTable = field(default_factory=RosterTable)
    _attach_listeners: list[Callable[[InstanceId], None]] = field(default_factory=list)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Begin to gather and to tell."""
        self.network.on_message(EntryReport, self.take_report)
        self.network.on_disconnect(self._on_disconnect)
        self._task = start_background("roster", self._async_run)

    async def async_stop(self) -> None:
        """End."""
        await async_cancel(self._task)

    def on_attached(self, listener: Callable[[InstanceId], None]) -> None:
        """Call a listener each time an entry instance attached here.

        :param listener: Called in the event loop with the instance's name.
        """
        self._attach_listeners.append(listener)

    def attached(self) -> list[InstanceId]:
        """Return the entry instances that a stream leads to."""
        return [
            instance
            for instance, standing in self.table.standing_by_id.items()
            if standing.detached_at is None
        ]

    def take_report(self, peer: InstanceId, report: EntryReport) -> None:
        """Take the report of an entry instance.

        :param peer: Instance that sent it.
        :param report: The report.
        """
        if report.instance != peer:
            return
        standing = self.table.standing_by_id.get(peer)
        is_new = standing is None or standing.detached_at is not None
        if self.table.report(report, self.clock.monotonic()):
            _LOGGER.info("entry instance", entry=peer, state=report.state.value)
            self._tell_all()
        if is_new:
            self.network.post(peer, self._roster())
            for listener in self._attach_listeners:
                listener(peer)

    def _on_disconnect(self, peer: InstanceId) -> None:
        self.table.detach(peer, self.clock.monotonic())

    def _roster(self) -> Roster:
        return Roster(entries=self.table.reports(), control=self.control())

    def _tell_all(self) -> None:
        self.network.post_all(self.attached(), self._roster())

    def _tell_region(self) -> None:
        standing_by_id = self.table.standing_by_id
        near = [
            i for i in self.attached() if standing_by_id[i].report.region == self.region
        ]
        self.network.post_all(near, self._roster())

    async def _async_run(self) -> None:
        tell_at = tell_all_at = 0.0
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            now = self.clock.monotonic()
            if self.table.expire(now):
                _LOGGER.warning("entry instances are gone", left=len(self.attached()))
                tell_all_at = now
            if now >= tell_all_at:
                self._tell_all()
                tell_all_at = now + const.FULL_ROSTER_INTERVAL_S
                tell_at = now + const.ROSTER_INTERVAL_S
            elif now >= tell_at:
                self._tell_region()
                tell_at = now + const.ROSTER_INTERVAL_S


@dataclass(slots=True, eq=False)
class RosterReporter:
    """Report an entry instance to all control instances, and follow their rosters.

    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param attachments: Streams to the control instances.
    :param view: What the control instances tell.
    :param revision: Returns the revision in force here.
    :param in_flight: Returns the requests that are being answered here.
    :param local: Gathers the reports here, where this is a control instance as well.
    """

    network: StreamNetwork
    clock: Clock
    attachments: Attachments
    view: RosterView
    revision: Callable[[], int]
    in_flight: Callable[[], int]
    local: RosterHub | None = None
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Begin to report."""
        self.network.on_message(Roster, self._on_roster)
        self.attachments.on_attach(self._report_to)
        self._task = start_background("entry-report", self._async_run)

    async def async_stop(self) -> None:
        """End."""
        await async_cancel(self._task)

    def set_state(self, state: InstanceState) -> None:
        """Change the state of this instance and report it at once.

        :param state: The new state.
        """
        self.view.own = replace(self.view.own, state=state)
        self.report()

    def report(self) -> None:
        """Report how this instance stands."""
        report = self._report()
        self.network.post_all(self.attachments.attached(), report)
        if self.local is not None:
            self.local.take_report(report.instance, report)

    def set_demand(self, demand: tuple[ServiceDemand, ...]) -> None:
        """Take what callers ask this instance for; told with the next report.

        :param demand: What callers ask for.
        """
        self.view.own = replace(self.view.own, demand=demand)

    def _report_to(self, control: InstanceId) -> None:
        self.network.post(control, self._report())

    def _report(self) -> EntryReport:
        return replace(
            self.view.own, revision=self.revision(), in_flight=self.in_flight()
        )

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(const.ENTRY_REPORT_INTERVAL_S)
            self.report()

    def _on_roster(self, peer: InstanceId, roster: Roster) -> None:
        self.view.take(roster.entries, self.clock.monotonic())
        if roster.control:
            self.attachments.follow(
                ControlPeer(id=c.id, host=c.host, port=c.port) for c in roster.control
            )
