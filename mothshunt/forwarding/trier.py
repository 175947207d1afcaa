"""Retries and hedged attempts of a request."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from expression import Error, Result

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import Ran, TargetId
from mothshunt.dispatch import codes as dispatch_codes
from mothshunt.forwarding import codes, const
from mothshunt.forwarding.attempt import AttemptResult, OutgoingRequest, TargetClient
from mothshunt.forwarding.decisions import RequestLog
from mothshunt.forwarding.model import RoutedRequest
from mothshunt.forwarding.retry import (
    GiveUpReason,
    RetryBudget,
    RetryState,
    hedge_delay_s,
)
from mothshunt.forwarding.tries import ChosenResponse, RequestAttempts, RunningAttempt
from mothshunt.isolation.model import Isolation
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.coordinator import PlacementCoordinator
from mothshunt.placement.model import AttemptOutcome, Choice, PlacementRequest
from mothshunt.rate_limit.limiter import RateLimiter


class AttemptCoordinator:
    """Coordinator of the attempts of a request, including retries and hedged attempts.

    Attempts are made until a target responds or no further one is allowed. If the
    target of an idempotent request takes much longer than expected, a hedged attempt is
    made at another target and the first response is used: responses get lost, and
    targets that lose power never respond.

    :param configuration: Source of the configuration in force.
    :param placement: Chooses targets.
    :param rate_limiter: Rate limits that targets name.
    :param target_client: Makes a single attempt.
    :param budget: Budget for retries and hedged attempts.
    :param slack_part: Returns this instance's fraction of the budget's slack at a given
        time.
    :param request_log: Writes log lines about requests.
    :param isolation: Learns of the attempts; ends them while no target can be reached.
    :param metrics: Metrics of the process.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationSource,
        placement: PlacementCoordinator,
        rate_limiter: RateLimiter,
        target_client: TargetClient,
        budget: RetryBudget,
        slack_part: Callable[[float], float],
        request_log: RequestLog,
        isolation: Isolation,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._placement = placement
        self._rate_limiter = rate_limiter
        self._target_client = target_client
        self._budget = budget
        self._slack_part = slack_part
        self._request_log = request_log
        self._isolation = isolation
        self._metrics = metrics
        self._clock = clock

    async def async_run(
        self,
        outgoing: OutgoingRequest,
        retry_state: RetryState,
        *,
        is_caller_connected: Callable[[], bool],
    ) -> ChosenResponse | Failure:
        """Return the response for the caller, or the reason that there is none.

        :param outgoing: The request.
        :param retry_state: State from which retries are decided; it is updated.
        :param is_caller_connected: Returns whether the caller is still connected.
        """
        routed = outgoing.routed
        self._budget.count_request(routed.service, routed.received_at)
        attempts = RequestAttempts(outgoing=outgoing, retry_state=retry_state)
        try:
            while True:
                if not attempts.running:
                    final = await self._async_start_next(attempts, is_caller_connected)
                    if final is not None:
                        return final
                final = await self._async_wait(attempts)
                if final is not None:
                    return final
        finally:
            # The caller disconnected, or the response was chosen.
            attempts.cancel()

    async def _async_start_next(
        self, attempts: RequestAttempts, is_caller_connected: Callable[[], bool]
    ) -> ChosenResponse | Failure | None:
        """Start an attempt; return the result for the caller if none can be started."""
        if attempts.last_failure is not None and self._isolation.is_isolated:
            failure = self._isolation.isolation_failure()
            return attempts.best_response or self._final_failure(attempts, failure)
        match await self._async_choose(attempts):
            case Result(tag="ok", ok=choice):
                pass
            case Result(error=failure):
                return attempts.best_response or self._final_failure(
                    attempts, attempts.last_failure or failure
                )
        if not attempts.retry_state.attempts_left:
            # A relay has taken them since this attempt was decided on.
            self._placement.finish(choice, AttemptOutcome.CANCELLED, None)
            failure = Failure(code=dispatch_codes.LEASE_ENDED)
            return attempts.best_response or self._final_failure(
                attempts, attempts.last_failure or failure
            )
        if not is_caller_connected():
            # Nothing is sent for a caller that has disconnected.
            self._placement.finish(choice, AttemptOutcome.CANCELLED, None)
            return self._final_failure(
                attempts, Failure(code=dispatch_codes.BODY_INCOMPLETE)
            )
        self._start_attempt(attempts, choice)
        return None

    async def _async_choose(self, attempts: RequestAttempts) -> Result[Choice, Failure]:
        """Choose a target, and get a token for it if it names a rate limit.

        Targets that there is no token for are passed over. As the caller waits for the
        answer to each token request, only targets without a limit are considered after
        a few of them.
        """
        routed = attempts.outgoing.routed
        denied: frozenset[TargetId] = frozenset()
        while True:
            now = self._clock.monotonic()
            if routed.deadline - now < const.MIN_ATTEMPT_S:
                return Error(Failure(code=dispatch_codes.DEADLINE_PASSED))
            placement_request = _placement_request(
                routed,
                attempts.excluded | denied,
                now,
                accepts_limited=len(denied) < const.MAX_TOKEN_REQUESTS,
            )
            result = self._placement.choose(placement_request)
            if result.is_error():
                return result
            has_token = False
            try:
                has_token = await self._rate_limiter.async_take_token(
                    result.ok, routed.deadline - now
                )
            finally:
                if not has_token:
                    self._placement.finish(result.ok, AttemptOutcome.CANCELLED, None)
            if has_token:
                return result
            denied |= {result.ok.target.id}

    def _start_attempt(self, attempts: RequestAttempts, choice: Choice) -> None:
        attempt = RunningAttempt(choice)
        task = asyncio.create_task(self._async_attempt(attempts.outgoing, attempt))
        attempts.running[task] = attempt
        attempts.retry_state.record_start()
        self._isolation.record_start(choice)

    async def _async_wait(
        self, attempts: RequestAttempts
    ) -> ChosenResponse | Failure | None:
        """Wait for an attempt to end, or make a hedged one; return a final result."""
        done, _ = await asyncio.wait(
            attempts.running,
            timeout=self._hedge_due_in_s(attempts),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            self._make_hedged_attempt(attempts)
        for task in done:
            final = self._process_result(
                attempts, attempts.running[task].choice, attempts.record_end(task)
            )
            if final is not None:
                return final
        return None

    def _hedge_due_in_s(self, attempts: RequestAttempts) -> float | None:
        """Return the time until a hedged attempt is due; ``None`` if not allowed."""
        retry_state = attempts.retry_state
        may_hedge = retry_state.is_idempotent and retry_state.attempts_left > 0
        # Two concurrent attempts can't read the same body stream.
        is_streamed = attempts.outgoing.body.buffered is None
        if attempts.is_hedged or not may_hedge or is_streamed:
            return None
        (attempt,) = attempts.running.values()
        now = self._clock.monotonic()
        left_s = attempts.outgoing.routed.deadline - now
        waited_s = now - attempt.choice.sent_at
        return (
            hedge_delay_s(attempt.choice.unknown_object_s, left_s + waited_s) - waited_s
        )

    def _make_hedged_attempt(self, attempts: RequestAttempts) -> None:
        """Make a hedged attempt at another target if placement and budget allow it."""
        attempts.is_hedged = True
        if not attempts.retry_state.attempts_left:
            # A relay has taken them while this attempt was waited for.
            return
        routed = attempts.outgoing.routed
        now = self._clock.monotonic()
        running_targets = frozenset(
            a.choice.target.id for a in attempts.running.values()
        )
        placement_request = _placement_request(
            routed, attempts.excluded | running_targets, now, accepts_limited=False
        )
        match self._placement.choose(placement_request):
            case Result(tag="ok", ok=choice):
                pass
            case _:
                return
        if not self._budget.take(routed.service, self._slack_part(now), now):
            self._placement.finish(choice, AttemptOutcome.CANCELLED, None)
            self._metrics.count(const.METRIC_HEDGES, decision=GiveUpReason.BUDGET.value)
            return
        self._metrics.count(const.METRIC_HEDGES, decision="sent")
        self._start_attempt(attempts, choice)

    def _process_result(
        self, attempts: RequestAttempts, choice: Choice, result: AttemptResult
    ) -> ChosenResponse | Failure | None:
        """Process the end of an attempt; return the result for the caller, if final."""
        if result.response is not None:
            attempts.best_response = ChosenResponse(choice, result.response)
            if not _may_improve_elsewhere(attempts.outgoing, result):
                attempts.mark_overtaken(choice)
                return attempts.best_response
        attempts.last_failure = _failure_of(result)
        if attempts.running:
            next_step = "other_attempt"
            give_up = None
        else:
            give_up = self._reason_against_retry(attempts)
            next_step = "retried" if give_up is None else give_up.value
        self._request_log.log_attempt_failed(
            attempts.outgoing,
            choice,
            result.reported_load,
            attempts.last_failure,
            next_step=next_step,
            revision=self._configuration.current().revision,
            now=self._clock.monotonic(),
        )
        if give_up is None:
            return None
        return attempts.best_response or self._final_failure(
            attempts, attempts.last_failure
        )

    def _final_failure(self, attempts: RequestAttempts, failure: Failure) -> Failure:
        """Complete a failure: whether a target may have run it, and when to retry."""
        placement_request = _placement_request(
            attempts.outgoing.routed, frozenset(), self._clock.monotonic()
        )
        pause_s = self._placement.remaining_pause_s(placement_request) or 0.0
        retry_after_s = failure.retry_after_s
        if retry_after_s is None:
            retry_after_s = const.DEFAULT_RETRY_S
        return replace(
            failure,
            ran=attempts.retry_state.ran,
            retry_after_s=max(pause_s, retry_after_s),
        )

    def _reason_against_retry(self, attempts: RequestAttempts) -> GiveUpReason | None:
        """Return the reason against a retry; if ``None``, the budget was charged."""
        now = self._clock.monotonic()
        routed = attempts.outgoing.routed
        give_up = attempts.retry_state.give_up_reason(
            body_gone=attempts.outgoing.body.is_consumed,
            time_left_s=routed.deadline - now,
        )
        needs_budget = attempts.retry_state.targets_tried > 0
        if give_up is None and needs_budget:
            slack_part = self._slack_part(now)
            if not self._budget.take(routed.service, slack_part, now):
                give_up = GiveUpReason.BUDGET
        decision = "retried" if give_up is None else give_up.value
        self._metrics.count(const.METRIC_RETRIES, decision=decision)
        return give_up

    async def _async_attempt(
        self, outgoing: OutgoingRequest, attempt: RunningAttempt
    ) -> AttemptResult:
        choice = attempt.choice
        left_s = outgoing.routed.deadline - self._clock.monotonic()
        result: AttemptResult | None = None
        try:
            async with asyncio.timeout(left_s + const.TIMEOUT_GRACE_S):
                result = await self._target_client.async_send(outgoing, choice)
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
            reported_load = None if result is None else result.reported_load
            self._placement.finish(choice, outcome, reported_load)
            self._isolation.record_end(choice, outcome)
            if result is not None:
                self._placement.record_notice(choice.target, result.notice)
                if result.rate_limit is not None:
                    self._rate_limiter.record_statement(
                        choice.target, result.rate_limit
                    )
                for failure in result.notice_failures:
                    self._request_log.log_unreadable_notice(
                        outgoing, choice, failure, self._clock.monotonic()
                    )
            self._metrics.count(
                const.METRIC_ATTEMPTS,
                service=choice.target.service,
                outcome=outcome.value,
            )
        return result


def _placement_request(
    routed: RoutedRequest,
    excluded: frozenset[TargetId],
    now: float,
    *,
    accepts_limited: bool = True,
) -> PlacementRequest:
    route = routed.route
    spent_s = now - routed.received_at
    return PlacementRequest(
        service=routed.service,
        affinity_key=routed.affinity_key,
        target_latency_s=max(0.0, route.target_latency_s - spent_s),
        time_left_s=routed.deadline - now,
        home_regions=routed.home_regions,
        excluded=excluded,
        accepts_limited=accepts_limited,
        urgency=routed.urgency,
        workspace=None if routed.workspace is None else routed.workspace.name,
    )


def _may_improve_elsewhere(outgoing: OutgoingRequest, result: AttemptResult) -> bool:
    """Whether another target may give a better response than this error."""
    is_error = result.outcome is AttemptOutcome.ERROR_ANSWER
    is_buffered = (
        result.response is not None and result.response.buffered_body is not None
    )
    return is_error and is_buffered and outgoing.routed.route.is_idempotent


def _failure_of(result: AttemptResult) -> Failure:
    if result.failure is not None:
        return result.failure
    status = result.response.message.code if result.response is not None else 0
    return Failure(
        code=codes.ERROR_ANSWERED, detail=f"status {status}", ran=Ran.UNKNOWN
    )
