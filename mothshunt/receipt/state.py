"""Detection of suspensions of the process."""

from dataclasses import dataclass

from mothshunt.receipt import const


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspension:
    """Time in which the event loop did not run.

    :param began_at: Last time at which it is known to have run before, in seconds.
    :param ended_at: First time at which it ran again, in seconds.
    """

    began_at: float
    ended_at: float


@dataclass(slots=True)
class SuspensionWatch:
    """Gaps between the times at which the event loop ran.

    What arrives at a suspended process waits in its sockets, which don't tell for how
    long. SIGSTOP, a paused machine and a blocked event loop look alike.
    """

    _ran_at: float | None = None
    _last: Suspension | None = None

    def observe(self, now: float) -> Suspension | None:
        """Record that the event loop runs.

        :param now: Current time, in seconds.
        :return: The suspension that this ends, if there was one.
        """
        ran_at, self._ran_at = self._ran_at, now
        if ran_at is None or now - ran_at < const.MIN_SUSPENSION_S:
            return None
        self._last = Suspension(began_at=ran_at, ended_at=now)
        return self._last

    def longest_wait_s(self, now: float) -> float:
        """Return how long a call that is read now may have waited, in seconds.

        :param now: Current time, in seconds.
        """
        if self._ran_at is None:
            return 0.0
        wait_s = now - self._ran_at
        last = self._last
        if last is not None and now - last.ended_at < const.CATCH_UP_S:
            wait_s = max(wait_s, now - last.began_at)
        return wait_s
