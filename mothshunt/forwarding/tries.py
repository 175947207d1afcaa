"""What came of the attempts at one request, and which still run."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from mothshunt.core.codes import Failure
from mothshunt.core.types import TargetId
from mothshunt.forwarding import const
from mothshunt.forwarding.attempt import AttemptResult, Call, TargetAnswer
from mothshunt.forwarding.retry import Progress
from mothshunt.placement.model import Choice


@dataclass(frozen=True, slots=True)
class ChosenAnswer:
    """Hold an answer for the caller with the target that gave it.

    :param choice: The target, and what it was chosen for.
    :param answer: Its answer.
    """

    choice: Choice
    answer: TargetAnswer


@dataclass(slots=True, eq=False)
class Attempt:
    """Follow one attempt.

    :param choice: The target, and what it was chosen for.
    :param is_overtaken: Whether a later attempt answered first.
    """

    choice: Choice
    is_overtaken: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class Tries:
    """Follow all attempts of one request.

    :param call: The request.
    :param progress: What came of the attempts that ended.
    :param excluded: Targets that are not to be tried again.
    :param sends_by_target: Attempts that ended, by target.
    :param running: Attempts that are being made, by their task.
    :param last: How the last attempt failed.
    :param held: An error that a target answered; it is passed on where no other answer
        is had.
    :param is_hedged: Whether a second attempt was made, or could not be, while the
        first went on.
    """

    call: Call
    progress: Progress
    excluded: frozenset[TargetId] = frozenset()
    sends_by_target: Counter[TargetId] = field(default_factory=Counter)
    running: dict[asyncio.Task[AttemptResult], Attempt] = field(default_factory=dict)
    last: Failure | None = None
    held: ChosenAnswer | None = None
    is_hedged: bool = False

    def end(self, task: asyncio.Task[AttemptResult]) -> AttemptResult:
        """Take the end of an attempt.

        :param task: Its task, which is done.
        """
        choice = self.running.pop(task).choice
        result = task.result()
        target = choice.target.id
        is_again = self.sends_by_target[target] > 0
        self.progress.note(result.outcome, result.ran, is_again=is_again)
        self.sends_by_target[target] += 1
        is_spent = self.sends_by_target[target] >= const.MAX_SENDS_TO_TARGET
        if is_spent or not result.is_shed_with_room:
            self.excluded |= {target}
        return result

    def overtake(self, choice: Choice) -> None:
        """Note which attempts a later one has overtaken.

        :param choice: The target that answered.
        """
        for attempt in self.running.values():
            attempt.is_overtaken = attempt.choice.sent_at < choice.sent_at

    def cancel(self) -> None:
        """End the attempts that are being made, and drop answers that nobody gets."""
        for task in self.running:
            if not task.cancel() and task.exception() is None:
                task.result().drop()
