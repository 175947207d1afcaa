"""Pool of persistent HTTP connections to targets."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from aiohttp import ClientError, ClientPayloadError
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from mothshunt.core.clock import Clock
from mothshunt.core.types import RequestId, TargetId
from mothshunt.forwarding import const
from mothshunt.helpers import transports
from mothshunt.helpers.bounded_answers import BoundedResponseHandler
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.model import RoutableTarget

#: Exceptions of a connection that breaks or carries an invalid response.
BROKEN_ERRORS = (ClientError, OSError, HttpProcessingError, EOFError)
_TIMEOUT_PREFIX = "timeout="
_LOGGER = get_logger("forwarding")


class NotConnectedError(Exception):
    """Failure to open a connection; no byte of the request was sent."""


class TargetConnection(BoundedResponseHandler):
    """HTTP connection to one target, for one request at a time.

    :param loop: Event loop of the connection.
    :param on_received: Called when bytes of the target have been received.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_received: Callable[[], None]
    ) -> None:
        super().__init__(loop)
        self._on_received = on_received
        self.request_count = 0
        #: Whether a non-idempotent request may be sent on it.
        self.is_trusted = True
        #: Ids of the requests that the target refused on it; ``None`` for those
        #: without an id.
        self.refused_ids: set[RequestId | None] = set()
        self._is_in_use = False
        self.idle_since = 0.0
        self.idle_limit_s = const.DEFAULT_IDLE_S

    def prepare_response(self, *, skip_body: bool, max_field_bytes: int) -> None:
        """Prepare the parser for the response to the next request.

        :param skip_body: Whether the response has no body, whatever its head says.
        :param max_field_bytes: Maximum length of a header field of the response.
        """
        self.request_count += 1
        self._is_in_use = True
        self.set_response_params(
            skip_payload=skip_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=max_field_bytes,
            max_field_size=max_field_bytes,
        )

    def record_refusal(self, request_id: RequestId | None) -> None:
        """Record that the target refused a request on this connection.

        :param request_id: Id of the request; ``None`` if it has none.
        """
        self.refused_ids.add(request_id)
        if len(self.refused_ids) >= const.MAX_REFUSALS_PER_CONNECTION:
            self.force_close()

    def mark_idle(self, now: float) -> None:
        """Mark the connection as idle, after its response was read completely.

        :param now: The present time, in seconds.
        """
        self.idle_since = now
        self._is_in_use = False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or end the connection if no request is in progress.

        :param data: The bytes.
        """
        self._on_received()
        if not self._is_in_use:
            self.break_off("target sent bytes while no request was in progress")
            return
        super().data_received(data)

    def read_keep_alive(self, message: RawResponseMessage) -> None:
        """Read from a ``Keep-Alive`` header how long the target keeps idle connections.

        :param message: Head of a response.
        """
        for part in message.headers.get("Keep-Alive", "").split(","):
            value = part.strip().removeprefix(_TIMEOUT_PREFIX)
            if part.strip().startswith(_TIMEOUT_PREFIX) and value.isdigit():
                self.idle_limit_s = int(value) * const.IDLE_REUSE_FRACTION

    def is_reusable(self, now: float) -> bool:
        """Whether another request may be sent on this connection.

        :param now: The present time, in seconds.
        """
        is_fresh = now - self.idle_since < self.idle_limit_s
        return self.is_connected() and not self.should_close and is_fresh

    def write(self, data: bytes) -> None:
        """Write bytes to the connection without waiting.

        :param data: The bytes.
        :raises ConnectionResetError: The connection is closed.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("connection to the target is closed")
        transport.write(data)

    async def async_flush(self) -> None:
        """Wait until the write buffer has room for more bytes."""
        await self._drain_helper()

    def reset(self) -> None:
        """Reset the connection, so that no further byte of a request is sent.

        After an orderly close the kernel would go on retransmitting bytes that the
        target's host has not acknowledged, and they might arrive seconds later.
        """
        if self.transport is not None:
            transports.reset(self.transport)
        self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that is still being read if the connection was reset.

        aiohttp treats a response without a length as complete when the connection ends,
        even if it was reset.

        :param exc: Error of the connection; ``None`` if the target closed it.
        """
        payload: StreamReader | None = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                ClientPayloadError("connection reset during the response")
            )
        super().connection_lost(exc)


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """Connection pool of one entry instance, by target.

    :param clock: Source of the present time.
    :param metrics: Counters of the process.
    :param last_received_at: Time at which bytes of any target were last received, in
        seconds.
    """

    clock: Clock
    metrics: Metrics
    last_received_at: float = float("-inf")
    _idle_by_target: dict[TargetId, list[TargetConnection]] = field(
        default_factory=dict
    )
    #: Open connections, idle or in use; each sweep removes the closed ones.
    _open_by_target: dict[TargetId, set[TargetConnection]] = field(default_factory=dict)
    _preconnect_by_target: dict[TargetId, asyncio.Task[None]] = field(
        default_factory=dict
    )
    _discard_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _sweep_task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start closing connections whose idle time has passed."""
        self._sweep_task = start_background("target-connections", self._async_sweep)

    async def async_stop(self) -> None:
        """Close all idle connections and cancel background tasks."""
        await async_cancel(self._sweep_task)
        for task in (*self._preconnect_by_target.values(), *self._discard_tasks):
            await async_cancel(task)
        for target in list(self._idle_by_target):
            self.close_idle(target)

    async def async_acquire(
        self,
        target: RoutableTarget,
        request_id: RequestId | None = None,
        *,
        needs_trusted: bool = False,
    ) -> TargetConnection:
        """Return an idle connection for one request, or open one.

        Connections on which the target refused this request before are passed over: if
        it sends that refusal again, nothing tells it from the response to the retry.

        :param target: The target.
        :param request_id: Id of the request; ``None`` if it has none.
        :param needs_trusted: Whether to pass over connections that may have stopped to
            carry anything; see ``distrust_open``.
        :raises NotConnectedError: No connection could be opened.
        """
        idle = self._idle_by_target.get(target.id, [])
        now = self.clock.monotonic()
        for connection in reversed(idle.copy()):
            if request_id in connection.refused_ids:
                continue
            idle.remove(connection)
            is_usable = connection.is_trusted or not needs_trusted
            if is_usable and connection.is_reusable(now):
                return connection
            connection.close()
        return await self._async_open(target)

    async def _async_open(self, target: RoutableTarget) -> TargetConnection:
        loop = asyncio.get_running_loop()
        self.metrics.count(const.METRIC_CONNECTIONS, service=target.service)
        try:
            async with asyncio.timeout(const.CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(loop, self._record_received),
                    target.host,
                    target.port,
                )
        except (OSError, TimeoutError) as error:
            raise NotConnectedError(type(error).__name__) from error
        self._open_by_target.setdefault(target.id, set()).add(connection)
        return connection

    def _record_received(self) -> None:
        self.last_received_at = self.clock.monotonic()

    def distrust_open(self) -> None:
        """Send no non-idempotent request on open connections before a response.

        Connections that survived a partition may not carry anything any more.
        """
        for connections in self._open_by_target.values():
            for connection in connections:
                connection.is_trusted = False

    async def async_can_connect(self, target: RoutableTarget) -> bool:
        """Open a connection to a target and close it; return whether that worked.

        :param target: The target.
        """
        try:
            connection = await self._async_open(target)
        except NotConnectedError:
            return False
        connection.close()
        return True

    def preconnect(self, targets: Iterable[RoutableTarget]) -> None:
        """Open a connection, in the background, to each target that has none.

        :param targets: Targets that requests are likely to be sent to soon.
        """
        now = self.clock.monotonic()
        for target in targets:
            if len(self._preconnect_by_target) >= const.MAX_CONCURRENT_PRECONNECTS:
                return
            if target.id in self._preconnect_by_target or self._has_open_connection(
                target.id, now
            ):
                continue
            self.metrics.count(const.METRIC_CONNECTIONS_AHEAD, service=target.service)
            task = asyncio.create_task(self._async_preconnect(target))
            self._preconnect_by_target[target.id] = task

    def _has_open_connection(self, target: TargetId, now: float) -> bool:
        """Whether a connection to the target is in use, or idle and reusable."""
        idle = self._idle_by_target.get(target, ())
        return any(
            connection.is_reusable(now)
            if connection in idle
            else connection.is_connected()
            for connection in self._open_by_target.get(target, ())
        )

    async def _async_preconnect(self, target: RoutableTarget) -> None:
        try:
            self.release(target, await self._async_open(target))
        except NotConnectedError as error:
            # Not retried here: the next request opens a connection, and logs a failure.
            _LOGGER.warning(
                "could not open a connection ahead of requests",
                target=target.id,
                error=str(error),
            )
        finally:
            del self._preconnect_by_target[target.id]

    def release(self, target: RoutableTarget, connection: TargetConnection) -> None:
        """Keep a connection whose response was read completely, or close it.

        :param target: Target of the connection.
        :param connection: The connection.
        """
        connection.mark_idle(self.clock.monotonic())
        if connection.is_reusable(connection.idle_since):
            self._idle_by_target.setdefault(target.id, []).append(connection)
        else:
            connection.close()

    def discard_body(
        self, target: RoutableTarget, connection: TargetConnection, body: StreamReader
    ) -> None:
        """Read and discard the rest of a response, then keep the connection for reuse.

        This runs in the background. The connection is closed if the rest is long or
        takes too long.

        :param target: Target of the connection.
        :param connection: The connection.
        :param body: Unread rest of the response's body.
        """
        if body.is_eof():
            self.release(target, connection)
            return
        discarding = asyncio.create_task(self._async_discard(target, connection, body))
        self._discard_tasks.add(discarding)
        discarding.add_done_callback(self._discard_tasks.discard)

    async def _async_discard(
        self, target: RoutableTarget, connection: TargetConnection, body: StreamReader
    ) -> None:
        remaining_bytes = const.MAX_DISCARDED_BYTES
        is_complete = False
        try:
            async with asyncio.timeout(const.DISCARD_TIMEOUT_S):
                while remaining_bytes > 0 and not is_complete:
                    part = await body.readany()
                    remaining_bytes -= len(part)
                    is_complete = not part
        except (*BROKEN_ERRORS, TimeoutError):
            # Only the connection is lost: the response's head has settled the request.
            is_complete = False
        finally:
            self.metrics.count(
                const.METRIC_BODIES_DISCARDED, end="whole" if is_complete else "cut_off"
            )
            if is_complete:
                self.release(target, connection)
            else:
                connection.abort()

    def close_idle(self, target: TargetId) -> None:
        """Close the idle connections to a target.

        :param target: Id of the target.
        """
        for connection in self._idle_by_target.pop(target, []):
            connection.close()

    async def _async_sweep(self) -> None:
        while True:
            await asyncio.sleep(const.IDLE_SWEEP_INTERVAL_S)
            now = self.clock.monotonic()
            self._remove_closed_connections()
            for target, idle in list(self._idle_by_target.items()):
                kept = [c for c in idle if c.is_reusable(now)]
                for connection in set(idle) - set(kept):
                    connection.close()
                if kept:
                    self._idle_by_target[target] = kept
                else:
                    del self._idle_by_target[target]

    def _remove_closed_connections(self) -> None:
        for target, connections in list(self._open_by_target.items()):
            kept = {c for c in connections if c.is_connected()}
            if kept:
                self._open_by_target[target] = kept
            else:
                del self._open_by_target[target]
