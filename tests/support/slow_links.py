"""Control and entry instances that exchange the configuration over slow links."""

import asyncio
import json
from dataclasses import dataclass, field
from random import Random

from expression import Ok

from mothshunt.configuration.follower import ConfigurationFollower
from mothshunt.configuration.holder import ConfigurationHolder
from mothshunt.configuration.publisher import ConfigurationPublisher
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.core.clock import SystemClock
from mothshunt.core.types import InstanceId, OperatorId
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.metrics.registry import Metrics
from mothshunt.routing.messages import PatchRouting
from mothshunt.routing.model import (
    RequestKind,
    Route,
    RouteItem,
    Service,
    ServiceItem,
    WeightedService,
)
from mothshunt.settings.config import Address
from testkit.ports import HOST, PortReservations
from testkit.proxy import Bandwidth, FaultProxy

KEY = b"k" * 32
SERVICE = "cabinet-status"
POLL_S = 0.02
LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"


class ConfirmingLog:
    """Replicated log that confirms each read; the test applies the commands."""

    def on_applied(self, listener):
        self.listener = listener

    async def async_read_barrier(self, timeout_s):
        return Ok(0)


def route_item(random, version):
    """Return a route as operators write them, with a random name and prefix."""
    name = "r-" + "".join(random.choices(LETTERS, k=7))
    prefix = "/" + "".join(random.choices(LETTERS, k=7)) + "/"
    document = {
        "name": name,
        "path_prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 2500,
        "target_latency_ms": 800,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "has_affinity": True,
        "home_regions": [],
        "version": version,
    }
    route = Route(
        name=name,
        host="rackview.example",
        path_prefix=prefix,
        kind=RequestKind.NON_IDEMPOTENT,
        timeout_s=2.5,
        target_latency_s=0.8,
        priority=1,
        services=(WeightedService(service=SERVICE, weight=1.0),),
        max_attempts=2,
        has_affinity=True,
        home_regions=(),
        document=json.dumps(document),
    )
    return RouteItem(name=name, version=version, route=route)


def first_patch():
    """Return a patch that sets the service."""
    service = Service(
        name=SERVICE,
        health_path="/healthz",
        max_connections=100,
        cold_start_s=3.0,
        cold_requests_per_s=5.0,
        document="{}",
    )
    item = ServiceItem(name=SERVICE, version=1, service=service)
    return PatchRouting(operator=OperatorId("operator"), services=(item,))


@dataclass
class SlowLinkWorld:
    """Instances of one deployment; each entry instance has a link of its own."""

    random: Random = field(default_factory=lambda: Random(41))
    ports: PortReservations = field(default_factory=PortReservations)
    index: int = 0
    logs: list = field(default_factory=list)
    states: list = field(default_factory=list)
    networks: list = field(default_factory=list)
    holders: list = field(default_factory=list)
    proxies_by_entry: dict = field(default_factory=dict)
    parts: list = field(default_factory=list)

    async def async_start(self, controls, entries, bytes_per_s):
        """Start all instances and wait until the entries have the service."""
        listen_by_control = {}
        for number in range(controls):
            control = InstanceId(f"c{number}")
            network = self._network(control)
            log, state = ConfirmingLog(), ReplicatedConfiguration()
            publisher = ConfigurationPublisher(
                state, log, ConfigurationHolder(), network, network.clock
            )
            await publisher.async_start()
            await network.async_start()
            self.parts += [publisher, network]
            self.logs.append(log)
            self.states.append(state)
            listen_by_control[control] = network.listen
        for number in range(entries):
            await self._async_start_entry(number, listen_by_control, bytes_per_s)
        self.apply(first_patch())
        await self.async_wait_until_in_force(5.0)

    def _network(self, instance):
        address = Address(host=HOST, port=self.ports.take())
        network = StreamNetwork(instance, KEY, address, SystemClock(), Metrics())
        self.networks.append(network)
        return network

    async def _async_start_entry(self, number, listen_by_control, bytes_per_s):
        entry = InstanceId(f"e{number}")
        network = self._network(entry)
        holder = ConfigurationHolder()
        follower = ConfigurationFollower(holder, network, None, network.clock)
        await follower.async_start()
        await network.async_start()
        network.on_connect(follower.subscribe)
        link = Bandwidth(bytes_per_s)
        for control, listen in listen_by_control.items():
            proxy = FaultProxy(listen.host, listen.port, bandwidth_to_client=link)
            port = await proxy.async_start()
            self.proxies_by_entry.setdefault(entry, []).append(proxy)
            network.dial(control, HOST, port)
        self.parts.append(network)
        self.holders.append(holder)

    async def async_stop(self):
        """Stop all instances and links."""
        for part in reversed(self.parts):
            await part.async_stop()
        for proxies in self.proxies_by_entry.values():
            for proxy in proxies:
                await proxy.async_stop()

    def apply(self, patch):
        """Apply a patch at all control instances."""
        self.index += 1
        for state, log in zip(self.states, self.logs, strict=True):
            state.apply(self.index, patch)
            log.listener(self.index)

    def add_routes(self, count):
        """Add routes in one patch."""
        routes = [route_item(self.random, self.index + 1) for _ in range(count)]
        self.apply(PatchRouting(operator=OperatorId("operator"), routes=tuple(routes)))

    def entries_behind(self):
        """Return how many entry instances lack the newest revision."""
        return sum(h.current().revision < self.index for h in self.holders)

    async def async_wait_until_in_force(self, timeout_s):
        """Wait until no entry instance lacks the newest revision; return the time."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while (left := self.entries_behind()) and loop.time() < began_at + timeout_s:
            await asyncio.sleep(POLL_S)
        assert not left, f"{left} of {len(self.holders)} entry instances lack a change"
        return loop.time() - began_at
