"""Exchange of targets between this instance and its control instance."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId
from mothshunt.discovery import const
from mothshunt.discovery.announcements import Announcements
from mothshunt.discovery.messages import TargetRow, TargetRows
from mothshunt.discovery.state import TargetTable
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.membership.model import EntryDirectory


@dataclass(slots=True, eq=False)
class DiscoveryCoordinator:
    """Coordinator that sends targets announced here and receives all others.

    :param network: Streams of this instance.
    :param clock: Source of the current time.
    :param source: The configuration in force.
    :param entries: Entry instances that are reachable.
    :param hub: Returns the control instance that this instance is attached to.
    :param table: Targets known at this instance.
    :param announcements: Targets that announced themselves here.
    """

    network: PeerNetwork
    clock: Clock
    source: ConfigurationSource
    entries: EntryDirectory
    hub: Callable[[], InstanceId | None]
    table: TargetTable
    announcements: Announcements
    _pending_rows: list[TargetRow] = field(default_factory=list)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start to send rows and loads."""
        self._task = start_background("discovery", self._async_run)

    async def async_stop(self) -> None:
        """Stop sending."""
        await async_cancel(self._task)

    def on_attach(self, hub: InstanceId) -> None:
        """Send all targets announced here to a control instance.

        :param hub: Name of the control instance.
        """
        rows = TargetRows(rows=self.announcements.rows())
        self.network.post(hub, rows)

    def send_soon(self, row: TargetRow) -> None:
        """Send a changed row with the next batch.

        :param row: The row.
        """
        self._pending_rows.append(row)

    def apply_rows(self, rows: TargetRows) -> None:
        """Apply rows and loads that a control instance has sent.

        :param rows: The rows and loads.
        """
        now = self.clock.monotonic()
        for row in rows.rows:
            if row.owner != self.announcements.own_id:
                self.table.apply_row(row, now)
        for load in rows.loads:
            self.table.apply_load(load, now)

    async def _async_run(self) -> None:
        next_full_at = next_sweep_at = 0.0
        while True:
            await asyncio.sleep(const.FLUSH_INTERVAL_S)
            now = self.clock.monotonic()
            self._pending_rows.extend(self.announcements.expire_leases(now))
            if now >= next_full_at:
                # Replaces rows that were lost with a broken stream.
                self._pending_rows.extend(self.announcements.rows())
                next_full_at = now + const.FULL_ROWS_INTERVAL_S
            self._flush(now)
            if now >= next_sweep_at:
                self._remove_unreachable_owners(now)
                next_sweep_at = now + const.SWEEP_INTERVAL_S

    def _flush(self, now: float) -> None:
        loads = self.announcements.changed_loads(now)
        for load in loads:
            self.table.apply_load(load, now)
        hub = self.hub()
        if hub is None or not (self._pending_rows or loads):
            return
        if self.network.post(
            hub, TargetRows(rows=tuple(self._pending_rows), loads=loads)
        ):
            self._pending_rows.clear()

    def _remove_unreachable_owners(self, now: float) -> None:
        # While disconnected from all control instances, this instance cannot tell which
        # owners are reachable.
        if self.hub() is None:
            return
        reachable = {entry.record.id for entry in self.entries.entries()}
        if reachable:
            self.table.sweep(reachable, now)
