"""Presence of all instances, as a control instance exchanges it.

The control instance that an instance is attached to is called its hub.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from expression import Ok, Result

from mothshunt.configuration.coordinator import ConfigurationCoordinator
from mothshunt.configuration.messages import (
    ChangeStatus,
    JoinInstance,
    JoinOutcome,
    LeaveInstance,
)
from mothshunt.configuration.model import ConfigurationSource
from mothshunt.configuration.service import InstanceStatus
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import Incarnation, InstanceId, RegionId, Revision, Role
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.membership import const
from mothshunt.membership.messages import (
    Done,
    HubRows,
    Join,
    Leave,
    Report,
    Row,
    Rows,
    Standing,
    StandingRequest,
    Standings,
)
from mothshunt.membership.model import InstanceRecord
from mothshunt.membership.state import PresenceTable

PUBLISH_INTERVAL_S = 0.25
LOADS_INTERVAL_S = 2.0
FULL_ROWS_INTERVAL_S = 5.0


@dataclass(slots=True, eq=False)
class PresenceHub:
    """Collector of the reports of attached instances; distributes the changes.

    :param network: Streams of this instance.
    :param configuration: Coordinator that commits changes of the configuration.
    :param source: The configuration in force.
    :param clock: Source of the present time.
    :param table: Rows of all instances.
    """

    network: StreamNetwork
    configuration: ConfigurationCoordinator
    source: ConfigurationSource
    clock: Clock
    table: PresenceTable
    _attach_listeners: list[Callable[[InstanceId], None]] = field(default_factory=list)
    _changed_loads: set[InstanceId] = field(default_factory=set)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Register the message handlers and start to publish changes."""
        self.network.on_message(Report, self._on_report)
        self.network.on_message(HubRows, self._on_hub_rows)
        self.network.on_request(Join, self._async_join)
        self.network.on_request(Leave, self._async_leave)
        self.network.on_request(StandingRequest, self._async_standings)
        self.network.on_connect(self._on_connect)
        self.network.on_disconnect(self._on_disconnect)
        self._task = start_background("presence", self._async_run)

    async def async_stop(self) -> None:
        """Stop publishing changes."""
        await async_cancel(self._task)

    def on_attached(self, listener: Callable[[InstanceId], None]) -> None:
        """Register a listener for each instance that attaches here.

        :param listener: Called in the event loop with the instance's name.
        """
        self._attach_listeners.append(listener)

    async def async_instances(
        self, timeout_s: float
    ) -> Result[tuple[InstanceStatus, ...], Failure]:
        """Return the state of every recorded instance; see ``StatusService``."""
        peers = [peer for peer in self._control_peers() if self._is_connected(peer)]
        requests = [
            self.network.async_request(
                peer, StandingRequest(), min(timeout_s, const.STATUS_TIMEOUT_S)
            )
            for peer in [self.network.own_id, *peers]
        ]
        standing_by_id: dict[InstanceId, Standing] = {}
        for answer in await asyncio.gather(*requests):
            match answer:
                case Result(tag="ok", ok=Standings(standings=standings)):
                    _merge(standing_by_id, standings)
        records = self.source.current().instance_by_id
        return Ok(
            tuple(
                self._status(record, standing_by_id.get(instance))
                for instance, record in sorted(records.items())
            )
        )

    def _status(
        self, record: InstanceRecord, standing: Standing | None
    ) -> InstanceStatus:
        row = self.table.published_by_instance.get(record.id)
        is_lost = row is None or row.state is None
        state = "lost" if row is None or row.state is None else row.state.value
        report = None if standing is None else standing.report
        return InstanceStatus(
            id=record.id,
            region=record.region,
            availability_zone=record.availability_zone,
            roles=tuple(role.value for role in record.roles),
            state=state,
            revision=Revision(0) if report is None else report.revision,
            age_s=None if standing is None else standing.age_ms / 1000,
            in_flight=0 if report is None or is_lost else report.load,
        )

    def region_of(self, instance: InstanceId) -> RegionId | None:
        """Return the region of a recorded instance.

        :param instance: Name of the instance.
        """
        record = self.source.current().instance_by_id.get(instance)
        return None if record is None else record.region

    def _on_report(self, peer: InstanceId, report: Report) -> None:
        if report.instance != peer:
            return
        is_new = self.table.is_new_attachment(report)
        self.table.record_report(report, self.clock.monotonic())
        if is_new:
            self._publish()
            rows = tuple(self.table.published_by_instance.values())
            self.network.post(peer, Rows(rows=rows, is_whole=True))
            for listener in self._attach_listeners:
                listener(peer)

    def _on_hub_rows(self, hub: InstanceId, rows: HubRows) -> None:
        self.table.record_hub_reconnect(hub)
        for row in rows.rows:
            self.table.merge_row(row, hub)

    def _publish(self) -> None:
        changed = self.table.publish(self.clock.monotonic())
        if not changed:
            return
        states = tuple(item.row for item in changed if not item.is_load_only)
        if states:
            self.network.post_all(self.table.attached_by_id, Rows(rows=states))
        self._changed_loads.update(
            item.row.instance for item in changed if item.is_load_only
        )
        self._post_rows_to_control(
            item.row for item in changed if self._is_attached_here(item.row)
        )

    def _publish_loads(self) -> None:
        """Send changed loads within the instance's region only.

        Instances of other regions don't use them to choose an instance.
        """
        rows_by_region: dict[RegionId, list[Row]] = {}
        for instance in self._changed_loads:
            region = self.region_of(instance)
            row = self.table.published_by_instance[instance]
            if region is not None:
                rows_by_region.setdefault(region, []).append(row)
        self._changed_loads.clear()
        for region, rows in rows_by_region.items():
            receivers = [
                instance
                for instance in self.table.attached_by_id
                if self.region_of(instance) == region
            ]
            self.network.post_all(receivers, Rows(rows=tuple(rows)))

    def _is_attached_here(self, row: Row) -> bool:
        return self.table.hub_by_instance[row.instance] == self.network.own_id

    def _post_rows_to_control(self, rows: Iterable[Row]) -> None:
        message = HubRows(rows=tuple(rows))
        if not message.rows:
            return
        self.network.post_all(self._control_peers(), message)

    def _control_peers(self) -> list[InstanceId]:
        records = self.source.current().instance_by_id.values()
        ids = [r.id for r in records if Role.CONTROL in r.roles]
        return [peer for peer in ids if peer != self.network.own_id]

    def _is_connected(self, peer: InstanceId) -> bool:
        return peer in self.network.connected()

    def _on_connect(self, peer: InstanceId) -> None:
        if peer not in self._control_peers():
            return
        self.network.post(peer, HubRows(rows=self.table.own_rows()))

    def _on_disconnect(self, peer: InstanceId) -> None:
        now = self.clock.monotonic()
        self.table.detach(peer, now)
        if peer in self._control_peers():
            self.table.record_hub_disconnect(peer, now)

    async def _async_run(self) -> None:
        full_at = loads_at = self.clock.monotonic()
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S)
            self._publish()
            now = self.clock.monotonic()
            if now >= loads_at:
                self._publish_loads()
                loads_at = now + LOADS_INTERVAL_S
            if now >= full_at:
                # Send all own rows again: some may have been lost with a stream.
                self._post_rows_to_control(self.table.own_rows())
                full_at = now + FULL_ROWS_INTERVAL_S * random.uniform(0.8, 1.2)

    async def _async_join(self, peer: InstanceId, join: Join) -> Done:
        command = JoinInstance(record=join.record)
        return _done_message(await self._async_commit(command))

    async def _async_leave(self, peer: InstanceId, leave: Leave) -> Done:
        command = LeaveInstance(instance=leave.instance)
        return _done_message(await self._async_commit(command))

    async def _async_standings(
        self, peer: InstanceId, request: StandingRequest
    ) -> Standings:
        now = self.clock.monotonic()
        return Standings(
            standings=tuple(
                Standing(report=a.report, age_ms=int((now - a.received_at) * 1000))
                for a in self.table.attached_by_id.values()
            )
        )

    async def _async_commit(
        self, command: JoinInstance | LeaveInstance
    ) -> Result[object, Failure]:
        return await self.configuration.async_propose(command, const.JOIN_TIMEOUT_S)


def _done_message(result: Result[object, Failure]) -> Done:
    match result:
        case Result(tag="ok", ok=JoinOutcome(status=status) as outcome):
            return Done(
                is_accepted=status is ChangeStatus.ACCEPTED,
                incarnation=outcome.incarnation,
                detail=outcome.detail,
            )
        case Result(tag="ok"):
            return Done(is_accepted=True, incarnation=Incarnation(0))
        case Result(error=failure):
            detail = f"{failure.code.number} {failure.code.name}"
            return Done(is_accepted=False, incarnation=Incarnation(0), detail=detail)


def _merge(
    standing_by_id: dict[InstanceId, Standing], standings: tuple[Standing, ...]
) -> None:
    for standing in standings:
        held = standing_by_id.get(standing.report.instance)
        if held is None or standing.age_ms < held.age_ms:
            standing_by_id[standing.report.instance] = standing
