"""Delivery of the configuration to an instance that is not a control instance."""

import asyncio
from dataclasses import dataclass, field

from expression import Result

from mothshunt.configuration import const
from mothshunt.configuration.delivery import (
    Beat,
    ConfirmedRevision,
    ConfirmedRevisionRequest,
    Delta,
    DeltaRequest,
    Subscribe,
)
from mothshunt.configuration.holder import ConfigurationHolder
from mothshunt.configuration.mirror import ConfigurationMirror, MirrorNeed
from mothshunt.core.clock import Clock
from mothshunt.core.network import ControlConnection, PeerNetwork
from mothshunt.core.types import InstanceId, Revision


@dataclass(slots=True, eq=False)
class ConfigurationFollower:
    """Receiver of the configuration; puts each received revision in force.

    :param holder: Configuration in force at this instance.
    :param network: Network for messages from and to the control instances.
    :param control: Connection for requests to the control instances.
    :param clock: Source of the monotonic time.
    """

    holder: ConfigurationHolder
    network: PeerNetwork
    control: ControlConnection
    clock: Clock
    mirror: ConfigurationMirror = field(default_factory=ConfigurationMirror)
    confirmed_at: float = 0.0
    _request_at: float = 0.0
    _request_interval_s: float = const.MIN_DELTA_REQUEST_INTERVAL_S
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def async_start(self) -> None:
        """Register the handlers of deltas and beats."""
        self.network.on_message(Delta, self._on_delta)
        self.network.on_message(Beat, self._on_beat)

    async def async_stop(self) -> None:
        """Do nothing; there is no state to close."""

    def subscribe(self, control: InstanceId, *, wants_changes: bool = True) -> None:
        """Subscribe to the configuration at a control instance.

        :param control: Name of the control instance.
        :param wants_changes: Whether it sends each change at once; otherwise it sends
            only beats, and changes are requested when a beat shows a newer revision.
        """
        # What was requested before may have been lost with the stream.
        self._allow_request()
        revision = self.mirror.store.revision
        self.network.post(
            control, Subscribe(revision=revision, wants_changes=wants_changes)
        )

    def _on_delta(self, peer: InstanceId, delta: Delta) -> None:
        held = self.mirror.store.revision
        self._allow_request()
        self._request(peer, self.mirror.apply(delta))
        if self.mirror.store.revision != held or delta.is_whole:
            self.holder.put_in_force(self.mirror.store)
            self._changed.set()

    def _on_beat(self, peer: InstanceId, beat: Beat) -> None:
        age_s = beat.confirmed_age_ms / 1000
        self.confirmed_at = self.clock.monotonic() - age_s
        need = self.mirror.check(beat)
        if need is MirrorNeed.ALL_ITEMS:
            self.holder.record_newest(beat.revision)
        else:
            self.holder.record_confirmation(beat.revision, self.confirmed_at)
        self._request(peer, need)

    def _allow_request(self) -> None:
        self._request_at = 0.0
        self._request_interval_s = const.MIN_DELTA_REQUEST_INTERVAL_S

    def _request(self, control: InstanceId, need: MirrorNeed) -> None:
        if need is MirrorNeed.NOTHING:
            return
        now = self.clock.monotonic()
        if now < self._request_at:
            return
        # A large delta may be on its way for longer than any fixed interval.
        self._request_at = now + self._request_interval_s
        self._request_interval_s = min(
            2 * self._request_interval_s, const.MAX_DELTA_REQUEST_INTERVAL_S
        )
        revision = self.mirror.store.revision
        is_whole = need is MirrorNeed.ALL_ITEMS
        self.network.post(control, DeltaRequest(revision=revision, is_whole=is_whole))

    def confirmed_age_s(self, now: float) -> float:
        """Return the time since a majority last confirmed a control instance.

        It counts from the confirmation that the newest beat reported, in seconds.

        :param now: Monotonic time, in seconds.
        """
        return now - self.confirmed_at

    async def async_wait_until_current(self) -> None:
        """Wait for a revision that a majority confirmed after the call."""
        while True:
            asked_at = self.clock.monotonic()
            answer = await self.control.async_ask(
                ConfirmedRevisionRequest(), const.CONFIRM_TIMEOUT_S
            )
            match answer:
                case Result(tag="ok", ok=ConfirmedRevision(revision=int(revision))):
                    self.holder.record_confirmation(Revision(revision), asked_at)
                    break
                case _:
                    await asyncio.sleep(const.CONFIRM_RETRY_PAUSE_S)
        while self.mirror.store.revision < revision:
            self._changed.clear()
            await self._changed.wait()
