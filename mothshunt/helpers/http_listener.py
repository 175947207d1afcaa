"""HTTP listener that reports every error with a result code."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from mothshunt.helpers.http_protocol import (
    MalformedHandler,
    ProtocolFactory,
    ProtocolOptions,
)

#: Largest number of connections that wait to be accepted.
BACKLOG = 512
#: Default of the largest request body.
MAX_BODY_BYTES = 1024 * 1024
STOP_TIMEOUT_S = 10.0

RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HttpListener:
    """HTTP server that listens on one address.

    :param host: IP address.
    :param port: TCP port; 0 for any free one.
    :param handler: Called with each request; returns the response.
    :param on_malformed: Returns the response to a request that is not valid HTTP.
    :param max_body_bytes: Largest request body, in bytes.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: RequestHandler,
        on_malformed: MalformedHandler,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._on_malformed = on_malformed
        self._options = ProtocolOptions(max_body_bytes=max_body_bytes)
        self._protocols: ProtocolFactory | None = None
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """TCP port of the listener."""
        return self._port

    async def async_start(self) -> None:
        """Start listening."""
        self._protocols = ProtocolFactory(
            self._async_handle, self._on_malformed, lambda: self._options
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocols, self._host, self._port, backlog=BACKLOG
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def async_stop(self) -> None:
        """Stop listening and wait for requests in flight; may be called twice."""
        protocols, self._protocols = self._protocols, None
        if protocols is None or self._server is None:
            return
        self._server.close()
        protocols.pre_shutdown()
        await protocols.shutdown(STOP_TIMEOUT_S)

    async def _async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        assert isinstance(request, web.Request)
        return await self._handler(request)
