"""Attempts at targets until one answers or no further attempt is allowed."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from expression import Result

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import Ran, TargetId
from mothshunt.dispatch import codes as dispatch_codes
from mothshunt.forwarding import codes, const
from mothshunt.forwarding.attempt import Attempter, AttemptResult, Call
from mothshunt.forwarding.decisions import DecisionLog
from mothshunt.forwarding.model import RoutedRequest
from mothshunt.forwarding.retry import GiveUp, Progress, RetryBudget, hedge_delay_s
from mothshunt.forwarding.tries import Attempt, ChosenAnswer, Tries
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.coordinator import PlacementCoordinator
from mothshunt.placement.model import AttemptOutcome, Choice, PlacementRequest


class Trier:
    """Try targets until one answers or no further attempt is allowed.

    An idempotent request whose target takes much longer than expected is sent to
    another one as well, and the first answer counts: answers get lost, and targets that
    lost their power say nothing.

    :param configuration: Configuration in force.
    :param placement: Chooses targets.
    :param attempter: Makes attempts.
    :param budget: Attempts beyond the first.
    :param slack_part: Returns the part of the budget's slack that this instance may use
        at a time.
    :param decisions: Writes a line for each decision.
    :param metrics: Metrics of the process.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationSource,
        placement: PlacementCoordinator,
        attempter: Attempter,
        budget: RetryBudget,
        slack_part: Callable[[float], float],
        decisions: DecisionLog,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._placement = placement
        self._attempter = attempter
        self._budget = budget
        self._slack_part = slack_part
        self._decisions = decisions
        self._metrics = metrics
        self._clock = clock

    async def async_try(
        self, call: Call, progress: Progress, *, is_caller_there: Callable[[], bool]
    ) -> ChosenAnswer | Failure:
        """Return the answer of a target, or why there is none.

        :param call: The request.
        :param progress: Follows the attempts.
        :param is_caller_there: Tells whether the caller still waits.
        """
        asked = call.request
        self._budget.count_request(asked.service, asked.received_at)
        tries = Tries(call=call, progress=progress)
        try:
            while True:
                if not tries.running:
                    ended = self._begin(tries, is_caller_there)
                    if ended is not None:
                        return ended
                ended = await self._async_follow(tries)
                if ended is not None:
                    return ended
        finally:
            # The caller has left, or there is an answer.
            tries.cancel()

    def _begin(
        self, tries: Tries, is_caller_there: Callable[[], bool]
    ) -> ChosenAnswer | Failure | None:
        """Begin an attempt; return what the caller gets where there is none."""
        asked = tries.call.request
        now = self._clock.monotonic()
        if asked.deadline - now < const.MIN_ATTEMPT_S:
            failure = tries.last or Failure(code=dispatch_codes.DEADLINE_PASSED)
            return tries.held or self._final(tries, failure)
        match self._placement.choose(_wanted(asked, tries.excluded, now)):
            case Result(tag="ok", ok=choice):
                pass
            case Result(error=failure):
                return tries.held or self._final(tries, tries.last or failure)
        if not is_caller_there():
            # Nothing was sent for a caller that has left.
            self._placement.finish(choice, AttemptOutcome.CANCELLED, None)
            return self._final(tries, Failure(code=dispatch_codes.BODY_INCOMPLETE))
        self._start(tries, choice)
        return None

    def _start(self, tries: Tries, choice: Choice) -> None:
        attempt = Attempt(choice)
        task = asyncio.create_task(self._async_attempt(tries.call, attempt))
        tries.running[task] = attempt

    async def _async_follow(self, tries: Tries) -> ChosenAnswer | Failure | None:
        """Wait until an attempt ends or is overdue; return what the caller gets."""
        done, _ = await asyncio.wait(
            tries.running,
            timeout=self._overdue_in_s(tries),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            self._hedge(tries)
        for task in done:
            ended = self._take(tries, tries.running[task].choice, tries.end(task))
            if ended is not None:
                return ended
        return None

    def _overdue_in_s(self, tries: Tries) -> float | None:
        """Return when another attempt is due; ``None`` where none may be made."""
        progress = tries.progress
        # An attempt that runs counts among those that may be made.
        may_hedge = progress.is_idempotent and progress.sent + 1 < progress.max_attempts
        # Two attempts can't read a streamed body at the same time.
        is_streamed = tries.call.body.buffered is None
        if tries.is_hedged or not may_hedge or is_streamed:
            return None
        (attempt,) = tries.running.values()
        now = self._clock.monotonic()
        left_s = tries.call.request.deadline - now
        waited_s = now - attempt.choice.sent_at
        return (
            hedge_delay_s(attempt.choice.unknown_object_s, left_s + waited_s) - waited_s
        )

    def _hedge(self, tries: Tries) -> None:
        """Send a request to another target while the first has not answered."""
        tries.is_hedged = True
        asked = tries.call.request
        now = self._clock.monotonic()
        waiting = frozenset(a.choice.target.id for a in tries.running.values())
        wanted = _wanted(asked, tries.excluded | waiting, now)
        match self._placement.choose(wanted):
            case Result(tag="ok", ok=choice):
                pass
            case _:
                return
        if not self._budget.take(asked.service, self._slack_part(now), now):
            self._placement.finish(choice, AttemptOutcome.CANCELLED, None)
            self._metrics.count(const.METRIC_HEDGES, decision=GiveUp.BUDGET.value)
            return
        self._metrics.count(const.METRIC_HEDGES, decision="sent")
        self._start(tries, choice)

    def _take(
        self, tries: Tries, choice: Choice, result: AttemptResult
    ) -> ChosenAnswer | Failure | None:
        """Take the end of an attempt; return what the caller gets."""
        if result.answer is not None:
            tries.held = ChosenAnswer(choice, result.answer)
            if not _may_be_better_elsewhere(tries.call, result):
                tries.overtake(choice)
                return tries.held
        tries.last = _failure_of(result)
        if tries.running:
            next_step = "other_attempt"
            give_up = None
        else:
            give_up = self._give_up(tries)
            next_step = "retried" if give_up is None else give_up.value
        self._decisions.attempt_failed(
            tries.call,
            choice,
            result.reported,
            tries.last,
            next_step=next_step,
            revision=self._configuration.current().revision,
            now=self._clock.monotonic(),
        )
        if give_up is None:
            return None
        return tries.held or self._final(tries, tries.last)

    def _final(self, tries: Tries, failure: Failure) -> Failure:
        """Return what the caller is told, with whether any target may have run it."""
        wanted = _wanted(tries.call.request, frozenset(), self._clock.monotonic())
        pause_s = self._placement.remaining_pause_s(wanted) or 0.0
        retry_after_s = failure.retry_after_s
        if retry_after_s is None:
            retry_after_s = const.DEFAULT_RETRY_S
        return replace(
            failure, ran=tries.progress.ran, retry_after_s=max(pause_s, retry_after_s)
        )

    def _give_up(self, tries: Tries) -> GiveUp | None:
        """Tell why no other attempt is made; ``None`` takes one from the budget."""
        now = self._clock.monotonic()
        asked = tries.call.request
        give_up = tries.progress.give_up(
            body_gone=tries.call.body.is_consumed, time_left_s=asked.deadline - now
        )
        is_counted = tries.progress.sent > 0
        if give_up is None and is_counted:
            slack_part = self._slack_part(now)
            if not self._budget.take(asked.service, slack_part, now):
                give_up = GiveUp.BUDGET
        decision = "retried" if give_up is None else give_up.value
        self._metrics.count(const.METRIC_RETRIES, decision=decision)
        return give_up

    async def _async_attempt(self, call: Call, attempt: Attempt) -> AttemptResult:
        choice = attempt.choice
        left_s = call.request.deadline - self._clock.monotonic()
        result: AttemptResult | None = None
        try:
            async with asyncio.timeout(left_s + const.TIMEOUT_GRACE_S):
                result = await self._attempter.async_attempt(call, choice)
        except TimeoutError:
            failure = Failure(code=dispatch_codes.TARGET_TIMED_OUT, ran=Ran.UNKNOWN)
            result = AttemptResult(
                outcome=AttemptOutcome.TIMED_OUT, ran=Ran.UNKNOWN, failure=failure
            )
        finally:
            outcome = AttemptOutcome.CANCELLED
            if result is not None:
                outcome = result.outcome
            elif attempt.is_overtaken:
                outcome = AttemptOutcome.OVERTAKEN
            reported = None if result is None else result.reported
            self._placement.finish(choice, outcome, reported)
            if result is not None:
                self._placement.record_notice(choice.target, result.notice)
                if result.notice_fault is not None:
                    now = self._clock.monotonic()
                    self._decisions.notice_unreadable(
                        call, choice, result.notice_fault, now
                    )
            self._metrics.count(
                const.METRIC_ATTEMPTS,
                service=choice.target.service,
                outcome=outcome.value,
            )
        return result


def _wanted(
    asked: RoutedRequest, excluded: frozenset[TargetId], now: float
) -> PlacementRequest:
    route = asked.route
    spent_s = now - asked.received_at
    return PlacementRequest(
        service=asked.service,
        affinity_key=asked.affinity_key,
        target_latency_s=max(0.0, route.target_latency_s - spent_s),
        time_left_s=asked.deadline - now,
        home_regions=frozenset(route.home_regions),
        excluded=excluded,
    )


def _may_be_better_elsewhere(call: Call, result: AttemptResult) -> bool:
    """Tell whether a target's answer is an error that another one might not give."""
    is_error = result.outcome is AttemptOutcome.ERROR_ANSWER
    is_whole = result.answer is not None and result.answer.whole is not None
    return is_error and is_whole and call.request.route.is_idempotent


def _failure_of(result: AttemptResult) -> Failure:
    if result.failure is not None:
        return result.failure
    status = result.answer.message.code if result.answer is not None else 0
    return Failure(
        code=codes.ERROR_ANSWERED, detail=f"status {status}", ran=Ran.UNKNOWN
    )
