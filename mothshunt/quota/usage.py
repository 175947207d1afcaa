"""Counts by workspace, of which metrics and log lines show the largest."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from mothshunt.core.types import WorkspaceName
from mothshunt.quota import const


@dataclass(slots=True)
class WorkspaceCounts:
    """Counts by workspace since the start of the process.

    A workspace that is no longer among the largest is part of the others from then on.
    """

    count_by_workspace: Counter[WorkspaceName] = field(default_factory=Counter)

    def add(self, workspace: WorkspaceName, amount: int = 1) -> None:
        """Count.

        :param workspace: Name of the workspace.
        :param amount: Amount to add.
        """
        self.count_by_workspace[workspace] += amount

    def largest(self) -> Mapping[str, int]:
        """Return the largest counts, and the sum of the others."""
        largest: dict[str, int] = dict(
            self.count_by_workspace.most_common(const.MAX_REPORTED_WORKSPACES)
        )
        if len(self.count_by_workspace) > len(largest):
            others = self.count_by_workspace.total() - sum(largest.values())
            largest[const.OTHER_WORKSPACES] = (
                largest.get(const.OTHER_WORKSPACES, 0) + others
            )
        return largest

    def since(self, before: Counter[WorkspaceName]) -> "WorkspaceCounts":
        """Return what was counted after a copy was made.

        :param before: Copy of ``count_by_workspace``.
        """
        return WorkspaceCounts(self.count_by_workspace - before)
