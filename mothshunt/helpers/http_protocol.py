"""HTTP server connections that answer malformed requests with a result code."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from mothshunt.helpers import transports

#: In characters.
MAX_DETAIL_LENGTH = 200
#: Largest number of bytes of a request outside of its head and body: chunk extensions
#: and trailers, which are rarely used.
MAX_OVERHEAD_BYTES = 64 * 1024
#: Further overhead bytes allowed for each byte of the body: a chunk of one byte has
#: five bytes of framing (RFC 9112, 7.1).
OVERHEAD_BYTES_PER_BODY_BYTE = 8
#: Time between two looks at whether all responses have been sent, in seconds.
SEND_POLL_S = 0.02

#: Returns the response to a request that is not valid HTTP, given the error text.
MalformedHandler = Callable[[str], web.Response]


class ResultCodeProtocol(web.RequestHandler):
    """Server connection that answers malformed HTTP with a result code.

    :param manager: Server that the connection belongs to.
    :param on_malformed: Returns the response to a request that is not valid HTTP.
    :param options: Options of aiohttp's protocol.
    """

    __slots__ = ("_counted_request", "_on_malformed", "_received_bytes")

    def __init__(
        self, manager: web.Server, *, on_malformed: MalformedHandler, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self._on_malformed = on_malformed
        self._counted_request: web.BaseRequest | None = None
        self._received_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what is read at a time.

        :param transport: Transport of the connection.
        """
        transports.limit_receives(transport)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and fail a body that is malformed or mostly overhead.

        By itself aiohttp lets a request with a malformed body wait for more data, and
        reads chunk extensions without a bound.

        :param data: Bytes that the client sent.
        """
        super().data_received(data)
        if self._current_request is None:
            return
        if self._has_excess_overhead(self._current_request, len(data)):
            error = web.RequestPayloadError(
                "too many bytes outside of the request body"
            )
            self._current_request.content.set_exception(error)
            self.force_close()
            return
        if not self._messages:
            return
        body = self._current_request.content
        malformed = not isinstance(self._messages[-1][0], RawRequestMessage)
        if malformed and not body.is_eof():
            body.set_exception(web.RequestPayloadError("malformed body"))

    def _has_excess_overhead(self, request: web.BaseRequest, received: int) -> bool:
        """Count received bytes; return whether too many are outside of the body."""
        body = request.content
        if body.is_eof():
            return False
        if request is not self._counted_request:
            # Bytes received before weren't counted, except for those of the body.
            self._counted_request = request
            self._received_bytes = body.total_bytes - received
        self._received_bytes += received
        allowed = MAX_OVERHEAD_BYTES + OVERHEAD_BYTES_PER_BODY_BYTE * body.total_bytes
        return self._received_bytes - body.total_bytes > allowed

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that could not be parsed.

        :param request: Placeholder for the request.
        :param status: HTTP status that aiohttp proposes.
        :param exc: Error of the parser.
        :param message: Error text of aiohttp.
        """
        if request.writer.output_size > 0:
            raise ConnectionResetError("the response had already begun")
        response = self._on_malformed((message or "")[:MAX_DETAIL_LENGTH])
        response.force_close()
        return response


@dataclass(frozen=True, kw_only=True, slots=True)
class ProtocolOptions:
    """Limits of new connections; the defaults are those of aiohttp.

    :param idle_timeout_s: Time after which an idle connection is closed, in seconds.
    :param max_field_bytes: Longest request line and longest header field, in bytes.
    :param max_headers: Largest number of header fields of one request.
    :param max_body_bytes: Largest body that is read into memory, in bytes.
    :param is_proxy: Whether requests are forwarded: bodies aren't decompressed, and a
        request is cancelled when its client disconnects.
    """

    idle_timeout_s: float = 3630.0
    max_field_bytes: int = 8190
    max_headers: int = 128
    max_body_bytes: int = 1024**2
    is_proxy: bool = False


class ProtocolFactory(web.Server):
    """HTTP server that creates the protocol of each connection.

    :param handler: Called with each request; returns the response.
    :param on_malformed: Returns the response to a request that is not valid HTTP.
    :param options: Returns the limits of a new connection.
    :param protocol: Creates the protocol of a new connection.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        on_malformed: MalformedHandler,
        options: Callable[[], ProtocolOptions],
        protocol: Callable[..., ResultCodeProtocol] = ResultCodeProtocol,
    ) -> None:
        super().__init__(
            handler,
            request_factory=self._make_request,
            handler_cancellation=options().is_proxy,
        )
        self._on_malformed = on_malformed
        self._options = options
        self._protocol = protocol

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        options = self._options()
        return self._protocol(
            self,
            on_malformed=self._on_malformed,
            loop=self._loop,
            access_log=None,
            auto_decompress=not options.is_proxy,
            keepalive_timeout=options.idle_timeout_s,
            max_line_size=options.max_field_bytes,
            max_field_size=options.max_field_bytes,
            max_headers=options.max_headers,
            read_bufsize=transports.READ_BUFFER_BYTES,
        )

    def unread_bytes_by_transport(self) -> dict[asyncio.Transport, int]:
        """Return the bytes of responses that clients have not taken yet."""
        return {
            transport: transport.get_write_buffer_size()
            for connection in self.connections
            if (transport := connection.transport) is not None
        }

    def has_unsent_bytes(self) -> bool:
        """Whether a part of a response waits for a client that reads slowly."""
        return any(self.unread_bytes_by_transport().values())

    async def async_send_rest(self, timeout_s: float) -> None:
        """Wait until all of the responses that were written has been sent.

        The end of the process would cut off what has not. Requests are still read.

        :param timeout_s: Longest time to wait, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while True:
                    if not self.has_unsent_bytes():
                        return
                    await asyncio.sleep(SEND_POLL_S)

    def _make_request(
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
            client_max_size=self._options().max_body_bytes,
        )
