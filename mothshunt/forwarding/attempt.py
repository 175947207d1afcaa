"""Single attempt at a target: one request sent once on one connection."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace

import aiohttp
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDict

from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import Ran
from mothshunt.dispatch import codes as dispatch_codes
from mothshunt.dispatch.body import CallerBodyError, RequestBody
from mothshunt.dispatch.const import MAX_BUFFERED_RESPONSE_BYTES
from mothshunt.forwarding import codes, const
from mothshunt.forwarding.connections import (
    BROKEN_ERRORS,
    ConnectionPool,
    NotConnectedError,
    TargetConnection,
)
from mothshunt.forwarding.model import HeaderNames, RoutedRequest
from mothshunt.forwarding.request import (
    STATUS_MISDIRECTED,
    read_notice,
    read_rate_limit,
    read_reported_load,
    request_head,
)
from mothshunt.placement.coordinator import PlacementCoordinator
from mothshunt.placement.model import (
    NO_NOTICE,
    AttemptOutcome,
    Choice,
    ReportedLoad,
    TargetNotice,
)
from mothshunt.rate_limit.limiter import RateLimiter
from mothshunt.rate_limit.model import RateLimitStatement

FIRST_ERROR_STATUS = 500
#: HTTP statuses from which a caller concludes that the request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


@dataclass(kw_only=True, slots=True, eq=False)
class TargetResponse:
    """Response of a target that can be sent to the caller.

    :param message: Status line and header fields.
    :param payload: Stream of the unread part of the body.
    :param buffered_body: The complete body; ``None`` if the body is to be streamed.
    :param connection: Connection that a streamed body is read from; it is closed
        afterwards.
    """

    message: RawResponseMessage
    payload: StreamReader
    buffered_body: bytes | None
    connection: TargetConnection


@dataclass(kw_only=True, slots=True, eq=False)
class AttemptResult:
    """Result of an attempt.

    :param outcome: How the attempt ended, as reported to placement.
    :param ran: Whether the target may have run the request.
    :param response: Response for the caller; ``None`` if there is none.
    :param failure: Reason for which there is no response for the caller.
    :param reported_load: Load that the target reported with its response.
    :param notice: Notice of the target that it leaves, or wants a pause.
    :param rate_limit: Statement of the target on its rate limit; ``None`` if the
        response has none that can be parsed.
    :param notice_failures: Reasons for which a part of these can't be parsed.
    :param unread_body: Unread body of a response that is not sent to the caller.
    :param is_reused: Whether the connection had been used by an earlier request.
    """

    outcome: AttemptOutcome
    ran: Ran
    response: TargetResponse | None = None
    failure: Failure | None = None
    reported_load: ReportedLoad | None = None
    notice: TargetNotice = NO_NOTICE
    rate_limit: RateLimitStatement | None = None
    notice_failures: tuple[Failure, ...] = ()
    unread_body: StreamReader | None = None
    is_reused: bool = False

    def close_response(self) -> None:
        """Close the connection of a streamed response that no caller will get."""
        if self.response is not None and self.response.buffered_body is None:
            self.response.connection.abort()

    @property
    def is_shed_with_capacity(self) -> bool:
        """Whether the target rejected the request although it reports free capacity.

        Such a target is likely to accept the next attempt, and answers sooner than a
        target that has not handled the same object before. A target that leaves or
        wants a pause gets no further attempt.
        """
        is_shed = self.outcome is AttemptOutcome.SHED and self.notice is NO_NOTICE
        return (
            is_shed
            and self.reported_load is not None
            and self.reported_load.has_capacity
        )


@dataclass(kw_only=True, slots=True, eq=False)
class OutgoingRequest:
    """Request as it is sent to targets, shared by all its attempts.

    :param routed: The caller's request and its route.
    :param headers: Header fields that each attempt sends.
    :param body: Body of the request.
    :param max_field_bytes: Maximum length of a header field of a response.
    """

    routed: RoutedRequest
    headers: CIMultiDict[str]
    body: RequestBody
    max_field_bytes: int


class TargetClient:
    """HTTP client that sends a request to one target and reads the response.

    :param pool: Connections to targets.
    :param placement: Decides whether a chosen target may still get the request.
    :param rate_limiter: Decides the same by the rate limits that targets name.
    :param names: Names of the header fields.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        placement: PlacementCoordinator,
        rate_limiter: RateLimiter,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._placement = placement
        self._rate_limiter = rate_limiter
        self._names = names
        self._clock = clock

    async def async_send(
        self, outgoing: OutgoingRequest, choice: Choice
    ) -> AttemptResult:
        """Send a request to the chosen target and read its response.

        The body of a large response is not read here: it is streamed to the caller, and
        the connection is closed afterwards.

        :param outgoing: The request.
        :param choice: The chosen target.
        """
        try:
            connection = await self._pool.async_acquire(
                choice.target,
                outgoing.routed.request_id,
                needs_trusted=not outgoing.routed.route.is_idempotent,
            )
        except NotConnectedError as error:
            self._pool.close_idle(choice.target.id)
            return _failed_result(
                AttemptOutcome.CONNECT_FAILED,
                Ran.NO,
                dispatch_codes.TARGET_UNREACHABLE,
                str(error),
            )
        # While the connection was opened, the target may have left or named a rate
        # limit, or this process may have been suspended.
        if not self._placement.may_send(choice) or not self._rate_limiter.may_send(
            choice, self._clock.monotonic()
        ):
            self._pool.release(choice.target, connection)
            return _failed_result(
                AttemptOutcome.CANCELLED, Ran.NO, dispatch_codes.LEASE_ENDED
            )
        if not connection.is_connected():
            return _failed_result(
                AttemptOutcome.CANCELLED, Ran.NO, dispatch_codes.TARGET_UNREACHABLE
            )
        self._rate_limiter.record_send(choice.target)
        is_reused = connection.request_count > 0
        result: AttemptResult | None = None
        try:
            result = await self._async_exchange(outgoing, choice, connection)
        except BROKEN_ERRORS as error:
            return self._broken_result(outgoing, error)
        finally:
            if result is None:
                # The attempt failed or was cancelled; bytes that the kernel still
                # buffers must not reach the target later.
                connection.reset()
            else:
                self._release(choice, connection, result)
        result.is_reused = is_reused
        return result

    def _release(
        self, choice: Choice, connection: TargetConnection, result: AttemptResult
    ) -> None:
        """Keep the connection for reuse if the target may get further requests."""
        if result.notice.is_leaving:
            self._pool.close_idle(choice.target.id)
        if result.notice.is_leaving or not self._placement.is_routable(choice.target):
            connection.force_close()
        if result.unread_body is not None:
            self._pool.discard_body(choice.target, connection, result.unread_body)
        elif result.response is None or result.response.buffered_body is not None:
            self._pool.release(choice.target, connection)

    def _broken_result(
        self, outgoing: OutgoingRequest, error: BaseException
    ) -> AttemptResult:
        if outgoing.body.failure is not None:
            failure = outgoing.body.failure
            return AttemptResult(
                outcome=AttemptOutcome.CANCELLED, ran=Ran.UNKNOWN, failure=failure
            )
        detail = f"{type(error).__name__}: {error}"[:120]
        return _failed_result(
            AttemptOutcome.BROKEN, Ran.UNKNOWN, dispatch_codes.TARGET_BROKE, detail
        )

    async def _async_exchange(
        self, outgoing: OutgoingRequest, choice: Choice, connection: TargetConnection
    ) -> AttemptResult:
        routed = outgoing.routed
        body = outgoing.body.payload()
        length = len(body) if isinstance(body, bytes) else 0
        streamed = None if body is None or isinstance(body, bytes) else body
        head = request_head(
            routed,
            outgoing.headers,
            self._names,
            choice.target,
            None if streamed is not None else length,
            self._clock.monotonic(),
        )
        connection.prepare_response(
            skip_body=routed.method == "HEAD", max_field_bytes=outgoing.max_field_bytes
        )
        connection.write(head + body if isinstance(body, bytes) else head)
        sending = None
        if streamed is not None:
            sending = asyncio.create_task(async_send_chunks(connection, streamed))
        try:
            message, payload = await self._async_read_head(routed, connection)
            connection.is_trusted = True
            is_sent = sending is None or sending.done()
            notice = read_notice(message.code, message.headers, self._names)
            rate_limit = read_rate_limit(message.code, message.headers, self._names)
            result = await self._async_result(routed, connection, message, payload)
            if isinstance(notice, Failure):
                result.notice_failures += (notice,)
            else:
                result.notice = notice
            if isinstance(rate_limit, Failure):
                result.notice_failures += (rate_limit,)
            else:
                result.rate_limit = rate_limit
            if not is_sent:
                # The target would parse the rest of the body as another request.
                connection.force_close()
            return result
        finally:
            if sending is not None:
                sending.cancel()
                with contextlib.suppress(asyncio.CancelledError, *BROKEN_ERRORS):
                    await sending

    async def _async_read_head(
        self, routed: RoutedRequest, connection: TargetConnection
    ) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head and body stream of the response to this request.

        A duplicate response to an earlier request may precede it on the connection; the
        echoed request id distinguishes them.
        """
        for _ in range(const.MAX_STALE_RESPONSES + 1):
            message, payload = await async_read_final_head(connection)
            connection.read_keep_alive(message)
            echoed_id = message.headers.get(self._names.request_id)
            if echoed_id == routed.request_id or (
                not echoed_id and not routed.request_id
            ):
                return message, payload
            if connection.request_count == 1:
                break
            await _async_discard_body(payload)
        raise aiohttp.ClientPayloadError("response carries the id of another request")

    async def _async_result(
        self,
        routed: RoutedRequest,
        connection: TargetConnection,
        message: RawResponseMessage,
        payload: StreamReader,
    ) -> AttemptResult:
        reported_load = read_reported_load(message.headers, self._names)
        refused = self._not_run_result(message)
        if refused is not None:
            connection.record_refusal(routed.request_id)
            refused.unread_body = payload
            refused.reported_load = reported_load
            if refused.is_shed_with_capacity and refused.failure is not None:
                refused.failure = replace(
                    refused.failure, retry_after_s=const.SHED_RETRY_S
                )
            return refused
        is_success = 200 <= message.code < 300
        has_proof = self._names.proof is None or self._names.proof in message.headers
        if message.code in NOT_RUN_STATUSES or (is_success and not has_proof):
            # A caller would conclude from the status that the request was not run, or
            # that it succeeded; the target has not shown either.
            unproven = _failed_result(
                AttemptOutcome.ERROR_ANSWER,
                Ran.UNKNOWN,
                codes.ANSWER_UNPROVEN,
                f"status {message.code}",
            )
            unproven.unread_body = payload
            return unproven
        is_error = message.code >= FIRST_ERROR_STATUS
        response = TargetResponse(
            message=message,
            payload=payload,
            buffered_body=await async_buffer_body(routed, message, payload),
            connection=connection,
        )
        return AttemptResult(
            outcome=(
                AttemptOutcome.ERROR_ANSWER if is_error else AttemptOutcome.ANSWERED
            ),
            ran=Ran.UNKNOWN,
            response=response,
            reported_load=reported_load,
        )

    def _not_run_result(self, message: RawResponseMessage) -> AttemptResult | None:
        """Return a result if the response says that nothing was run, else ``None``."""
        if message.code == STATUS_MISDIRECTED:
            return _failed_result(
                AttemptOutcome.MISDIRECTED, Ran.NO, codes.TARGET_MISDIRECTED
            )
        value = message.headers.get(self._names.not_run)
        wanted = self._names.not_run_value
        if value is None or (wanted is not None and value != wanted):
            return None
        detail = f"status {message.code}"
        return _failed_result(
            AttemptOutcome.SHED, Ran.NO, dispatch_codes.TARGET_SHED, detail
        )


async def async_read_final_head(
    connection: TargetConnection,
) -> tuple[RawResponseMessage, StreamReader]:
    """Return the next final response, skipping a few informational ones (1xx).

    :param connection: The connection.
    """
    for _ in range(const.MAX_INFORMATIONAL_RESPONSES + 1):
        message, payload = await connection.read()
        if not 100 <= message.code < 200:
            return message, payload
    raise aiohttp.ClientPayloadError("too many informational responses (1xx)")


async def _async_discard_body(payload: StreamReader) -> None:
    """Read and discard the short body of a response to an earlier request."""
    remaining_bytes = const.MAX_DISCARDED_BYTES
    while remaining_bytes > 0:
        part = await payload.readany()
        if not part:
            return
        remaining_bytes -= len(part)
    raise aiohttp.ClientPayloadError("long response carries the id of another request")


async def async_send_chunks(
    connection: TargetConnection, parts: AsyncIterator[bytes]
) -> None:
    """Send the body of a request in chunks, and the last chunk after its end.

    :param connection: The connection.
    :param parts: Parts of the body.
    """
    try:
        async for part in parts:
            connection.write(b"%x\r\n%b\r\n" % (len(part), part))
            await connection.async_flush()
        connection.write(b"0\r\n\r\n")
    except CallerBodyError:
        # Without the last chunk, the target can't take the truncated body for complete.
        connection.abort()


async def async_buffer_body(
    routed: RoutedRequest, message: RawResponseMessage, payload: StreamReader
) -> bytes | None:
    """Return the complete body of a small response; ``None`` if it is streamed.

    :param routed: The request.
    :param message: Head of the response.
    :param payload: Unread body of the response.
    """
    if routed.method == "HEAD" or message.code in _STATUSES_WITHOUT_BODY:
        return b""
    length = message.headers.get("Content-Length", "")
    if payload.is_eof() and payload.exception() is None:
        return payload.read_nowait()
    if length.isdigit() and int(length) <= MAX_BUFFERED_RESPONSE_BYTES:
        return await payload.read()
    return None


def _failed_result(
    outcome: AttemptOutcome, ran: Ran, code: ResultCode, detail: str = ""
) -> AttemptResult:
    failure = Failure(
        code=code, detail=detail, ran=ran, retry_after_s=const.DEFAULT_RETRY_S
    )
    return AttemptResult(outcome=outcome, ran=ran, failure=failure)
