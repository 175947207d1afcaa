"""Leaves of targets that entry instances learned of from responses."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import Incarnation, InstanceId, TargetId
from mothshunt.helpers import log
from mothshunt.helpers.tasks import async_cancel
from mothshunt.registry import const
from mothshunt.registry.log_events import LeaveWitnessed
from mothshunt.registry.messages import LeavingSeen
from mothshunt.routing.coordinator import RoutingCoordinator
from mothshunt.routing.model import RetiredState

_Key = tuple[TargetId, Incarnation]


@dataclass(slots=True)
class LeaveReports:
    """Reports of entry instances that a target is leaving.

    After one report only the reporting entry instance stops sending to the target: a
    response damaged in transit must not withdraw a healthy target from all callers.
    """

    _reported_at_by_entry_by_key: OrderedDict[_Key, dict[InstanceId, float]] = field(
        default_factory=OrderedDict
    )

    def add(self, entry: InstanceId, report: LeavingSeen, now: float) -> bool:
        """Record a report of an entry instance.

        :param entry: The entry instance.
        :param report: Its report.
        :param now: Current time, in seconds.
        :return: Whether this report is the one that completes the required number.
        """
        key = (report.target, report.incarnation)
        reported_at_by_entry = self._reported_at_by_entry_by_key.setdefault(key, {})
        self._reported_at_by_entry_by_key.move_to_end(key)
        if len(self._reported_at_by_entry_by_key) > const.MAX_REPORTED_TARGETS:
            self._reported_at_by_entry_by_key.popitem(last=False)
        for other, reported_at in list(reported_at_by_entry.items()):
            if now - reported_at > const.LEAVE_REPORT_WINDOW_S:
                del reported_at_by_entry[other]
        is_new = entry not in reported_at_by_entry
        reported_at_by_entry[entry] = now
        return is_new and len(reported_at_by_entry) == const.MIN_LEAVE_REPORTS

    def entries(self, report: LeavingSeen) -> tuple[InstanceId, ...]:
        """Return the entry instances that reported the same leave, sorted.

        :param report: One of the reports.
        """
        key = (report.target, report.incarnation)
        return tuple(sorted(self._reported_at_by_entry_by_key.get(key, ())))


@dataclass(slots=True, eq=False)
class LeaveReportCoordinator:
    """Coordinator that commits the leave of a target that entry instances reported.

    :param network: Streams of this instance.
    :param clock: Source of the current time.
    :param routing: Commits leaves to the replicated log.
    :param reports: Reports received so far.
    """

    network: PeerNetwork
    clock: Clock
    routing: RoutingCoordinator
    reports: LeaveReports = field(default_factory=LeaveReports)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def async_start(self) -> None:
        """Subscribe to reports of entry instances."""
        self.network.on_message(LeavingSeen, self._on_leaving_seen)

    async def async_stop(self) -> None:
        """Cancel the commits in progress."""
        for task in list(self._tasks):
            await async_cancel(task)

    def _on_leaving_seen(self, peer: InstanceId, report: LeavingSeen) -> None:
        if not self.reports.add(peer, report, self.clock.monotonic()):
            return
        log.write(
            LeaveWitnessed(
                target=report.target,
                incarnation=report.incarnation,
                entries=self.reports.entries(report),
            )
        )
        task = asyncio.create_task(self._async_retire(report))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_retire(self, report: LeavingSeen) -> None:
        # The result is not needed: the routing coordinator logs a failure, and the
        # entry instances that reported the leave avoid the target in any case.
        await self.routing.async_retire(
            report.target, report.incarnation, RetiredState.LEAVING
        )
