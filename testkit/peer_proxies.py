"""Proxies between the instances of a deployment."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from typing import Protocol

from testkit.loop_thread import LoopThread
from testkit.ports import HOST, PortReservations
from testkit.proxy import BOTH, Direction, FaultProxy
from testkit.shape import InstancePlan


class Peer(Protocol):
    """An instance as the proxies see it."""

    plan: InstancePlan
    id: str
    peer_port: int


class PeerProxies:
    """Hold one proxy for each pair of an instance and a control instance it dials.

    :param loop: Event loop that the proxies run in.
    :param ports: Source of ports.
    """

    def __init__(self, loop: LoopThread, ports: PortReservations) -> None:
        self._loop = loop
        self._ports = ports
        self._proxy_by_pair: dict[tuple[str, str], FaultProxy] = {}
        self._port_by_pair: dict[tuple[str, str], int] = {}

    def start(self, instances: Sequence[Peer], region_rtt_s: float) -> None:
        """Start a proxy for each pair.

        :param instances: All instances.
        :param region_rtt_s: Round-trip time between regions that is added.
        """
        for dialler in instances:
            for peer in instances:
                if peer.plan.is_control and peer.id != dialler.id:
                    is_far = dialler.plan.region != peer.plan.region
                    self._start_one(dialler, peer, region_rtt_s if is_far else 0.0)

    def _start_one(self, dialler: Peer, peer: Peer, rtt_s: float) -> None:
        proxy = FaultProxy(
            HOST,
            peer.peer_port,
            delay_to_server_s=rtt_s / 2,
            delay_to_client_s=rtt_s / 2,
        )
        pair = (dialler.id, peer.id)
        self._proxy_by_pair[pair] = proxy
        self._port_by_pair[pair] = self._loop.run(proxy.async_start(self._ports.take()))

    def port(self, dialler_id: str, peer: Peer) -> int:
        """Return the port at which an instance reaches a control instance.

        :param dialler_id: Name of the instance.
        :param peer: The control instance.
        """
        return self._port_by_pair.get((dialler_id, peer.id), peer.peer_port)

    def between(
        self, one: AbstractSet[str], other: AbstractSet[str]
    ) -> list[FaultProxy]:
        """Return the proxies between two groups of instances.

        :param one: Names of the instances of one group.
        :param other: Names of those of the other.
        """
        return [
            proxy
            for (dialler, peer), proxy in self._proxy_by_pair.items()
            if (dialler in one and peer in other) or (dialler in other and peer in one)
        ]

    def cut(
        self,
        one: AbstractSet[str],
        other: AbstractSet[str],
        directions: tuple[Direction, ...] = BOTH,
    ) -> None:
        """Let nothing pass between two groups of instances, silently.

        :param one: Names of the instances of one group.
        :param other: Names of those of the other.
        :param directions: Which way nothing passes, as the dialling side sees it.
        """
        for proxy in self.between(one, other):
            self._loop.call(proxy.cut, directions)

    def heal(self) -> None:
        """End all cuts."""
        for proxy in self._proxy_by_pair.values():
            self._loop.call(proxy.heal)

    def delay(self, one: AbstractSet[str], delay_s: float) -> None:
        """Change the time on the way to and from some instances.

        :param one: Names of the instances.
        :param delay_s: The time in each direction, in seconds.
        """
        for proxy in self.of(one):
            self._loop.call(proxy.set_delay, delay_s)

    def reset_open(self, one: AbstractSet[str]) -> None:
        """Break all open streams of some instances, so that both ends notice.

        :param one: Names of the instances.
        """
        for proxy in self.of(one):
            self._loop.call(proxy.reset_open)

    def silence_open_of(self, one: AbstractSet[str]) -> None:
        """Make the open streams of some instances silent for good; new ones pass.

        :param one: Names of the instances.
        """
        for proxy in self.of(one):
            self._loop.call(proxy.silence_open)

    def heal_between(self, one: AbstractSet[str], other: AbstractSet[str]) -> None:
        """End the cuts between two groups of instances.

        :param one: Names of the instances of one group.
        :param other: Names of those of the other.
        """
        for proxy in self.between(one, other):
            self._loop.call(proxy.heal)

    def of(self, one: AbstractSet[str]) -> list[FaultProxy]:
        """Return the proxies to and from some instances.

        :param one: Names of the instances.
        """
        return [
            proxy
            for pair, proxy in self._proxy_by_pair.items()
            if not one.isdisjoint(pair)
        ]

    def silence_open(self) -> int:
        """Make all open streams silent for good; new ones pass.

        :return: How many directions of streams were silenced.
        """
        proxies = self._proxy_by_pair.values()
        return sum(self._loop.call(proxy.silence_open) for proxy in proxies)

    def stop(self) -> None:
        """Stop all proxies."""
        for proxy in self._proxy_by_pair.values():
            self._loop.run(proxy.async_stop())
