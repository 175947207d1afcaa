"""Spread of targets by a control instance."""

import asyncio
from collections.abc import Callable, Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, RegionId, TargetId
from mothshunt.discovery import const
from mothshunt.discovery.load_budget import LoadBudget
from mothshunt.discovery.messages import LoadRow, TargetRow, TargetRows
from mothshunt.discovery.state import TargetTable
from mothshunt.helpers.tasks import async_cancel, start_background


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
    go to attached instances of the target's region only, within a budget.

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
    budget: LoadBudget = field(default_factory=LoadBudget)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def async_start(self) -> None:
        """Begin to pass on."""
        self.network.on_message(TargetRows, self.handle)
        self._tasks.append(start_background("relay-sweep", self._async_sweep))
        self._tasks.append(start_background("relay-loads", self._async_pass_on_loads))

    async def async_stop(self) -> None:
        """End."""
        for task in self._tasks:
            await async_cancel(task)

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
                news = TargetRows(rows=self._own_rows())
                self.network.post_all(self.control_peers(), news)
                full_at = now + const.FULL_RELAY_INTERVAL_S

    def _own_rows(self) -> tuple[TargetRow, ...]:
        attached = frozenset(receiver.id for receiver in self.receivers())
        return tuple(
            known.row
            for known in self.table.known_by_target.values()
            if known.row.owner in attached
        )

    def handle(self, peer: InstanceId, news: TargetRows) -> None:
        """Take news and pass them on.

        :param peer: Who tells.
        :param news: Targets and loads.
        """
        now = self.clock.monotonic()
        rows = tuple(row for row in news.rows if self.table.take(row, now))
        loads = [load for load in news.loads if self.table.take_load(load, now)]
        self.budget.add(load.target for load in loads)
        if not rows:
            return
        controls = frozenset(self.control_peers())
        if peer not in controls:
            self.network.post_all(controls, TargetRows(rows=rows))
        receivers = [item.id for item in self.receivers() if item.id != peer]
        self._pass_on(receivers, TargetRows(rows=rows))

    def _pass_on(self, receivers: list[InstanceId], news: TargetRows) -> None:
        if self.own_id in receivers:
            self.take_locally(news)
        others = [receiver for receiver in receivers if receiver != self.own_id]
        self.network.post_all(others, news)

    async def _async_pass_on_loads(self) -> None:
        while True:
            await asyncio.sleep(const.LOAD_FLUSH_S)
            self.flush_loads(self.clock.monotonic())

    def flush_loads(self, now: float) -> None:
        """Pass on the load reports whose turn it is.

        :param now: Monotonic time, in seconds.
        """
        known = self.table.known_by_target
        chosen = [t for t in self.budget.take(const.LOADS_PER_FLUSH) if t in known]
        if not chosen:
            return
        receivers = list(self.receivers())
        attached = frozenset(receiver.id for receiver in receivers)
        own = [t for t in chosen if known[t].row.owner in attached]
        if own:
            news = TargetRows(loads=self._loads(own, now))
            self.network.post_all(self.control_peers(), news)
        for region in {receiver.region for receiver in receivers}:
            near = [t for t in chosen if known[t].row.announcement.region == region]
            if near:
                ids = [item.id for item in receivers if item.region == region]
                self._pass_on(ids, TargetRows(loads=self._loads(near, now)))

    def _loads(self, targets: list[TargetId], now: float) -> tuple[LoadRow, ...]:
        rows = (self.table.load_row(target, now) for target in targets)
        return tuple(row for row in rows if row is not None)
