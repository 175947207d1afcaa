"""The life of one instance of a deployment that routes by hosts and path prefixes."""

import asyncio
import gc
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mothshunt.configuration.follower import ConfigurationFollower
from mothshunt.configuration.holder import ConfigurationHolder
from mothshunt.core.clock import Clock, SystemClock
from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceState, Role
from mothshunt.daemon.routed_control import RoutedControl
from mothshunt.daemon.routed_entry import EntryInterface, RoutedEntry
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.membership.attachments import Attachments
from mothshunt.metrics.registry import Metrics
from mothshunt.registry.coordinator import RegistryFollower
from mothshunt.settings.config import RoutingSettings, Settings

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
    control: RoutedControl | None = None
    entry: RoutedEntry | None = None
    follower: ConfigurationFollower | None = None
    is_ready: bool = False
    fatal: Failure | None = None
    _fatal_listeners: list[Callable[[], None]] = field(default_factory=list)

    @classmethod
    def from_config(
        cls, settings: Settings, interface: EntryInterface | None = None
    ) -> "RoutedDaemon":
        """Build an instance; nothing is started.

        :param settings: Settings of the instance, with a part about routing.
        :param interface: How callers and targets are spoken to; the product's own
            interface by default.
        """
        routing = settings.routing
        if routing is None:
            raise ValueError("the settings have no part about routing")
        clock = SystemClock()
        metrics = Metrics()
        network = StreamNetwork.from_config(settings, clock, metrics)
        holder = ConfigurationHolder()
        daemon = cls(
            settings=settings,
            routing=routing,
            clock=clock,
            metrics=metrics,
            network=network,
            attachments=Attachments(network, clock, settings.control),
            holder=holder,
            registry=RegistryFollower(network, clock),
        )
        if settings.has_role(Role.CONTROL):
            daemon.control = RoutedControl.from_parts(
                settings=settings,
                routing=routing,
                network=network,
                attachments=daemon.attachments,
                holder=holder,
                registry=daemon.registry,
                clock=clock,
                metrics=metrics,
            )
        else:
            daemon.follower = ConfigurationFollower(
                holder, network, daemon.attachments, clock
            )
        if settings.has_role(Role.ENTRY):
            daemon.entry = RoutedEntry.from_parts(
                settings=settings,
                routing=routing,
                network=network,
                attachments=daemon.attachments,
                holder=holder,
                registry=daemon.registry,
                is_ready=lambda: daemon.is_ready,
                interface=interface or EntryInterface(),
                clock=clock,
                metrics=metrics,
            )
        metrics.gauge("mothshunt_revision", lambda: holder.current().revision)
        metrics.gauge("mothshunt_peer_streams", lambda: len(network.connected()))
        metrics.gauge("mothshunt_ready", lambda: float(daemon.is_ready))
        return daemon

    def on_fatal(self, listener: Callable[[], None]) -> None:
        """Call a listener when the instance can't go on, such as without its disk.

        :param listener: Called in the event loop; ``fatal`` then tells why.
        """
        self._fatal_listeners.append(listener)

    async def async_start(self) -> None:
        """Start, and serve once the configuration is current."""
        _LOGGER.info("starting", roles=[r.value for r in self.settings.instance.roles])
        if self.follower is not None:
            await self.follower.async_start()
            self.attachments.on_attach(self.follower.subscribe)
        if self.control is not None:
            self.control.log.on_fatal(self._on_fatal)
            await self.control.async_start()
        else:
            await self.registry.async_start()
        if self.entry is not None:
            await self.entry.async_start()
        await self.network.async_start()
        await self.attachments.async_start()
        if self.control is not None:
            await self.control.async_open_log()
        await self._async_wait_until_current()
        self.is_ready = True
        if self.entry is not None:
            self.entry.reporter.set_state(InstanceState.READY)
        # What was made so far lives as long as the process: no collection of
        # garbage need look at it again.
        gc.collect()
        gc.freeze()
        _LOGGER.info("ready", revision=self.holder.current().revision)

    async def _async_wait_until_current(self) -> None:
        if self.follower is None:
            return
        await self.follower.async_wait_until_current()
        while True:
            has_routes = self.holder.current().routing.has_routes
            if has_routes and self.registry.is_whole:
                return
            await asyncio.sleep(READY_POLL_S)

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
        _LOGGER.info("settings reloaded", seeds=[p.id for p in settings.control])

    async def async_leave(self) -> None:
        """Take no more requests, and finish what is in flight."""
        _LOGGER.info("leaving")
        self.is_ready = self.is_ready and self.entry is None
        if self.entry is not None:
            self.entry.reporter.set_state(InstanceState.LEAVING)
            await self.entry.server.async_leave(
                self.routing.leave_s, self.clock.monotonic
            )

    async def async_stop(self) -> None:
        """Stop whatever was started."""
        if self.entry is not None:
            await self.entry.async_stop()
        if self.control is not None:
            await self.control.async_stop()
        await self.network.async_stop()
        _LOGGER.info("stopped")
