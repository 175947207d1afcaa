"""Forwarding of routed requests to targets, with retries."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

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
from mothshunt.forwarding.refusal import Refuser
from mothshunt.forwarding.request import read_request, target_headers
from mothshunt.forwarding.retry import Progress, RetryBudget
from mothshunt.membership.roster import RosterView
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.coordinator import PlacementCoordinator
from mothshunt.placement.model import (
    AttemptOutcome,
    Choice,
    PlacementRequest,
    ReportedLoad,
)
from mothshunt.routing.model import RoutingTable
from mothshunt.routing.split import WeightedSplit


class RoutedForwarder:
    """Forward callers' requests by routes.

    :param configuration: Routes in force.
    :param placement: Chooses targets.
    :param pool: Connections to targets.
    :param budget: Attempts beyond the first.
    :param roster: Entry instances that share the budget.
    :param refuser: Makes answers of this instance's own.
    :param is_ready: Tells whether the configuration is current.
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
        roster: RosterView,
        refuser: Refuser,
        is_ready: Callable[[], bool],
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._placement = placement
        self._budget = budget
        self._roster = roster
        self._refuser = refuser
        self._is_ready = is_ready
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
        table = self._configuration.current().routing
        names = self._refuser.names
        now = self._clock.monotonic()
        if not self._is_ready() or not table.has_items:
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
        result = await self._async_try(request, call)
        took_s = self._clock.monotonic() - asked.received_at
        self._metrics.observe(
            const.METRIC_LATENCY,
            took_s,
            service=asked.service,
            kind=asked.route.kind.value,
            outcome="refused" if isinstance(result, Failure) else "answered",
        )
        if isinstance(result, Failure):
            self._decide("refused", call, result, took_s)
            return self._refuse(result, asked.request_id)
        return await self._async_pass_on(request, call, result)

    async def _async_try(
        self, request: web.Request, call: Call
    ) -> TargetAnswer | Failure:
        """Try targets until one answers or no further attempt is allowed."""
        asked = call.request
        route = asked.route
        progress = Progress(
            is_idempotent=route.is_idempotent, max_attempts=route.max_attempts
        )
        excluded: frozenset[TargetId] = frozenset()
        last: Failure | None = None
        self._budget.count_request(asked.service, asked.received_at)
        while True:
            now = self._clock.monotonic()
            if asked.deadline - now < const.MIN_ATTEMPT_S:
                code = dispatch_codes.DEADLINE_PASSED
                return _final(last or Failure(code=code), progress)
            match self._placement.choose(_wanted(asked, excluded, now)):
                case Result(tag="ok", ok=choice):
                    pass
                case Result(error=failure):
                    return _final(last or failure, progress)
            if request.transport is None:
                # The caller left before anything was sent.
                self._placement.finish(choice, AttemptOutcome.CANCELLED, None)
                return _final(Failure(code=dispatch_codes.BODY_INCOMPLETE), progress)
            result = await self._async_attempt(call, choice)
            progress.note(result.outcome, result.ran)
            excluded |= {choice.target.id}
            if result.answer is not None and not self._is_worth_retry(
                call, result, progress
            ):
                return result.answer
            if result.answer is None and result.failure is not None:
                last = result.failure
                took_s = self._clock.monotonic() - choice.sent_at
                self._decide(
                    "attempt failed",
                    call,
                    result.failure,
                    took_s,
                    choice,
                    result.reported,
                )
                if not self._may_retry(call, progress):
                    return _final(last, progress)

    def _is_worth_retry(
        self, call: Call, result: AttemptResult, progress: Progress
    ) -> bool:
        """Tell whether an error that a target answered is asked for elsewhere."""
        answer = result.answer
        if result.outcome is not AttemptOutcome.ERROR_ANSWER or answer is None:
            return False
        is_idempotent = call.request.route.is_idempotent
        if not is_idempotent or answer.whole is None:
            return False
        return self._may_retry(call, progress)

    def _may_retry(self, call: Call, progress: Progress) -> bool:
        now = self._clock.monotonic()
        asked = call.request
        give_up = progress.give_up(
            body_gone=call.body.gone, time_left_s=asked.deadline - now
        )
        is_counted = progress.sent > 0
        if give_up is None and is_counted:
            entries = self._roster.count()
            if not self._budget.take(asked.service, entries, now):
                self._metrics.count(const.METRIC_RETRIES, decision="budget")
                return False
        decision = "retried" if give_up is None else give_up.value
        self._metrics.count(const.METRIC_RETRIES, decision=decision)
        return give_up is None

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
            self._metrics.count(
                const.METRIC_ATTEMPTS,
                service=choice.target.service,
                outcome=outcome.value,
            )
        return result

    async def _async_pass_on(
        self, request: web.Request, call: Call, answer: TargetAnswer
    ) -> web.StreamResponse:
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
            failure = Failure(
                code=dispatch_codes.TARGET_BROKE, detail=str(error), ran=Ran.UNKNOWN
            )
            self._decide("answer broken off", call, failure, 0.0)
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError("the answer was broken off") from error
        finally:
            answer.connection.abort()
        return response

    def _refuse(self, failure: Failure, request_id: RequestId) -> web.Response:
        self._metrics.count(const.METRIC_REQUESTS, outcome=failure.code.name)
        return self._refuser.response(failure, request_id)

    def _decide(
        self,
        text: str,
        call: Call,
        failure: Failure,
        took_s: float,
        choice: Choice | None = None,
        reported: ReportedLoad | None = None,
    ) -> None:
        asked = call.request
        self._decisions.line(
            text,
            self._clock.monotonic(),
            request_id=asked.request_id,
            route=asked.route.name,
            service=asked.service,
            code=failure.code.number,
            code_name=failure.code.name,
            detail=failure.detail or None,
            ran=failure.ran.value,
            retry_after_s=failure.retry_after_s,
            took_ms=round(took_s * 1000),
            revision=self._configuration.current().revision,
            target=None if choice is None else choice.target.id,
            ring=None if choice is None else choice.reason,
            load=None if choice is None else round(choice.load, 1),
            known=None if choice is None else choice.is_known,
            renewal_age_ms=(
                None if choice is None else round(choice.renewal_age_s * 1000)
            ),
            reported=None if reported is None else reported.text(),
        )


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


def _final(failure: Failure, progress: Progress) -> Failure:
    """Return what the caller is told, with whether any target may have run it."""
    retry_after_s = failure.retry_after_s
    if retry_after_s is None:
        retry_after_s = const.DEFAULT_RETRY_S
    return replace(failure, ran=progress.ran, retry_after_s=retry_after_s)


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
