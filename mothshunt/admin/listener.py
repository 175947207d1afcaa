"""HTTP listener whose every answer carries a result code where it is a refusal."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from mothshunt.admin.const import MAX_BODY_BYTES
from mothshunt.helpers.http_protocol import MalformedHandler, NumberedProtocol

BACKLOG = 512
STOP_TIMEOUT_S = 10.0

RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HttpListener:
    """Listen on one address.

    :param host: IP number.
    :param port: TCP port; 0 takes a free one.
    :param handler: Answers requests.
    :param on_malformed: Makes the answer to a request that is not valid HTTP.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: RequestHandler,
        on_malformed: MalformedHandler,
    ) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._on_malformed = on_malformed
        self._protocols: _ProtocolFactory | None = None
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """TCP port that is listened on."""
        return self._port

    async def async_start(self) -> None:
        """Begin to listen."""
        self._protocols = _ProtocolFactory(self._async_handle, self._on_malformed)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocols, self._host, self._port, backlog=BACKLOG
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def async_stop(self) -> None:
        """Stop listening and let the requests in flight end; may be called twice."""
        protocols, self._protocols = self._protocols, None
        if protocols is None or self._server is None:
            return
        self._server.close()
        protocols.pre_shutdown()
        await protocols.shutdown(STOP_TIMEOUT_S)

    async def _async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        assert isinstance(request, web.Request)
        return await self._handler(request)


class _ProtocolFactory(web.Server):
    """Make the protocol of each connection."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        on_malformed: MalformedHandler,
    ) -> None:
        super().__init__(handler, request_factory=self._make_full_request)
        self._on_malformed = on_malformed

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return NumberedProtocol(
            self, on_malformed=self._on_malformed, loop=self._loop, access_log=None
        )

    def _make_full_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> web.Request:
        return web.Request(
            message,
            payload,
            protocol,
            writer,
            task,
            self._loop,
            client_max_size=MAX_BODY_BYTES,
        )
