"""State of the attempts of one request."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from mothshunt.core.codes import Failure
from mothshunt.core.types import TargetId
from mothshunt.forwarding import const
from mothshunt.forwarding.attempt import AttemptResult, OutgoingRequest, TargetResponse
from mothshunt.forwarding.retry import RetryState
from mothshunt.placement.model import Choice


@dataclass(frozen=True, slots=True)
class ChosenResponse:
    """Response for the caller, with the target that sent it.

    :param choice: The target and the reason for its choice.
    :param response: Response of the target.
    """

    choice: Choice
    response: TargetResponse


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """Attempt in progress.

    :param choice: The target and the reason for its choice.
    :param is_overtaken: Whether a later attempt got a response first.
    """

    choice: Choice
    is_overtaken: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class RequestAttempts:
    """Attempts of one request.

    :param outgoing: The request.
    :param retry_state: State from which retries are decided.
    :param excluded: Targets that get no further attempt.
    :param attempts_by_target: Number of ended attempts, by target.
    :param running: Attempts in progress, by task.
    :param last_failure: Failure of the last attempt.
    :param best_response: Response for the caller unless a further attempt gives a
        better one; an error response, as long as attempts go on.
    :param is_hedged: Whether a hedged attempt was made or found impossible; there is at
        most one per request.
    """

    outgoing: OutgoingRequest
    retry_state: RetryState
    excluded: frozenset[TargetId] = frozenset()
    attempts_by_target: Counter[TargetId] = field(default_factory=Counter)
    running: dict[asyncio.Task[AttemptResult], RunningAttempt] = field(
        default_factory=dict
    )
    last_failure: Failure | None = None
    best_response: ChosenResponse | None = None
    is_hedged: bool = False

    def record_end(self, task: asyncio.Task[AttemptResult]) -> AttemptResult:
        """Record the end of an attempt and return its result.

        :param task: Finished task of the attempt.
        """
        choice = self.running.pop(task).choice
        result = task.result()
        target = choice.target.id
        was_sent_before = self.attempts_by_target[target] > 0
        self.retry_state.record_attempt(
            result.outcome, result.ran, was_sent_before=was_sent_before
        )
        self.attempts_by_target[target] += 1
        is_spent = self.attempts_by_target[target] >= const.MAX_ATTEMPTS_PER_TARGET
        if is_spent or not result.is_shed_with_capacity:
            self.excluded |= {target}
        return result

    def mark_overtaken(self, choice: Choice) -> None:
        """Mark the attempts in progress that started before the one that succeeded.

        :param choice: Choice of the attempt that succeeded.
        """
        for attempt in self.running.values():
            attempt.is_overtaken = attempt.choice.sent_at < choice.sent_at

    def cancel(self) -> None:
        """Cancel the attempts in progress and discard responses of those that ended."""
        for task in self.running:
            if not task.cancel() and task.exception() is None:
                task.result().close_response()
