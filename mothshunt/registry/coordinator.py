"""Spread of the targets' renewals from the control instances."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, TargetId
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.registry import const
from mothshunt.registry.messages import RegistryRefreshes, RegistryRows, Renewal
from mothshunt.registry.state import News, TargetRegistry

_LOGGER = get_logger("registry")


@dataclass(slots=True, eq=False)
class RegistryFollower:
    """Take what control instances tell of targets.

    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param registry: What is known here.
    :param is_whole: Whether a control instance has told all that it knows.
    """

    network: PeerNetwork
    clock: Clock
    registry: TargetRegistry = field(default_factory=TargetRegistry)
    is_whole: bool = False
    _listeners: list[Callable[[], None]] = field(default_factory=list)

    async def async_start(self) -> None:
        """Begin to take what control instances tell."""
        self.network.on_message(RegistryRows, self._on_rows)
        self.network.on_message(RegistryRefreshes, self.on_refreshes)

    def on_refreshes(self, peer: InstanceId, refreshes: RegistryRefreshes) -> None:
        """Take renewals that changed nothing.

        :param peer: Control instance that tells of them.
        :param refreshes: The renewals.
        """
        now = self.clock.monotonic()
        for target, incarnation, sequence, age_ms in refreshes.rows:
            self.registry.refresh(target, incarnation, sequence, now - age_ms / 1000)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener when anything but the time of hearing changed.

        :param listener: Called in the event loop.
        """
        self._listeners.append(listener)

    def _on_rows(self, peer: InstanceId, rows: RegistryRows) -> None:
        changed = self.take_rows(rows)
        self.is_whole = self.is_whole or rows.is_whole
        if changed:
            self.tell()

    def take_rows(self, rows: RegistryRows) -> list[TargetId]:
        """Take rows and return the targets that changed.

        :param rows: What a control instance told.
        """
        now = self.clock.monotonic()
        changed = []
        for row in rows.rows:
            heard_at = now - row.age_ms / 1000
            if self.registry.take(row.renewal, heard_at) is News.CHANGE:
                changed.append(row.renewal.target)
                log_change(row.renewal)
        return changed

    def tell(self) -> None:
        """Tell the listeners of a change."""
        for listener in self._listeners:
            listener()


@dataclass(slots=True, eq=False)
class RegistryPublisher:
    """Take renewals at a control instance and pass them on.

    A renewal goes to all other instances. A change that another control instance tells
    of goes on to the attached entries, as some may be cut off from its origin.

    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param follower: What is known here, and what other control instances tell.
    :param entries: Returns the attached entry instances.
    :param control_peers: Returns the other control instances.
    """

    network: PeerNetwork
    clock: Clock
    follower: RegistryFollower
    entries: Callable[[], Iterable[InstanceId]]
    control_peers: Callable[[], Iterable[InstanceId]]
    _own: set[TargetId] = field(default_factory=set)
    _refreshed: set[TargetId] = field(default_factory=set)
    _relayed: set[TargetId] = field(default_factory=set)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def async_start(self) -> None:
        """Begin to pass renewals on."""
        self.network.on_message(RegistryRows, self._on_rows)
        self.network.on_message(RegistryRefreshes, self.follower.on_refreshes)
        self._tasks = [
            start_background("registry-flush", self._async_flush),
            start_background("registry-repair", self._async_repair),
        ]

    async def async_stop(self) -> None:
        """End."""
        for task in self._tasks:
            await async_cancel(task)

    def renew(self, renewal: Renewal) -> News:
        """Take a renewal of a target.

        :param renewal: The renewal.
        """
        now = self.clock.monotonic()
        registry = self.follower.registry
        news = registry.take(renewal, now)
        if news is News.NOTHING:
            return news
        known = registry.known_by_target.get(renewal.target)
        if known is None:
            return News.NOTHING
        if news is News.CHANGE:
            log_change(renewal)
            self.follower.tell()
        is_due = now - known.told_at >= const.REFRESH_INTERVAL_S
        if news is News.CHANGE:
            self._own.add(renewal.target)
        elif is_due:
            self._refreshed.add(renewal.target)
        if news is News.CHANGE or is_due:
            known.told_at = now
        return news

    def welcome(self, instance: InstanceId) -> None:
        """Tell an instance that has just attached of all targets.

        :param instance: Name of the instance.
        """
        whole = self.follower.registry.whole(self.clock.monotonic())
        self.network.post(instance, whole)

    def _on_rows(self, peer: InstanceId, rows: RegistryRows) -> None:
        changed = self.follower.take_rows(rows)
        self._relayed.update(changed)
        if changed:
            self.follower.tell()

    async def _async_flush(self) -> None:
        while True:
            await asyncio.sleep(const.FLUSH_INTERVAL_S)
            self._flush(self.clock.monotonic())

    def _flush(self, now: float) -> None:
        registry = self.follower.registry
        entries = list(self.entries())
        own, self._own = self._own, set()
        relayed, self._relayed = self._relayed - own, set()
        refreshed, self._refreshed = self._refreshed - own, set()
        if refreshed:
            refreshes = registry.refreshes(refreshed, now)
            self.network.post_all([*self.control_peers(), *entries], refreshes)
        if own:
            rows = RegistryRows(rows=registry.rows(own, now))
            self.network.post_all([*self.control_peers(), *entries], rows)
        if relayed:
            rows = RegistryRows(rows=registry.rows(relayed, now))
            self.network.post_all(entries, rows)

    async def _async_repair(self) -> None:
        while True:
            await asyncio.sleep(const.FULL_INTERVAL_S)
            now = self.clock.monotonic()
            self.follower.registry.forget_lost(now)
            self.network.post_all(
                self.control_peers(), self.follower.registry.whole(now)
            )


def log_change(renewal: Renewal) -> None:
    """Log what a renewal changed.

    :param renewal: The renewal.
    """
    _LOGGER.info(
        "target changed",
        target=renewal.target,
        incarnation=renewal.incarnation,
        sequence=renewal.sequence,
        service=renewal.service,
        state=renewal.state.value,
        cold_ms=renewal.cold_ms,
        address=f"{renewal.host}:{renewal.port}",
    )
