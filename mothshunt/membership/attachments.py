"""Streams of this instance to all control instances that it knows."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Result

from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId
from mothshunt.helpers import log
from mothshunt.helpers.peer import codes as peer_codes
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.membership import const
from mothshunt.membership.log_events import Attached, Detached
from mothshunt.membership.primaries import Location, choose_primaries, order_by_distance
from mothshunt.settings.config import ControlPeer


@dataclass(slots=True, eq=False)
class Attachments:
    """Streams to all control instances; a ``ControlConnection``.

    A change reaches this instance as long as it is connected to one control instance
    that has the change. It need not first detect that another one is cut off.

    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param seeds: Control instances named in the settings; always dialled.
    :param location: Region and availability zone of this instance.
    :param primaries: Control instances that send this one each change at once.
    """

    network: StreamNetwork
    clock: Clock
    seeds: tuple[ControlPeer, ...]
    location: Location
    primaries: frozenset[InstanceId] = frozenset()
    _nearest: tuple[InstanceId, ...] = ()
    _location_by_id: dict[InstanceId, Location] = field(default_factory=dict)
    _primary_listeners: list[Callable[[InstanceId], None]] = field(default_factory=list)
    _peer_by_id: dict[InstanceId, ControlPeer] = field(default_factory=dict)
    _listed_at_by_id: dict[InstanceId, float] = field(default_factory=dict)
    _listeners: list[Callable[[InstanceId], None]] = field(default_factory=list)

    async def async_start(self) -> None:
        """Dial the control instances of the settings and watch their streams."""
        self.network.on_connect(self._on_connect)
        self.network.on_disconnect(self._on_disconnect)
        self.update_peers(())

    def set_seeds(self, seeds: tuple[ControlPeer, ...]) -> None:
        """Replace the control instances named in the settings.

        :param seeds: Control instances named in the changed settings.
        """
        self.seeds = seeds
        self.update_peers(())

    def update_peers(self, peers: Iterable[ControlPeer]) -> None:
        """Dial the control instances given and those of the settings.

        A control instance that is listed no more is still dialled for a while, because
        a control instance that is cut off from the others sends an outdated list.

        :param peers: Control instances that a control instance lists.
        """
        now = self.clock.monotonic()
        for peer in (*self.seeds, *peers):
            self._peer_by_id[peer.id] = peer
            self._listed_at_by_id[peer.id] = now
            self.network.dial(peer.id, peer.host, peer.port)
        for peer_id, listed_at in list(self._listed_at_by_id.items()):
            if now - listed_at > const.CONTROL_RETENTION_S:
                del self._listed_at_by_id[peer_id]
                del self._peer_by_id[peer_id]
                self.network.hang_up(peer_id)

    def on_attach(self, listener: Callable[[InstanceId], None]) -> None:
        """Register a listener for each new connection to a control instance.

        :param listener: Called in the event loop with the control instance's name.
        """
        self._listeners.append(listener)

    def on_primary_change(self, listener: Callable[[InstanceId], None]) -> None:
        """Register a listener for control instances that become or cease to be primary.

        :param listener: Called in the event loop with the control instance's name.
        """
        self._primary_listeners.append(listener)

    def set_location(self, control: InstanceId, location: Location) -> None:
        """Record the region and availability zone of a control instance.

        :param control: Name of the control instance.
        :param location: Its region and availability zone.
        """
        self._location_by_id[control] = location
        self._choose_primaries()

    def _choose_primaries(self) -> None:
        own_id = self.network.own_id
        others = (control for control in self.attached() if control != own_id)
        nearest = order_by_distance(others, self._location_by_id, own_id, self.location)
        self._nearest = nearest
        chosen = choose_primaries(nearest)
        changed = chosen ^ self.primaries
        self.primaries = chosen
        for control in changed:
            for listener in self._primary_listeners:
                listener(control)

    def nearest(self) -> tuple[InstanceId, ...]:
        """Return the connected control instances, nearest first."""
        own_id = self.network.own_id
        return (own_id, *self._nearest) if own_id in self._peer_by_id else self._nearest

    def attached(self) -> list[InstanceId]:
        """Return the connected control instances, with this instance first."""
        own_id = self.network.own_id
        connected = self.network.connected()
        others = [i for i in self._peer_by_id if i in connected and i != own_id]
        return ([own_id] if own_id in self._peer_by_id else []) + others

    def peers(self) -> list[InstanceId]:
        """Return the other known control instances, connected or not."""
        return [i for i in self._peer_by_id if i != self.network.own_id]

    async def async_ask(
        self, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a request to all control instances until one answers it.

        Only for requests that may be handled twice; see ``ControlConnection``. One
        that can't answer yet because it knows no leader doesn't delay the answer of
        another one.
        """
        deadline = self.clock.monotonic() + timeout_s
        failure = Failure(code=peer_codes.NOT_CONNECTED, detail="control")
        task_by_peer: dict[InstanceId, asyncio.Task[Result[Any, Failure]]] = {}
        try:
            while (left_s := deadline - self.clock.monotonic()) > 0:
                for peer in self.attached():
                    if peer not in task_by_peer:
                        request = self.network.async_request(peer, message, left_s)
                        task_by_peer[peer] = asyncio.create_task(request)
                await asyncio.sleep(const.REQUEST_POLL_INTERVAL_S)
                for peer in [p for p, task in task_by_peer.items() if task.done()]:
                    answer = task_by_peer.pop(peer).result()
                    if answer.is_ok():
                        return answer
                    failure = answer.error
        finally:
            for task in task_by_peer.values():
                task.cancel()
        return Error(failure)

    def _on_connect(self, peer: InstanceId) -> None:
        if peer not in self._peer_by_id:
            return
        log.write(Attached(control=peer, attached=len(self.attached())))
        self._choose_primaries()
        for listener in self._listeners:
            listener(peer)

    def _on_disconnect(self, peer: InstanceId) -> None:
        if peer in self._peer_by_id:
            log.write(Detached(control=peer, attached=len(self.attached())))
            self._choose_primaries()
