"""HTTP client towards targets: each request is handed to one connection once.

Requests go to the connector directly, not through a session of ``aiohttp``: a session
sends idempotent methods, PUT and DELETE included, a second time when a connection
breaks. A kept-alive connection on which unasked bytes arrived would give them out as
the next answer; it is turned down before a byte is handed over.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable

import aiohttp
from aiohttp import ClientRequest, ClientResponse, hdrs
from aiohttp.connector import Connection
from aiohttp.typedefs import LooseHeaders
from multidict import CIMultiDict
from yarl import URL

from mothshunt.dispatch.const import (
    CONNECT_TIMEOUT_S,
    IDLE_CONNECTION_S,
    MAX_LINE_BYTES,
)

_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class NotConnectedError(Exception):
    """Tell that no connection was opened, so that not one byte was handed over."""


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


class Handover:
    """Follow one request to a target.

    :param may_send: Tells, right before the request is sent, whether it may be.
    """

    __slots__ = ("done", "may_send")

    def __init__(self, may_send: Callable[[], bool]) -> None:
        self.may_send = may_send
        #: Whether a byte of the request may have been handed to a connection.
        self.done = False


class TargetClient:
    """Keep the connections to targets.

    Requests that may not be repeated, and those whose body is streamed, get a
    connection of their own, which is closed after the answer.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._pooled = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=IDLE_CONNECTION_S, use_dns_cache=False
        )
        self._single = aiohttp.TCPConnector(limit=0, force_close=True)

    async def async_send(
        self,
        handover: Handover,
        *,
        method: str,
        url: URL,
        headers: CIMultiDict[str],
        body: bytes | AsyncIterator[bytes] | None,
        reuse: bool,
    ) -> ClientResponse:
        """Send a request and wait for the head of the answer.

        :param handover: Follows this request.
        :param method: HTTP method.
        :param url: Address at the target.
        :param headers: Header fields, without those of one connection.
        :param body: Whole body, or its parts; ``None`` for no body.
        :param reuse: Whether a kept-alive connection may be used.
        :return: The answer; whoever gets it closes or reads it.
        :raises NotConnectedError: Not one byte was handed over.
        :raises LeaseEndedError: The request might not be sent any more.
        :raises BrokenError: The request may have reached the target.
        """
        request = TargetRequest(
            method, url, headers=headers, data=body, loop=self._loop
        )
        connection = await self._async_connect(request, reuse)
        try:
            # The process may have been frozen since the room was taken.
            if not handover.may_send():
                raise LeaseEndedError
            handover.done = True
            return await _async_exchange(request, connection)
        except (aiohttp.ClientError, OSError) as error:
            connection.close()
            raise BrokenError(str(error)) from error
        except BaseException:
            connection.close()
            raise

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._single.close()

    async def _async_connect(self, request: TargetRequest, reuse: bool) -> Connection:
        connector = self._pooled if reuse else self._single
        while True:
            try:
                connection = await connector.connect(request, [], _TIMEOUT)
            except (aiohttp.ClientError, OSError) as error:
                raise NotConnectedError(str(error)) from error
            protocol = connection.protocol
            if protocol is not None and not protocol.should_close:
                break
            connection.close()
        protocol.set_response_params(
            skip_payload=request.method == hdrs.METH_HEAD,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )
        return connection


async def _async_exchange(
    request: TargetRequest, connection: Connection
) -> ClientResponse:
    response = await request.send(connection)
    try:
        return await response.start(connection)
    except BaseException:
        response.close()
        raise
