"""What targets asked entry instances for in answers, and what came all the same."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from testkit.soak.history import LEAVE_BOUND_S, Sent

#: Requests that were on their way when a target asked for a pause arrive within this
#: time, in seconds, and two more are allowed.
ON_THE_WAY_S = 0.5
MAX_IN_PAUSE = 2

#: A target's name and incarnation.
Life = tuple[str, int]
#: Tells whether an entry instance had a fault between two times.
HadFault = Callable[[str, float, float], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class Notice:
    """Hold what a target asked for with its answer to a request.

    :param request_id: The request.
    :param life: Name and incarnation of the target.
    :param at: Time of the answer, in seconds.
    :param pause_s: Pause that it asked for, in seconds; 0 where it said that it leaves.
    """

    request_id: str
    life: Life
    at: float
    pause_s: float = 0.0


@dataclass(kw_only=True, slots=True)
class Notices:
    """Gather notices and the requests that came, with all times from one clock."""

    given: list[Notice] = field(default_factory=list)
    #: Times at which requests came, with their ids, by target.
    came_by_life: dict[Life, list[tuple[float, str]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def violations(
        self, sent_by_id: Mapping[str, Sent], had_fault: HadFault, lag_s: float
    ) -> Iterator[str]:
        """Return the notices that an entry instance did not heed, a line each.

        :param sent_by_id: Requests as their callers saw them.
        :param had_fault: Tells of restarts and freezes, which excuse an instance.
        :param lag_s: Longest time for which the test itself did not run, in seconds.
        """
        for notice in self.given:
            first = sent_by_id.get(notice.request_id)
            if first is None:
                continue
            came = [
                sent_by_id[request_id]
                for at, request_id in self.came_by_life[notice.life]
                if self._counts(notice, first, sent_by_id.get(request_id), at, lag_s)
                and not had_fault(first.entry, notice.at, at)
            ]
            if len(came) > (MAX_IN_PAUSE if notice.pause_s else 0):
                kind = "PAUSE" if notice.pause_s else "NOTICE"
                ids = [sent.id for sent in came]
                yield f"{kind} {notice} through {first.entry}: then came {ids}"

    def _counts(
        self, notice: Notice, first: Sent, later: Sent | None, at: float, lag_s: float
    ) -> bool:
        """Tell whether a request came that should not have."""
        if later is None or later.entry != first.entry:
            return False
        if notice.pause_s:
            return notice.at + ON_THE_WAY_S + lag_s < at < notice.at + notice.pause_s
        # It binds once the entry instance has passed the answer on.
        if first.status == 0:
            return False
        return later.sent_at > first.ended_at + LEAVE_BOUND_S + lag_s
