"""One attempt at one target, from the choice to the end of the answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from aiohttp import ClientResponse, web
from multidict import CIMultiDict
from yarl import URL

from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.const import HEADER_DEADLINE_MS, HEADER_RETRY_AFTER
from mothshunt.core.types import Ran
from mothshunt.dispatch import codes
from mothshunt.dispatch.answer import (
    FIRST_ERROR_STATUS,
    Answer,
    answer_headers,
    async_read_answer,
    is_framed,
    is_shed,
    whole_response,
)
from mothshunt.dispatch.body import RequestBody
from mothshunt.dispatch.client import (
    BrokenError,
    Handover,
    LeaseEndedError,
    NotConnectedError,
    TargetClient,
)
from mothshunt.dispatch.const import RETRY_AFTER_S
from mothshunt.dispatch.model import AsyncTargetChooser
from mothshunt.dispatch.relay import async_relay
from mothshunt.dispatch.request import MILLISECONDS_PER_SECOND, Route
from mothshunt.dispatch.retry import RetryReason
from mothshunt.steering.model import Choice, Outcome

_OUTCOME_BY_REASON = {
    RetryReason.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    RetryReason.SHED: Outcome.SHED,
    RetryReason.BROKEN: Outcome.BROKEN,
    RetryReason.TRUNCATED: Outcome.BROKEN,
    RetryReason.TIMED_OUT: Outcome.TIMED_OUT,
    RetryReason.LEASE_ENDED: Outcome.CANCELLED,
}
_CODE_BY_REASON = {
    RetryReason.CONNECT_FAILED: codes.TARGET_UNREACHABLE,
    RetryReason.SHED: codes.TARGET_SHED,
    RetryReason.BROKEN: codes.TARGET_BROKE,
    RetryReason.TRUNCATED: codes.TARGET_BROKE,
    RetryReason.TIMED_OUT: codes.TARGET_TIMED_OUT,
    RetryReason.LEASE_ENDED: codes.LEASE_ENDED,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Exchange:
    """Hold one request of a caller through all its attempts.

    :param request: The caller's request.
    :param route: What is asked for.
    :param headers: Header fields for the target.
    :param body: Its body.
    :param on_answer: Called with the answer before the caller gets any of it.
    """

    request: web.Request
    route: Route
    headers: CIMultiDict[str]
    body: RequestBody
    on_answer: Callable[[Answer], None] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFailure:
    """Describe an attempt that gave the caller no whole answer.

    :param reason: How it failed.
    :param failure: What the caller is told when no further attempt is made.
    """

    reason: RetryReason
    failure: Failure


class AnswerBrokenOffError(ConnectionError):
    """Tell that an answer broke off after a part of it had been passed on."""


class Attempter:
    """Make attempts at targets.

    :param client: Connections to targets.
    :param chooser: Learns from the outcomes.
    :param clock: Source of the present time.
    """

    def __init__(
        self, *, client: TargetClient, chooser: AsyncTargetChooser, clock: Clock
    ) -> None:
        self._client = client
        self._chooser = chooser
        self._clock = clock

    async def async_attempt(
        self, exchange: Exchange, choice: Choice
    ) -> web.StreamResponse | AttemptFailure:
        """Make one attempt at the chosen target and finish the choice.

        :param exchange: The request.
        :param choice: The target; given back when the attempt has ended.
        :return: The answer, passed on where it was streamed; or the failure.
        :raises AnswerBrokenOffError: A part of the answer had been passed on.
        """
        outcome = Outcome.CANCELLED
        handover = Handover(
            lambda: self._chooser.may_dispatch(choice, self._clock.monotonic())
        )
        try:
            remaining_s = exchange.route.deadline - self._clock.monotonic()
            if remaining_s <= 0:
                return _deadline_passed()
            async with asyncio.timeout(remaining_s):
                result = await self._async_exchange(
                    exchange, choice, handover, remaining_s
                )
            outcome = _outcome(result)
        except TimeoutError:
            outcome = Outcome.TIMED_OUT
            result = _failed(RetryReason.TIMED_OUT, handover)
        except AnswerBrokenOffError:
            outcome = Outcome.BROKEN
            raise
        finally:
            self._chooser.finish(choice, outcome, self._clock.monotonic())
        return result

    async def _async_exchange(
        self,
        exchange: Exchange,
        choice: Choice,
        handover: Handover,
        remaining_s: float,
    ) -> web.StreamResponse | AttemptFailure:
        try:
            response = await self._async_send(exchange, choice, handover, remaining_s)
        except NotConnectedError as error:
            return _failed(RetryReason.CONNECT_FAILED, handover, str(error))
        except LeaseEndedError:
            return _failed(RetryReason.LEASE_ENDED, handover)
        except BrokenError as error:
            return _failed(RetryReason.BROKEN, handover, str(error))
        try:
            return await self._async_answer(exchange, response, handover)
        finally:
            # Closes the connection unless the answer was read to its end.
            response.close()

    async def _async_send(
        self,
        exchange: Exchange,
        choice: Choice,
        handover: Handover,
        remaining_s: float,
    ) -> ClientResponse:
        target = choice.target
        route = exchange.route
        remaining_ms = max(1, int(remaining_s * MILLISECONDS_PER_SECOND))
        exchange.headers[HEADER_DEADLINE_MS] = str(remaining_ms)
        return await self._client.async_send(
            handover,
            method=route.method,
            url=_url(target.host, target.port, route.tail),
            headers=exchange.headers,
            body=exchange.body.for_attempt(),
            reuse=route.idempotent and exchange.body.whole is not None,
        )

    async def _async_answer(
        self, exchange: Exchange, response: ClientResponse, handover: Handover
    ) -> web.StreamResponse | AttemptFailure:
        if is_shed(response):
            return _shed(response)
        if not is_framed(response, exchange.route.method):
            return _unframed()
        try:
            answer = await async_read_answer(
                response,
                exchange.route.method,
                repeatable=exchange.route.idempotent,
            )
        except (aiohttp.ClientError, OSError) as error:
            return _failed(RetryReason.TRUNCATED, handover, str(error))
        if exchange.on_answer is not None:
            exchange.on_answer(answer)
        headers = answer_headers(response)
        if answer.whole is not None:
            return whole_response(answer, headers)
        try:
            return await async_relay(exchange.request, answer, headers)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise AnswerBrokenOffError(str(error)) from error


def _url(host: str, port: int, tail: str) -> URL:
    authority = f"[{host}]" if ":" in host else host
    return URL(f"http://{authority}:{port}{tail}", encoded=True)


def _outcome(result: web.StreamResponse | AttemptFailure) -> Outcome:
    if isinstance(result, AttemptFailure):
        return _OUTCOME_BY_REASON[result.reason]
    if result.status >= FIRST_ERROR_STATUS:
        return Outcome.ERROR_ANSWER
    return Outcome.ANSWERED


def _failed(
    reason: RetryReason, handover: Handover, detail: str = ""
) -> AttemptFailure:
    ran = Ran.UNKNOWN if handover.done else Ran.NO
    code = _CODE_BY_REASON[reason]
    if reason is RetryReason.TIMED_OUT and ran is Ran.NO:
        code = codes.DEADLINE_PASSED
    failure = Failure(code=code, detail=detail, ran=ran, retry_after_s=RETRY_AFTER_S)
    return AttemptFailure(reason=reason, failure=failure)


def _deadline_passed() -> AttemptFailure:
    failure = Failure(code=codes.DEADLINE_PASSED, retry_after_s=RETRY_AFTER_S)
    return AttemptFailure(reason=RetryReason.TIMED_OUT, failure=failure)


def _shed(response: ClientResponse) -> AttemptFailure:
    value = response.headers.get(HEADER_RETRY_AFTER, "")
    retry_after_s = float(value) if value.isascii() and value.isdigit() else None
    failure = Failure(
        code=codes.TARGET_SHED, retry_after_s=retry_after_s or RETRY_AFTER_S
    )
    return AttemptFailure(reason=RetryReason.SHED, failure=failure)


def _unframed() -> AttemptFailure:
    failure = Failure(code=codes.ANSWER_UNFRAMED, ran=Ran.UNKNOWN)
    return AttemptFailure(reason=RetryReason.TRUNCATED, failure=failure)
