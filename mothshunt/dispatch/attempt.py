"""One attempt at one target, from the choice of the target to the response's end."""

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
    FIRST_SERVER_ERROR_STATUS,
    BufferedResponse,
    async_buffer_response,
    complete_response,
    is_framed,
    is_shed,
    response_headers,
)
from mothshunt.dispatch.attempt_failure import AttemptFailure
from mothshunt.dispatch.body import RequestBody
from mothshunt.dispatch.client import (
    BrokenError,
    LeaseEndedError,
    OutgoingRequest,
    TargetClient,
)
from mothshunt.dispatch.model import AsyncTargetChooser
from mothshunt.dispatch.pool import NotConnectedError
from mothshunt.dispatch.relay import AnswerBrokenOffError, async_relay
from mothshunt.dispatch.request import MILLISECONDS_PER_SECOND, ParsedRequest
from mothshunt.dispatch.retry import RetryReason
from mothshunt.dispatch.silence import ResponseTimeEstimator
from mothshunt.dispatch.watch import (
    AttemptWatchdog,
    CancelReason,
    WatchedAttempt,
    clear_watchdog_cancel,
)
from mothshunt.steering.model import Choice, Outcome

_REASON_BY_ERROR: dict[type[Exception], RetryReason] = {
    NotConnectedError: RetryReason.CONNECT_FAILED,
    LeaseEndedError: RetryReason.LEASE_ENDED,
    BrokenError: RetryReason.BROKEN,
}
_SEND_ERRORS = tuple(_REASON_BY_ERROR)


@dataclass(kw_only=True, slots=True)
class ForwardedRequest:
    """Caller's request and its state over all attempts.

    :param request: The caller's request.
    :param parsed: Customer, service and limits of the request.
    :param headers: Header fields for the target.
    :param body: Body of the request.
    :param on_response: Called with the response before any of it is sent to the
        caller.
    :param response_started: Whether a part of a response was sent to the caller.
    :param may_have_run: Whether a target may have run the request.
    :param needs_new_connection: Whether a reused connection was silent for too long;
        all further attempts open new connections and have no silence time-out.
    """

    request: web.Request
    parsed: ParsedRequest
    headers: CIMultiDict[str]
    body: RequestBody
    on_response: Callable[[BufferedResponse], None] | None = None
    response_started: bool = False
    may_have_run: bool = False
    needs_new_connection: bool = False

    @property
    def buffers_response(self) -> bool:
        """Whether to wait a short time for a complete response before streaming."""
        return self.parsed.idempotent or self.on_response is not None


class AttemptRunner:
    """Runner of single attempts at targets.

    :param client: HTTP client for the targets.
    :param chooser: Chooser that is told the outcome of each attempt.
    :param clock: Source of the present time.
    """

    def __init__(
        self, *, client: TargetClient, chooser: AsyncTargetChooser, clock: Clock
    ) -> None:
        self._watchdog = AttemptWatchdog(clock)
        self._client = client
        self._chooser = chooser
        self._clock = clock
        self._estimator_by_service: dict[
            tuple[CustomerId, ServiceName], ResponseTimeEstimator
        ] = {}

    def supersede(self, attempt: WatchedAttempt) -> None:
        """Cancel an attempt because another attempt at its request got a response.

        :param attempt: The attempt to cancel.
        """
        self._watchdog.supersede(attempt)

    def supersede_near_deadline(self, attempt: WatchedAttempt) -> None:
        """Cancel an attempt if it is still silent shortly before its deadline.

        :param attempt: The attempt, whose connection is silent.
        """
        self._watchdog.supersede_near_deadline(attempt)

    async def async_attempt(
        self,
        forwarded: ForwardedRequest,
        choice: Choice,
        *,
        on_response: Callable[[], None],
        on_silence: Callable[[WatchedAttempt], None] | None,
    ) -> web.StreamResponse | AttemptFailure:
        """Make one attempt at the chosen target and report its outcome to the chooser.

        :param forwarded: The request.
        :param choice: The target; its permit is released when the attempt has ended.
        :param on_response: Called before any of the response is sent to the caller;
            cancels the other attempt, so that the caller gets one response.
        :param on_silence: Called when a reused connection has been silent for longer
            than its time-out; ``None`` where no second attempt may run in parallel.
        :return: The response, already sent to the caller if it was streamed; or the
            failure.
        :raises AnswerBrokenOffError: The response ended early, after a part of it had
            been sent to the caller.
        """
        outcome = Outcome.CANCELLED
        now = self._clock.monotonic()
        deadline = forwarded.parsed.deadline

        def may_send() -> bool:
            now = self._clock.monotonic()
            return now < deadline and self._chooser.may_dispatch(choice, now)

        outgoing = self._outgoing_request(
            forwarded, choice, on_silence is not None, now
        )
        attempt = self._watchdog.start(deadline, may_send, on_silence)
        try:
            result = await self._async_send_and_read(
                forwarded, outgoing, attempt, on_response
            )
            outcome = _outcome(result)
        except asyncio.CancelledError:
            if not clear_watchdog_cancel(attempt):
                raise
            if attempt.cancel_reason is CancelReason.DEADLINE:
                outcome = Outcome.TIMED_OUT
            if forwarded.response_started:
                raise AnswerBrokenOffError(
                    "the deadline passed while the response was being streamed"
                ) from None
            return self._cancelled_failure(forwarded, attempt, outgoing)
        except AnswerBrokenOffError:
            outcome = Outcome.BROKEN
            raise
        finally:
            self._watchdog.stop(attempt)
            if attempt.send_started and outcome is not Outcome.SHED:
                forwarded.may_have_run = True
            self._chooser.finish(choice, outcome, self._clock.monotonic())
        return result

    def _cancelled_failure(
        self,
        forwarded: ForwardedRequest,
        attempt: WatchedAttempt,
        outgoing: OutgoingRequest,
    ) -> AttemptFailure:
        reason = RetryReason.TIMED_OUT
        if attempt.cancel_reason is CancelReason.SUPERSEDED:
            reason = RetryReason.SILENT
            # If only responses that arrived in time were observed, the time-out would
            # not grow for a service that became slow.
            estimator = self._estimator(forwarded.parsed)
            estimator.observe(outgoing.silence_timeout_s or 0.0)
            # A device on the path that dropped the state of this connection, such as a
            # NAT gateway, may have dropped that of the others too.
            self._client.retire(outgoing.authority)
        return AttemptFailure.from_reason(reason, send_started=attempt.send_started)

    def _outgoing_request(
        self, forwarded: ForwardedRequest, choice: Choice, may_retry: bool, now: float
    ) -> OutgoingRequest:
        parsed = forwarded.parsed
        target = choice.target
        remaining_s = parsed.deadline - now
        headers = CIMultiDict(forwarded.headers)
        remaining_ms = max(1, int(remaining_s * MILLISECONDS_PER_SECOND))
        headers[HEADER_DEADLINE_MS] = str(remaining_ms)
        repeatable = parsed.idempotent and forwarded.body.buffered is not None
        reuse = repeatable and not forwarded.needs_new_connection
        silence_timeout_s = None
        if reuse and may_retry:
            silence_timeout_s = self._estimator(parsed).silence_timeout_s()
        host = f"[{target.host}]" if ":" in target.host else target.host
        return OutgoingRequest(
            method=parsed.method,
            authority=f"{host}:{target.port}",
            path_and_query=parsed.path_and_query,
            headers=headers,
            body=forwarded.body.payload(),
            reuse_connection=reuse,
            silence_timeout_s=silence_timeout_s,
        )

    async def _async_send_and_read(
        self,
        forwarded: ForwardedRequest,
        outgoing: OutgoingRequest,
        attempt: WatchedAttempt,
        on_response: Callable[[], None],
    ) -> web.StreamResponse | AttemptFailure:
        started_at = self._clock.monotonic()
        try:
            response = await self._client.async_send(outgoing, attempt)
        except _SEND_ERRORS as error:
            if forwarded.body.failure is not None:
                return _caller_failure(forwarded.body.failure, attempt)
            reason = _REASON_BY_ERROR[type(error)]
            if self._clock.monotonic() >= attempt.deadline:
                reason = RetryReason.TIMED_OUT
            return AttemptFailure.from_reason(
                reason, send_started=attempt.send_started, detail=str(error)
            )
        if outgoing.reuse_connection:
            self._estimator(forwarded.parsed).observe(
                self._clock.monotonic() - started_at
            )
        try:
            return await self._async_read_response(forwarded, response, on_response)
        finally:
            # Closes the connection unless the response was read to its end.
            response.close()

    async def _async_read_response(
        self,
        forwarded: ForwardedRequest,
        response: ClientResponse,
        on_response: Callable[[], None],
    ) -> web.StreamResponse | AttemptFailure:
        method = forwarded.parsed.method
        if is_shed(response):
            return AttemptFailure.from_shed(response)
        if not is_framed(response, method):
            return AttemptFailure.from_unframed()
        try:
            buffered = await async_buffer_response(
                response, method, read_ahead=forwarded.buffers_response
            )
        except (aiohttp.ClientError, OSError) as error:
            return AttemptFailure.from_reason(
                RetryReason.TRUNCATED, send_started=True, detail=str(error)
            )
        on_response()
        if forwarded.on_response is not None:
            forwarded.on_response(buffered)
        headers = response_headers(response)
        if buffered.body is not None:
            return complete_response(buffered, headers)
        forwarded.response_started = True
        return await async_relay(forwarded.request, buffered, headers)

    def _estimator(self, parsed: ParsedRequest) -> ResponseTimeEstimator:
        key = (parsed.customer, parsed.service.service)
        estimator = self._estimator_by_service.get(key)
        if estimator is None:
            estimator = self._estimator_by_service[key] = ResponseTimeEstimator()
        return estimator


def _outcome(result: web.StreamResponse | AttemptFailure) -> Outcome:
    if isinstance(result, AttemptFailure):
        return result.outcome
    if result.status >= FIRST_SERVER_ERROR_STATUS:
        return Outcome.ERROR_ANSWER
    return Outcome.ANSWERED


def _caller_failure(failure: Failure, attempt: WatchedAttempt) -> AttemptFailure:
    ran = Ran.UNKNOWN if attempt.send_started else Ran.NO
    return AttemptFailure(reason=RetryReason.CALLER, failure=replace(failure, ran=ran))
