"""The configuration at an instance that is not a control instance."""

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
from mothshunt.core.types import InstanceId


@dataclass(slots=True, eq=False)
class ConfigurationFollower:
    """Keep a copy of the configuration and put each revision in force.

    :param holder: The configuration in force at this instance.
    :param network: Streams to the control instances.
    :param control: Requests to the control instances.
    :param clock: Source of the present time.
    """

    holder: ConfigurationHolder
    network: PeerNetwork
    control: ControlConnection
    clock: Clock
    mirror: ConfigurationMirror = field(default_factory=ConfigurationMirror)
    confirmed_at: float = 0.0
    _asked_at: float = 0.0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def async_start(self) -> None:
        """Begin to take deliveries."""
        self.network.on_message(Delta, self._on_delta)
        self.network.on_message(Beat, self._on_beat)

    async def async_stop(self) -> None:
        """End; nothing is kept."""

    def subscribe(self, hub: InstanceId, *, wants_changes: bool = True) -> None:
        """Ask a control instance for deliveries.

        :param hub: Name of the control instance.
        :param wants_changes: Whether it is to tell of each change at once; otherwise
            its beats show what is to be asked for.
        """
        revision = self.mirror.store.revision
        self.network.post(
            hub, Subscribe(revision=revision, wants_changes=wants_changes)
        )

    def _on_delta(self, peer: InstanceId, delta: Delta) -> None:
        held = self.mirror.store.revision
        self._ask(peer, self.mirror.apply(delta))
        if self.mirror.store.revision != held or delta.is_whole:
            self.holder.put_in_force(self.mirror.store)
            self._changed.set()

    def _on_beat(self, peer: InstanceId, beat: Beat) -> None:
        age_s = beat.confirmed_age_ms / 1000
        self.confirmed_at = self.clock.monotonic() - age_s
        self._ask(peer, self.mirror.check(beat))

    def _ask(self, hub: InstanceId, need: MirrorNeed) -> None:
        if need is MirrorNeed.NOTHING:
            return
        now = self.clock.monotonic()
        if now - self._asked_at < const.SNAPSHOT_REQUEST_INTERVAL_S:
            return
        self._asked_at = now
        revision = self.mirror.store.revision
        is_whole = need is MirrorNeed.WHOLE
        self.network.post(hub, DeltaRequest(revision=revision, is_whole=is_whole))

    def confirmed_age_s(self, now: float) -> float:
        """Return the time since a majority confirmed what this copy follows.

        :param now: Monotonic time, in seconds.
        """
        return now - self.confirmed_at

    async def async_wait_until_current(self) -> None:
        """Wait until the copy holds what a majority confirmed after the call."""
        while True:
            answer = await self.control.async_ask(
                ConfirmedRevisionRequest(), const.CONFIRM_TIMEOUT_S
            )
            match answer:
                case Result(tag="ok", ok=ConfirmedRevision(revision=int(revision))):
                    break
                case _:
                    await asyncio.sleep(const.READY_POLL_S)
        while self.mirror.store.revision < revision:
            self._changed.clear()
            await self._changed.wait()
