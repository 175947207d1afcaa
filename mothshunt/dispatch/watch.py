"""Watch over attempts: one timer for all of them in place of two for each."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from mothshunt.core.clock import Clock
from mothshunt.dispatch.const import (
    MIN_SILENCE_S,
    SILENT_RESERVE,
    WATCH_INTERVAL_S,
)


class Expiry(Enum):
    """Why an attempt was ended by the watch."""

    DEADLINE = "deadline"
    #: Another attempt at the same request answered first.
    SUPERSEDED = "superseded"


@dataclass(slots=True, eq=False)
class Handover:
    """Follow one attempt at a target.

    :param deadline: Monotonic time at which the request ends, in seconds.
    :param may_send: Tells, right before the request is sent, whether it may be.
    :param task: Task that makes the attempt.
    :param done: Whether a byte of the request may have been handed to a connection.
    :param silent_at: Monotonic time up to which the connection may stay silent, in
        seconds; ``None`` for as long as it likes.
    :param silence_limit_s: How long it may stay silent, in seconds.
    :param on_silence: Called once when the connection stayed silent for longer.
    :param expiry: Why the watch cancelled the task, if it did.
    """

    deadline: float
    may_send: Callable[[], bool]
    task: "asyncio.Task[object]"
    done: bool = False
    silent_at: float | None = None
    silence_limit_s: float = 0.0
    on_silence: "Callable[[Handover], None] | None" = None
    expiry: Expiry | None = None

    def is_silent(self, now: float) -> bool:
        """Tell whether the connection has been silent for longer than it may.

        :param now: Monotonic time, in seconds.
        """
        return self.silent_at is not None and now >= self.silent_at


class AttemptWatch:
    """Cancel the tasks of attempts whose time is over.

    :param clock: Source of the present time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._handovers: set[Handover] = set()
        self._timer: asyncio.TimerHandle | None = None

    def begin(
        self,
        deadline: float,
        may_send: Callable[[], bool],
        on_silence: Callable[[Handover], None] | None = None,
    ) -> Handover:
        """Watch over an attempt of the current task.

        :param deadline: Monotonic time at which the request ends, in seconds.
        :param may_send: Tells, right before the request is sent, whether it may be.
        :param on_silence: Called once when the connection stayed silent for longer
            than it may.
        """
        task = asyncio.current_task()
        assert task is not None
        handover = Handover(deadline, may_send, task, on_silence=on_silence)
        self._handovers.add(handover)
        if self._timer is None:
            self._timer = self._loop.call_later(WATCH_INTERVAL_S, self._look)
        return handover

    def end(self, handover: Handover) -> None:
        """Watch over an attempt no longer.

        :param handover: What ``begin`` returned.
        """
        self._handovers.discard(handover)

    def supersede(self, handover: Handover) -> None:
        """End an attempt because another one has an answer.

        :param handover: What ``begin`` returned.
        """
        if handover in self._handovers:
            self._cancel(handover, Expiry.SUPERSEDED)

    def supersede_late(self, handover: Handover) -> None:
        """End an attempt if it is still silent when little time is left.

        :param handover: What ``begin`` returned; its connection is silent.
        """
        reserve_s = max(MIN_SILENCE_S, handover.silence_limit_s * SILENT_RESERVE)
        handover.silent_at = handover.deadline - reserve_s
        handover.on_silence = self.supersede

    def _cancel(self, handover: Handover, expiry: Expiry) -> None:
        self._handovers.discard(handover)
        handover.expiry = expiry
        handover.task.cancel()

    def _look(self) -> None:
        now = self._clock.monotonic()
        for handover in list(self._handovers):
            if now >= handover.deadline:
                self._cancel(handover, Expiry.DEADLINE)
            elif handover.is_silent(now):
                handover.silent_at = None
                if handover.on_silence is not None:
                    handover.on_silence(handover)
        self._timer = None
        if self._handovers:
            self._timer = self._loop.call_later(WATCH_INTERVAL_S, self._look)


def ended_by_watch(handover: Handover) -> bool:
    """Tell whether a cancellation is the watch's, and take it back if so.

    :param handover: The attempt whose task was cancelled.
    """
    if handover.expiry is None:
        return False
    # Another cancellation, such as that of a caller who left, goes first.
    return handover.task.uncancel() == 0
