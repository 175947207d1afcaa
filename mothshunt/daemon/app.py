"""The life of one instance: start, service and graceful stop."""

import asyncio
import gc
from collections.abc import Callable
from dataclasses import dataclass

from expression import Result

from mothshunt.admin.api import api_routes
from mothshunt.admin.coordinator import AdminServer, Operations
from mothshunt.core.codes import Failure, MothshuntError
from mothshunt.core.types import Incarnation, InstanceId, InstanceState
from mothshunt.daemon.base import Base
from mothshunt.daemon.control import Control
from mothshunt.daemon.entry import Entry
from mothshunt.discovery.announcements import Announcements
from mothshunt.discovery.coordinator import DiscoveryCoordinator
from mothshunt.discovery.messages import TargetRows
from mothshunt.discovery.relay import Receiver, TargetRelay
from mothshunt.discovery.state import TargetTable
from mothshunt.helpers.log import get_logger
from mothshunt.settings.config import Settings

READY_POLL_S = 0.1
CONFIRM_TIMEOUT_S = 2.0

_LOGGER = get_logger("daemon")


@dataclass(slots=True, eq=False)
class Daemon:
    """Run one instance.

    :param base: Parts that every instance has.
    :param discovery: Targets that are known.
    :param admin: HTTP for operators.
    :param control: Parts of the role ``control``.
    :param relay: Spread of targets, with the role ``control``.
    :param entry: Parts of the role ``entry``, once the instance has joined.
    """

    base: Base
    discovery: DiscoveryCoordinator
    admin: AdminServer
    control: Control | None = None
    relay: TargetRelay | None = None
    entry: Entry | None = None
    is_ready: bool = False
    fatal: Failure | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> "Daemon":
        """Build an instance; nothing is started.

        :param settings: Settings of the instance.
        """
        base = Base.from_config(settings)
        control = Control.from_base(base) if base.is_control else None
        table = TargetTable()
        discovery = DiscoveryCoordinator(
            network=base.network,
            clock=base.clock,
            source=base.holder,
            entries=base.view,
            hub=base.uplink.hub,
            table=table,
            announcements=Announcements(settings.instance.id, table),
        )

        def is_ready() -> bool:
            return daemon.is_ready

        relay = _relay(base, control, discovery) if control else None
        admin = AdminServer(
            settings=settings,
            operations=_operations(base, control, relay) if control else None,
            source=base.holder,
            metrics=base.metrics,
            is_ready=is_ready,
            clock=base.clock,
        )
        daemon = cls(base, discovery, admin, control, relay)
        return daemon

    def on_fatal(self, listener: Callable[[], None]) -> None:
        """Call a listener when the instance can't go on, such as without its disk.

        :param listener: Called in the event loop; ``fatal`` then tells why.
        """

        def take(failure: Failure) -> None:
            self.fatal = failure
            _LOGGER.failure("the instance can't go on", failure)
            listener()

        if self.control is not None:
            self.control.log.on_fatal(take)

    def reload(self, settings: Settings) -> None:
        """Take changed settings: none of them can change while running.

        :param settings: The new settings.
        """
        _LOGGER.info("changed settings take effect with the next start")

    async def async_start(self) -> None:
        """Start, join the deployment, and serve once the configuration is current.

        :raises MothshuntError: When the deployment refused this instance.
        """
        await self.admin.async_start()
        await self.base.async_start()
        if self.control is not None and self.relay is not None:
            await self.control.async_start()
            await self.relay.async_start()
        else:
            self.base.network.on_message(TargetRows, self._on_target_rows)
        self.base.uplink.on_attach(self.discovery.on_attach)
        await self.base.async_connect()
        if self.control is not None:
            await self.control.async_open_log()
        incarnation = await self._async_join()
        await self._async_wait_until_current()
        await self.discovery.async_start()
        await self._async_start_entry(incarnation)
        self.is_ready = True
        self.base.reporter.set_state(InstanceState.READY)
        # What was made so far lives as long as the process: no collection of
        # garbage need look at it again.
        gc.collect()
        gc.freeze()
        _LOGGER.info("ready", revision=self.base.holder.current().revision)

    async def async_stop(self) -> None:
        """Leave gracefully, then stop whatever was started."""
        self.base.reporter.set_state(InstanceState.LEAVING)
        if self.entry is not None:
            if self.is_ready:
                await self.entry.async_leave()
            await self.entry.async_stop()
        self.is_ready = False
        await self.discovery.async_stop()
        if self.relay is not None:
            await self.relay.async_stop()
        if self.control is not None:
            await self.control.async_stop()
        await self.base.async_stop()
        await self.admin.async_stop()
        _LOGGER.info("stopped")

    async def _async_join(self) -> Incarnation:
        match await self.base.reporter.async_join():
            case Result(tag="ok", ok=incarnation):
                return incarnation
            case Result(error=failure):
                raise MothshuntError(failure)

    async def _async_wait_until_current(self) -> None:
        if self.control is None:
            await self.base.follower.async_wait_until_current()
            return
        while True:
            confirmed = await self.control.log.async_read_barrier(CONFIRM_TIMEOUT_S)
            if confirmed.is_ok():
                return
            await asyncio.sleep(READY_POLL_S)

    async def _async_start_entry(self, incarnation: Incarnation) -> None:
        listen = self.base.settings.listen.traffic
        if listen is None:
            return
        entry = Entry.from_base(self.base, self.discovery, incarnation, listen)
        self.base.load.read = entry.server.in_flight
        self.entry = entry
        await entry.async_start()

    def _on_target_rows(self, peer: InstanceId, rows: TargetRows) -> None:
        if peer == self.base.uplink.hub():
            self.discovery.apply_rows(rows)


def _operations(base: Base, control: Control, relay: TargetRelay | None) -> Operations:
    routes = api_routes(
        instance=base.settings.instance.id,
        configuration=control.configuration,
        status=control.presence,
        source=base.holder,
        log=control.log,
        # Only a relay hears of the loads of all regions.
        targets=relay.table if relay else None,
        clock=base.clock,
    )
    return Operations(
        configuration=control.configuration, routes=routes, receiver=control.receiver
    )


def _relay(
    base: Base, control: Control, discovery: DiscoveryCoordinator
) -> TargetRelay:
    table = control.presence.table

    def reachable() -> frozenset[InstanceId]:
        rows = table.published_by_instance.values()
        return frozenset(row.instance for row in rows if row.state is not None)

    def receivers() -> list[Receiver]:
        region_by_id = {i: control.presence.region_of(i) for i in table.attached_by_id}
        return [
            Receiver(id=instance, region=region)
            for instance, region in region_by_id.items()
            if region is not None
        ]

    relay = TargetRelay(
        own_id=base.settings.instance.id,
        network=base.network,
        clock=base.clock,
        reachable=reachable,
        receivers=receivers,
        control_peers=control.control_peers,
        apply_locally=discovery.apply_rows,
    )
    control.presence.on_attached(relay.send_targets)
    base.network.on_connect(relay.on_connect)
    return relay
