"""Spread of the targets' renewals from the control instances."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, TargetId
from mothshunt.helpers import log
from mothshunt.helpers.log_events import TargetChanged
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.registry import const
from mothshunt.registry.messages import (
    RegistryPulse,
    RegistryRequest,
    RegistryRows,
    Renewal,
)
from mothshunt.registry.state import KnownTarget, News, TargetRegistry


@dataclass(slots=True, eq=False)
class RegistryFollower:
    """Take what control instances tell of targets.

    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param renewal_interval_s: Time between two renewals of a target, in seconds.
    :param gathers: Whether those that have only just started are asked as well: after
        a common start each control instance has heard of a part of the targets.
    :param registry: What is known here.
    :param is_settled: Whether this instance goes by what it knows: it has been told
        of targets for long enough, or by one that has.
    """

    network: PeerNetwork
    clock: Clock
    renewal_interval_s: float
    gathers: bool = False
    registry: TargetRegistry = field(default_factory=TargetRegistry)
    is_settled: bool = False
    _asked_at_by_peer: dict[InstanceId, float] = field(default_factory=dict)
    _differs_since_by_peer: dict[InstanceId, float] = field(default_factory=dict)
    _listeners: list[Callable[[], None]] = field(default_factory=list)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Begin to take what control instances tell."""
        self.network.on_message(RegistryRows, self._on_rows)
        self.network.on_message(RegistryPulse, self.on_pulse)
        self._task = start_background("registry-forget", self._async_forget)

    async def async_stop(self) -> None:
        """End."""
        await async_cancel(self._task)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener when anything but the time of hearing changed.

        :param listener: Called in the event loop.
        """
        self._listeners.append(listener)

    def on_pulse(self, peer: InstanceId, pulse: RegistryPulse) -> None:
        """Take when each target was heard of; ask for all targets where they differ.

        :param peer: Control instance that tells.
        :param pulse: What it tells.
        """
        now = self.clock.monotonic()
        if self.registry.take_pulse(pulse, now):
            self.is_settled = self.is_settled or pulse.is_settled
            self._differs_since_by_peer.pop(peer, None)
            return
        differs_since = self._differs_since_by_peer.setdefault(peer, now)
        if self.is_settled:
            is_due = now - differs_since >= const.DIFFERS_FOR_S
        elif pulse.is_settled:
            # One that is settled knows all there is to know.
            asked_at = max(self._asked_at_by_peer.values(), default=float("-inf"))
            is_due = now - asked_at >= const.FIRST_REQUEST_INTERVAL_S
        else:
            asked_at = self._asked_at_by_peer.get(peer, float("-inf"))
            is_due = self.gathers and now - asked_at >= const.FIRST_REQUEST_INTERVAL_S
        if is_due:
            self._ask(peer, now)

    def _ask(self, peer: InstanceId, now: float) -> None:
        self._asked_at_by_peer[peer] = now
        self._differs_since_by_peer[peer] = now
        self.network.post(peer, RegistryRequest())

    def _on_rows(self, peer: InstanceId, rows: RegistryRows) -> None:
        if self.take_rows(rows):
            self.tell()

    def take_rows(self, rows: RegistryRows) -> list[TargetId]:
        """Take rows and return the targets that changed.

        :param rows: What a control instance told.
        """
        now = self.clock.monotonic()
        self.is_settled = self.is_settled or rows.is_settled
        changed = []
        for row in rows.rows:
            if self.registry.take_row(row, now) is News.CHANGE:
                changed.append(row[0])
                log_change(self.registry.known_by_target.get(row[0]))
        return changed

    def tell(self) -> None:
        """Tell the listeners of a change."""
        for listener in self._listeners:
            listener()

    async def _async_forget(self) -> None:
        while True:
            await asyncio.sleep(const.FORGET_INTERVAL_S)
            self.registry.forget_lost(self.clock.monotonic())


@dataclass(slots=True, eq=False)
class RegistryPublisher:
    """Take renewals at a control instance and pass on what they change.

    A change goes to the other control instances and to the entry instances that have
    this one as a primary. All others find out by the pulses, which also tell that the
    targets live.

    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param follower: What is known here, and what other control instances tell.
    :param entries: Returns the attached entry instances.
    :param primary_entries: Returns those that are to be told of each change at once.
    :param control_peers: Returns the other control instances.
    """

    network: PeerNetwork
    clock: Clock
    follower: RegistryFollower
    entries: Callable[[], Iterable[InstanceId]]
    primary_entries: Callable[[], Iterable[InstanceId]]
    control_peers: Callable[[], Iterable[InstanceId]]
    _started_at: float = 0.0
    _own: set[TargetId] = field(default_factory=set)
    _relayed: set[TargetId] = field(default_factory=set)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def async_start(self) -> None:
        """Begin to pass renewals on."""
        self._started_at = self.clock.monotonic()
        await self.follower.async_start()
        self.network.on_message(RegistryRows, self._on_rows)
        self.network.on_message(RegistryRequest, self._on_request)
        self._tasks = [
            start_background("registry-flush", self._async_flush),
            start_background("registry-pulse", self._async_pulse),
        ]

    async def async_stop(self) -> None:
        """End."""
        for task in self._tasks:
            await async_cancel(task)
        await self.follower.async_stop()

    def renew(self, renewal: Renewal) -> News:
        """Take a renewal of a target.

        :param renewal: The renewal.
        """
        registry = self.follower.registry
        news = registry.take(renewal, self.clock.monotonic())
        if news is News.CHANGE:
            log_change(registry.known_by_target.get(renewal.target))
            self._own.add(renewal.target)
            self.follower.tell()
        return news

    def welcome(self, instance: InstanceId) -> None:
        """Tell an instance that has just attached which targets there are.

        It asks for them unless it knows them by another control instance.

        :param instance: Name of the instance.
        """
        self.network.post(instance, self._pulse())

    def _pulse(self) -> RegistryPulse:
        follower = self.follower
        return follower.registry.pulse(
            self.clock.monotonic(),
            follower.renewal_interval_s,
            is_settled=follower.is_settled,
        )

    def _on_request(self, peer: InstanceId, request: RegistryRequest) -> None:
        follower = self.follower
        whole = follower.registry.whole(
            self.clock.monotonic(), is_settled=follower.is_settled
        )
        self.network.post(peer, whole)

    def _on_rows(self, peer: InstanceId, rows: RegistryRows) -> None:
        changed = self.follower.take_rows(rows)
        self._relayed.update(changed)
        if changed:
            self.follower.tell()

    async def _async_flush(self) -> None:
        while True:
            await asyncio.sleep(const.FLUSH_INTERVAL_S)
            now = self.clock.monotonic()
            self._flush(now)
            self._settle(now)

    def _flush(self, now: float) -> None:
        registry = self.follower.registry
        own, self._own = self._own, set()
        relayed, self._relayed = self._relayed - own, set()
        if own:
            rows = RegistryRows(rows=registry.rows(own, now))
            self.network.post_all(self.control_peers(), rows)
        if own or relayed:
            rows = RegistryRows(rows=registry.rows(own | relayed, now))
            self.network.post_all(self.primary_entries(), rows)

    def _settle(self, now: float) -> None:
        """Go by what is known, once targets had the time to renew themselves here."""
        settle_s = self.follower.renewal_interval_s * const.SETTLE_INTERVALS
        if self.follower.is_settled or now - self._started_at < settle_s:
            return
        self.follower.is_settled = True
        self.network.post_all(self.entries(), self._pulse())

    async def _async_pulse(self) -> None:
        pulse_all_at = 0.0
        while True:
            await asyncio.sleep(const.PULSE_INTERVAL_S)
            now = self.clock.monotonic()
            pulse = self._pulse()
            self.network.post_all(self.control_peers(), pulse)
            if now < pulse_all_at:
                self.network.post_all(self.primary_entries(), pulse)
                continue
            pulse_all_at = now + const.FULL_PULSE_INTERVAL_S
            self.network.post_all(self.entries(), pulse)


def log_change(known: KnownTarget | None) -> None:
    """Log what a renewal changed.

    :param known: The target; ``None`` where another has its address by now.
    """
    if known is None:
        return
    renewal = known.renewal
    log.write(
        TargetChanged(
            target=renewal.target,
            incarnation=renewal.incarnation,
            sequence=renewal.sequence,
            service=renewal.service,
            state=renewal.state.value,
            cold_ms=renewal.cold_ms,
            address=f"{renewal.host}:{renewal.port}",
        )
    )
