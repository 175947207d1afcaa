"""Exchange of the locality of objects between entry and control instances."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, RegionId, ServiceName
from mothshunt.helpers import log
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.locality import const
from mothshunt.locality.log_events import ObjectLocalityChanged
from mothshunt.locality.messages import LocalitySummary, ObjectsRequested
from mothshunt.locality.state import LocalityBoard, LocalityView, ObjectSampler


@dataclass(slots=True, eq=False)
class LocalityHub:
    """Collection of the locality of objects at one control instance.

    It sends nothing as long as no entry instance reports objects.

    :param network: Streams to the entry instances.
    :param region_by_entry: Returns the regions of the attached entry instances.
    :param primary_entries: Returns the entry instances that are sent summaries.
    :param clock: Source of the present time.
    :param board: Objects that were reported.
    """

    network: PeerNetwork
    region_by_entry: Callable[[], Mapping[InstanceId, RegionId]]
    primary_entries: Callable[[], Iterable[InstanceId]]
    clock: Clock
    board: LocalityBoard = field(default_factory=LocalityBoard)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Receive reports and start to send summaries."""
        self.network.on_message(ObjectsRequested, self._on_report)
        self._task = start_background("locality", self._async_run)

    async def async_stop(self) -> None:
        """Stop sending summaries."""
        await async_cancel(self._task)

    def _on_report(self, peer: InstanceId, report: ObjectsRequested) -> None:
        region = self.region_by_entry().get(peer)
        if region is not None:
            self.board.record(region, report.rows, self.clock.monotonic())

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(const.REPORT_INTERVAL_S)
            rows = self.board.summary(self.clock.monotonic())
            if rows:
                self.network.post_all(
                    self.primary_entries(), LocalitySummary(rows=rows)
                )


@dataclass(slots=True, eq=False)
class LocalityReporter:
    """Report and view of the locality of objects at one entry instance.

    :param network: Streams to the control instances.
    :param controls: Returns the connected control instances.
    :param clock: Source of the present time.
    :param is_enabled: Whether the configuration asks for it.
    :param sampler: Objects since the last report.
    :param view: What the control instances summarized.
    """

    network: PeerNetwork
    controls: Callable[[], Iterable[InstanceId]]
    clock: Clock
    is_enabled: bool = False
    sampler: ObjectSampler = field(default_factory=ObjectSampler)
    view: LocalityView = field(default_factory=LocalityView.empty)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Receive summaries and start to report."""
        self.network.on_message(LocalitySummary, self._on_summary)
        self._task = start_background("locality", self._async_run)

    async def async_stop(self) -> None:
        """Stop reporting."""
        await async_cancel(self._task)

    def record(self, service: ServiceName, affinity_key: str | None) -> None:
        """Record a request, if the locality of objects is to be observed.

        :param service: The requested service.
        :param affinity_key: Key of the object; ``None`` for none.
        """
        if self.is_enabled and affinity_key is not None:
            self.sampler.record(service, affinity_key)

    def is_regional(self, service: ServiceName) -> bool:
        """Whether each object of a service has its target in its callers' region.

        :param service: The service.
        """
        return self.is_enabled and self.view.is_regional(service)

    def _on_summary(self, peer: InstanceId, summary: LocalitySummary) -> None:
        for service in self.view.apply(peer, summary.rows, self.clock.monotonic()):
            log.write(
                ObjectLocalityChanged(
                    service=service, is_regional=self.view.is_regional(service)
                )
            )

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(const.REPORT_INTERVAL_S)
            rows = self.sampler.take_rows()
            if rows:
                self.network.post_all(self.controls(), ObjectsRequested(rows=rows))
