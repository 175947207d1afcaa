"""One attempt at one target, from the choice to the end of the answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

import aiohttp
from aiohttp import ClientResponse, web
from multidict import CIMultiDict

from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.const import HEADER_DEADLINE_MS
from mothshunt.core.types import CustomerId, Ran, ServiceName
from mothshunt.dispatch.answer import (
    FIRST_ERROR_STATUS,
    Answer,
    answer_headers,
    async_read_answer,
    is_framed,
    is_shed,
    whole_response,
)
from mothshunt.dispatch.attempt_failure import AttemptFailure
from mothshunt.dispatch.body import RequestBody
from mothshunt.dispatch.client import (
    BrokenError,
    LeaseEndedError,
    Outgoing,
    TargetClient,
)
from mothshunt.dispatch.model import AsyncTargetChooser
from mothshunt.dispatch.pool import NotConnectedError
from mothshunt.dispatch.relay import AnswerBrokenOffError, async_relay
from mothshunt.dispatch.request import MILLISECONDS_PER_SECOND, Route
from mothshunt.dispatch.retry import RetryReason
from mothshunt.dispatch.silence import AnswerTime
from mothshunt.dispatch.watch import (
    AttemptWatch,
    Expiry,
    Handover,
    ended_by_watch,
)
from mothshunt.steering.model import Choice, Outcome

_REASON_BY_ERROR: dict[type[Exception], RetryReason] = {
    NotConnectedError: RetryReason.CONNECT_FAILED,
    LeaseEndedError: RetryReason.LEASE_ENDED,
    BrokenError: RetryReason.BROKEN,
}
_SEND_ERRORS = tuple(_REASON_BY_ERROR)


@dataclass(kw_only=True, slots=True)
class Exchange:
    """Hold one request of a caller through all its attempts.

    :param request: The caller's request.
    :param route: What is asked for.
    :param headers: Header fields for the target.
    :param body: Its body.
    :param on_answer: Called with the answer before the caller gets any of it.
    :param passed_on: Whether the caller has got a part of an answer.
    :param may_have_run: Whether a target may have run the request.
    :param met_silence: Whether a kept-alive connection stayed silent; from then on
        the request gets new connections, which may take their time.
    """

    request: web.Request
    route: Route
    headers: CIMultiDict[str]
    body: RequestBody
    on_answer: Callable[[Answer], None] | None = None
    passed_on: bool = False
    may_have_run: bool = False
    met_silence: bool = False

    @property
    def reads_ahead(self) -> bool:
        """Whether a short wait for the whole answer is worth its while."""
        return self.route.idempotent or self.on_answer is not None


class Attempter:
    """Make attempts at targets.

    :param client: Connections to targets.
    :param chooser: Learns from the outcomes.
    :param clock: Source of the present time.
    """

    def __init__(
        self, *, client: TargetClient, chooser: AsyncTargetChooser, clock: Clock
    ) -> None:
        self._watch = AttemptWatch(clock)
        self._client = client
        self._chooser = chooser
        self._clock = clock
        self._answer_time_by_service: dict[
            tuple[CustomerId, ServiceName], AnswerTime
        ] = {}

    def supersede(self, handover: Handover) -> None:
        """End an attempt because another one at the same request has an answer.

        :param handover: The attempt that is to end.
        """
        self._watch.supersede(handover)

    def supersede_late(self, handover: Handover) -> None:
        """End an attempt if it is still silent when little time is left.

        :param handover: The attempt, whose connection is silent.
        """
        self._watch.supersede_late(handover)

    async def async_attempt(
        self,
        exchange: Exchange,
        choice: Choice,
        *,
        on_answer: Callable[[], None],
        on_silence: Callable[[Handover], None] | None,
    ) -> web.StreamResponse | AttemptFailure:
        """Make one attempt at the chosen target and finish the choice.

        :param exchange: The request.
        :param choice: The target; given back when the attempt has ended.
        :param on_answer: Called before the caller gets any of the answer; ends the
            other attempt at the same request, so that the caller gets one answer.
        :param on_silence: Called when a kept-alive connection stays silent for longer
            than usual; ``None`` where no other attempt may be made beside this one.
        :return: The answer, passed on where it was streamed; or the failure.
        :raises AnswerBrokenOffError: A part of the answer had been passed on.
        """
        outcome = Outcome.CANCELLED
        now = self._clock.monotonic()
        deadline = exchange.route.deadline

        def may_send() -> bool:
            now = self._clock.monotonic()
            return now < deadline and self._chooser.may_dispatch(choice, now)

        outgoing = self._outgoing(exchange, choice, on_silence is not None, now)
        handover = self._watch.begin(deadline, may_send, on_silence)
        try:
            result = await self._async_exchange(exchange, outgoing, handover, on_answer)
            outcome = _outcome(result)
        except asyncio.CancelledError:
            if not ended_by_watch(handover):
                raise
            if handover.expiry is Expiry.DEADLINE:
                outcome = Outcome.TIMED_OUT
            if exchange.passed_on:
                raise AnswerBrokenOffError("the deadline passed") from None
            return self._timed_out(exchange, handover, outgoing)
        except AnswerBrokenOffError:
            outcome = Outcome.BROKEN
            raise
        finally:
            self._watch.end(handover)
            if handover.done and outcome is not Outcome.SHED:
                exchange.may_have_run = True
            self._chooser.finish(choice, outcome, self._clock.monotonic())
        return result

    def _timed_out(
        self, exchange: Exchange, handover: Handover, outgoing: Outgoing
    ) -> AttemptFailure:
        reason = RetryReason.TIMED_OUT
        if handover.expiry is Expiry.SUPERSEDED:
            reason = RetryReason.SILENT
            # Without this, a service that grew slow would be cut off for good.
            answer_time = self._answer_time(exchange.route)
            answer_time.observe(outgoing.silence_limit_s or 0.0)
            # What lost track of one connection may have lost the others as well.
            self._client.retire(outgoing.authority)
        return AttemptFailure.from_reason(reason, handed_over=handover.done)

    def _outgoing(
        self, exchange: Exchange, choice: Choice, may_retry: bool, now: float
    ) -> Outgoing:
        route = exchange.route
        target = choice.target
        remaining_s = route.deadline - now
        headers = CIMultiDict(exchange.headers)
        remaining_ms = max(1, int(remaining_s * MILLISECONDS_PER_SECOND))
        headers[HEADER_DEADLINE_MS] = str(remaining_ms)
        may_reuse = route.idempotent and exchange.body.whole is not None
        reuse = may_reuse and not exchange.met_silence
        limit_s = None
        if reuse and may_retry:
            limit_s = self._answer_time(route).silence_limit_s()
        host = f"[{target.host}]" if ":" in target.host else target.host
        return Outgoing(
            method=route.method,
            authority=f"{host}:{target.port}",
            tail=route.tail,
            headers=headers,
            body=exchange.body.for_attempt(),
            reuse=reuse,
            silence_limit_s=limit_s,
        )

    async def _async_exchange(
        self,
        exchange: Exchange,
        outgoing: Outgoing,
        handover: Handover,
        on_answer: Callable[[], None],
    ) -> web.StreamResponse | AttemptFailure:
        started_at = self._clock.monotonic()
        try:
            response = await self._client.async_send(outgoing, handover)
        except _SEND_ERRORS as error:
            if exchange.body.failure is not None:
                return _caller_failure(exchange.body.failure, handover)
            reason = _REASON_BY_ERROR[type(error)]
            if self._clock.monotonic() >= handover.deadline:
                reason = RetryReason.TIMED_OUT
            return AttemptFailure.from_reason(
                reason, handed_over=handover.done, detail=str(error)
            )
        if outgoing.reuse:
            self._answer_time(exchange.route).observe(
                self._clock.monotonic() - started_at
            )
        try:
            return await self._async_answer(exchange, response, on_answer)
        finally:
            # Closes the connection unless the answer was read to its end.
            response.close()

    async def _async_answer(
        self,
        exchange: Exchange,
        response: ClientResponse,
        on_answer: Callable[[], None],
    ) -> web.StreamResponse | AttemptFailure:
        method = exchange.route.method
        if is_shed(response):
            return AttemptFailure.from_shed(response)
        if not is_framed(response, method):
            return AttemptFailure.unframed()
        try:
            answer = await async_read_answer(
                response, method, ahead=exchange.reads_ahead
            )
        except (aiohttp.ClientError, OSError) as error:
            return AttemptFailure.from_reason(
                RetryReason.TRUNCATED, handed_over=True, detail=str(error)
            )
        on_answer()
        if exchange.on_answer is not None:
            exchange.on_answer(answer)
        headers = answer_headers(response)
        if answer.whole is not None:
            return whole_response(answer, headers)
        exchange.passed_on = True
        return await async_relay(exchange.request, answer, headers)

    def _answer_time(self, route: Route) -> AnswerTime:
        key = (route.customer, route.service.service)
        answer_time = self._answer_time_by_service.get(key)
        if answer_time is None:
            answer_time = self._answer_time_by_service[key] = AnswerTime()
        return answer_time


def _outcome(result: web.StreamResponse | AttemptFailure) -> Outcome:
    if isinstance(result, AttemptFailure):
        return result.outcome
    if result.status >= FIRST_ERROR_STATUS:
        return Outcome.ERROR_ANSWER
    return Outcome.ANSWERED


def _caller_failure(failure: Failure, handover: Handover) -> AttemptFailure:
    ran = Ran.UNKNOWN if handover.done else Ran.NO
    return AttemptFailure(reason=RetryReason.CALLER, failure=replace(failure, ran=ran))
