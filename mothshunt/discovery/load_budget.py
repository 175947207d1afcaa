"""Bound on the load reports that a control instance forwards."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from mothshunt.core.types import TargetId


@dataclass(slots=True)
class LoadReportQueue:
    """Targets with a load report to forward, longest waiting first.

    With more targets than are forwarded per flush, reports are forwarded later, with
    the age that they have by then; the traffic does not grow with the number of
    targets.
    """

    _queue: dict[TargetId, None] = field(default_factory=dict)

    def add(self, targets: Iterable[TargetId]) -> None:
        """Add targets that have a new load report.

        A target that is in the queue already keeps its position.

        :param targets: Names of the targets.
        """
        for target in targets:
            self._queue.setdefault(target)

    def pop(self, count: int) -> list[TargetId]:
        """Remove the first targets of the queue and return them.

        :param count: Greatest number of targets to return.
        """
        first = list(self._queue)[:count]
        for target in first:
            del self._queue[target]
        return first
