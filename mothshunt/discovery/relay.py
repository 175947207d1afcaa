"""Distribution of targets by a control instance."""

import asyncio
from collections.abc import Callable, Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, RegionId, TargetId
from mothshunt.discovery import const
from mothshunt.discovery.load_budget import LoadReportQueue
from mothshunt.discovery.messages import LoadRow, TargetRow, TargetRows
from mothshunt.discovery.state import TargetTable
from mothshunt.helpers.tasks import async_cancel, start_background


@dataclass(frozen=True, kw_only=True, slots=True)
class Receiver:
    """Instance that is attached to this control instance.

    :param id: Name of the instance.
    :param region: Its region.
    """

    id: InstanceId
    region: RegionId


@dataclass(slots=True, eq=False)
class TargetRelay:
    """Relay of changed targets and of loads.

    Changes from an attached instance go to the other control instances and to all other
    attached instances; changes from a control instance go to attached instances only.
    Loads from an attached instance go to the other control instances, and all loads go
    to the attached instances in the target's region, a bounded number at a time.

    :param own_id: Name of this instance.
    :param network: Streams of this instance.
    :param clock: Source of the current time.
    :param reachable: Returns the entry instances that are reachable.
    :param receivers: Returns the attached instances.
    :param control_peers: Returns the other control instances.
    :param apply_locally: Applies rows and loads at this instance.
    """

    own_id: InstanceId
    network: PeerNetwork
    clock: Clock
    reachable: Callable[[], AbstractSet[InstanceId]]
    receivers: Callable[[], Iterable[Receiver]]
    control_peers: Callable[[], Iterable[InstanceId]]
    apply_locally: Callable[[TargetRows], None]
    table: TargetTable = field(default_factory=TargetTable)
    load_queue: LoadReportQueue = field(default_factory=LoadReportQueue)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def async_start(self) -> None:
        """Start to relay."""
        self.network.on_message(TargetRows, self.on_rows)
        self._tasks.append(start_background("relay-sweep", self._async_sweep))
        self._tasks.append(start_background("relay-loads", self._async_flush_loads))

    async def async_stop(self) -> None:
        """Stop relaying."""
        for task in self._tasks:
            await async_cancel(task)

    def send_targets(self, instance: InstanceId) -> None:
        """Send all targets to an instance that has just attached.

        :param instance: Name of the instance.
        """
        rows = tuple(known.row for known in self.table.known_by_target.values())
        if instance == self.own_id:
            self.apply_locally(TargetRows(rows=rows))
        elif rows:
            self.network.post(instance, TargetRows(rows=rows))

    def on_connect(self, peer: InstanceId) -> None:
        """Send the targets announced to attached instances to a control instance.

        :param peer: Newly connected peer; ignored unless it is a control instance.
        """
        if peer in frozenset(self.control_peers()):
            self.network.post(peer, TargetRows(rows=self._attached_rows()))

    async def _async_sweep(self) -> None:
        next_full_at = self.clock.monotonic()
        while True:
            await asyncio.sleep(const.SWEEP_INTERVAL_S)
            now = self.clock.monotonic()
            self.table.sweep(self.reachable(), now)
            if now >= next_full_at:
                # Replaces rows that were lost with a broken stream.
                rows = TargetRows(rows=self._attached_rows())
                self.network.post_all(self.control_peers(), rows)
                next_full_at = now + const.FULL_RELAY_INTERVAL_S

    def _attached_rows(self) -> tuple[TargetRow, ...]:
        attached = frozenset(receiver.id for receiver in self.receivers())
        return tuple(
            known.row
            for known in self.table.known_by_target.values()
            if known.row.owner in attached
        )

    def on_rows(self, peer: InstanceId, received: TargetRows) -> None:
        """Apply received rows and loads; forward the changed rows and queue the loads.

        :param peer: Sender.
        :param received: Rows and loads.
        """
        now = self.clock.monotonic()
        rows = tuple(row for row in received.rows if self.table.apply_row(row, now))
        loads = [load for load in received.loads if self.table.apply_load(load, now)]
        self.load_queue.add(load.target for load in loads)
        if not rows:
            return
        controls = frozenset(self.control_peers())
        if peer not in controls:
            self.network.post_all(controls, TargetRows(rows=rows))
        receivers = [item.id for item in self.receivers() if item.id != peer]
        self._send(receivers, TargetRows(rows=rows))

    def _send(self, receivers: list[InstanceId], rows: TargetRows) -> None:
        if self.own_id in receivers:
            self.apply_locally(rows)
        others = [receiver for receiver in receivers if receiver != self.own_id]
        self.network.post_all(others, rows)

    async def _async_flush_loads(self) -> None:
        while True:
            await asyncio.sleep(const.LOAD_FLUSH_INTERVAL_S)
            self.flush_loads(self.clock.monotonic())

    def flush_loads(self, now: float) -> None:
        """Forward the load reports that have waited longest.

        :param now: Monotonic time, in seconds.
        """
        known = self.table.known_by_target
        due = [t for t in self.load_queue.pop(const.LOADS_PER_FLUSH) if t in known]
        if not due:
            return
        receivers = list(self.receivers())
        attached = frozenset(receiver.id for receiver in receivers)
        attached_targets = [t for t in due if known[t].row.owner in attached]
        if attached_targets:
            loads = TargetRows(loads=self._loads(attached_targets, now))
            self.network.post_all(self.control_peers(), loads)
        for region in {receiver.region for receiver in receivers}:
            in_region = [t for t in due if known[t].row.announcement.region == region]
            if in_region:
                ids = [item.id for item in receivers if item.region == region]
                self._send(ids, TargetRows(loads=self._loads(in_region, now)))

    def _loads(self, targets: list[TargetId], now: float) -> tuple[LoadRow, ...]:
        rows = (self.table.load_row(target, now) for target in targets)
        return tuple(row for row in rows if row is not None)
