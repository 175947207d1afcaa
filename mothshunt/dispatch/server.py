"""HTTP server on the traffic address of an entry instance."""

import asyncio
import traceback
from collections.abc import Mapping

from aiohttp import web

from mothshunt.core.codes import Failure
from mothshunt.core.const import PATH_ANNOUNCE, PATH_LEAVE, PATH_LOOKUP, PATH_SERVICES
from mothshunt.core.types import Ran
from mothshunt.dispatch import codes
from mothshunt.dispatch.const import (
    BACKLOG,
    CALLER_KEEPALIVE_S,
    DRAIN_IDLE_S,
    DRAIN_POLL_S,
    EXCEPTION_LOG_INTERVAL_S,
    MAX_HEADERS,
    MAX_LINE_BYTES,
    METRIC_CANCELLED,
    METRIC_IN_FLIGHT,
    STOP_TIMEOUT_S,
)
from mothshunt.dispatch.forwarder import Forwarder
from mothshunt.dispatch.model import RequestHandler
from mothshunt.dispatch.refusal import refuse
from mothshunt.helpers.http_protocol import ProtocolFactory, ProtocolOptions
from mothshunt.helpers.log import get_logger
from mothshunt.metrics.registry import Metrics

_LOGGER = get_logger("dispatch")
_SERVICES_PREFIX = PATH_SERVICES + "/"
_PROTOCOL_OPTIONS = ProtocolOptions(
    idle_timeout_s=CALLER_KEEPALIVE_S,
    max_field_bytes=MAX_LINE_BYTES,
    max_headers=MAX_HEADERS,
    is_proxy=True,
)


class TrafficServer:
    """HTTP server for the requests of callers and targets.

    :param host: IP address to listen on.
    :param port: TCP port; 0 selects a free one.
    :param forwarder: Handler of requests under ``/v1/services/``.
    :param lookup: Handler of ``GET /v1/lookup``.
    :param announce: Handler of ``POST /v1/targets/announce``.
    :param leave: Handler of ``POST /v1/targets/leave``.
    :param metrics: Metrics of the process.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        forwarder: Forwarder,
        lookup: RequestHandler,
        announce: RequestHandler,
        leave: RequestHandler,
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._port = port
        self._forwarder = forwarder
        self._handler_by_route: Mapping[tuple[str, str], RequestHandler] = {
            ("GET", PATH_LOOKUP): lookup,
            ("POST", PATH_ANNOUNCE): announce,
            ("POST", PATH_LEAVE): leave,
        }
        self._metrics = metrics
        self._in_flight = 0
        self._stopping = False
        self._next_exception_log_at = 0.0
        self._protocols: ProtocolFactory | None = None
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """TCP port on which the server listens."""
        return self._port

    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight

    async def async_start(self) -> None:
        """Start listening and serving requests."""
        self._metrics.gauge(METRIC_IN_FLIGHT, self.in_flight)
        await self._forwarder.async_start()
        self._protocols = ProtocolFactory(
            self.async_handle, self.refuse_malformed, lambda: _PROTOCOL_OPTIONS
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocols, self._host, self._port, backlog=BACKLOG
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def async_stop_accepting(self) -> None:
        """Stop accepting connections; requests on open ones are still served."""
        self._stopping = True
        if self._server is not None:
            self._server.close()

    async def async_drain(self) -> None:
        """Wait until no request has been in flight for ``DRAIN_IDLE_S``."""
        idle_s = 0.0
        while idle_s < DRAIN_IDLE_S:
            await asyncio.sleep(DRAIN_POLL_S)
            idle_s = 0.0 if self._in_flight else idle_s + DRAIN_POLL_S

    async def async_stop(self) -> None:
        """Finish requests in flight and close all connections; may be called twice."""
        await self.async_stop_accepting()
        protocols, self._protocols = self._protocols, None
        if protocols is None:
            return
        await protocols.async_send_rest(STOP_TIMEOUT_S)
        protocols.pre_shutdown()
        await protocols.shutdown(STOP_TIMEOUT_S)
        await self._forwarder.async_stop()

    def refuse_malformed(self, detail: str) -> web.Response:
        """Count a request that could not be parsed and return the error response to it.

        :param detail: What is wrong with the request.
        """
        failure = Failure(code=codes.MALFORMED_HTTP, detail=detail)
        return refuse(self._metrics, failure)

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request and write the response to the connection.

        :param request: The request.
        """
        assert isinstance(request, web.Request)
        self._in_flight += 1
        try:
            response = await self._async_respond(request)
            if self._stopping:
                response.force_close()
            await response.prepare(request)
            await response.write_eof()
            return response
        except asyncio.CancelledError:
            self._metrics.count(METRIC_CANCELLED)
            raise
        finally:
            self._in_flight -= 1

    async def _async_respond(self, request: web.Request) -> web.StreamResponse:
        try:
            # ``raw_path`` holds the whole URL if the request line has an absolute one.
            if request.raw_path.startswith(_SERVICES_PREFIX) or (
                request.path.startswith(_SERVICES_PREFIX)
            ):
                return await self._forwarder.async_handle(request)
            handler = self._handler_by_route.get((request.method, request.path))
            if handler is None:
                return refuse(self._metrics, Failure(code=codes.UNKNOWN_PATH))
            return await handler(request)
        except (ConnectionError, web.HTTPException):
            raise
        except Exception as error:
            self._log_exception(error)
            failure = Failure(
                code=codes.INTERNAL, detail=type(error).__name__, ran=Ran.UNKNOWN
            )
            return refuse(self._metrics, failure)

    def _log_exception(self, error: Exception) -> None:
        """Log an exception, at most one per interval; all are counted as refusals."""
        now = asyncio.get_running_loop().time()
        if now < self._next_exception_log_at:
            return
        self._next_exception_log_at = now + EXCEPTION_LOG_INTERVAL_S
        trace = traceback.format_exception(error)
        _LOGGER.error(
            "unhandled exception in a request handler",
            error=repr(error),
            trace=trace,
        )
