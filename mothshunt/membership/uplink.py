"""Stream of this instance to the control instance that it is attached to."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import xxhash
from expression import Error, Result

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId, RegionId, Role
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.peer import codes as peer_codes
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.membership import codes, const
from mothshunt.settings.config import ControlPeer, Settings

_LOGGER = get_logger("membership")


@dataclass(slots=True, eq=False)
class Uplink:
    """Stream to one control instance, its hub; a ``ControlConnection``.

    A control instance is attached to itself and keeps streams to all others.

    :param settings: Settings of this instance.
    :param source: The configuration in force.
    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param is_stale: Returns whether the control instance is cut off from the others.
    """

    settings: Settings
    source: ConfigurationSource
    network: StreamNetwork
    clock: Clock
    is_stale: Callable[[float], bool]
    attach_count: int = 0
    _hub: InstanceId | None = None
    _dialled: InstanceId | None = None
    _dialled_at: float = 0.0
    _attempted: set[InstanceId] = field(default_factory=set)
    _listeners: list[Callable[[InstanceId], None]] = field(default_factory=list)
    _task: asyncio.Task[None] | None = None

    @property
    def is_control(self) -> bool:
        """Whether this instance is a control instance."""
        return self.settings.has_role(Role.CONTROL)

    async def async_start(self) -> None:
        """Start to maintain the stream."""
        self._task = start_background("uplink", self._async_run)

    async def async_stop(self) -> None:
        """Stop maintaining the stream."""
        await async_cancel(self._task)

    def on_attach(self, listener: Callable[[InstanceId], None]) -> None:
        """Register a listener for each attachment of this instance.

        :param listener: Called in the event loop with the control instance's name.
        """
        self._listeners.append(listener)

    def hub(self) -> InstanceId | None:
        """Return the control instance that this instance is attached to."""
        return self._hub

    async def async_ask(
        self, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a request to the hub; wait and retry while it is not connected.

        See ``ControlConnection``.
        """
        deadline = self.clock.monotonic() + timeout_s
        while True:
            remaining_s = deadline - self.clock.monotonic()
            if remaining_s <= 0:
                return Error(Failure(code=peer_codes.NOT_CONNECTED, detail="control"))
            if self._hub is not None:
                answer = await self.network.async_request(
                    self._hub, message, remaining_s
                )
                if not _is_unsent(answer):
                    return answer
            await asyncio.sleep(const.REQUEST_POLL_INTERVAL_S)

    async def _async_run(self) -> None:
        while True:
            if self.is_control:
                self._dial_all()
                self._set_hub(self.network.own_id)
            else:
                self._check_stream(self.clock.monotonic())
            jitter = random.uniform(0.8, 1.2)
            await asyncio.sleep(const.UPLINK_CHECK_INTERVAL_S * jitter)

    def _dial_all(self) -> None:
        for peer in self._sorted_control_peers():
            self.network.dial(peer.id, peer.host, peer.port)

    def _check_stream(self, now: float) -> None:
        if self._dialled is not None and self.network.dialled(self._dialled):
            self._set_hub(self._dialled)
            is_settled = now - self._dialled_at > const.MAX_CONFIRMED_AGE_S
            if not is_settled or not self.is_stale(now):
                return
            _LOGGER.failure(
                "the control instance is cut off from the others",
                Failure(code=codes.NO_CONTROL_INSTANCE, detail=self._dialled),
            )
        elif self._dialled is not None:
            self._hub = None
            if now - self._dialled_at < const.UPLINK_CHECK_INTERVAL_S * 2:
                return
        self._dial_next_candidate(now)

    def _dial_next_candidate(self, now: float) -> None:
        candidates = self._sorted_control_peers()
        remaining = [peer for peer in candidates if peer.id not in self._attempted]
        if not remaining:
            self._attempted.clear()
            remaining = candidates
        chosen = remaining[0]
        self._attempted.add(chosen.id)
        if self._dialled is not None:
            self.network.hang_up(self._dialled)
        self._hub = None
        self._dialled = chosen.id
        self._dialled_at = now
        self.network.dial(chosen.id, chosen.host, chosen.port)

    def _set_hub(self, hub: InstanceId) -> None:
        if self._hub == hub:
            return
        self._hub = hub
        self._attempted.clear()
        self.attach_count += 1
        for listener in self._listeners:
            listener(hub)

    def _sorted_control_peers(self) -> list[ControlPeer]:
        peer_by_id = {peer.id: peer for peer in self.settings.control}
        region_by_id: dict[InstanceId, RegionId] = {}
        for record in self.source.current().instance_by_id.values():
            region_by_id[record.id] = record.region
            # An address from the settings takes precedence: it may be that of a relay.
            if Role.CONTROL in record.roles and record.id not in peer_by_id:
                peer_by_id[record.id] = ControlPeer(
                    id=record.id, host=record.peer_host, port=record.peer_port
                )
        own = self.settings.instance
        return sorted(
            peer_by_id.values(),
            key=lambda peer: (
                region_by_id.get(peer.id) != own.region,
                xxhash.xxh64_intdigest(f"{own.id}/{peer.id}".encode()),
            ),
        )


def _is_unsent(answer: Result[Any, Failure]) -> bool:
    return answer.is_error() and answer.error.code is peer_codes.NOT_CONNECTED
