"""HTTP client towards targets: each request is handed to one connection once.

Two properties of ``aiohttp`` are pinned here and nowhere else. A session sends
idempotent methods, PUT and DELETE included, a second time when a connection breaks;
the middleware ends that by raising an error that the session does not know. And a
kept-alive connection on which unasked bytes arrived would give them out as the next
answer; ``TargetRequest`` turns such a connection down before a byte is handed over.
"""

from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
from aiohttp import ClientRequest, ClientResponse, hdrs
from aiohttp.client_middlewares import ClientHandlerType
from aiohttp.connector import Connection
from multidict import CIMultiDict
from yarl import URL

from mothshunt.dispatch.const import (
    CONNECT_TIMEOUT_S,
    IDLE_CONNECTION_S,
    MAX_LINE_BYTES,
)

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_SKIPPED_HEADERS = (hdrs.ACCEPT, hdrs.ACCEPT_ENCODING, hdrs.USER_AGENT)


class NotConnectedError(Exception):
    """Tell that no connection was opened, so that not one byte was handed over."""


class BrokenError(Exception):
    """Tell that a connection broke after the request was handed to it."""


class StaleConnectionError(Exception):
    """Tell that a kept-alive connection held bytes that nobody asked for."""


class LeaseEndedError(Exception):
    """Tell that the room for the request ended before a byte was handed over."""


class TargetRequest(ClientRequest):
    """Note the moment at which a request is handed to a connection."""

    handed_over = False
    handover: "Handover | None" = None

    async def send(self, conn: Connection) -> ClientResponse:
        """Hand the request to a connection.

        :param conn: The connection.
        """
        protocol = conn.protocol
        if protocol is None or protocol.should_close:
            raise StaleConnectionError
        # The process may have been frozen since the room was taken.
        if self.handover is not None and not self.handover.may_send():
            raise LeaseEndedError
        self.handed_over = True
        return await super().send(conn)


class Handover:
    """Follow one request to a target; a client middleware of that request.

    :param may_send: Tells, right before the request is sent, whether it may be.
    """

    __slots__ = ("_request", "may_send")

    def __init__(self, may_send: Callable[[], bool]) -> None:
        self.may_send = may_send
        self._request: TargetRequest | None = None

    @property
    def done(self) -> bool:
        """Whether a byte of the request may have been handed to a connection."""
        return self._request is not None and self._request.handed_over

    async def __call__(
        self, request: ClientRequest, handler: ClientHandlerType
    ) -> ClientResponse:
        """Send the request once.

        :param request: The request.
        :param handler: Connects and sends.
        """
        assert isinstance(request, TargetRequest)
        self._request = request
        request.handover = self
        try:
            return await handler(request)
        except _CONNECT_ERRORS as error:
            raise NotConnectedError(str(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            if not request.handed_over:
                raise NotConnectedError(str(error)) from error
            raise BrokenError(str(error)) from error


class TargetClient:
    """Keep the connections to targets.

    Requests that may not be repeated, and those whose body is streamed, get a
    connection of their own, which is closed after the answer.
    """

    def __init__(self) -> None:
        self._pooled = _session(
            aiohttp.TCPConnector(
                limit=0, keepalive_timeout=IDLE_CONNECTION_S, use_dns_cache=False
            )
        )
        self._single = _session(aiohttp.TCPConnector(limit=0, force_close=True))

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
        session = self._pooled if reuse else self._single
        options: dict[str, Any] = {"data": body} if body is not None else {}
        while True:
            try:
                return await session.request(
                    method,
                    url,
                    headers=headers,
                    allow_redirects=False,
                    middlewares=(handover,),
                    **options,
                )
            except StaleConnectionError:
                continue

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._single.close()


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        request_class=TargetRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        auto_decompress=False,
        skip_auto_headers=_SKIPPED_HEADERS,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
    )
