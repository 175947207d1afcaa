"""Exchange of the loads of targets at one entry instance."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mothshunt.configuration.model import Configuration
from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId
from mothshunt.helpers import log
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.load_sharing import const
from mothshunt.load_sharing.activity import SharingCondition
from mothshunt.load_sharing.entry_state import EntryLoads
from mothshunt.load_sharing.log_events import LoadSharingChanged
from mothshunt.load_sharing.messages import LoadNews
from mothshunt.membership.roster_view import RosterView
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.even_load import EvenLoad
from mothshunt.placement.model import ReportedLoad, RoutableTarget
from mothshunt.placement.state import Placement


@dataclass(slots=True, eq=False)
class LoadSharer:
    """Exchange of the loads of targets at one entry instance.

    It is active where the settings permit it and ``SharingCondition`` is met. Until
    then nothing is sent, and targets are chosen as if it did not exist.

    :param network: Streams to the control instances.
    :param controls: Returns the connected control instances.
    :param placement: Choice of the targets.
    :param roster: Entry instances that may be sending requests.
    :param clock: Source of the present time.
    :param metrics: Metrics of the process.
    :param is_permitted: Whether the settings permit it.
    :param loads: What is shared; ``None`` while nothing is.
    :param condition: Condition on which loads are shared.
    """

    network: PeerNetwork
    controls: Callable[[], Iterable[InstanceId]]
    placement: Placement
    roster: RosterView
    clock: Clock
    metrics: Metrics
    is_permitted: bool
    loads: EntryLoads | None = None
    condition: SharingCondition = field(default_factory=SharingCondition)
    _workspaces: int = 0
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Receive from control instances, and start to tell them."""
        if not self.is_permitted:
            return
        self.network.on_message(LoadNews, self._on_news)
        self.metrics.gauge(const.METRIC_ACTIVE, lambda: float(self.loads is not None))
        self.metrics.gauge(const.METRIC_SPREAD, self._spread)
        self._task = start_background("load-sharing", self._async_run)

    async def async_stop(self) -> None:
        """Stop to tell anything."""
        await async_cancel(self._task)

    def on_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration.

        :param configuration: The configuration in force.
        """
        self._workspaces = len(configuration.routing.workspace_by_name)
        self._update_activity(self.clock.monotonic())

    def _update_activity(self, now: float) -> None:
        is_active = self.loads is not None
        wanted = self.is_permitted and self.condition.is_met(
            self.roster.count(), now, is_active=is_active
        )
        if wanted is is_active:
            return
        self.loads = self._new_loads() if wanted else None
        self.placement.even_load = self.loads.even_load if self.loads else None
        log.write(
            LoadSharingChanged(
                is_active=wanted,
                entries=self.roster.count(),
                workspaces=self._workspaces,
                has_slowdowns=self.condition.has_slowdowns,
                has_queues=self.condition.has_queues(now),
            )
        )
        self.refresh()

    def _new_loads(self) -> EntryLoads:
        return EntryLoads(
            EvenLoad(self.placement.random), is_regional=self.placement.is_regional
        )

    def record_response(self, target: RoutableTarget, reported: ReportedLoad) -> None:
        """Record the load that a response carried.

        :param target: The target.
        :param reported: The load.
        """
        now = self.clock.monotonic()
        self.condition.record(target.service, reported, now)
        if self.loads is None:
            self._update_activity(now)
        if self.loads is not None:
            self.loads.record_response(target, reported, now)

    def _on_news(self, peer: InstanceId, news: LoadNews) -> None:
        if self.loads is not None:
            self.loads.apply(peer, news, self.clock.monotonic())

    def refresh(self) -> None:
        """Follow the targets and the entry instances that there are."""
        if self.loads is None:
            return
        now = self.clock.monotonic()
        self.loads.set_targets(
            load.target for load in self.placement.load_by_target.values()
        )
        own = self.roster.own
        peers = [
            entry.row.instance
            for entry in self.roster.ready_entries(now)
            if entry.row.region == own.region
        ]
        if own.instance in peers:
            position = (peers.index(own.instance), len(peers))
            self.loads.even_load.position = position
        self.placement.refresh_use(now)

    def share(self) -> None:
        """Tell the control instances what has been learned, if there is anything."""
        if self.loads is None:
            return
        message = self.loads.take_message(self.clock.monotonic())
        if message is not None:
            self.network.post_all(self.controls(), message)

    def _spread(self) -> float:
        if self.loads is None:
            return 1.0
        spreads = self.loads.spreads(self.clock.monotonic())
        return max((spread.busiest_by_mean for spread in spreads), default=1.0)

    async def _async_run(self) -> None:
        refresh_at = report_at = 0.0
        while True:
            await asyncio.sleep(const.SHARE_INTERVAL_S)
            now = self.clock.monotonic()
            if now >= refresh_at:
                refresh_at = now + const.REFRESH_INTERVAL_S
                self._update_activity(now)
                self.refresh()
            self.share()
            if self.loads is not None and now >= report_at:
                report_at = now + const.REPORT_INTERVAL_S
                for spread in self.loads.spreads(now):
                    log.write(spread)
