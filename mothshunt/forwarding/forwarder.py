"""Forwarding of routed requests to targets, with retries."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

import aiohttp
from aiohttp import web
from expression import Result
from multidict import CIMultiDict, CIMultiDictProxy

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import Ran, RequestId, TargetId
from mothshunt.dispatch import codes as dispatch_codes
from mothshunt.dispatch.body import async_read_body
from mothshunt.dispatch.request import forwarded_headers
from mothshunt.forwarding import codes, const
from mothshunt.forwarding.attempt import (
    AnswerBrokenOffError,
    Attempter,
    AttemptResult,
    Call,
    TargetAnswer,
)
from mothshunt.forwarding.connections import ConnectionPool
from mothshunt.forwarding.decisions import DecisionLog
from mothshunt.forwarding.model import RoutedRequest
from mothshunt.forwarding.opening import Opening
from mothshunt.forwarding.refusal import Refuser
from mothshunt.forwarding.request import read_request, target_headers, time_left_s
from mothshunt.forwarding.retry import GiveUp, Progress, RetryBudget
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.coordinator import PlacementCoordinator
from mothshunt.placement.model import (
    AttemptOutcome,
    Choice,
    PlacementRequest,
)
from mothshunt.routing.model import RoutingTable
from mothshunt.routing.split import WeightedSplit


@dataclass(frozen=True, slots=True)
class ChosenAnswer:
    """Hold an answer for the caller with the target that gave it.

    :param choice: The target, and what it was chosen for.
    :param answer: Its answer.
    """

    choice: Choice
    answer: TargetAnswer


class RoutedForwarder:
    """Forward callers' requests by routes.

    :param configuration: Routes in force.
    :param placement: Chooses targets.
    :param pool: Connections to targets.
    :param budget: Attempts beyond the first.
    :param slack_part: Returns the part of the budget's slack that this instance may use
        at a time.
    :param refuser: Makes answers of this instance's own.
    :param opening: Holds requests until the configuration is current.
    :param metrics: Metrics of the process.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationSource,
        placement: PlacementCoordinator,
        pool: ConnectionPool,
        budget: RetryBudget,
        slack_part: Callable[[float], float],
        refuser: Refuser,
        opening: Opening,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._placement = placement
        self._budget = budget
        self._slack_part = slack_part
        self._refuser = refuser
        self._opening = opening
        self._metrics = metrics
        self._clock = clock
        self._split = WeightedSplit()
        self._decisions = DecisionLog(metrics)
        self._attempter = Attempter(
            pool=pool, placement=placement, names=refuser.names, clock=clock
        )
        self._orders: set[asyncio.Task[web.StreamResponse]] = set()

    async def async_handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a routed request.

        :param request: The request.
        """
        names = self._refuser.names
        now = self._clock.monotonic()
        left_s = time_left_s(request.headers, names)
        is_open = await self._opening.async_wait(left_s)
        table = self._configuration.current().routing
        if not is_open or not table.has_items:
            failure = Failure(
                code=codes.NOT_READY, retry_after_s=const.NOT_READY_RETRY_S
            )
            return self._refuse(failure, RequestId(""))
        call = read_request(request, table, names, self._split.next_service, now)
        if isinstance(call, Failure):
            return self._refuse(
                call, RequestId(request.headers.get(names.request_id, ""))
            )
        serving = self._async_serve(request, call, table)
        if call.route.is_idempotent:
            return await serving
        # A target that was given a non-idempotent request finishes it, also when its
        # caller has left.
        task = asyncio.create_task(serving)
        self._orders.add(task)
        task.add_done_callback(self._forget_order)
        return await asyncio.shield(task)

    def _forget_order(self, task: "asyncio.Task[web.StreamResponse]") -> None:
        self._orders.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._metrics.count(const.METRIC_REQUESTS, outcome="caller_left")

    async def _async_serve(
        self, request: web.Request, asked: RoutedRequest, table: RoutingTable
    ) -> web.StreamResponse:
        left_s = asked.deadline - self._clock.monotonic()
        limits = table.limits
        length = request.content_length
        if limits is not None and length is not None and length > limits.max_body_bytes:
            failure = Failure(code=dispatch_codes.BODY_TOO_LARGE)
            return self._refuse(failure, asked.request_id)
        body = await async_read_body(request, keyed=False, timeout_s=left_s)
        if isinstance(body, Failure):
            return self._refuse(body, asked.request_id)
        call = Call(
            request=asked,
            headers=target_headers(request.headers, self._refuser.names),
            body=body,
            max_field_bytes=(
                limits.max_header_bytes if limits else const.DEFAULT_FIELD_BYTES
            ),
        )
        progress = Progress(
            is_idempotent=asked.route.is_idempotent,
            max_attempts=asked.route.max_attempts,
        )
        result = await self._async_try(request, call, progress)
        now = self._clock.monotonic()
        self._metrics.observe(
            const.METRIC_LATENCY,
            now - asked.received_at,
            service=asked.service,
            kind=asked.route.kind.value,
            outcome="refused" if isinstance(result, Failure) else "answered",
        )
        revision = self._configuration.current().revision
        if isinstance(result, Failure):
            self._decisions.refused(
                call, result, attempts=progress.sent, revision=revision, now=now
            )
            return self._refuse(result, asked.request_id)
        self._decisions.answered(
            call,
            result.choice,
            status=result.answer.message.code,
            attempts=progress.sent,
            revision=revision,
            now=now,
        )
        return await self._async_pass_on(request, call, result)

    async def _async_try(
        self, request: web.Request, call: Call, progress: Progress
    ) -> ChosenAnswer | Failure:
        """Try targets until one answers or no further attempt is allowed."""
        asked = call.request
        excluded: frozenset[TargetId] = frozenset()
        sends_by_target: Counter[TargetId] = Counter()
        last: Failure | None = None
        # An error that a target answered is passed on where no other answer is had.
        held: ChosenAnswer | None = None
        self._budget.count_request(asked.service, asked.received_at)
        while True:
            now = self._clock.monotonic()
            if asked.deadline - now < const.MIN_ATTEMPT_S:
                code = dispatch_codes.DEADLINE_PASSED
                return held or self._final(asked, last or Failure(code=code), progress)
            match self._placement.choose(_wanted(asked, excluded, now)):
                case Result(tag="ok", ok=choice):
                    pass
                case Result(error=failure):
                    return held or self._final(asked, last or failure, progress)
            if request.transport is None:
                # The caller left before anything was sent.
                self._placement.finish(choice, AttemptOutcome.CANCELLED, None)
                left = Failure(code=dispatch_codes.BODY_INCOMPLETE)
                return self._final(asked, left, progress)
            result = await self._async_attempt(call, choice)
            target = choice.target.id
            is_again = sends_by_target[target] > 0
            progress.note(result.outcome, result.ran, is_again=is_again)
            sends_by_target[target] += 1
            is_spent = sends_by_target[target] >= const.MAX_SENDS_TO_TARGET
            if is_spent or not result.is_shed_with_room:
                excluded |= {target}
            if result.answer is not None:
                held = ChosenAnswer(choice, result.answer)
                if not _may_be_better_elsewhere(call, result):
                    return held
            last = _failure_of(result)
            give_up = self._give_up(call, progress)
            self._decisions.attempt_failed(
                call,
                choice,
                result.reported,
                last,
                next_step="retried" if give_up is None else give_up.value,
                revision=self._configuration.current().revision,
                now=self._clock.monotonic(),
            )
            if give_up is not None:
                return held or self._final(asked, last, progress)

    def _final(
        self, asked: RoutedRequest, failure: Failure, progress: Progress
    ) -> Failure:
        """Return what the caller is told, with whether any target may have run it."""
        wanted = _wanted(asked, frozenset(), self._clock.monotonic())
        pause_s = self._placement.pause_left_s(wanted) or 0.0
        retry_after_s = failure.retry_after_s
        if retry_after_s is None:
            retry_after_s = const.DEFAULT_RETRY_S
        return replace(
            failure, ran=progress.ran, retry_after_s=max(pause_s, retry_after_s)
        )

    def _give_up(self, call: Call, progress: Progress) -> GiveUp | None:
        """Tell why no other attempt is made; ``None`` takes one from the budget."""
        now = self._clock.monotonic()
        asked = call.request
        give_up = progress.give_up(
            body_gone=call.body.gone, time_left_s=asked.deadline - now
        )
        is_counted = progress.sent > 0
        if give_up is None and is_counted:
            slack_part = self._slack_part(now)
            if not self._budget.take(asked.service, slack_part, now):
                give_up = GiveUp.BUDGET
        decision = "retried" if give_up is None else give_up.value
        self._metrics.count(const.METRIC_RETRIES, decision=decision)
        return give_up

    async def _async_attempt(self, call: Call, choice: Choice) -> AttemptResult:
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
            outcome = AttemptOutcome.CANCELLED if result is None else result.outcome
            reported = None if result is None else result.reported
            self._placement.finish(choice, outcome, reported)
            if result is not None:
                self._placement.note(choice.target, result.notice)
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

    async def _async_pass_on(
        self, request: web.Request, call: Call, chosen: ChosenAnswer
    ) -> web.StreamResponse:
        answer = chosen.answer
        message = answer.message
        self._metrics.count(const.METRIC_REQUESTS, outcome="answered")
        headers = _answer_headers(message.headers)
        if answer.whole is not None:
            return web.Response(
                status=message.code,
                reason=message.reason,
                headers=headers,
                body=answer.whole,
            )
        response = web.StreamResponse(
            status=message.code, reason=message.reason, headers=headers
        )
        if "Content-Length" not in headers:
            response.enable_chunked_encoding()
        try:
            await response.prepare(request)
            await _async_copy(answer, response)
            await response.write_eof()
        except AnswerBrokenOffError as error:
            self._decisions.broken_off(
                call, chosen.choice, str(error), self._clock.monotonic()
            )
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError("the answer was broken off") from error
        finally:
            answer.connection.abort()
        return response

    def _refuse(self, failure: Failure, request_id: RequestId) -> web.Response:
        self._metrics.count(const.METRIC_REQUESTS, outcome=failure.code.name)
        return self._refuser.response(failure, request_id)


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


def _answer_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    return forwarded_headers(headers)


async def _async_copy(answer: TargetAnswer, response: web.StreamResponse) -> None:
    while True:
        try:
            part = await answer.payload.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise AnswerBrokenOffError(str(error)) from error
        if not part:
            return
        await response.write(part)
