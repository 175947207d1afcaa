"""Bound on the load reports that a control instance passes on."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from mothshunt.core.types import TargetId


@dataclass(slots=True)
class LoadBudget:
    """Pass on a bounded number of load reports, longest waiting first.

    With more targets than the bound allows, reports are passed on later, with the
    age that they then have; what is sent and received does not grow.
    """

    _waiting: dict[TargetId, None] = field(default_factory=dict)

    def add(self, targets: Iterable[TargetId]) -> None:
        """Note that there is a new load report of some targets.

        A target that waits already keeps its place.

        :param targets: Names of the targets.
        """
        for target in targets:
            self._waiting.setdefault(target)

    def take(self, count: int) -> list[TargetId]:
        """Return the targets whose turn it is.

        :param count: Most targets to return.
        """
        chosen = list(self._waiting)[:count]
        for target in chosen:
            del self._waiting[target]
        return chosen
