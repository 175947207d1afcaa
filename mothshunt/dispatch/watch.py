"""Time-outs of attempts, checked by one shared timer instead of two per attempt."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from mothshunt.core.clock import Clock
from mothshunt.dispatch.const import (
    MIN_SILENCE_TIMEOUT_S,
    RETRY_RESERVE_FACTOR,
    WATCH_INTERVAL_S,
)


class CancelReason(Enum):
    """Reason for which the watchdog cancelled an attempt."""

    DEADLINE = "deadline"
    #: Another attempt at the same request got a response first or is to replace it.
    SUPERSEDED = "superseded"


@dataclass(slots=True, eq=False)
class WatchedAttempt:
    """State of one attempt at a target that the watchdog needs.

    :param deadline: Monotonic time at which the request ends, in seconds.
    :param may_send: Called right before the request is sent; returns whether it may be.
    :param task: Task that makes the attempt.
    :param send_started: Whether a byte of the request may have been sent.
    :param silence_deadline: Monotonic time by which the head of the response must have
        arrived, in seconds; ``None`` for no such limit.
    :param silence_timeout_s: Time allowed until then, in seconds.
    :param on_silence: Called once when ``silence_deadline`` has passed.
    :param cancel_reason: Why the watchdog cancelled the task; ``None`` if it did not.
    """

    deadline: float
    may_send: Callable[[], bool]
    task: "asyncio.Task[object]"
    send_started: bool = False
    silence_deadline: float | None = None
    silence_timeout_s: float = 0.0
    on_silence: "Callable[[WatchedAttempt], None] | None" = None
    cancel_reason: CancelReason | None = None

    def is_silent(self, now: float) -> bool:
        """Whether ``silence_deadline`` has passed.

        :param now: Monotonic time, in seconds.
        """
        return self.silence_deadline is not None and now >= self.silence_deadline


class AttemptWatchdog:
    """Watchdog that cancels the tasks of attempts whose deadline has passed.

    :param clock: Source of the present time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._attempts: set[WatchedAttempt] = set()
        self._timer: asyncio.TimerHandle | None = None

    def start(
        self,
        deadline: float,
        may_send: Callable[[], bool],
        on_silence: Callable[[WatchedAttempt], None] | None = None,
    ) -> WatchedAttempt:
        """Start watching an attempt, which the current task makes.

        :param deadline: Monotonic time at which the request ends, in seconds.
        :param may_send: Called right before the request is sent; returns whether it may
            be sent.
        :param on_silence: Called once when the connection has been silent for too long.
        """
        task = asyncio.current_task()
        assert task is not None
        attempt = WatchedAttempt(deadline, may_send, task, on_silence=on_silence)
        self._attempts.add(attempt)
        if self._timer is None:
            self._timer = self._loop.call_later(WATCH_INTERVAL_S, self._check_attempts)
        return attempt

    def stop(self, attempt: WatchedAttempt) -> None:
        """Stop watching an attempt.

        :param attempt: Return value of ``start``.
        """
        self._attempts.discard(attempt)

    def supersede(self, attempt: WatchedAttempt) -> None:
        """Cancel an attempt because another one got a response or is to replace it.

        :param attempt: Return value of ``start``.
        """
        if attempt in self._attempts:
            self._cancel(attempt, CancelReason.SUPERSEDED)

    def supersede_near_deadline(self, attempt: WatchedAttempt) -> None:
        """Cancel an attempt if it is still silent shortly before its deadline.

        The time left is used for another attempt over a new connection.

        :param attempt: Return value of ``start``; its connection is silent.
        """
        reserve_s = max(
            MIN_SILENCE_TIMEOUT_S, attempt.silence_timeout_s * RETRY_RESERVE_FACTOR
        )
        attempt.silence_deadline = attempt.deadline - reserve_s
        attempt.on_silence = self.supersede

    def _cancel(self, attempt: WatchedAttempt, cancel_reason: CancelReason) -> None:
        self._attempts.discard(attempt)
        attempt.cancel_reason = cancel_reason
        attempt.task.cancel()

    def _check_attempts(self) -> None:
        now = self._clock.monotonic()
        for attempt in list(self._attempts):
            if now >= attempt.deadline:
                self._cancel(attempt, CancelReason.DEADLINE)
            elif attempt.is_silent(now):
                attempt.silence_deadline = None
                if attempt.on_silence is not None:
                    attempt.on_silence(attempt)
        self._timer = None
        if self._attempts:
            self._timer = self._loop.call_later(WATCH_INTERVAL_S, self._check_attempts)


def clear_watchdog_cancel(attempt: WatchedAttempt) -> bool:
    """Undo the watchdog's cancellation; return whether only the watchdog cancelled.

    :param attempt: The attempt whose task was cancelled.
    """
    if attempt.cancel_reason is None:
        return False
    # Any other cancellation, such as by a caller that disconnected, takes precedence.
    return attempt.task.uncancel() == 0
