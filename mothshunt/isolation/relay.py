"""Relay of a request over another entry instance, as plain HTTP."""

import asyncio
import contextlib
from dataclasses import dataclass

from multidict import CIMultiDict

from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.const import HEADER_CODE
from mothshunt.core.types import (
    Incarnation,
    Ran,
    ServiceName,
    TargetId,
)
from mothshunt.dispatch import codes as dispatch_codes
from mothshunt.forwarding.attempt import (
    OutgoingRequest,
    TargetResponse,
    async_buffer_body,
    async_read_final_head,
    async_send_chunks,
)
from mothshunt.forwarding.connections import (
    BROKEN_ERRORS,
    ConnectionPool,
    NotConnectedError,
    TargetConnection,
)
from mothshunt.forwarding.const import TIMEOUT_GRACE_S
from mothshunt.forwarding.model import HeaderNames
from mothshunt.forwarding.request import MILLISECONDS_PER_SECOND, framing_lines
from mothshunt.forwarding.tries import ChosenResponse
from mothshunt.isolation import codes, const
from mothshunt.membership.roster_messages import EntryRow
from mothshunt.placement.model import Choice, RoutableTarget


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayRequest:
    """Request as it is relayed.

    :param outgoing: The request.
    :param headers: End-to-end header fields of the caller.
    :param sender: Name of this instance.
    """

    outgoing: OutgoingRequest
    headers: CIMultiDict[str]
    sender: str


@dataclass(slots=True, eq=False)
class RelayClient:
    """HTTP client towards other entry instances.

    :param pool: Connections to entry instances.
    :param names: Names of the header fields.
    :param clock: Source of the present time.
    """

    pool: ConnectionPool
    names: HeaderNames
    clock: Clock

    async def async_send(
        self, request: RelayRequest, entry: EntryRow, max_attempts: int
    ) -> ChosenResponse | Failure:
        """Send a request to an entry instance; return its response.

        :param request: The request.
        :param entry: The entry instance.
        :param max_attempts: Number of targets that it may send the request to.
        :return: The response; a failure that is isolated there (3301), or that the
            connection could not be opened (3303), broke (3302) or gave no response in
            time.
        """
        peer = _as_target(entry)
        try:
            connection = await self.pool.async_acquire(peer)
        except NotConnectedError as error:
            return Failure(code=codes.RELAY_UNREACHABLE, detail=str(error))
        result: ChosenResponse | Failure | None = None
        sent_at = self.clock.monotonic()
        left_s = request.outgoing.routed.deadline - sent_at
        try:
            async with asyncio.timeout(left_s + TIMEOUT_GRACE_S):
                response = await self._async_exchange(request, connection, max_attempts)
            if _is_isolated(response):
                result = Failure(code=codes.ENTRY_ISOLATED, detail=entry.instance)
            else:
                choice = Choice(
                    target=peer, sent_at=sent_at, load=0.0, reason=const.REASON_RELAY
                )
                result = ChosenResponse(choice, response)
            if response.buffered_body is not None:
                self.pool.release(peer, connection)
            return result
        except TimeoutError:
            return Failure(code=dispatch_codes.TARGET_TIMED_OUT, ran=Ran.UNKNOWN)
        except BROKEN_ERRORS as error:
            if request.outgoing.body.failure is not None:
                return request.outgoing.body.failure
            detail = f"{type(error).__name__}: {error}"[:120]
            return Failure(code=codes.RELAY_BROKEN, detail=detail, ran=Ran.UNKNOWN)
        finally:
            if result is None:
                connection.reset()

    async def _async_exchange(
        self, request: RelayRequest, connection: TargetConnection, max_attempts: int
    ) -> TargetResponse:
        routed = request.outgoing.routed
        body = request.outgoing.body.payload()
        is_streamed = body is not None and not isinstance(body, bytes)
        length = len(body) if isinstance(body, bytes) else 0
        connection.prepare_response(
            skip_body=routed.method == "HEAD",
            max_field_bytes=request.outgoing.max_field_bytes,
        )
        head = self._head(request, None if is_streamed else length, max_attempts)
        connection.write(head + body if isinstance(body, bytes) else head)
        sending = None
        if body is not None and not isinstance(body, bytes):
            sending = asyncio.create_task(async_send_chunks(connection, body))
        try:
            message, payload = await async_read_final_head(connection)
            connection.read_keep_alive(message)
            if sending is not None and not sending.done():
                connection.force_close()
            return TargetResponse(
                message=message,
                payload=payload,
                buffered_body=await async_buffer_body(routed, message, payload),
                connection=connection,
            )
        finally:
            if sending is not None:
                sending.cancel()
                with contextlib.suppress(asyncio.CancelledError, *BROKEN_ERRORS):
                    await sending

    def _head(
        self, request: RelayRequest, body_length: int | None, max_attempts: int
    ) -> bytes:
        routed = request.outgoing.routed
        left_s = routed.deadline - self.clock.monotonic()
        left_ms = max(1, int(left_s * MILLISECONDS_PER_SECOND))
        lines = [f"{routed.method} {routed.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in request.headers.items()]
        lines.append(f"{self.names.deadline_ms}: {left_ms}")
        lines.append(f"{self.names.relayed}: {request.sender}")
        lines.append(f"{self.names.relayed_attempts}: {max_attempts}")
        lines += framing_lines(routed.method, body_length)
        text = "\r\n".join(lines) + "\r\n\r\n"
        return text.encode("utf-8", "surrogateescape")


def _as_target(entry: EntryRow) -> RoutableTarget:
    """Return an entry instance in the form that the connection pool knows."""
    return RoutableTarget(
        id=TargetId(entry.instance),
        incarnation=Incarnation(0),
        service=ServiceName(const.REASON_RELAY),
        host=entry.host,
        port=entry.port,
        region=entry.region,
        availability_zone=entry.availability_zone,
        slots=1,
    )


def _is_isolated(response: TargetResponse) -> bool:
    """Whether an entry instance refused a relay because it is isolated as well."""
    number = str(codes.ENTRY_ISOLATED.number)
    is_refusal = response.message.code == codes.ENTRY_ISOLATED.http_status
    return is_refusal and response.message.headers.get(HEADER_CODE) == number
