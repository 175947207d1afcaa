"""A routed entry in the present process, for raw targets behind it."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from random import Random

from mothshunt.configuration.model import Configuration
from mothshunt.core.clock import SystemClock
from mothshunt.core.types import InstanceState
from mothshunt.forwarding.connections import ConnectionPool
from mothshunt.forwarding.forwarder import RoutedForwarder
from mothshunt.forwarding.model import EntryInterface
from mothshunt.forwarding.refusal import Refuser
from mothshunt.forwarding.retry import RetryBudget
from mothshunt.forwarding.server import RoutedServer
from mothshunt.membership.roster_messages import EntryReport
from mothshunt.membership.roster_view import RosterView
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.coordinator import PlacementCoordinator
from mothshunt.placement.state import Placement
from mothshunt.registry.messages import Renewal
from mothshunt.registry.state import TargetRegistry
from mothshunt.routing.model import (
    RequestKind,
    RequestLimits,
    Route,
    RoutingTable,
    Service,
    WeightedService,
)
from mothshunt.settings.config import RoutingSettings

HOST = "shop.example"


@dataclass
class Holder:
    """Give the configuration that the test sets."""

    configuration: Configuration = field(default_factory=Configuration)

    def current(self) -> Configuration:
        return self.configuration


def route(name, prefix, kind, *, attempts=2, timeout_s=2.0) -> Route:
    return Route(
        name=name,
        host=HOST,
        path_prefix=prefix,
        kind=kind,
        timeout_s=timeout_s,
        target_latency_s=0.5,
        priority=1,
        services=(WeightedService(service="s", weight=1.0),),
        max_attempts=attempts,
        has_affinity=True,
        home_regions=(),
        document="{}",
    )


def table(timeout_s=2.0) -> RoutingTable:
    reads = route("reads", "/reads/", RequestKind.IDEMPOTENT, timeout_s=timeout_s)
    orders = route(
        "orders", "/orders/", RequestKind.NON_IDEMPOTENT, timeout_s=timeout_s
    )
    service = Service(
        name="s",
        health_path="/healthz",
        max_connections=100,
        cold_start_s=3.0,
        cold_requests_per_s=10.0,
        document="{}",
    )
    limits = RequestLimits(
        max_header_bytes=16384,
        max_body_bytes=1_000_000,
        header_timeout_s=3.0,
        idle_timeout_s=15.0,
        document="{}",
    )
    return RoutingTable(
        routes_by_host={HOST: (reads, orders)},
        service_by_name={"s": service},
        limits=limits,
        has_items=True,
    )


class RoutedWorld:
    """Hold one routed entry and what is behind it."""

    def __init__(self, timeout_s=2.0, ratio=1.0, slack=100.0) -> None:
        clock, self.metrics = SystemClock(), Metrics()
        self.holder = Holder(Configuration(routing=table(timeout_s)))
        self.registry = TargetRegistry()
        roster = RosterView(
            EntryReport(
                instance="e",
                region="north",
                availability_zone="north-a",
                host="127.0.0.1",
                port=1,
                state=InstanceState.READY,
            )
        )
        self.placement = PlacementCoordinator(
            placement=Placement(
                zone="north-a",
                region="north",
                max_region_shift=0.15,
                renewal_interval_s=1.5,
                random=Random(1),
            ),
            registry=self.registry,
            roster=roster,
            settings=RoutingSettings(),
            clock=clock,
            metrics=self.metrics,
            on_demand=lambda demand: None,
        )
        self.placement.on_configuration(self.holder.configuration)
        self.pool = ConnectionPool(clock, self.metrics)
        refuser = Refuser(EntryInterface().names, lambda seconds: f"{seconds:.3f}")
        self.is_ready = True
        forwarder = RoutedForwarder(
            configuration=self.holder,
            placement=self.placement,
            pool=self.pool,
            budget=RetryBudget(ratio=ratio, slack=slack, window_s=10.0),
            slack_part=lambda now: 1.0,
            refuser=refuser,
            is_ready=lambda: self.is_ready,
            metrics=self.metrics,
            clock=clock,
        )
        self.server = RoutedServer(
            host="127.0.0.1",
            port=0,
            forwarder=forwarder,
            refuser=refuser,
            configuration=self.holder,
            metrics=self.metrics,
        )

    async def start(self) -> None:
        await self.pool.async_start()
        await self.server.async_start()

    async def stop(self) -> None:
        await self.server.async_stop()
        await self.pool.async_stop()

    def add_target(self, name, port) -> None:
        renewal = Renewal(
            target=name,
            incarnation=1,
            sequence=1,
            service="s",
            host="127.0.0.1",
            port=port,
            region="north",
            availability_zone="north-a",
            slots=4,
        )
        self.registry.take(renewal, SystemClock().monotonic())
        self.placement.refresh()

    async def exchange(self, data: bytes, *, close_after_s=None) -> bytes:
        """Send raw bytes on a new connection and return all that comes back."""
        host, port = "127.0.0.1", self.server.port
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(data)
        if close_after_s is not None:
            await asyncio.sleep(close_after_s)
            writer.transport.abort()
            return b""
        answer = b""
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(5):
                while part := await reader.read(65536):
                    answer += part
        writer.close()
        return answer


def request_bytes(method, path, *, headers="", body=b"", request_id="id-1") -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
    head += f"Mothshunt-Request-Id: {request_id}\r\n{headers}"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body
