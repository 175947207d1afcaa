"""Streams of this instance to all control instances that it knows of."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Result

from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId
from mothshunt.helpers import log
from mothshunt.helpers.log_events import Attached, Detached
from mothshunt.helpers.peer import codes as peer_codes
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.membership import const
from mothshunt.membership.primaries import Place, choose_primaries
from mothshunt.settings.config import ControlPeer


@dataclass(slots=True, eq=False)
class Attachments:
    """Keep a stream to each control instance; implement ``ControlConnection``.

    A change then reaches this instance as long as one stream leads to a control
    instance that has it; no time is lost on noticing that one is cut off.

    :param network: Streams of this instance.
    :param clock: Source of the present time.
    :param seeds: Control instances of the settings; dialled in any case.
    :param place: Where this instance runs.
    :param primaries: Control instances that are to tell of each change at once.
    """

    network: StreamNetwork
    clock: Clock
    seeds: tuple[ControlPeer, ...]
    place: Place
    primaries: frozenset[InstanceId] = frozenset()
    _place_by_id: dict[InstanceId, Place] = field(default_factory=dict)
    _primary_listeners: list[Callable[[InstanceId], None]] = field(default_factory=list)
    _peer_by_id: dict[InstanceId, ControlPeer] = field(default_factory=dict)
    _named_at_by_id: dict[InstanceId, float] = field(default_factory=dict)
    _listeners: list[Callable[[InstanceId], None]] = field(default_factory=list)

    async def async_start(self) -> None:
        """Begin to keep streams."""
        self.network.on_connect(self._on_connect)
        self.network.on_disconnect(self._on_disconnect)
        self.follow(())

    def set_seeds(self, seeds: tuple[ControlPeer, ...]) -> None:
        """Take the control instances of changed settings.

        :param seeds: Control instances of the settings.
        """
        self.seeds = seeds
        self.follow(())

    def follow(self, peers: Iterable[ControlPeer]) -> None:
        """Keep streams to the control instances given, and to those of the settings.

        One that is named no more is kept for a while: who is cut off from the others
        names those of long ago.

        :param peers: Control instances that somebody says the deployment has.
        """
        now = self.clock.monotonic()
        for peer in (*self.seeds, *peers):
            self._peer_by_id[peer.id] = peer
            self._named_at_by_id[peer.id] = now
            self.network.dial(peer.id, peer.host, peer.port)
        for peer_id, named_at in list(self._named_at_by_id.items()):
            if now - named_at > const.CONTROL_KEPT_S:
                del self._named_at_by_id[peer_id]
                del self._peer_by_id[peer_id]
                self.network.hang_up(peer_id)

    def on_attach(self, listener: Callable[[InstanceId], None]) -> None:
        """Call a listener each time a stream leads to a control instance anew.

        :param listener: Called in the event loop with the control instance's name.
        """
        self._listeners.append(listener)

    def on_primary_change(self, listener: Callable[[InstanceId], None]) -> None:
        """Call a listener when a control instance becomes a primary or ceases to be.

        :param listener: Called in the event loop with the control instance's name.
        """
        self._primary_listeners.append(listener)

    def note_place(self, control: InstanceId, place: Place) -> None:
        """Take where a control instance runs.

        :param control: Name of the control instance.
        :param place: Where it runs.
        """
        self._place_by_id[control] = place
        self._choose_primaries()

    def _choose_primaries(self) -> None:
        own_id = self.network.own_id
        others = (control for control in self.attached() if control != own_id)
        chosen = choose_primaries(others, self._place_by_id, own_id, self.place)
        changed = chosen ^ self.primaries
        self.primaries = chosen
        for control in changed:
            for listener in self._primary_listeners:
                listener(control)

    def attached(self) -> list[InstanceId]:
        """Return the control instances that a stream leads to, this one first."""
        own_id = self.network.own_id
        connected = self.network.connected()
        others = [i for i in self._peer_by_id if i in connected and i != own_id]
        return ([own_id] if own_id in self._peer_by_id else []) + others

    def peers(self) -> list[InstanceId]:
        """Return the other control instances that are known of."""
        return [i for i in self._peer_by_id if i != self.network.own_id]

    async def async_ask(
        self, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Ask all control instances until one answers; see ``ControlConnection``.

        Only for requests that may be handled twice. One that can't answer yet, as it
        knows of no leader, keeps nobody from the answer of another.
        """
        deadline = self.clock.monotonic() + timeout_s
        failure = Failure(code=peer_codes.NOT_CONNECTED, detail="control")
        asked: dict[InstanceId, asyncio.Task[Result[Any, Failure]]] = {}
        try:
            while (left_s := deadline - self.clock.monotonic()) > 0:
                for peer in self.attached():
                    if peer not in asked:
                        request = self.network.async_request(peer, message, left_s)
                        asked[peer] = asyncio.create_task(request)
                await asyncio.sleep(const.ASK_POLL_S)
                for peer in [p for p, task in asked.items() if task.done()]:
                    answer = asked.pop(peer).result()
                    if answer.is_ok():
                        return answer
                    failure = answer.error
        finally:
            for task in asked.values():
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
