"""Spread of targets by a control instance."""

import asyncio
from collections.abc import Callable, Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, RegionId
from mothshunt.discovery import const
from mothshunt.discovery.messages import LoadRow, TargetRow, TargetRows
from mothshunt.discovery.state import TargetTable


@dataclass(frozen=True, kw_only=True, slots=True)
class Receiver:
    """Name an instance that is attached to this control instance.

    :param id: Name of the instance.
    :param region: Its region.
    """

    id: InstanceId
    region: RegionId


@dataclass(slots=True, eq=False)
class TargetRelay:
    """Pass on what is new of targets.

    News of an attached instance go to the other control instances and to all
    attached ones; news of a control instance go to the attached ones only. Loads
    go to attached instances of the target's region only.

    :param own_id: Name of this instance.
    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param reachable: Returns the entry instances that are reachable.
    :param receivers: Returns the attached instances.
    :param control_peers: Returns the other control instances.
    :param take_locally: Takes the news at this instance.
    """

    own_id: InstanceId
    network: PeerNetwork
    clock: Clock
    reachable: Callable[[], AbstractSet[InstanceId]]
    receivers: Callable[[], Iterable[Receiver]]
    control_peers: Callable[[], Iterable[InstanceId]]
    take_locally: Callable[[TargetRows], None]
    table: TargetTable = field(default_factory=TargetTable)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Begin to pass on."""
        self.network.on_message(TargetRows, self._on_rows)
        self._task = asyncio.create_task(self._async_sweep())

    async def async_stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()

    def welcome(self, instance: InstanceId) -> None:
        """Tell an instance that has just attached of all targets.

        :param instance: Name of the instance.
        """
        rows = tuple(known.row for known in self.table.known_by_target.values())
        if instance == self.own_id:
            self.take_locally(TargetRows(rows=rows))
        elif rows:
            self.network.post(instance, TargetRows(rows=rows))

    def on_connect(self, peer: InstanceId) -> None:
        """Tell a control instance of the targets announced to attached instances.

        :param peer: Peer that a stream now leads to.
        """
        if peer in frozenset(self.control_peers()):
            self.network.post(peer, TargetRows(rows=self._own_rows()))

    async def _async_sweep(self) -> None:
        full_at = self.clock.monotonic()
        while True:
            await asyncio.sleep(const.SWEEP_INTERVAL_S)
            now = self.clock.monotonic()
            self.table.sweep(self.reachable(), now)
            if now >= full_at:
                # Repairs what a lost stream swallowed.
                for control in self.control_peers():
                    self.network.post(control, TargetRows(rows=self._own_rows()))
                full_at = now + const.FULL_RELAY_INTERVAL_S

    def _own_rows(self) -> tuple[TargetRow, ...]:
        attached = frozenset(receiver.id for receiver in self.receivers())
        return tuple(
            known.row
            for known in self.table.known_by_target.values()
            if known.row.owner in attached
        )

    def _on_rows(self, peer: InstanceId, news: TargetRows) -> None:
        now = self.clock.monotonic()
        rows = tuple(row for row in news.rows if self.table.take(row, now))
        loads = tuple(load for load in news.loads if self.table.take_load(load, now))
        if not rows and not loads:
            return
        controls = frozenset(self.control_peers())
        if peer not in controls:
            for control in controls:
                self.network.post(control, TargetRows(rows=rows, loads=loads))
        for receiver in self.receivers():
            if receiver.id != peer:
                self._pass_on(receiver, rows, loads)

    def _pass_on(
        self,
        receiver: Receiver,
        rows: tuple[TargetRow, ...],
        loads: tuple[LoadRow, ...],
    ) -> None:
        near = tuple(load for load in loads if self._region(load) == receiver.region)
        if not rows and not near:
            return
        news = TargetRows(rows=rows, loads=near)
        if receiver.id == self.own_id:
            self.take_locally(news)
        else:
            self.network.post(receiver.id, news)

    def _region(self, load: LoadRow) -> RegionId:
        return self.table.known_by_target[load.target].row.announcement.region
