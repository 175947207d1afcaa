"""HTTP server for callers of routed requests."""

import asyncio
import contextlib
import traceback
from collections.abc import Callable
from functools import partial

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.codes import Failure
from mothshunt.core.types import Ran, RequestId
from mothshunt.dispatch import codes as dispatch_codes
from mothshunt.dispatch.const import BACKLOG, EXCEPTION_LOG_INTERVAL_S, MAX_HEADERS
from mothshunt.forwarding import const
from mothshunt.forwarding.forwarder import RoutedForwarder
from mothshunt.forwarding.log_events import Left, UnreadDisconnected
from mothshunt.forwarding.pipelining import (
    EarlyRequestCount,
    PipeliningProtocol,
    async_wait_for_turn,
    early_response,
    has_early_requests,
)
from mothshunt.forwarding.refusal import RefusalBuilder
from mothshunt.forwarding.unread_limit import UnreadLimit
from mothshunt.helpers import log, transports
from mothshunt.helpers.http_protocol import ProtocolFactory, ProtocolOptions
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.metrics.registry import Metrics

_LOGGER = get_logger("forwarding")


class RoutedServer:
    """HTTP server for callers on one address.

    :param host: IP address to listen on.
    :param port: TCP port; 0 selects a free one.
    :param forwarder: Handles requests.
    :param refusal_builder: Builds the responses to refused requests.
    :param configuration: Source of the request limits in force.
    :param metrics: Metrics of the process.
    :param max_unread_bytes: Bytes of responses that callers may leave unread, in all.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        forwarder: RoutedForwarder,
        refusal_builder: RefusalBuilder,
        configuration: ConfigurationSource,
        metrics: Metrics,
        max_unread_bytes: int = const.MAX_UNREAD_BYTES,
    ) -> None:
        self._host = host
        self._port = port
        self._forwarder = forwarder
        self._refusal_builder = refusal_builder
        self._configuration = configuration
        self._metrics = metrics
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._is_leaving = False
        self._next_fault_log_at = 0.0
        self._protocols: ProtocolFactory | None = None
        self._server: asyncio.Server | None = None
        self._unread_limit = UnreadLimit[asyncio.Transport](
            max_bytes=max_unread_bytes, stall_s=const.UNREAD_STALL_S
        )
        self._unread_task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._port

    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight

    async def async_start(self) -> None:
        """Start listening for callers."""
        self._metrics.gauge(const.METRIC_IN_FLIGHT, self.in_flight)
        self._metrics.gauge(const.METRIC_UNREAD_BYTES, self._unread_bytes)
        self._protocols = ProtocolFactory(
            self._async_handle,
            self._refuse_malformed,
            self._options,
            partial(PipeliningProtocol, policy=self, early_count=EarlyRequestCount()),
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocols, self._host, self._port, backlog=BACKLOG
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self._unread_task = start_background("unread", self._async_limit_unread)

    def _unread_bytes(self) -> float:
        if self._protocols is None:
            return 0.0
        return sum(self._protocols.unread_bytes_by_transport().values())

    async def _async_limit_unread(self) -> None:
        """Disconnect callers that read nothing while too many bytes are unread."""
        while self._protocols is not None:
            unread_by_transport = self._protocols.unread_bytes_by_transport()
            now = asyncio.get_running_loop().time()
            disconnected = self._unread_limit.check(unread_by_transport, now)
            for transport in disconnected:
                transports.reset(transport)
            if disconnected:
                self._metrics.count(const.METRIC_UNREAD_DISCONNECTS, len(disconnected))
                log.write(
                    UnreadDisconnected(
                        callers=len(disconnected),
                        unread_bytes=sum(unread_by_transport.values()),
                    )
                )
            await asyncio.sleep(const.UNREAD_CHECK_INTERVAL_S)

    async def async_leave(self, leave_s: float, now: Callable[[], float]) -> None:
        """Go on serving for a limited time, then wait for requests in flight.

        Requests that could last longer than that are refused, so that none is cut off.
        Each response closes its connection. New connections are accepted for a part of
        the time, as callers may have looked up this instance shortly before.

        :param leave_s: Time that the instance has for leaving, in seconds.
        :param now: Returns the present time, in seconds.
        """
        self._is_leaving = True
        ends_at = now() + leave_s * const.FINISH_FRACTION
        self._forwarder.set_end(ends_at)
        await asyncio.sleep(leave_s * const.LISTEN_FRACTION)
        if self._server is not None:
            self._server.close()
        await self.async_finish(ends_at - now())
        if self._protocols is not None:
            await self._protocols.async_send_rest(max(0.0, ends_at - now()))
            await self.async_finish(ends_at - now())
        log.write(Left(unfinished=self._in_flight))

    async def async_finish(self, longest_s: float) -> None:
        """Wait until no request is in flight.

        :param longest_s: Maximum wait, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, longest_s)):
                await self._idle.wait()

    async def async_stop(self) -> None:
        """Stop listening and close all connections; may be called twice."""
        await async_cancel(self._unread_task)
        if self._server is not None:
            self._server.close()
        protocols, self._protocols = self._protocols, None
        if protocols is None:
            return
        protocols.pre_shutdown()
        await protocols.shutdown(0.0)

    def _options(self) -> ProtocolOptions:
        limits = self._configuration.current().routing.limits
        if limits is None:
            return ProtocolOptions(
                idle_timeout_s=const.DEFAULT_CALLER_IDLE_S,
                max_field_bytes=const.DEFAULT_MAX_FIELD_BYTES,
                max_headers=MAX_HEADERS,
                is_proxy=True,
            )
        return ProtocolOptions(
            idle_timeout_s=limits.idle_timeout_s,
            max_field_bytes=limits.max_header_bytes,
            max_headers=MAX_HEADERS,
            max_body_bytes=limits.max_body_bytes,
            is_proxy=True,
        )

    def _refuse_malformed(self, detail: str) -> web.Response:
        failure = Failure(code=dispatch_codes.MALFORMED_HTTP, detail=detail)
        self._metrics.count(const.METRIC_REQUESTS, outcome=failure.code.name)
        return self._refusal_builder.response(failure, RequestId(""))

    async def _async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        assert isinstance(request, web.Request)
        self._begin_request()
        try:
            early = early_response(request)
            if early is None:
                response = await self._async_respond_or_fail(request)
            else:
                response = await early
            if self._is_leaving and not has_early_requests(request):
                # A request that has begun behind this one is answered first.
                response.force_close()
            await response.prepare(request)
            await response.write_eof()
            return response
        except asyncio.CancelledError:
            self._metrics.count(const.METRIC_REQUESTS, outcome="caller_left")
            raise
        finally:
            self._end_request()

    def may_begin_early(self, message: RawRequestMessage) -> bool:
        """Whether a pipelined request may begin early; see ``PipelinePolicy``.

        :param message: Head of the request.
        """
        return not self._is_leaving and self._forwarder.is_idempotent(message)

    async def async_respond(self, request: web.Request) -> web.StreamResponse:
        """Return the response to a request that begins before its turn.

        :param request: The request.
        """
        self._begin_request()
        try:
            response = await self._async_respond_or_fail(request)
            await async_wait_for_turn(request)
            # The request in its turn counts as in flight before this one ends.
            await asyncio.sleep(0)
            return response
        except asyncio.CancelledError:
            self._metrics.count(const.METRIC_REQUESTS, outcome="caller_left")
            raise
        finally:
            self._end_request()

    def _begin_request(self) -> None:
        self._in_flight += 1
        self._idle.clear()

    def _end_request(self) -> None:
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()

    async def _async_respond_or_fail(self, request: web.Request) -> web.StreamResponse:
        try:
            return await self._forwarder.async_handle(request)
        except (ConnectionError, web.HTTPException):
            raise
        except Exception as error:
            self._log_fault(error)
            failure = Failure(
                code=dispatch_codes.INTERNAL,
                detail=type(error).__name__,
                ran=Ran.UNKNOWN,
            )
            return self._refusal_builder.response(failure, RequestId(""))

    def _log_fault(self, error: Exception) -> None:
        """Log an unexpected exception, at most one per EXCEPTION_LOG_INTERVAL_S.

        The others are not logged. Unlike refusals, the error responses are not counted
        in METRIC_REQUESTS under their result code.
        """
        now = asyncio.get_running_loop().time()
        if now < self._next_fault_log_at:
            return
        self._next_fault_log_at = now + EXCEPTION_LOG_INTERVAL_S
        trace = traceback.format_exception(error)
        _LOGGER.error(
            "unhandled exception in a request handler", error=repr(error), trace=trace
        )
