"""Events in the order of their time."""

import heapq
import itertools
from collections.abc import Callable


class Timeline:
    """Run events one after the other.

    :param start: Time at which the first event may be, in seconds.
    """

    def __init__(self, start: float) -> None:
        self.now = start
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, time: float, event: Callable[[], None]) -> None:
        """Run an event at a time.

        :param time: When, in seconds.
        :param event: What to run.
        """
        heapq.heappush(self._events, (time, next(self._numbers), event))

    def after(self, delay: float, event: Callable[[], None]) -> None:
        """Run an event after a delay.

        :param delay: Seconds from now.
        :param event: What to run.
        """
        self.at(self.now + delay, event)

    def run_until(self, end: float) -> None:
        """Run all events up to a time.

        :param end: The time, in seconds.
        """
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
