"""What every instance runs, whatever its roles are."""

from collections.abc import Callable
from dataclasses import dataclass, field

from mothshunt.configuration.follower import ConfigurationFollower
from mothshunt.configuration.holder import ConfigurationHolder
from mothshunt.core.clock import Clock, SystemClock
from mothshunt.core.types import Role
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.membership import const as membership_const
from mothshunt.membership.reporter import PresenceReporter, record_from_settings
from mothshunt.membership.uplink import Uplink
from mothshunt.membership.view import PresenceView
from mothshunt.metrics.registry import Metrics
from mothshunt.settings.config import Settings
from mothshunt.util.memory import peak_memory_bytes


@dataclass(slots=True, eq=False)
class LoadGauge:
    """Give the requests in flight, 0 before there is a server that counts them.

    :param read: Returns the requests in flight.
    """

    read: Callable[[], int] = field(default=lambda: 0)

    def __call__(self) -> int:
        """Return the requests in flight."""
        return self.read()


@dataclass(slots=True, eq=False)
class Base:
    """Hold the parts that every instance has.

    :param settings: Settings of this instance.
    :param clock: Source of the present time.
    :param metrics: Metrics of the process.
    :param network: Streams to other instances.
    :param holder: Configuration in force.
    :param view: Which instances are reachable.
    :param uplink: Connection to the control instances.
    :param follower: Copy of the configuration, without the role ``control``.
    :param reporter: Reports of this instance.
    :param load: Requests in flight.
    """

    settings: Settings
    clock: Clock
    metrics: Metrics
    network: StreamNetwork
    holder: ConfigurationHolder
    view: PresenceView
    uplink: Uplink
    follower: ConfigurationFollower
    reporter: PresenceReporter
    load: LoadGauge

    @classmethod
    def from_config(cls, settings: Settings) -> "Base":
        """Build the parts of an instance.

        :param settings: Settings of the instance.
        """
        clock = SystemClock()
        metrics = Metrics()
        network = StreamNetwork.from_config(settings, clock, metrics)
        holder = ConfigurationHolder()
        view = PresenceView(source=holder)
        holder.on_change(view.on_configuration)
        load = LoadGauge()

        def is_stale(now: float) -> bool:
            age_s = follower.confirmed_age_s(now)
            return age_s > membership_const.MAX_CONFIRMED_AGE_S

        uplink = Uplink(settings, holder, network, clock, is_stale)
        follower = ConfigurationFollower(holder, network, uplink, clock)
        record = record_from_settings(settings)
        reporter = PresenceReporter(record, uplink, holder, view, load)
        base = cls(
            settings=settings,
            clock=clock,
            metrics=metrics,
            network=network,
            holder=holder,
            view=view,
            uplink=uplink,
            follower=follower,
            reporter=reporter,
            load=load,
        )
        base.add_gauges()
        return base

    @property
    def is_control(self) -> bool:
        """Tell whether the instance has the role ``control``."""
        return self.settings.has_role(Role.CONTROL)

    def add_gauges(self) -> None:
        """Register the gauges of the streams and of the configuration."""
        traffic = self.network.traffic
        gauge = self.metrics.gauge
        gauge("mothshunt_peer_bytes_sent", lambda: traffic.bytes_sent)
        gauge("mothshunt_peer_bytes_received", lambda: traffic.bytes_received)
        gauge("mothshunt_peer_frames_sent", lambda: traffic.frames_sent)
        gauge("mothshunt_peer_frames_received", lambda: traffic.frames_received)
        gauge("mothshunt_peer_streams", lambda: len(self.network.connected()))
        gauge("mothshunt_peer_pending_bytes", self.network.pending_bytes)
        gauge("mothshunt_process_peak_memory_bytes", peak_memory_bytes)
        gauge("mothshunt_revision", lambda: self.holder.current().revision)

    async def async_start(self) -> None:
        """Register the handlers; the network is started after all of them."""
        if not self.is_control:
            await self.follower.async_start()
            self.uplink.on_attach(self.follower.subscribe)
        await self.reporter.async_start()

    async def async_connect(self) -> None:
        """Begin to accept and to dial streams."""
        await self.network.async_start()
        await self.uplink.async_start()

    async def async_stop(self) -> None:
        """End the reports and close all streams."""
        await self.reporter.async_stop()
        await self.uplink.async_stop()
        await self.network.async_stop()
