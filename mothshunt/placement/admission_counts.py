"""Counts of requests by service and urgency, from which admission is decided."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from mothshunt.core.types import ServiceName, WorkspaceName
from mothshunt.placement.model import ReportedLoad

#: Units of the shares of slots in counts: hundredths.
SHARE_UNITS = 100
#: Longest queue that is counted for one response, as a multiple of the slots; a wrong
#: report of a target must not close a service.
MAX_COUNTED_QUEUE = 4.0
#: Workspaces that an entry instance names for each service in its counts.
MAX_REPORTED_WORKSPACES = 4
#: Workspaces that are counted for each service; further ones count as others.
MAX_COUNTED_WORKSPACES = 64


class UrgencyCounts(NamedTuple):
    """Requests of one urgency in one interval.

    :param urgency: The urgency; 0 is the most urgent.
    :param asked: Requests that callers made.
    :param rejected: Those that were rejected for lack of capacity.
    :param late: Those that were answered after their target latency.
    """

    urgency: int
    asked: int = 0
    rejected: int = 0
    late: int = 0


class WorkspaceCounts(NamedTuple):
    """Requests of one workspace in one interval.

    :param workspace: The workspace.
    :param asked: Requests that its callers made.
    """

    workspace: WorkspaceName
    asked: int


class ServiceCounts(NamedTuple):
    """Requests for one service in one interval, and the load that targets reported.

    :param service: The service.
    :param urgencies: Requests by urgency.
    :param answered: Responses with the load of the target.
    :param busy: Sum over these of the share of slots in use, in hundredths.
    :param waiting: Sum over these of the queue as a multiple of the slots, in
        hundredths.
    :param workspaces: Requests of the largest workspaces.
    :param unnamed: Requests of all other workspaces.
    :param unnamed_count: Number of those workspaces; where several instances count,
        the largest number of any.
    """

    service: ServiceName
    urgencies: tuple[UrgencyCounts, ...]
    answered: int = 0
    busy: int = 0
    waiting: int = 0
    workspaces: tuple[WorkspaceCounts, ...] = ()
    unnamed: int = 0
    unnamed_count: int = 0

    @property
    def asked(self) -> int:
        """Requests of all urgencies."""
        return sum(counts.asked for counts in self.urgencies)


@dataclass(slots=True)
class ServiceCounter:
    """Counter of the requests for one service since the last report."""

    _asked: dict[int, int] = field(default_factory=dict)
    _rejected: dict[int, int] = field(default_factory=dict)
    _late: dict[int, int] = field(default_factory=dict)
    _asked_by_workspace: dict[WorkspaceName, int] = field(default_factory=dict)
    _unnamed: int = 0
    _answered: int = 0
    _busy: int = 0
    _waiting: int = 0

    def count_asked(self, urgency: int, workspace: WorkspaceName | None) -> None:
        """Count a request of a caller.

        :param urgency: Its urgency.
        :param workspace: Its workspace; ``None`` for none.
        """
        self._asked[urgency] = self._asked.get(urgency, 0) + 1
        if workspace is None:
            return
        held = self._asked_by_workspace
        if workspace in held or len(held) < MAX_COUNTED_WORKSPACES:
            held[workspace] = held.get(workspace, 0) + 1
        else:
            self._unnamed += 1

    def count_rejected(self, urgency: int) -> None:
        """Count a request that was rejected for lack of capacity.

        :param urgency: Its urgency.
        """
        self._rejected[urgency] = self._rejected.get(urgency, 0) + 1

    def count_answer(
        self, urgency: int, reported: ReportedLoad | None, *, is_late: bool
    ) -> None:
        """Count a response of a target.

        :param urgency: Urgency of the request.
        :param reported: Load that the target reported; ``None`` if it reported none.
        :param is_late: Whether the target latency of the request had passed.
        """
        if is_late:
            self._late[urgency] = self._late.get(urgency, 0) + 1
        if reported is None or reported.slots <= 0:
            return
        requests = max(0, reported.running) + max(0, reported.waiting)
        queue = max(0.0, min(MAX_COUNTED_QUEUE, reported.waiting / reported.slots))
        self._answered += 1
        self._busy += round(min(1.0, requests / reported.slots) * SHARE_UNITS)
        self._waiting += round(queue * SHARE_UNITS)

    def take(self, service: ServiceName) -> ServiceCounts | None:
        """Return the counts since the last call; ``None`` if there were none.

        :param service: Name of the service.
        """
        urgencies = sorted({*self._asked, *self._rejected, *self._late})
        if not urgencies and not self._answered:
            return None
        ordered = sorted(
            self._asked_by_workspace.items(), key=lambda item: (-item[1], item[0])
        )
        named = ordered[:MAX_REPORTED_WORKSPACES]
        rest = ordered[MAX_REPORTED_WORKSPACES:]
        counts = ServiceCounts(
            service=service,
            urgencies=tuple(
                UrgencyCounts(
                    urgency,
                    self._asked.get(urgency, 0),
                    self._rejected.get(urgency, 0),
                    self._late.get(urgency, 0),
                )
                for urgency in urgencies
            ),
            answered=self._answered,
            busy=self._busy,
            waiting=self._waiting,
            workspaces=tuple(WorkspaceCounts(name, asked) for name, asked in named),
            unnamed=self._unnamed + sum(asked for _, asked in rest),
            unnamed_count=len(rest),
        )
        self._asked.clear()
        self._rejected.clear()
        self._late.clear()
        self._asked_by_workspace.clear()
        self._unnamed = self._answered = self._busy = self._waiting = 0
        return counts


def sum_counts(
    rows: Iterable[ServiceCounts], max_workspaces: int
) -> dict[ServiceName, ServiceCounts]:
    """Return the sums of counts, by service.

    :param rows: Counts of several instances.
    :param max_workspaces: Workspaces that are named for each service; the rest counts
        as others.
    """
    rows_by_service: dict[ServiceName, list[ServiceCounts]] = {}
    for row in rows:
        rows_by_service.setdefault(row.service, []).append(row)
    return {
        service: _sum_of(service, own, max_workspaces)
        for service, own in rows_by_service.items()
    }


def _sum_of(
    service: ServiceName, rows: list[ServiceCounts], max_workspaces: int
) -> ServiceCounts:
    asked: dict[int, int] = {}
    rejected: dict[int, int] = {}
    late: dict[int, int] = {}
    by_workspace: dict[WorkspaceName, int] = {}
    for row in rows:
        for urgency, own_asked, own_rejected, own_late in row.urgencies:
            asked[urgency] = asked.get(urgency, 0) + own_asked
            rejected[urgency] = rejected.get(urgency, 0) + own_rejected
            late[urgency] = late.get(urgency, 0) + own_late
        for workspace, count in row.workspaces:
            by_workspace[workspace] = by_workspace.get(workspace, 0) + count
    named, rest = _largest(by_workspace, max_workspaces)
    unnamed_count = max((row.unnamed_count for row in rows), default=0)
    return ServiceCounts(
        service=service,
        urgencies=tuple(
            UrgencyCounts(urgency, asked[urgency], rejected[urgency], late[urgency])
            for urgency in sorted(asked)
        ),
        answered=sum(row.answered for row in rows),
        busy=sum(row.busy for row in rows),
        waiting=sum(row.waiting for row in rows),
        workspaces=tuple(WorkspaceCounts(name, count) for name, count in named.items()),
        unnamed=sum(row.unnamed for row in rows) + sum(rest.values()),
        unnamed_count=max(unnamed_count, len(rest)),
    )


def _largest(
    count_by_workspace: Mapping[WorkspaceName, int], limit: int
) -> tuple[dict[WorkspaceName, int], dict[WorkspaceName, int]]:
    ordered = sorted(count_by_workspace.items(), key=lambda item: (-item[1], item[0]))
    return dict(ordered[:limit]), dict(ordered[limit:])
