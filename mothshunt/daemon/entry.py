"""What an instance with the role ``entry`` runs."""

from dataclasses import dataclass

from mothshunt.core.types import Incarnation
from mothshunt.daemon.base import Base
from mothshunt.discovery.coordinator import DiscoveryCoordinator
from mothshunt.discovery.handlers import AnnouncementHandlers
from mothshunt.dispatch.forwarder import Forwarder
from mothshunt.dispatch.server import TrafficServer
from mothshunt.drain.coordinator import LeaveCoordinator
from mothshunt.ledger.client import LedgerClient
from mothshunt.limits.coordinator import LeaseHolderCoordinator
from mothshunt.lookup.coordinator import LookupHandler
from mothshunt.settings.config import Address
from mothshunt.steering.coordinator import SteeringCoordinator


@dataclass(slots=True, eq=False)
class Entry:
    """Hold the parts that an entry instance has.

    :param limits: Shares of limits.
    :param steering: Choice of targets.
    :param ledger: Idempotency keys.
    :param server: HTTP for callers and targets.
    :param leave: Graceful leave.
    """

    limits: LeaseHolderCoordinator
    steering: SteeringCoordinator
    ledger: LedgerClient
    server: TrafficServer
    leave: LeaveCoordinator

    @classmethod
    def from_base(
        cls,
        base: Base,
        discovery: DiscoveryCoordinator,
        incarnation: Incarnation,
        listen: Address,
    ) -> "Entry":
        """Build the parts of an entry instance.

        :param base: Parts that every instance has.
        :param discovery: Targets that are known.
        :param incarnation: Incarnation of this instance.
        :param listen: Where callers and targets are served.
        """
        clock, metrics, holder = base.clock, base.metrics, base.holder
        own = base.settings.instance
        limits = LeaseHolderCoordinator(
            instance=own.id,
            incarnation=incarnation,
            region=own.region,
            configuration=holder,
            control=base.uplink,
            clock=clock,
            metrics=metrics,
        )
        steering = SteeringCoordinator(
            region=own.region,
            availability_zone=own.availability_zone,
            incarnation=incarnation,
            directory=discovery.table,
            entries=base.view,
            configuration=holder,
            limits=limits,
            clock=clock,
            metrics=metrics,
        )
        ledger = LedgerClient(control=base.uplink, metrics=metrics, clock=clock)
        forwarder = Forwarder(
            configuration=holder,
            chooser=steering,
            ledger=ledger,
            metrics=metrics,
            clock=clock,
        )
        lookup = LookupHandler(
            region=own.region,
            availability_zone=own.availability_zone,
            configuration=holder,
            entries=base.view,
            is_ready=lambda: True,
            metrics=metrics,
        )
        announcements = AnnouncementHandlers(
            discovery.announcements, holder, discovery.send_soon, clock, metrics
        )
        server = TrafficServer(
            host=listen.host,
            port=listen.port,
            forwarder=forwarder,
            lookup=lookup.async_handle,
            announce=announcements.async_announce,
            leave=announcements.async_leave,
            metrics=metrics,
        )
        leave = LeaveCoordinator(clock, server.in_flight)
        leave.on_configuration(holder.current())
        holder.on_change(leave.on_configuration)
        return cls(
            limits=limits,
            steering=steering,
            ledger=ledger,
            server=server,
            leave=leave,
        )

    async def async_start(self) -> None:
        """Begin to serve callers and targets."""
        await self.limits.async_start()
        await self.steering.async_start()
        await self.server.async_start()

    async def async_leave(self) -> None:
        """Serve on until no caller depends on this instance, then finish."""
        await self.leave.async_wait_for_lookup_expiry()
        await self.server.async_stop_accepting()
        await self.leave.async_wait_for_requests()
        # A connection that was accepted just before brings its request only now.
        await self.server.async_drain()

    async def async_stop(self) -> None:
        """Stop to serve."""
        await self.server.async_stop()
        await self.steering.async_stop()
        await self.limits.async_stop()
