"""Distribution of the targets' renewals by the control instances."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, TargetId
from mothshunt.helpers import log
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.registry import const
from mothshunt.registry.log_events import TargetChanged
from mothshunt.registry.messages import (
    RegistryPulse,
    RegistryRequest,
    RegistryRows,
    Renewal,
)
from mothshunt.registry.state import KnownTarget, RenewalEffect, TargetRegistry


@dataclass(slots=True, eq=False)
class RegistryFollower:
    """Receiver of the renewals that control instances distribute.

    :param network: Streams of this instance.
    :param clock: Source of the current time.
    :param renewal_interval_s: Time between two renewals of a target, in seconds.
    :param asks_unsettled: Whether control instances that are not settled are asked for
        their targets too: when all start at the same time, each knows only some.
    :param registry: The targets known here.
    :param is_settled: Whether this instance knows enough targets to route by them; see
        ``RegistryRows``.
    """

    network: PeerNetwork
    clock: Clock
    renewal_interval_s: float
    asks_unsettled: bool = False
    registry: TargetRegistry = field(default_factory=TargetRegistry)
    is_settled: bool = False
    _requested_at_by_peer: dict[InstanceId, float] = field(default_factory=dict)
    _mismatch_since_by_peer: dict[InstanceId, float] = field(default_factory=dict)
    _listeners: list[Callable[[], None]] = field(default_factory=list)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Subscribe to rows and pulses, and start to remove lost targets."""
        self.network.on_message(RegistryRows, self._on_rows)
        self.network.on_message(RegistryPulse, self.on_pulse)
        self._task = start_background("registry-forget", self._async_remove_lost)

    async def async_stop(self) -> None:
        """Stop removing lost targets."""
        await async_cancel(self._task)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Add a listener for changes that are more than a refresh.

        :param listener: Called in the event loop.
        """
        self._listeners.append(listener)

    def on_pulse(self, peer: InstanceId, pulse: RegistryPulse) -> None:
        """Refresh the targets, or request all of them if the sender knows others.

        :param peer: Control instance that sent the pulse.
        :param pulse: The pulse.
        """
        now = self.clock.monotonic()
        if self.registry.apply_pulse(pulse, now):
            self.is_settled = self.is_settled or pulse.is_settled
            self._mismatch_since_by_peer.pop(peer, None)
            return
        mismatch_since = self._mismatch_since_by_peer.setdefault(peer, now)
        if self.is_settled:
            is_due = now - mismatch_since >= const.MISMATCH_GRACE_S
        elif pulse.is_settled:
            # Each settled instance knows all targets, so a request to one of them
            # is enough.
            requested_at = max(
                self._requested_at_by_peer.values(), default=float("-inf")
            )
            is_due = now - requested_at >= const.INITIAL_REQUEST_INTERVAL_S
        else:
            requested_at = self._requested_at_by_peer.get(peer, float("-inf"))
            is_due = (
                self.asks_unsettled
                and now - requested_at >= const.INITIAL_REQUEST_INTERVAL_S
            )
        if is_due:
            self._request_all_targets(peer, now)

    def _request_all_targets(self, peer: InstanceId, now: float) -> None:
        self._requested_at_by_peer[peer] = now
        self._mismatch_since_by_peer[peer] = now
        self.network.post(peer, RegistryRequest())

    def _on_rows(self, peer: InstanceId, rows: RegistryRows) -> None:
        if self.apply_rows(rows):
            self.notify_listeners()

    def apply_rows(self, rows: RegistryRows) -> list[TargetId]:
        """Apply rows and return the targets that changed.

        :param rows: Rows that a control instance sent.
        """
        now = self.clock.monotonic()
        self.is_settled = self.is_settled or rows.is_settled
        changed = []
        for row in rows.rows:
            if self.registry.apply_row(row, now) is RenewalEffect.CHANGED:
                changed.append(row[0])
                log_change(self.registry.known_by_target.get(row[0]))
        return changed

    def notify_listeners(self) -> None:
        """Notify the listeners of a change."""
        for listener in self._listeners:
            listener()

    async def _async_remove_lost(self) -> None:
        while True:
            await asyncio.sleep(const.REMOVAL_INTERVAL_S)
            self.registry.remove_lost(self.clock.monotonic())


@dataclass(slots=True, eq=False)
class RegistryPublisher:
    """Distributor of the renewals that a control instance receives.

    A change goes to the other control instances and to the entry instances that have
    this one as a primary. All others notice it by a pulse that differs. The pulses also
    show that the targets are alive.

    :param network: Streams of this instance.
    :param clock: Source of the current time.
    :param follower: Targets known here; receives those of other control instances.
    :param entries: Returns the attached entry instances.
    :param primary_entries: Returns those to which each change is sent at once.
    :param control_peers: Returns the other control instances.
    """

    network: PeerNetwork
    clock: Clock
    follower: RegistryFollower
    entries: Callable[[], Iterable[InstanceId]]
    primary_entries: Callable[[], Iterable[InstanceId]]
    control_peers: Callable[[], Iterable[InstanceId]]
    _started_at: float = 0.0
    _changed_here: set[TargetId] = field(default_factory=set)
    _changed_elsewhere: set[TargetId] = field(default_factory=set)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def async_start(self) -> None:
        """Start to distribute renewals."""
        self._started_at = self.clock.monotonic()
        await self.follower.async_start()
        self.network.on_message(RegistryRows, self._on_rows)
        self.network.on_message(RegistryRequest, self._on_request)
        self._tasks = [
            start_background("registry-flush", self._async_flush),
            start_background("registry-pulse", self._async_pulse),
        ]

    async def async_stop(self) -> None:
        """Stop the distribution."""
        for task in self._tasks:
            await async_cancel(task)
        await self.follower.async_stop()

    def renew(self, renewal: Renewal) -> RenewalEffect:
        """Apply a renewal of a target and queue a change for distribution.

        :param renewal: The renewal.
        """
        registry = self.follower.registry
        effect = registry.apply_renewal(renewal, self.clock.monotonic())
        if effect is RenewalEffect.CHANGED:
            log_change(registry.known_by_target.get(renewal.target))
            self._changed_here.add(renewal.target)
            self.follower.notify_listeners()
        return effect

    def send_pulse(self, instance: InstanceId) -> None:
        """Send a pulse to an instance that has just attached.

        It requests the targets unless it got them from another control instance.

        :param instance: Name of the instance.
        """
        self.network.post(instance, self._create_pulse())

    def _create_pulse(self) -> RegistryPulse:
        follower = self.follower
        return follower.registry.pulse(
            self.clock.monotonic(),
            follower.renewal_interval_s,
            is_settled=follower.is_settled,
        )

    def _on_request(self, peer: InstanceId, request: RegistryRequest) -> None:
        follower = self.follower
        rows = follower.registry.all_rows(
            self.clock.monotonic(), is_settled=follower.is_settled
        )
        self.network.post(peer, rows)

    def _on_rows(self, peer: InstanceId, rows: RegistryRows) -> None:
        changed = self.follower.apply_rows(rows)
        self._changed_elsewhere.update(changed)
        if changed:
            self.follower.notify_listeners()

    async def _async_flush(self) -> None:
        while True:
            await asyncio.sleep(const.FLUSH_INTERVAL_S)
            now = self.clock.monotonic()
            self._flush(now)
            self._update_settled(now)

    def _flush(self, now: float) -> None:
        registry = self.follower.registry
        here, self._changed_here = self._changed_here, set()
        elsewhere, self._changed_elsewhere = self._changed_elsewhere - here, set()
        if here:
            rows = RegistryRows(rows=registry.rows(here, now))
            self.network.post_all(self.control_peers(), rows)
        if here or elsewhere:
            rows = RegistryRows(rows=registry.rows(here | elsewhere, now))
            self.network.post_all(self.primary_entries(), rows)

    def _update_settled(self, now: float) -> None:
        """Become settled once targets have had the time to renew themselves here."""
        settle_s = self.follower.renewal_interval_s * const.SETTLE_INTERVALS
        if self.follower.is_settled or now - self._started_at < settle_s:
            return
        self.follower.is_settled = True
        self.network.post_all(self.entries(), self._create_pulse())

    async def _async_pulse(self) -> None:
        pulse_all_at = 0.0
        while True:
            await asyncio.sleep(const.PULSE_INTERVAL_S)
            now = self.clock.monotonic()
            pulse = self._create_pulse()
            self.network.post_all(self.control_peers(), pulse)
            if now < pulse_all_at:
                self.network.post_all(self.primary_entries(), pulse)
                continue
            pulse_all_at = now + const.FULL_PULSE_INTERVAL_S
            self.network.post_all(self.entries(), pulse)


def log_change(known: KnownTarget | None) -> None:
    """Log a target after a renewal has changed it.

    :param known: The target; ``None`` if another one has taken over its address.
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
