"""A routed entry in the present process, for raw targets behind it."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from random import Random

from mothshunt.configuration.model import Configuration
from mothshunt.core.clock import SystemClock
from mothshunt.core.types import (
    AvailabilityZoneId,
    HostName,
    Incarnation,
    InstanceState,
    RegionId,
    RouteName,
    ServiceName,
    TargetId,
)
from mothshunt.forwarding import const
from mothshunt.forwarding.connections import ConnectionPool
from mothshunt.forwarding.forwarder import RoutedForwarder
from mothshunt.forwarding.model import HeaderConventions
from mothshunt.forwarding.opening import AdmissionGate
from mothshunt.forwarding.refusal import RefusalBuilder
from mothshunt.forwarding.retry import RetryBudget
from mothshunt.forwarding.server import RoutedServer
from mothshunt.isolation.model import NoIsolation
from mothshunt.membership.roster_messages import EntryReport
from mothshunt.membership.roster_view import RosterView
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.coordinator import PlacementCoordinator
from mothshunt.placement.model import RoutableTarget
from mothshunt.placement.state import Placement
from mothshunt.quota.limiter import QuotaLimiter
from mothshunt.rate_limit.limiter import RateLimiter
from mothshunt.rate_limit.state import TokenIssuer
from mothshunt.rate_limit.token_service import TokenService
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
from testkit.loopback_network import OWN_ID, LoopbackNetwork

HOST = HostName("shop.example")
SERVICE = ServiceName("s")


@dataclass
class Holder:
    """Give the configuration that the test sets."""

    configuration: Configuration = field(default_factory=Configuration)

    def current(self) -> Configuration:
        """Return it."""
        return self.configuration


def route(
    name: RouteName,
    prefix: str,
    kind: RequestKind,
    *,
    attempts: int = 2,
    timeout_s: float = 2.0,
) -> Route:
    """Return a route to the service ``s``.

    :param name: Name of the route.
    :param prefix: Beginning of the paths that follow it.
    :param kind: Whether its requests may run more than once.
    :param attempts: Targets that one request may be sent to.
    :param timeout_s: Time limit of a request, in seconds.
    """
    return Route(
        name=name,
        host=HOST,
        path_prefix=prefix,
        kind=kind,
        timeout_s=timeout_s,
        target_latency_s=0.5,
        priority=1,
        services=(WeightedService(service=SERVICE, weight=1.0),),
        max_attempts=attempts,
        has_affinity=True,
        home_regions=(),
        document="{}",
    )


def table(timeout_s: float = 2.0) -> RoutingTable:
    """Return routes for reads and for orders, both to the service ``s``.

    :param timeout_s: Time limit of a request, in seconds.
    """
    reads = route(
        RouteName("reads"), "/reads/", RequestKind.IDEMPOTENT, timeout_s=timeout_s
    )
    orders = route(
        RouteName("orders"), "/orders/", RequestKind.NON_IDEMPOTENT, timeout_s=timeout_s
    )
    service = Service(
        name=SERVICE,
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
        service_by_name={SERVICE: service},
        limits=limits,
        has_items=True,
    )


class RoutedWorld:
    """Hold one routed entry and what is behind it.

    :param timeout_s: Time limit of a request, in seconds.
    :param ratio: Attempts beyond the first, as a part of the requests.
    :param slack: Attempts beyond the first that are allowed besides.
    :param is_open: Whether it serves from its start on.
    :param max_unread_bytes: Bytes of responses that callers may leave unread, in all.
    """

    def __init__(
        self,
        timeout_s: float = 2.0,
        ratio: float = 1.0,
        slack: float = 100.0,
        *,
        is_open: bool = True,
        max_unread_bytes: int = const.MAX_UNREAD_BYTES,
    ) -> None:
        clock, self.metrics = SystemClock(), Metrics()
        self.holder = Holder(Configuration(routing=table(timeout_s)))
        self.registry = TargetRegistry()
        self.is_current = True
        self.seen_leaving: list[RoutableTarget] = []
        self._port_by_name: dict[str, int] = {}
        self._sequence = 0
        roster = RosterView(
            EntryReport(
                instance=OWN_ID,
                region=RegionId("north"),
                availability_zone=AvailabilityZoneId("north-a"),
                host="127.0.0.1",
                port=1,
                state=InstanceState.READY,
            )
        )
        self.placement = PlacementCoordinator(
            state=Placement(
                zone=AvailabilityZoneId("north-a"),
                region=RegionId("north"),
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
            on_frequent_targets=lambda targets: None,
            on_leaving=self.seen_leaving.append,
        )
        self.placement.on_configuration(self.holder.configuration)
        self.network = LoopbackNetwork()
        self.rate_limiter = RateLimiter(
            network=self.network,
            controls=lambda: (OWN_ID,),
            known=self.registry.incarnation,
            clock=clock,
            metrics=self.metrics,
        )
        self.tokens = TokenService(
            network=self.network,
            control_count=lambda: 1,
            entries=lambda: (OWN_ID,),
            known=self.registry.incarnation,
            clock=clock,
            metrics=self.metrics,
            issuer=TokenIssuer(RoutingSettings().rate_limit_min_per_s),
        )
        self.placement.state.rate_limits = self.rate_limiter
        self.pool = ConnectionPool(clock, self.metrics)
        refusal_builder = RefusalBuilder(
            HeaderConventions().names, lambda seconds: f"{seconds:.3f}"
        )
        self.admission = AdmissionGate.from_start(clock)
        if is_open:
            self.admission.open()
        self.quota = QuotaLimiter(
            network=self.network,
            controls=lambda: (OWN_ID,),
            clock=clock,
            metrics=self.metrics,
        )
        forwarder = RoutedForwarder(
            isolation=NoIsolation(),
            configuration=self.holder,
            is_current=lambda now: self.is_current,
            placement=self.placement,
            rate_limiter=self.rate_limiter,
            quota=self.quota,
            pool=self.pool,
            budget=RetryBudget(ratio=ratio, slack=slack, window_s=10.0),
            slack_part=lambda now: 1.0,
            refusal_builder=refusal_builder,
            admission=self.admission,
            metrics=self.metrics,
            clock=clock,
        )
        self.server = RoutedServer(
            host="127.0.0.1",
            port=0,
            forwarder=forwarder,
            refusal_builder=refusal_builder,
            configuration=self.holder,
            metrics=self.metrics,
            max_unread_bytes=max_unread_bytes,
        )

    async def start(self) -> None:
        """Listen on a free port."""
        await self.tokens.async_start()
        await self.rate_limiter.async_start()
        await self.pool.async_start()
        await self.server.async_start()

    async def leave(self, leave_s: float) -> None:
        """Leave as the daemon does.

        :param leave_s: Time that the instance has to leave, in seconds.
        """
        await self.server.async_leave(leave_s, SystemClock().monotonic)

    async def stop(self) -> None:
        """Stop listening and close the connections to targets."""
        await self.server.async_stop()
        await self.rate_limiter.async_stop()
        await self.pool.async_stop()

    def add_target(self, name: str, port: int) -> None:
        """Have the entry know a target of the service ``s``.

        :param name: Name of the target.
        :param port: Its port on the loopback address.
        """
        self._port_by_name[name] = port
        self.renew(name)

    def renew(
        self, name: str, *, starts_again: bool = False, after_s: float = 0.0
    ) -> None:
        """Have the entry hear of a target again.

        :param name: Name of the target.
        :param starts_again: Whether it has a new incarnation from now on.
        :param after_s: Time after which it is heard of, in seconds.
        """
        held = self.registry.known_by_target.get(TargetId(name))
        incarnation = held.renewal.incarnation if held is not None else Incarnation(0)
        if starts_again or held is None:
            incarnation = Incarnation(incarnation + 1)
        self._sequence += 1
        renewal = Renewal(
            target=TargetId(name),
            incarnation=incarnation,
            sequence=self._sequence,
            service=SERVICE,
            host="127.0.0.1",
            port=self._port_by_name[name],
            region=RegionId("north"),
            availability_zone=AvailabilityZoneId("north-a"),
            slots=4,
        )
        self.registry.apply_renewal(renewal, SystemClock().monotonic() + after_s)
        self.placement.refresh()

    async def exchange(
        self, data: bytes, *, close_after_s: float | None = None
    ) -> bytes:
        """Send raw bytes on a new connection and return all that comes back.

        :param data: The bytes.
        :param close_after_s: Seconds after which the caller leaves; ``None`` to wait
            for the answer.
        """
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


def request_bytes(
    method: str,
    path: str,
    *,
    headers: str = "",
    body: bytes = b"",
    request_id: str = "id-1",
) -> bytes:
    """Return a request that closes its connection.

    :param method: HTTP method.
    :param path: Path.
    :param headers: Further header lines, each with its line end.
    :param body: Body; sent with a length unless it is empty.
    :param request_id: Name of the request.
    """
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
    head += f"Mothshunt-Request-Id: {request_id}\r\n{headers}"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body
