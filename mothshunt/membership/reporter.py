"""Reports of this instance to the control instance that it is attached to."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.codes import Failure
from mothshunt.core.types import Incarnation, InstanceId, InstanceState
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.membership import codes, const
from mothshunt.membership.messages import Done, Join, Leave, Report, Rows
from mothshunt.membership.model import InstanceRecord
from mothshunt.membership.state import load_bucket
from mothshunt.membership.uplink import Uplink
from mothshunt.membership.view import PresenceView
from mothshunt.settings.config import Settings

_LOGGER = get_logger("membership")


@dataclass(slots=True, eq=False)
class PresenceReporter:
    """Sender of this instance's join request and its state reports.

    :param record: Record of this instance; its seat is ignored.
    :param uplink: Connection to the control instances.
    :param source: The configuration in force.
    :param view: Presence of the other instances, received from the control instance.
    :param load: Returns the requests in flight here.
    :param state: State of this instance.
    """

    record: InstanceRecord
    uplink: Uplink
    source: ConfigurationSource
    view: PresenceView
    load: Callable[[], int]
    state: InstanceState = InstanceState.STARTING
    incarnation: Incarnation | None = None
    _task: asyncio.Task[None] | None = None
    _last_report: Report | None = None
    _reported_at: float = 0.0

    async def async_start(self) -> None:
        """Register the handlers of received rows and of attachments."""
        self.uplink.network.on_message(Rows, self._on_rows)
        self.uplink.on_attach(self._on_attach)

    async def async_stop(self) -> None:
        """Stop the reports."""
        await async_cancel(self._task)

    async def async_join(self) -> Result[Incarnation, Failure]:
        """Have this instance recorded; repeat until a control instance answers.

        :return: The incarnation of this run, or a failure with code 4202.
        """
        while True:
            answer = await self.uplink.async_ask(
                Join(record=self.record), const.JOIN_TIMEOUT_S
            )
            match answer:
                case Result(tag="ok", ok=Done(is_accepted=True) as done):
                    self.incarnation = done.incarnation
                    self._task = start_background("presence-report", self._async_report)
                    return Ok(done.incarnation)
                case Result(tag="ok", ok=Done(incarnation=number) as done) if number:
                    failure = Failure(code=codes.JOIN_REFUSED, detail=done.detail)
                    return Error(failure)
                case _:
                    await asyncio.sleep(0.2 * random.uniform(0.5, 1.5))

    async def async_leave(self) -> None:
        """Have the record of this instance removed because it stops for good."""
        message = Leave(instance=self.record.id)
        await self.uplink.async_ask(message, const.JOIN_TIMEOUT_S)

    def set_state(self, state: InstanceState) -> None:
        """Change the state and report it at once.

        :param state: The new state.
        """
        self.state = state
        self.report()

    def report(self) -> None:
        """Send the state of this instance to its control instance."""
        hub = self.uplink.hub()
        report = self._build_report()
        if hub is None or report is None:
            return
        if self.uplink.network.post(hub, report):
            self._last_report = report
            self._reported_at = self.uplink.clock.monotonic()

    def _build_report(self) -> Report | None:
        if self.incarnation is None:
            return None
        return Report(
            instance=self.record.id,
            incarnation=self.incarnation,
            attach=self.uplink.attach_count,
            state=self.state,
            load=load_bucket(self.load()),
            revision=self.source.current().revision,
        )

    def _is_report_due(self, now: float) -> bool:
        # The heartbeats of the stream already show that the instance is alive.
        if self._build_report() != self._last_report:
            return True
        return now - self._reported_at >= const.FULL_REPORT_INTERVAL_S

    def _on_attach(self, hub: InstanceId) -> None:
        self.report()

    def _on_rows(self, peer: InstanceId, rows: Rows) -> None:
        if peer == self.uplink.hub():
            self.view.apply_rows(rows)

    async def _async_report(self) -> None:
        while True:
            if self._is_report_due(self.uplink.clock.monotonic()):
                self.report()
            await asyncio.sleep(const.REPORT_INTERVAL_S * random.uniform(0.8, 1.2))


def record_from_settings(settings: Settings) -> InstanceRecord:
    """Return the record of this instance, with seat 0.

    :param settings: Settings of this instance.
    """
    listen = settings.listen
    return InstanceRecord(
        id=settings.instance.id,
        region=settings.instance.region,
        availability_zone=settings.instance.availability_zone,
        roles=settings.instance.roles,
        traffic_host=listen.traffic.host if listen.traffic else "",
        traffic_port=listen.traffic.port if listen.traffic else 0,
        admin_host=listen.admin.host,
        admin_port=listen.admin.port,
        peer_host=listen.peer.host,
        peer_port=listen.peer.port,
        seat=0,
    )
