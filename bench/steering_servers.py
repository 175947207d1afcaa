"""Targets of the queue model."""

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from bench.timeline import Timeline
from mothshunt.core.types import Incarnation
from mothshunt.discovery.model import LoadReport, Target
from mothshunt.steering.model import Outcome

#: Time in which a target that lies about its health answers an error, in seconds.
ERROR_S = 0.005
SLOW_FACTOR = 8.0
COLD_FACTOR = 2.0
COLD_S = 3.0

Answer = Callable[[Outcome], None]


class Server:
    """Run as many requests as there are slots, queue as many, and shed the rest.

    :param target: The target as it announces itself.
    :param timeline: Events of the run.
    """

    def __init__(self, target: Target, timeline: Timeline) -> None:
        self.target = target
        self.slow = False
        self.lying = False
        self.lost = False
        self.connections_by_entry: dict[int, int] = {}
        self._timeline = timeline
        self._warm_at = 0.0
        self._running = 0
        self._queue: deque[tuple[float, Answer]] = deque()

    def report(self) -> LoadReport:
        """Return what the target says of its load; one that lies says none."""
        return LoadReport(
            in_flight=0 if self.lying else self._running + len(self._queue),
            connections=sum(self.connections_by_entry.values()),
            measured_at=self._timeline.now,
        )

    def lose(self) -> None:
        """Fall silent with all that runs."""
        self.lost = True
        self._running = 0
        self._queue.clear()
        self.connections_by_entry.clear()

    def restore(self) -> None:
        """Start again, cold."""
        now = self._timeline.now
        self.lost = False
        self._warm_at = now + COLD_S
        incarnation = Incarnation(self.target.incarnation + 1)
        self.target = replace(self.target, incarnation=incarnation, first_seen_at=now)

    def take(self, run_s: float, answer: Answer) -> bool:
        """Take a request.

        :param run_s: Time that it takes at a warm target, in seconds.
        :param answer: Called with the outcome, never when the target is lost.
        :return: Whether the request is run.
        """
        if self.lost:
            return False
        if self.lying:
            self._timeline.after(ERROR_S, partial(answer, Outcome.ERROR_ANSWER))
            return False
        slots = self.target.slots
        if self._running < slots:
            self._run(run_s, answer)
            return True
        if len(self._queue) < slots:
            self._queue.append((run_s, answer))
            return True
        answer(Outcome.SHED)
        return False

    def _run(self, run_s: float, answer: Answer) -> None:
        self._running += 1
        if self.slow:
            run_s *= SLOW_FACTOR
        if self._timeline.now < self._warm_at:
            run_s *= COLD_FACTOR
        leave = partial(self._leave_slot, self.target.incarnation, answer)
        self._timeline.after(run_s, leave)

    def _leave_slot(self, incarnation: Incarnation, answer: Answer) -> None:
        if self.lost or self.target.incarnation != incarnation:
            return
        self._running -= 1
        if self._queue:
            self._run(*self._queue.popleft())
        answer(Outcome.ANSWERED)
