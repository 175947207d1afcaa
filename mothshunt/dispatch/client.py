"""HTTP client for targets that sends each request at most once.

Requests are sent over a connector, without an ``aiohttp`` session: a session sends
idempotent methods, PUT and DELETE included, a second time when a connection breaks.
"""

import asyncio
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass

import aiohttp
from aiohttp import ClientRequest, ClientResponse, hdrs
from aiohttp.typedefs import LooseHeaders
from multidict import CIMultiDict
from yarl import URL

from mothshunt.core.clock import Clock
from mothshunt.core.const import HEADER_REQUEST_ID
from mothshunt.dispatch.const import MAX_LINE_BYTES
from mothshunt.dispatch.pool import ConnectionPools, OpenConnection
from mothshunt.dispatch.watch import WatchedAttempt


class BrokenError(Exception):
    """Connection that broke after sending of the request had begun."""


class LeaseEndedError(Exception):
    """End of the permit's lease before any byte of the request was sent."""


class TargetRequest(ClientRequest):
    """Client request whose header fields are sent as given, without added defaults."""

    def update_headers(self, headers: LooseHeaders | None) -> None:
        """Set the header fields without copying them; add only a missing ``Host``.

        :param headers: Header fields; owned by this request.
        """
        assert isinstance(headers, CIMultiDict)
        if hdrs.HOST not in headers:
            headers[hdrs.HOST] = self.url.host_port_subcomponent or ""
        self.headers = headers

    def update_auto_headers(self, skip_auto_headers: Iterable[str] | None) -> None:
        """Override the base class, which adds default header fields, to add none.

        :param skip_auto_headers: Not used.
        """


@dataclass(slots=True)
class OutgoingRequest:
    """Request as it is sent to a target.

    :param method: HTTP method.
    :param authority: Host and port of the target.
    :param path_and_query: Path and query, percent-encoded.
    :param headers: Header fields, owned by this request.
    :param body: Complete body, or an iterator over its parts; ``None`` for no body.
    :param reuse_connection: Whether a kept-alive connection may be used.
    :param silence_timeout_s: Time in which a reused connection must bring the head of
        the response, in seconds; ``None`` for no such limit.
    """

    method: str
    authority: str
    path_and_query: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes] | None
    reuse_connection: bool
    silence_timeout_s: float | None


class TargetClient:
    """HTTP client for all targets.

    Requests that may not be repeated, and those whose body is streamed, get a
    connection of their own, which is closed after the response.

    :param clock: Source of the present time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._pools = ConnectionPools()

    async def async_send(
        self, outgoing: OutgoingRequest, attempt: WatchedAttempt
    ) -> ClientResponse:
        """Send a request and wait for the head of the response.

        :param outgoing: The request.
        :param attempt: State of this attempt.
        :return: The response; the receiver reads it to its end or closes it.
        :raises NotConnectedError: No connection was opened; no byte was sent.
        :raises LeaseEndedError: The request could no longer be sent; no byte was sent.
        :raises BrokenError: The request may have reached the target.
        """
        url = URL(f"http://{outgoing.authority}{outgoing.path_and_query}", encoded=True)
        request = TargetRequest(
            outgoing.method,
            url,
            headers=outgoing.headers,
            data=outgoing.body,
            loop=self._loop,
        )
        opened = await self._pools.async_connect(
            request, outgoing.authority, reuse=outgoing.reuse_connection
        )
        try:
            # The lease may have ended if the process was suspended in between.
            if not attempt.may_send():
                raise LeaseEndedError
            attempt.send_started = True
            if opened.reused and outgoing.silence_timeout_s is not None:
                attempt.silence_timeout_s = outgoing.silence_timeout_s
                attempt.silence_deadline = (
                    self._clock.monotonic() + outgoing.silence_timeout_s
                )
            response = await _async_exchange(request, opened)
            attempt.silence_deadline = None
            echoes_id = _echoes_request_id(response, outgoing, opened)
        except (aiohttp.ClientError, OSError) as error:
            opened.connection.close()
            raise BrokenError(str(error)) from error
        except BaseException:
            opened.connection.close()
            raise
        if outgoing.reuse_connection:
            self._pools.mark_used(opened.protocol)
        if not echoes_id:
            opened.protocol.force_close()
        return response

    def retire(self, authority: str) -> None:
        """Stop reusing the connections that are open to a target.

        :param authority: Host and port of the target.
        """
        self._pools.retire(authority)

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pools.async_close()


def _echoes_request_id(
    response: ClientResponse, outgoing: OutgoingRequest, opened: OpenConnection
) -> bool:
    """Whether a response repeats the id of its request.

    A faulty target may send a response a second time, after the next request was sent
    on the same connection. A connection is therefore reused only if the responses on
    it repeat the request ids.

    :raises BrokenError: The response belongs to another request, or may belong to one.
    """
    request_id = outgoing.headers.get(HEADER_REQUEST_ID)
    echoed = response.headers.get(HEADER_REQUEST_ID)
    if echoed == request_id:
        return True
    if echoed is not None or opened.reused:
        response.close()
        raise BrokenError("the response may belong to another request")
    return False


async def _async_exchange(
    request: TargetRequest, opened: OpenConnection
) -> ClientResponse:
    opened.protocol.set_response_params(
        skip_payload=request.method == hdrs.METH_HEAD,
        read_until_eof=True,
        auto_decompress=False,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
    )
    response = await request.send(opened.connection)
    try:
        return await response.start(opened.connection)
    except BaseException:
        response.close()
        raise
