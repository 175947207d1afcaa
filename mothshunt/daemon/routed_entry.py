"""What an entry instance of a routed deployment runs."""

from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from mothshunt.configuration.holder import ConfigurationHolder
from mothshunt.core.clock import Clock
from mothshunt.core.types import InstanceState
from mothshunt.forwarding.connections import ConnectionPool
from mothshunt.forwarding.forwarder import RoutedForwarder
from mothshunt.forwarding.model import HeaderConventions
from mothshunt.forwarding.opening import AdmissionGate
from mothshunt.forwarding.refusal import RefusalBuilder
from mothshunt.forwarding.retry import RetryBudget
from mothshunt.forwarding.server import RoutedServer
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.isolation.coordinator import EntryIsolation
from mothshunt.isolation.model import NoIsolation
from mothshunt.isolation.relay import RelayClient
from mothshunt.load_sharing.coordinator import LoadSharer
from mothshunt.locality.coordinator import LocalityReporter
from mothshunt.lookup.directory import EntryLookup
from mothshunt.membership.attachments import Attachments
from mothshunt.membership.roster_coordinator import RosterHub, RosterReporter
from mothshunt.membership.roster_messages import EntryReport
from mothshunt.membership.roster_view import RosterView
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.coordinator import PlacementCoordinator
from mothshunt.placement.state import Placement
from mothshunt.quota.limiter import QuotaLimiter
from mothshunt.rate_limit.limiter import RateLimiter
from mothshunt.registry.coordinator import RegistryFollower
from mothshunt.registry.messages import LeavingSeen
from mothshunt.settings.config import RoutingSettings, Settings

if TYPE_CHECKING:
    from mothshunt.admin.messages import Route


@dataclass(slots=True, eq=False)
class RoutedEntry:
    """Hold the parts that an entry instance has.

    :param server: HTTP for callers.
    :param placement: Choice of targets.
    :param locality: Regions in which objects are requested.
    :param rate_limiter: Rate limits that targets name.
    :param quota: Quotas of workspaces.
    :param load_sharer: Loads of targets, shared with other entry instances.
    :param pool: Connections to targets.
    :param budget: Attempts beyond the first.
    :param reporter: Reports to the control instances.
    :param directory: Finds entry instances for callers.
    :param admission: Holds requests until the instance serves.
    :param isolation: Relays requests while no target can be reached; ``None`` where
        the settings don't ask for it.
    :param clock: Source of the present time.
    """

    server: RoutedServer
    placement: PlacementCoordinator
    locality: LocalityReporter
    rate_limiter: RateLimiter
    quota: QuotaLimiter
    load_sharer: LoadSharer
    pool: ConnectionPool
    budget: RetryBudget
    reporter: RosterReporter
    directory: EntryLookup
    admission: AdmissionGate
    isolation: EntryIsolation | None
    clock: Clock

    @classmethod
    def from_parts(
        cls,
        *,
        settings: Settings,
        routing: RoutingSettings,
        network: StreamNetwork,
        attachments: Attachments,
        holder: ConfigurationHolder,
        registry: RegistryFollower,
        conventions: HeaderConventions,
        local: RosterHub | None,
        clock: Clock,
        metrics: Metrics,
    ) -> "RoutedEntry":
        """Build the parts of an entry instance.

        :param settings: Settings of the instance.
        :param routing: Their part about routing.
        :param network: Streams to other instances.
        :param attachments: Streams to the control instances.
        :param holder: Configuration in force.
        :param registry: Targets that are known.
        :param conventions: How callers and targets are spoken to.
        :param local: Gathers reports here, where this is a control instance as well.
        :param clock: Source of the present time.
        :param metrics: Metrics of the process.
        """
        own = settings.instance
        listen = settings.listen.traffic
        if listen is None:
            raise ValueError("an entry instance needs an address for callers")
        roster = RosterView(
            EntryReport(
                instance=own.id,
                region=own.region,
                availability_zone=own.availability_zone,
                host=listen.host,
                port=listen.port,
                state=InstanceState.STARTING,
            )
        )
        random = Random()
        pool = ConnectionPool(clock, metrics)
        rate_limiter = RateLimiter(
            network=network,
            controls=attachments.nearest,
            known=registry.registry.incarnation,
            clock=clock,
            metrics=metrics,
        )
        locality = LocalityReporter(
            network=network, controls=attachments.attached, clock=clock
        )
        quota = QuotaLimiter(
            network=network,
            controls=attachments.nearest,
            clock=clock,
            metrics=metrics,
        )
        holder.on_change(quota.on_configuration)
        placement = PlacementCoordinator(
            state=Placement(
                zone=own.availability_zone,
                region=own.region,
                max_region_shift=routing.max_region_shift,
                renewal_interval_s=routing.renewal_interval_s,
                random=random,
                rate_limits=rate_limiter,
                is_regional=locality.is_regional,
            ),
            registry=registry.registry,
            roster=roster,
            settings=routing,
            clock=clock,
            metrics=metrics,
            locality=locality,
            on_demand=lambda demand: reporter.set_demand(demand),
            on_frequent_targets=pool.preconnect,
            on_leaving=lambda target: network.post_all(
                attachments.attached(),
                LeavingSeen(target=target.id, incarnation=target.incarnation),
            ),
        )
        load_sharer = LoadSharer(
            network=network,
            controls=attachments.attached,
            placement=placement.state,
            roster=roster,
            clock=clock,
            metrics=metrics,
            is_permitted=routing.shares_target_loads,
        )
        if load_sharer.is_permitted:
            placement.on_reported = load_sharer.record_response
            holder.on_change(load_sharer.on_configuration)
        holder.on_change(placement.on_configuration)
        registry.on_change(placement.refresh)
        # Limits that hold for all entry instances are divided by this number.
        metrics.gauge("mothshunt_entries_counted", roster.count)
        budget = RetryBudget(
            ratio=routing.retry_ratio,
            slack=routing.retry_slack,
            window_s=routing.retry_window_s,
        )
        slack_part = partial(roster.limit_share, routing.retry_window_s)
        metrics.gauge(
            "mothshunt_retry_slack_part", lambda: slack_part(clock.monotonic())
        )
        admission = AdmissionGate.from_start(clock)
        refusal_builder = RefusalBuilder(
            conventions.names, conventions.format_retry_after
        )
        isolation = None
        if routing.relays_when_isolated:
            isolation = EntryIsolation(
                placement=placement.state,
                roster=roster,
                target_pool=pool,
                relay_client=RelayClient(
                    ConnectionPool(clock, metrics), conventions.names, clock
                ),
                budget=budget,
                slack_part=slack_part,
                set_reported_state=lambda state: reporter.set_state(state),
                metrics=metrics,
                clock=clock,
            )
        forwarder = RoutedForwarder(
            configuration=holder,
            is_current=holder.is_current,
            placement=placement,
            rate_limiter=rate_limiter,
            quota=quota,
            pool=pool,
            budget=budget,
            slack_part=slack_part,
            refusal_builder=refusal_builder,
            admission=admission,
            isolation=isolation or NoIsolation(),
            metrics=metrics,
            clock=clock,
        )
        server = RoutedServer(
            host=listen.host,
            port=listen.port,
            forwarder=forwarder,
            refusal_builder=refusal_builder,
            configuration=holder,
            metrics=metrics,
        )
        reporter = RosterReporter(
            network=network,
            clock=clock,
            attachments=attachments,
            view=roster,
            revision=lambda: holder.current().revision,
            in_flight=server.in_flight,
            local=local,
            admission=placement.admission,
        )
        return cls(
            server=server,
            placement=placement,
            locality=locality,
            rate_limiter=rate_limiter,
            quota=quota,
            load_sharer=load_sharer,
            pool=pool,
            budget=budget,
            reporter=reporter,
            directory=EntryLookup(roster, routing.lookup_lifetime_s, metrics),
            admission=admission,
            isolation=isolation,
            clock=clock,
        )

    async def async_start(self) -> None:
        """Begin to take requests; they are held until the instance is ready."""
        await self.pool.async_start()
        await self.placement.async_start()
        await self.locality.async_start()
        await self.rate_limiter.async_start()
        await self.quota.async_start()
        await self.load_sharer.async_start()
        await self.reporter.async_start()
        if self.isolation is not None:
            await self.isolation.async_start()
        await self.server.async_start()

    def routes(self) -> "tuple[Route, ...]":
        """Return what callers may ask at the administration port."""
        from mothshunt.admin.entries import EntryHandlers

        return EntryHandlers(self.directory, self.clock).routes()

    def open(self) -> None:
        """Serve callers, and tell the others so."""
        self.admission.open()
        self.reporter.set_state(InstanceState.READY)

    def reload(self, routing: RoutingSettings) -> None:
        """Take changed limits.

        :param routing: The new settings.
        """
        self.placement.settings = routing
        self.placement.state.renewal_interval_s = routing.renewal_interval_s
        self.budget.ratio = routing.retry_ratio
        self.budget.slack = routing.retry_slack
        self.budget.window_s = routing.retry_window_s

    async def async_stop(self) -> None:
        """Stop to serve."""
        await self.server.async_stop()
        if self.isolation is not None:
            await self.isolation.async_stop()
        await self.reporter.async_stop()
        await self.quota.async_stop()
        await self.load_sharer.async_stop()
        await self.rate_limiter.async_stop()
        await self.locality.async_stop()
        await self.placement.async_stop()
        await self.pool.async_stop()
