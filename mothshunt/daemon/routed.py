"""The life of one instance of a deployment that routes by hosts and path prefixes."""

import asyncio
import gc
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from mothshunt.admin.coordinator import AdminServer
from mothshunt.configuration.follower import ConfigurationFollower
from mothshunt.configuration.holder import ConfigurationHolder
from mothshunt.configuration.log_events import ConfigurationInForce
from mothshunt.configuration.model import Configuration
from mothshunt.consensus.model import ReplicatedLog
from mothshunt.core.clock import Clock, SystemClock
from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId, InstanceState, Role
from mothshunt.daemon.log_events import (
    Leaving,
    PeerTraffic,
    Ready,
    SettingsReloaded,
    Starting,
    Stopped,
)
from mothshunt.forwarding.model import HeaderConventions
from mothshunt.helpers import log
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.lookup.directory import EntryLookup
from mothshunt.membership.attachments import Attachments
from mothshunt.membership.primaries import Location
from mothshunt.metrics.registry import Metrics
from mothshunt.registry.coordinator import RegistryFollower
from mothshunt.settings.config import RoutingSettings, Settings
from mothshunt.util.memory import peak_memory_bytes

if TYPE_CHECKING:
    from mothshunt.daemon.routed_control import RoutedControl
    from mothshunt.daemon.routed_entry import RoutedEntry

#: Longest wait for a majority to confirm what a control instance holds, in seconds.
CONFIRM_TIMEOUT_S = 2.0
#: Longest time for answers to those who were held by an instance that stops before it
#: served, in seconds: some round trips.
REFUSE_TIMEOUT_S = 0.2
#: Time between two lines on what was sent to other instances, in seconds.
TRAFFIC_REPORT_INTERVAL_S = 10.0
#: Wait between two looks at whether an entry instance may serve, in seconds.
READY_POLL_S = 0.05

_LOGGER = get_logger("daemon")


@dataclass(slots=True, eq=False)
class RoutedDaemon:
    """Run one instance.

    :param settings: Settings of the instance.
    :param routing: Their part about routing.
    :param clock: Source of the present time.
    :param metrics: Metrics of the process.
    :param network: Streams to other instances.
    :param attachments: Streams to the control instances.
    :param holder: Configuration in force.
    :param registry: Targets that are known.
    :param admin: HTTP for operators, metrics and health.
    :param control: Parts of the role ``control``.
    :param entry: Parts of the role ``entry``.
    """

    settings: Settings
    routing: RoutingSettings
    clock: Clock
    metrics: Metrics
    network: StreamNetwork
    attachments: Attachments
    holder: ConfigurationHolder
    registry: RegistryFollower
    admin: AdminServer
    control: "RoutedControl | None" = None
    entry: "RoutedEntry | None" = None
    follower: ConfigurationFollower | None = None
    is_ready: bool = False
    fatal: Failure | None = None
    _fatal_listeners: list[Callable[[], None]] = field(default_factory=list)
    _reporting: asyncio.Task[None] | None = None

    @classmethod
    def from_config(
        cls, settings: Settings, conventions: HeaderConventions | None = None
    ) -> "RoutedDaemon":
        """Build an instance; nothing is started.

        :param settings: Settings of the instance, with a part about routing.
        :param conventions: How callers and targets are spoken to; the product's own
            interface by default.
        """
        routing = settings.routing
        if routing is None:
            raise ValueError("the settings have no part about routing")
        clock = SystemClock()
        metrics = Metrics()
        network = StreamNetwork.from_config(settings, clock, metrics)
        holder = ConfigurationHolder()
        own = settings.instance
        location = Location(region=own.region, availability_zone=own.availability_zone)
        attachments = Attachments(network, clock, settings.control, location)
        registry = RegistryFollower(
            network,
            clock,
            routing.renewal_interval_s,
            asks_unsettled=settings.has_role(Role.CONTROL),
        )
        control = entry = follower = None
        if settings.has_role(Role.CONTROL):
            # A role that the instance doesn't have is not loaded: its start is sooner.
            from mothshunt.daemon.routed_control import RoutedControl

            control = RoutedControl.from_parts(
                settings=settings,
                routing=routing,
                network=network,
                attachments=attachments,
                holder=holder,
                registry=registry,
                clock=clock,
                metrics=metrics,
            )
        else:
            follower = ConfigurationFollower(holder, network, attachments, clock)
        if settings.has_role(Role.ENTRY):
            from mothshunt.daemon.routed_entry import RoutedEntry

            entry = RoutedEntry.from_parts(
                settings=settings,
                routing=routing,
                network=network,
                attachments=attachments,
                holder=holder,
                registry=registry,
                conventions=conventions or HeaderConventions(),
                local=control.roster if control is not None else None,
                clock=clock,
                metrics=metrics,
            )
        operations = None
        if control is not None and settings.bootstrap_token_sha256 is not None:
            operations = control.operations(settings, routing, holder, clock)
        admin = AdminServer(
            settings=settings,
            operations=operations,
            open_routes=None if entry is None or control is not None else entry.routes,
            source=holder,
            metrics=metrics,
            is_ready=lambda: daemon.is_ready,
            clock=clock,
        )
        daemon = cls(
            settings=settings,
            routing=routing,
            clock=clock,
            metrics=metrics,
            network=network,
            attachments=attachments,
            holder=holder,
            registry=registry,
            admin=admin,
            control=control,
            entry=entry,
            follower=follower,
        )
        holder.on_change(_log_configuration)
        metrics.gauge("mothshunt_revision", lambda: holder.current().revision)
        metrics.gauge("mothshunt_peer_streams", lambda: len(network.connected()))
        metrics.gauge("mothshunt_peer_pending_bytes", network.pending_bytes)
        metrics.gauge("mothshunt_process_peak_memory_bytes", peak_memory_bytes)
        metrics.counters(
            "mothshunt_peer_posted_bytes_total",
            "message",
            lambda: network.traffic.posted_bytes_by_kind,
        )
        metrics.gauge("mothshunt_control_attached", lambda: len(attachments.attached()))
        metrics.gauge(
            "mothshunt_targets_known", lambda: len(registry.registry.known_by_target)
        )
        metrics.gauge("mothshunt_ready", lambda: float(daemon.is_ready))
        return daemon

    @property
    def directory(self) -> EntryLookup:
        """What callers are told of the entry instances, as this instance knows it.

        :raises ValueError: The instance has no role.
        """
        parts = self.control or self.entry
        if parts is None:
            raise ValueError("an instance without a role knows no entry instances")
        return parts.directory

    def on_fatal(self, listener: Callable[[], None]) -> None:
        """Call a listener when the instance can't go on, such as without its disk.

        :param listener: Called in the event loop; ``fatal`` then tells why.
        """
        self._fatal_listeners.append(listener)

    async def async_start(self) -> None:
        """Start, and serve once the configuration is current."""
        roles = tuple(role.value for role in self.settings.instance.roles)
        log.write(Starting(roles=roles))
        await self.admin.async_start()
        if self.follower is not None:
            await self.follower.async_start()
            self.attachments.on_attach(self._subscribe)
            self.attachments.on_primary_change(self._subscribe)
        if self.control is not None:
            self.control.log.on_fatal(self._on_fatal)
            await self.control.async_start()
        else:
            await self.registry.async_start()
        if self.entry is not None:
            await self.entry.async_start()
        await self.network.async_start()
        self._reporting = start_background("peer-traffic", self._async_report_traffic)
        await self.attachments.async_start()
        if self.control is not None:
            await self.control.async_open_log()
        await self._async_wait_until_current()
        self.is_ready = True
        if self.entry is not None:
            self.entry.open()
        # What was made so far lives as long as the process: no collection of
        # garbage need look at it again.
        gc.collect()
        gc.freeze()
        revision = self.holder.current().revision
        targets = len(self.registry.registry.known_by_target)
        log.write(Ready(revision=revision, targets=targets))

    def _subscribe(self, control: InstanceId) -> None:
        if self.follower is not None:
            is_primary = control in self.attachments.primaries
            self.follower.subscribe(control, wants_changes=is_primary)

    async def _async_wait_until_current(self) -> None:
        if self.entry is None:
            return
        if self.follower is not None:
            await self.follower.async_wait_until_current()
        if self.control is not None:
            await self._async_wait_until_confirmed(self.control.log)
        while True:
            if self._knows_routes_and_targets():
                return
            await asyncio.sleep(READY_POLL_S)

    async def _async_wait_until_confirmed(self, log: ReplicatedLog) -> None:
        while True:
            if (await log.async_read_barrier(CONFIRM_TIMEOUT_S)).is_ok():
                return
            await asyncio.sleep(READY_POLL_S)

    def _knows_routes_and_targets(self) -> bool:
        return self.registry.is_settled and self.holder.current().routing.has_items

    async def _async_report_traffic(self) -> None:
        """Log what was sent to other instances, by kind of message."""
        before: Counter[str] = Counter()
        while True:
            await asyncio.sleep(TRAFFIC_REPORT_INTERVAL_S)
            posted = self.network.traffic.posted_bytes_by_kind.copy()
            log.write(
                PeerTraffic(
                    bytes_by_message=dict(posted - before),
                    pending_bytes=self.network.pending_bytes(),
                    peak_memory_bytes=peak_memory_bytes(),
                )
            )
            before = posted

    def _on_fatal(self, failure: Failure) -> None:
        self.fatal = failure
        _LOGGER.failure("the instance can't go on", failure)
        for listener in self._fatal_listeners:
            listener()

    def reload(self, settings: Settings) -> None:
        """Take changed settings; what can't change while running stays as it is.

        :param settings: The new settings.
        """
        routing = settings.routing
        if routing is None:
            return
        self.attachments.set_seeds(settings.control)
        if self.entry is not None:
            self.entry.reload(routing)
        self.settings = replace(self.settings, control=settings.control)
        log.write(SettingsReloaded(seeds=tuple(p.id for p in settings.control)))

    async def _async_leave(self) -> None:
        """Be named to callers no more, and finish what they send meanwhile."""
        in_flight = self.entry.server.in_flight() if self.entry is not None else 0
        log.write(Leaving(in_flight=in_flight))
        self.is_ready = self.is_ready and self.entry is None
        if self.entry is not None:
            self.entry.reporter.set_state(InstanceState.LEAVING)
            await self.entry.server.async_leave(
                self.routing.leave_s, self.clock.monotonic
            )

    async def async_stop(self) -> None:
        """Leave gracefully, then stop whatever was started."""
        if self.is_ready and self.fatal is None:
            await self._async_leave()
        if self.entry is not None:
            # Whoever was held by an instance that never served is told so.
            self.entry.admission.refuse_held()
            await self.entry.server.async_finish(REFUSE_TIMEOUT_S)
            await self.entry.async_stop()
        if self.control is not None:
            await self.control.async_stop()
        else:
            await self.registry.async_stop()
        await async_cancel(self._reporting)
        await self.network.async_stop()
        await self.admin.async_stop()
        log.write(Stopped())


def _log_configuration(configuration: Configuration) -> None:
    table = configuration.routing
    log.write(
        ConfigurationInForce(
            revision=configuration.revision,
            routes=sum(len(routes) for routes in table.routes_by_host.values()),
            evacuated_zones=tuple(sorted(table.evacuated_zones)),
        )
    )
