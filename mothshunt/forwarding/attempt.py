"""One attempt at one target: the request goes to one connection once."""

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
    reported_load,
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

FIRST_ERROR_STATUS = 500
#: Statuses that tell a caller that the request was not run.
PROMISES = frozenset({408, 421, 429, 503})
STATUS_SWITCHING = 101
_BODYLESS = frozenset({204, 304})


class AnswerBrokenOffError(Exception):
    """Tell that a target broke its answer off after a part was passed on."""


@dataclass(kw_only=True, slots=True, eq=False)
class TargetAnswer:
    """Hold an answer of a target.

    :param message: Its head.
    :param payload: What is left of its body, where it is streamed.
    :param whole: The whole body; ``None`` where it is streamed.
    :param connection: Where the rest of a streamed body comes from; to be closed.
    """

    message: RawResponseMessage
    payload: StreamReader
    whole: bytes | None
    connection: TargetConnection


@dataclass(kw_only=True, slots=True, eq=False)
class AttemptResult:
    """Tell how an attempt ended.

    :param outcome: What the choice of targets learns.
    :param ran: Whether the target may have run the request.
    :param answer: The answer for the caller, where there is one.
    :param failure: Why there is none.
    :param reported: What the target said of its load.
    :param notice: What the target asked for.
    :param notice_fault: Why that can't be read.
    :param unwanted: What is left of an answer that is not passed on.
    :param is_reused: Whether the connection had carried a request before.
    """

    outcome: AttemptOutcome
    ran: Ran
    answer: TargetAnswer | None = None
    failure: Failure | None = None
    reported: ReportedLoad | None = None
    notice: TargetNotice = NO_NOTICE
    notice_fault: Failure | None = None
    unwanted: StreamReader | None = None
    is_reused: bool = False

    def drop(self) -> None:
        """Close the connection of an answer that is not passed on after all."""
        if self.answer is not None and self.answer.whole is None:
            self.answer.connection.abort()

    @property
    def is_shed_with_room(self) -> bool:
        """Whether the target turned the request away although it has room.

        The next request may well be run there, and sooner than by a target that does
        not know its object. One that leaves or wants a pause is not asked again.
        """
        is_shed = self.outcome is AttemptOutcome.SHED and self.notice is NO_NOTICE
        return is_shed and self.reported is not None and self.reported.has_capacity


@dataclass(kw_only=True, slots=True, eq=False)
class Call:
    """Hold a request through all its attempts.

    :param request: What is asked for.
    :param headers: Header fields that each attempt sends.
    :param body: Its body.
    :param max_field_bytes: Longest header field of an answer.
    """

    request: RoutedRequest
    headers: CIMultiDict[str]
    body: RequestBody
    max_field_bytes: int


class Attempter:
    """Make attempts at targets.

    :param pool: Connections to targets.
    :param placement: Tells whether a chosen target may still get the request.
    :param names: Names of the header fields.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        placement: PlacementCoordinator,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._placement = placement
        self._names = names
        self._clock = clock

    async def async_attempt(self, call: Call, choice: Choice) -> AttemptResult:
        """Send a request to the chosen target and read its answer.

        A large answer is left to be streamed; its connection is closed afterwards.

        :param call: The request.
        :param choice: The target.
        """
        try:
            connection = await self._pool.async_take(choice.target)
        except NotConnectedError as error:
            self._pool.drop(choice.target.id)
            return _failed(
                AttemptOutcome.CONNECT_FAILED,
                Ran.NO,
                dispatch_codes.TARGET_UNREACHABLE,
                str(error),
            )
        # Meanwhile the target may have left, or this process may have been frozen.
        if not self._placement.may_send(choice):
            self._pool.give_back(choice.target, connection)
            return _failed(AttemptOutcome.CANCELLED, Ran.NO, dispatch_codes.LEASE_ENDED)
        if not connection.is_connected():
            return _failed(
                AttemptOutcome.CANCELLED, Ran.NO, dispatch_codes.TARGET_UNREACHABLE
            )
        is_reused = connection.requests > 0
        result: AttemptResult | None = None
        try:
            result = await self._async_exchange(call, choice, connection)
        except BROKEN_ERRORS as error:
            return self._broken(call, error)
        finally:
            if result is None:
                # The request was given up, so it must not arrive later either.
                connection.reset()
            else:
                self._release(choice, connection, result)
        result.is_reused = is_reused
        return result

    def _release(
        self, choice: Choice, connection: TargetConnection, result: AttemptResult
    ) -> None:
        """Keep a connection for further requests where the target gets any."""
        if result.notice.is_leaving:
            self._pool.drop(choice.target.id)
        if result.notice.is_leaving or not self._placement.is_routable(choice.target):
            connection.force_close()
        if result.unwanted is not None:
            self._pool.discard_body(choice.target, connection, result.unwanted)
        elif result.answer is None or result.answer.whole is not None:
            self._pool.give_back(choice.target, connection)

    def _broken(self, call: Call, error: BaseException) -> AttemptResult:
        if call.body.failure is not None:
            failure = call.body.failure
            return AttemptResult(
                outcome=AttemptOutcome.CANCELLED, ran=Ran.UNKNOWN, failure=failure
            )
        detail = f"{type(error).__name__}: {error}"[:120]
        return _failed(
            AttemptOutcome.BROKEN, Ran.UNKNOWN, dispatch_codes.TARGET_BROKE, detail
        )

    async def _async_exchange(
        self, call: Call, choice: Choice, connection: TargetConnection
    ) -> AttemptResult:
        request = call.request
        body = call.body.payload()
        length = len(body) if isinstance(body, bytes) else 0
        streamed = None if body is None or isinstance(body, bytes) else body
        head = request_head(
            request,
            call.headers,
            self._names,
            choice.target,
            None if streamed is not None else length,
            self._clock.monotonic(),
        )
        connection.begin(
            skip_body=request.method == "HEAD", max_field_bytes=call.max_field_bytes
        )
        connection.write(head + body if isinstance(body, bytes) else head)
        sending = None
        if streamed is not None:
            sending = asyncio.create_task(_async_send_parts(connection, streamed))
        try:
            message, payload = await self._async_head(request, connection)
            is_sent = sending is None or sending.done()
            notice = read_notice(message.code, message.headers, self._names)
            result = await self._async_result(request, connection, message, payload)
            if isinstance(notice, Failure):
                result.notice_fault = notice
            else:
                result.notice = notice
            if not is_sent:
                # What is left of the body must not be taken for another request.
                connection.force_close()
            return result
        finally:
            if sending is not None:
                sending.cancel()
                with contextlib.suppress(asyncio.CancelledError, *BROKEN_ERRORS):
                    await sending

    async def _async_head(
        self, request: RoutedRequest, connection: TargetConnection
    ) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head of the answer to this request.

        A second answer to an earlier request may come first; the id tells it apart.
        """
        for _ in range(const.MAX_STALE_ANSWERS + 1):
            message, payload = await _async_final_head(connection)
            connection.note_idle_limit(message)
            echoed = message.headers.get(self._names.request_id)
            if echoed == request.request_id or (not echoed and not request.request_id):
                return message, payload
            if connection.requests == 1:
                break
            await _async_skip(payload)
        raise aiohttp.ClientPayloadError("the answer belongs to another request")

    async def _async_result(
        self,
        request: RoutedRequest,
        connection: TargetConnection,
        message: RawResponseMessage,
        payload: StreamReader,
    ) -> AttemptResult:
        reported = reported_load(message.headers, self._names)
        refused = self._not_run(message)
        if refused is not None:
            refused.unwanted = payload
            refused.reported = reported
            if refused.is_shed_with_room and refused.failure is not None:
                refused.failure = replace(
                    refused.failure, retry_after_s=const.SHED_RETRY_S
                )
            return refused
        is_success = 200 <= message.code < 300
        has_proof = self._names.proof is None or self._names.proof in message.headers
        if message.code in PROMISES or (is_success and not has_proof):
            # Passed on, it would promise what the target has not said.
            unproven = _failed(
                AttemptOutcome.ERROR_ANSWER,
                Ran.UNKNOWN,
                codes.ANSWER_UNPROVEN,
                f"status {message.code}",
            )
            unproven.unwanted = payload
            return unproven
        is_error = message.code >= FIRST_ERROR_STATUS
        answer = TargetAnswer(
            message=message,
            payload=payload,
            whole=await _async_whole(request, message, payload),
            connection=connection,
        )
        return AttemptResult(
            outcome=(
                AttemptOutcome.ERROR_ANSWER if is_error else AttemptOutcome.ANSWERED
            ),
            ran=Ran.UNKNOWN,
            answer=answer,
            reported=reported,
        )

    def _not_run(self, message: RawResponseMessage) -> AttemptResult | None:
        """Return the result of an answer that says that nothing was run."""
        if message.code == STATUS_MISDIRECTED:
            return _failed(AttemptOutcome.MISDIRECTED, Ran.NO, codes.TARGET_MISDIRECTED)
        value = message.headers.get(self._names.not_run)
        wanted = self._names.not_run_value
        if value is None or (wanted is not None and value != wanted):
            return None
        detail = f"status {message.code}"
        return _failed(AttemptOutcome.SHED, Ran.NO, dispatch_codes.TARGET_SHED, detail)


async def _async_final_head(
    connection: TargetConnection,
) -> tuple[RawResponseMessage, StreamReader]:
    """Return the head of the next answer, after a few informational ones."""
    for _ in range(const.MAX_INFORMATIONAL_ANSWERS + 1):
        message, payload = await connection.read()
        if message.code == STATUS_SWITCHING:
            raise aiohttp.ClientPayloadError("the target switched protocols unasked")
        if not 100 <= message.code < 200:
            return message, payload
    raise aiohttp.ClientPayloadError("too many informational answers")


async def _async_skip(payload: StreamReader) -> None:
    """Read the body of an answer to an earlier request, where it is short."""
    left = const.MAX_DISCARDED_BYTES
    while left > 0:
        part = await payload.readany()
        if not part:
            return
        left -= len(part)
    raise aiohttp.ClientPayloadError("a long answer belongs to another request")


async def _async_send_parts(
    connection: TargetConnection, parts: AsyncIterator[bytes]
) -> None:
    try:
        async for part in parts:
            connection.write(b"%x\r\n%b\r\n" % (len(part), part))
            await connection.async_flush()
        connection.write(b"0\r\n\r\n")
    except CallerBodyError:
        # An end in the wrong place can't be taken for the end of the body.
        connection.abort()


async def _async_whole(
    request: RoutedRequest, message: RawResponseMessage, payload: StreamReader
) -> bytes | None:
    """Return the whole body of a small answer; ``None`` leaves it to be streamed."""
    if request.method == "HEAD" or message.code in _BODYLESS:
        return b""
    length = message.headers.get("Content-Length", "")
    if payload.is_eof() and payload.exception() is None:
        return payload.read_nowait()
    if length.isdigit() and int(length) <= MAX_BUFFERED_RESPONSE_BYTES:
        return await payload.read()
    return None


def _failed(
    outcome: AttemptOutcome, ran: Ran, code: ResultCode, detail: str = ""
) -> AttemptResult:
    failure = Failure(
        code=code, detail=detail, ran=ran, retry_after_s=const.DEFAULT_RETRY_S
    )
    return AttemptResult(outcome=outcome, ran=ran, failure=failure)
