"""Counts of requests by workspace, bounded in number."""

import heapq
from collections import Counter
from dataclasses import dataclass, field

from mothshunt.forwarding import const
from mothshunt.metrics.registry import Metrics
from mothshunt.routing.model import Workspace

#: Label of requests that were rejected without belonging to a workspace. Parentheses
#: tell it from most names.
NO_WORKSPACE = "(none)"
#: Label of the workspaces that aren't among the largest.
OTHER_WORKSPACES = "(other)"


@dataclass(slots=True)
class WorkspaceCounters:
    """Admitted and rejected requests of each workspace.

    The largest workspaces by requests are exposed under their names, the others as one
    sum. A workspace that becomes one of the largest is taken out of the sum, which a
    monitoring system takes for a restart of that counter.
    """

    admitted_by_name: Counter[str] = field(default_factory=Counter)
    rejected_by_name: Counter[str] = field(default_factory=Counter)

    @classmethod
    def from_metrics(cls, metrics: Metrics) -> "WorkspaceCounters":
        """Return counters that are exposed with the metrics of the process.

        :param metrics: Metrics of the process.
        """
        counters = cls()
        metrics.counters(
            const.METRIC_WORKSPACE_ADMITTED,
            "workspace",
            lambda: counters.exposed(counters.admitted_by_name),
        )
        metrics.counters(
            const.METRIC_WORKSPACE_REJECTED,
            "workspace",
            lambda: counters.exposed(counters.rejected_by_name),
        )
        return counters

    def count_admitted(self, workspace: Workspace) -> None:
        """Count a request that was answered by a target.

        :param workspace: Workspace of the request.
        """
        self.admitted_by_name[workspace.name] += 1
        self._bound()

    def count_rejected(self, workspace: Workspace | None) -> None:
        """Count a request that this instance rejected.

        :param workspace: Workspace of the request; ``None`` if its key is missing or
            unknown.
        """
        name = NO_WORKSPACE if workspace is None else workspace.name
        self.rejected_by_name[name] += 1
        self._bound()

    def exposed(self, count_by_name: Counter[str]) -> dict[str, int]:
        """Return the counts of the largest workspaces and the sum of the others.

        :param count_by_name: One of the two counters.
        """
        total_by_name = self.admitted_by_name + self.rejected_by_name
        total_by_name.pop(NO_WORKSPACE, None)
        total_by_name.pop(OTHER_WORKSPACES, None)
        largest = heapq.nlargest(
            const.MAX_EXPOSED_WORKSPACES,
            total_by_name,
            key=lambda name: (total_by_name[name], name),
        )
        counts = {name: count_by_name[name] for name in (*largest, NO_WORKSPACE)}
        other = count_by_name.total() - sum(counts.values())
        return {
            name: count
            for name, count in (*counts.items(), (OTHER_WORKSPACES, other))
            if count
        }

    def _bound(self) -> None:
        """Add the smallest workspaces to the sum if more are counted than may exist."""
        counters = (self.admitted_by_name, self.rejected_by_name)
        if max(len(counter) for counter in counters) <= const.MAX_COUNTED_WORKSPACES:
            return
        names = self.admitted_by_name.keys() | self.rejected_by_name.keys()
        names -= {NO_WORKSPACE, OTHER_WORKSPACES}
        total_by_name = self.admitted_by_name + self.rejected_by_name
        for name in heapq.nsmallest(
            len(names) // 2, names, key=total_by_name.__getitem__
        ):
            for counter in counters:
                count = counter.pop(name, 0)
                counter[OTHER_WORKSPACES] += count
