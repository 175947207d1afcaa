"""Forwarding of routed requests to targets, with retries."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp import web
from multidict import CIMultiDict, CIMultiDictProxy

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import RequestId
from mothshunt.dispatch import codes as dispatch_codes
from mothshunt.dispatch.body import async_read_body
from mothshunt.dispatch.request import end_to_end_headers
from mothshunt.forwarding import codes, const
from mothshunt.forwarding.attempt import (
    AnswerBrokenOffError,
    Attempter,
    Call,
    TargetAnswer,
)
from mothshunt.forwarding.connections import ConnectionPool
from mothshunt.forwarding.decisions import DecisionLog
from mothshunt.forwarding.model import RoutedRequest
from mothshunt.forwarding.opening import Opening
from mothshunt.forwarding.refusal import Refuser
from mothshunt.forwarding.request import read_request, target_headers, time_left_s
from mothshunt.forwarding.retry import Progress, RetryBudget
from mothshunt.forwarding.trier import Trier
from mothshunt.forwarding.tries import ChosenAnswer
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.coordinator import PlacementCoordinator
from mothshunt.routing.model import RoutingTable
from mothshunt.routing.split import WeightedSplit

_NOT_READY = Failure(code=codes.NOT_READY, retry_after_s=const.NOT_READY_RETRY_S)


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
        self._refuser = refuser
        self._opening = opening
        self._metrics = metrics
        self._clock = clock
        self._split = WeightedSplit()
        self._decisions = DecisionLog(metrics)
        self._trier = Trier(
            configuration=configuration,
            placement=placement,
            attempter=Attempter(
                pool=pool, placement=placement, names=refuser.names, clock=clock
            ),
            budget=budget,
            slack_part=slack_part,
            decisions=self._decisions,
            metrics=metrics,
            clock=clock,
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
            return self._refuse(_NOT_READY, RequestId(""))
        call = read_request(request, table, names, self._split.next_service, now)
        if isinstance(call, Failure):
            return self._refuse(
                call, RequestId(request.headers.get(names.request_id, ""))
            )
        if not self._opening.may_take(call.deadline):
            # It may be cut off here; another instance has time for it.
            return self._refuse(_NOT_READY, call.request_id)
        serving = self._async_serve(request, call, table)
        if call.route.is_idempotent:
            return await serving
        # A target that was given a non-idempotent request finishes it, also when its
        # caller has left.
        task = asyncio.create_task(serving)
        self._orders.add(task)
        task.add_done_callback(self._forget_order)
        return await asyncio.shield(task)

    def end_at(self, ends_at: float) -> None:
        """Take only what is certainly answered by then, as the instance leaves.

        :param ends_at: Time at which what is in flight is cut off, in seconds.
        """
        self._opening.end_at(ends_at)

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
        result = await self._trier.async_try(
            call, progress, is_caller_there=lambda: request.transport is not None
        )
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


def _answer_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    return end_to_end_headers(headers)


async def _async_copy(answer: TargetAnswer, response: web.StreamResponse) -> None:
    while True:
        try:
            part = await answer.payload.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise AnswerBrokenOffError(str(error)) from error
        if not part:
            return
        await response.write(part)
