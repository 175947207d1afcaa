"""HTTP client towards targets: each request is handed to one connection once.

Requests go to a connector directly, not through a session of ``aiohttp``: a session
sends idempotent methods, PUT and DELETE included, a second time when a connection
breaks.
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
from mothshunt.dispatch.watch import Handover


class BrokenError(Exception):
    """Tell that a connection broke after the request was handed to it."""


class LeaseEndedError(Exception):
    """Tell that the room for the request ended before a byte was handed over."""


class TargetRequest(ClientRequest):
    """Send the header fields as they are given."""

    def update_headers(self, headers: LooseHeaders | None) -> None:
        """Take the header fields without a copy.

        :param headers: Header fields; owned by this request.
        """
        assert isinstance(headers, CIMultiDict)
        if hdrs.HOST not in headers:
            headers[hdrs.HOST] = self.url.host_port_subcomponent or ""
        self.headers = headers

    def update_auto_headers(self, skip_auto_headers: Iterable[str] | None) -> None:
        """Add nothing.

        :param skip_auto_headers: Not used.
        """


@dataclass(slots=True)
class Outgoing:
    """Hold a request as it goes to a target.

    :param method: HTTP method.
    :param authority: Host and port of the target.
    :param tail: Path and query, encoded.
    :param headers: Header fields, owned by this request.
    :param body: Whole body, or its parts; ``None`` for no body.
    :param reuse: Whether a kept-alive connection may be used.
    :param silence_limit_s: How long a kept-alive connection may stay silent;
        ``None`` for as long as it likes.
    """

    method: str
    authority: str
    tail: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes] | None
    reuse: bool
    silence_limit_s: float | None


class TargetClient:
    """Send requests to targets.

    Requests that may not be repeated, and those whose body is streamed, get a
    connection of their own, which is closed after the answer.

    :param clock: Source of the present time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._pools = ConnectionPools()

    async def async_send(
        self, outgoing: Outgoing, handover: Handover
    ) -> ClientResponse:
        """Send a request and wait for the head of the answer.

        :param outgoing: The request.
        :param handover: Follows this request.
        :return: The answer; whoever gets it closes or reads it.
        :raises NotConnectedError: Not one byte was handed over.
        :raises LeaseEndedError: The request might not be sent any more.
        :raises BrokenError: The request may have reached the target.
        """
        url = URL(f"http://{outgoing.authority}{outgoing.tail}", encoded=True)
        request = TargetRequest(
            outgoing.method,
            url,
            headers=outgoing.headers,
            data=outgoing.body,
            loop=self._loop,
        )
        opened = await self._pools.async_connect(
            request, outgoing.authority, reuse=outgoing.reuse
        )
        try:
            # The process may have been frozen since the room was taken.
            if not handover.may_send():
                raise LeaseEndedError
            handover.done = True
            if opened.reused and outgoing.silence_limit_s is not None:
                handover.silence_limit_s = outgoing.silence_limit_s
                handover.silent_at = self._clock.monotonic() + outgoing.silence_limit_s
            response = await _async_exchange(request, opened)
            handover.silent_at = None
            is_named = _names_request(response, outgoing, opened)
        except (aiohttp.ClientError, OSError) as error:
            opened.connection.close()
            raise BrokenError(str(error)) from error
        except BaseException:
            opened.connection.close()
            raise
        if outgoing.reuse:
            self._pools.note_answer(opened.protocol)
        if not is_named:
            opened.protocol.force_close()
        return response

    def retire(self, authority: str) -> None:
        """Use none of the connections that are kept alive to a target again.

        :param authority: Host and port of the target.
        """
        self._pools.retire(authority)

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pools.async_close()


def _names_request(
    response: ClientResponse, outgoing: Outgoing, opened: OpenConnection
) -> bool:
    """Tell whether an answer repeats the id of its request.

    A target may send an answer a second time, when the next request waits on the same
    connection. So only connections are used again whose answers repeat the ids.

    :raises BrokenError: The answer belongs to another request, or may do so.
    """
    request_id = outgoing.headers.get(HEADER_REQUEST_ID)
    echoed = response.headers.get(HEADER_REQUEST_ID)
    if echoed == request_id:
        return True
    if echoed is not None or opened.reused:
        response.close()
        raise BrokenError("the answer belongs to another request")
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
