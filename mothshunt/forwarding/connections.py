"""Connections to targets, kept open for further requests."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

from aiohttp import ClientError, ClientPayloadError
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from mothshunt.core.clock import Clock
from mothshunt.core.types import TargetId
from mothshunt.forwarding import const
from mothshunt.helpers.bounded_answers import BoundedResponseHandler
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.model import RoutableTarget

#: What a connection that breaks, or that carries no valid answer, raises.
BROKEN_ERRORS = (ClientError, OSError, HttpProcessingError, EOFError)
_TIMEOUT_PREFIX = "timeout="
#: Lingering for no time: a close discards what was not sent, and resets the connection.
LINGER_NONE = struct.pack("ii", 1, 0)
_LOGGER = get_logger("forwarding")


class NotConnectedError(Exception):
    """Tell that no connection was opened, so that not one byte was handed over."""


class TargetConnection(BoundedResponseHandler):
    """Carry requests to one target, one after the other.

    :param loop: The event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.requests = 0
        self._is_in_use = False
        self.idle_since = 0.0
        self.idle_limit_s = const.DEFAULT_IDLE_S

    def begin(self, *, skip_body: bool, max_field_bytes: int) -> None:
        """Make ready to read the answer to one more request.

        :param skip_body: Whether the answer has no body, whatever its head says.
        :param max_field_bytes: Longest header field of the answer.
        """
        self.requests += 1
        self._is_in_use = True
        self.set_response_params(
            skip_payload=skip_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=max_field_bytes,
            max_field_size=max_field_bytes,
        )

    def rest(self, now: float) -> None:
        """Note that the answer was read to its end.

        :param now: The present time, in seconds.
        """
        self.idle_since = now
        self._is_in_use = False

    def data_received(self, data: bytes) -> None:
        """Take bytes of the target; without a request they belong to none.

        :param data: The bytes.
        """
        if not self._is_in_use:
            self.break_off("the target sent bytes without a request")
            return
        super().data_received(data)

    def note_idle_limit(self, message: RawResponseMessage) -> None:
        """Learn how long the target keeps idle connections.

        :param message: Head of an answer.
        """
        for part in message.headers.get("Keep-Alive", "").split(","):
            value = part.strip().removeprefix(_TIMEOUT_PREFIX)
            if part.strip().startswith(_TIMEOUT_PREFIX) and value.isdigit():
                self.idle_limit_s = int(value) * const.IDLE_PART

    def is_reusable(self, now: float) -> bool:
        """Tell whether one more request may be sent.

        :param now: The present time, in seconds.
        """
        is_fresh = now - self.idle_since < self.idle_limit_s
        return self.is_connected() and not self.should_close and is_fresh

    def write(self, data: bytes) -> None:
        """Hand bytes to the connection.

        :param data: The bytes.
        :raises ConnectionResetError: The connection is closed.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("the connection is closed")
        transport.write(data)

    async def async_flush(self) -> None:
        """Wait until the connection takes more bytes."""
        await self._drain_helper()

    def reset(self) -> None:
        """Close the connection, so that nothing of a request arrives any more.

        Bytes that the target's machine has not taken yet would else be sent again and
        again, also after a close, and might arrive seconds later.
        """
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                # The connection may have ended by itself meanwhile.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note the end of the connection.

        The library takes an answer without a length as whole when its connection ends,
        also when it was reset on the way.

        :param exc: Why it ended; ``None`` when the target closed it.
        """
        payload: StreamReader | None = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError("the connection was reset"))
        super().connection_lost(exc)


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """Keep idle connections by target.

    :param clock: Source of the present time.
    :param metrics: Counters of the process.
    """

    clock: Clock
    metrics: Metrics
    _idle_by_target: dict[TargetId, list[TargetConnection]] = field(
        default_factory=dict
    )
    #: All connections that are open, idle or not; closed ones are dropped each sweep.
    _open_by_target: dict[TargetId, set[TargetConnection]] = field(default_factory=dict)
    _opening_by_target: dict[TargetId, asyncio.Task[None]] = field(default_factory=dict)
    _discarding: set[asyncio.Task[None]] = field(default_factory=set)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Begin to close connections that were idle for long."""
        self._task = start_background("target-connections", self._async_sweep)

    async def async_stop(self) -> None:
        """Close all idle connections."""
        await async_cancel(self._task)
        for task in (*self._opening_by_target.values(), *self._discarding):
            await async_cancel(task)
        for target in list(self._idle_by_target):
            self.drop(target)

    async def async_take(self, target: RoutableTarget) -> TargetConnection:
        """Return a connection for one request.

        :param target: The target.
        :raises NotConnectedError: No connection could be opened.
        """
        idle = self._idle_by_target.get(target.id, [])
        now = self.clock.monotonic()
        while idle:
            connection = idle.pop()
            if connection.is_reusable(now):
                return connection
            connection.close()
        return await self._async_open(target)

    async def _async_open(self, target: RoutableTarget) -> TargetConnection:
        loop = asyncio.get_running_loop()
        self.metrics.count(const.METRIC_CONNECTIONS, service=target.service)
        try:
            async with asyncio.timeout(const.CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(loop), target.host, target.port
                )
        except (OSError, TimeoutError) as error:
            raise NotConnectedError(type(error).__name__) from error
        self._open_by_target.setdefault(target.id, set()).add(connection)
        return connection

    def keep_ready(self, targets: Iterable[RoutableTarget]) -> None:
        """Open a connection to each of these targets that none leads to.

        :param targets: The targets.
        """
        now = self.clock.monotonic()
        for target in targets:
            if len(self._opening_by_target) >= const.MAX_OPENING_AHEAD:
                return
            if target.id in self._opening_by_target or self._has_open(target.id, now):
                continue
            self.metrics.count(const.METRIC_CONNECTIONS_AHEAD, service=target.service)
            opening = asyncio.create_task(self._async_open_ahead(target))
            self._opening_by_target[target.id] = opening

    def _has_open(self, target: TargetId, now: float) -> bool:
        """Tell whether a connection is in use, or idle and good for another request."""
        idle = self._idle_by_target.get(target, ())
        return any(
            connection.is_reusable(now)
            if connection in idle
            else connection.is_connected()
            for connection in self._open_by_target.get(target, ())
        )

    async def _async_open_ahead(self, target: RoutableTarget) -> None:
        try:
            self.give_back(target, await self._async_open(target))
        except NotConnectedError as error:
            # The next request finds out by itself, with a line of its own.
            _LOGGER.warning(
                "a connection could not be opened ahead",
                target=target.id,
                error=str(error),
            )
        finally:
            del self._opening_by_target[target.id]

    def give_back(self, target: RoutableTarget, connection: TargetConnection) -> None:
        """Keep a connection whose answer was read to its end.

        :param target: The target.
        :param connection: The connection.
        """
        connection.rest(self.clock.monotonic())
        if connection.is_reusable(connection.idle_since):
            self._idle_by_target.setdefault(target.id, []).append(connection)
        else:
            connection.close()

    def discard_body(
        self, target: RoutableTarget, connection: TargetConnection, body: StreamReader
    ) -> None:
        """Keep a connection once the rest of an answer that nobody wants has come.

        One whose rest is long, or late, is closed. Nobody waits for it.

        :param target: The target.
        :param connection: The connection.
        :param body: What is left of the answer.
        """
        if body.is_eof():
            self.give_back(target, connection)
            return
        discarding = asyncio.create_task(self._async_discard(target, connection, body))
        self._discarding.add(discarding)
        discarding.add_done_callback(self._discarding.discard)

    async def _async_discard(
        self, target: RoutableTarget, connection: TargetConnection, body: StreamReader
    ) -> None:
        left = const.MAX_DISCARDED_BYTES
        is_whole = False
        try:
            async with asyncio.timeout(const.DISCARD_TIMEOUT_S):
                while left > 0 and not is_whole:
                    part = await body.readany()
                    left -= len(part)
                    is_whole = not part
        except (*BROKEN_ERRORS, TimeoutError):
            # Only the connection is lost by it; the request was decided by the head.
            is_whole = False
        finally:
            self.metrics.count(
                const.METRIC_BODIES_DISCARDED, end="whole" if is_whole else "cut_off"
            )
            if is_whole:
                self.give_back(target, connection)
            else:
                connection.abort()

    def drop(self, target: TargetId) -> None:
        """Close the idle connections to a target.

        :param target: Name of the target.
        """
        for connection in self._idle_by_target.pop(target, []):
            connection.close()

    async def _async_sweep(self) -> None:
        while True:
            await asyncio.sleep(const.SWEEP_INTERVAL_S)
            now = self.clock.monotonic()
            self._forget_closed()
            for target, idle in list(self._idle_by_target.items()):
                kept = [c for c in idle if c.is_reusable(now)]
                for connection in set(idle) - set(kept):
                    connection.close()
                if kept:
                    self._idle_by_target[target] = kept
                else:
                    del self._idle_by_target[target]

    def _forget_closed(self) -> None:
        for target, connections in list(self._open_by_target.items()):
            kept = {c for c in connections if c.is_connected()}
            if kept:
                self._open_by_target[target] = kept
            else:
                del self._open_by_target[target]
