"""A TCP proxy that injects faults between two processes.

It stands on asyncio streams alone. The ``faulty`` package was weighed first; it does
not carry what is needed here, because its middlewares

- see chunks without their connection, so that one open connection cannot go silent
  while others, or new ones, pass;
- never see the end of a stream: closing or resetting one side passes through a silent
  middleware, and tells the other side what a silent network would not;
- delay inside the reading loop, so that a delay also limits the throughput to one
  chunk per delay;
- have no say on accepting or dialling, which a cut needs.
"""

import asyncio
import contextlib
import math
from collections import deque
from dataclasses import dataclass
from enum import Enum

from testkit.ports import HOST

CHUNK_BYTES = 64 * 1024
#: Bytes on their way in one direction before the proxy stops reading, as a network
#: would by its windows.
MAX_HELD_BYTES = 4 * 1024 * 1024
#: The same on a link whose bandwidth is limited.
MAX_HELD_BYTES_ON_SLOW_LINK = 64 * 1024
#: Time that a chunk takes on a link of limited bandwidth, in seconds; short enough that
#: neither end takes the other for silent.
SLOW_LINK_CHUNK_S = 0.05


class Direction(Enum):
    """Which way bytes go through the proxy."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


BOTH = (Direction.TO_SERVER, Direction.TO_CLIENT)


@dataclass(slots=True)
class Bandwidth:
    """Bandwidth of a link, shared by all connections that pass it.

    :param bytes_per_s: Bytes that pass in a second.
    """

    bytes_per_s: float
    _is_free_at: float = 0.0

    async def async_pass(self, length: int) -> None:
        """Wait until bytes have passed, behind those of earlier calls.

        :param length: Number of bytes.
        """
        now = asyncio.get_running_loop().time()
        self._is_free_at = max(now, self._is_free_at) + length / self.bytes_per_s
        await asyncio.sleep(self._is_free_at - now)


@dataclass(slots=True)
class ProxyStats:
    """Count what went through a proxy."""

    connections: int = 0
    bytes_to_server: int = 0
    bytes_to_client: int = 0


class _Pipe:
    """Carry one direction of one connection."""

    def __init__(
        self,
        proxy: "FaultProxy",
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.direction = direction
        self.silent = False
        self.is_held = False
        self._proxy = proxy
        self._bandwidth = proxy.bandwidth(direction)
        self._reader = reader
        self._writer = writer
        self._held: deque[tuple[float, bytes]] = deque()
        self._held_bytes = 0
        self._changed = asyncio.Event()

    def wake(self) -> None:
        """Look at the state again."""
        self._changed.set()

    async def run(self) -> None:
        """Carry until both ends of this direction are closed."""
        reading = asyncio.create_task(self._read())
        try:
            await self._write()
        finally:
            reading.cancel()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        max_held_bytes, chunk_bytes = MAX_HELD_BYTES, CHUNK_BYTES
        if self._bandwidth is not None:
            max_held_bytes = MAX_HELD_BYTES_ON_SLOW_LINK
            chunk_bytes = math.ceil(self._bandwidth.bytes_per_s * SLOW_LINK_CHUNK_S)
        while True:
            while self._held_bytes > max_held_bytes or self.silent:
                await self._wait(None)
            try:
                chunk = await self._reader.read(chunk_bytes)
            except OSError:
                chunk = b""
            self._held_bytes += len(chunk)
            due = loop.time() + self._proxy.delay_s(self.direction)
            self._held.append((due, chunk))
            self.wake()
            if not chunk:
                return

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self.silent or self.is_held or not self._held:
                await self._wait(None)
                continue
            due, chunk = self._held[0]
            if due > loop.time():
                await self._wait(due - loop.time())
                continue
            self._held.popleft()
            self._held_bytes -= len(chunk)
            if not chunk:
                with contextlib.suppress(OSError, RuntimeError):
                    self._writer.write_eof()
                return
            if self._bandwidth is not None:
                await self._bandwidth.async_pass(len(chunk))
            self._proxy.count(self.direction, len(chunk))
            self._writer.write(chunk)
            await self._writer.drain()
            self.wake()

    async def _wait(self, timeout_s: float | None) -> None:
        self._changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()


class FaultProxy:
    """Forward TCP connections to one address, with faults on demand.

    :param host: IP number of the server.
    :param port: TCP port of the server.
    :param delay_to_server_s: Time on the way to the server, in seconds.
    :param delay_to_client_s: Time on the way back, in seconds.
    :param bandwidth_to_client: Bandwidth on the way back; ``None`` for no limit.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        delay_to_server_s: float = 0.0,
        delay_to_client_s: float = 0.0,
        bandwidth_to_client: Bandwidth | None = None,
    ) -> None:
        self._upstream = (host, port)
        self._bandwidth_to_client = bandwidth_to_client
        self._delay_s_by_direction = {
            Direction.TO_SERVER: delay_to_server_s,
            Direction.TO_CLIENT: delay_to_client_s,
        }
        self._pipes: set[_Pipe] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._cut: frozenset[Direction] = frozenset()
        self._may_dial = asyncio.Event()
        self._may_dial.set()
        self.stats = ProxyStats()

    async def async_start(self, port: int = 0) -> int:
        """Listen on loopback.

        :param port: Port to listen on; 0 takes a free one.
        :return: The port.
        """
        self._server = await asyncio.start_server(self._accept, HOST, port)
        return int(self._server.sockets[0].getsockname()[1])

    async def async_stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_open()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def stop_listening(self) -> None:
        """Refuse new connections, until ``async_start``; open ones go on."""
        if self._server is not None:
            self._server.close()

    def delay_s(self, direction: Direction) -> float:
        """Return the time on the way in a direction, in seconds."""
        return self._delay_s_by_direction[direction]

    def bandwidth(self, direction: Direction) -> Bandwidth | None:
        """Return the bandwidth in a direction; ``None`` for no limit."""
        return self._bandwidth_to_client if direction is Direction.TO_CLIENT else None

    def set_delay(
        self, delay_s: float, directions: tuple[Direction, ...] = BOTH
    ) -> None:
        """Change the time on the way, for what is read from now on.

        :param delay_s: The time, in seconds.
        :param directions: Where it applies.
        """
        for direction in directions:
            self._delay_s_by_direction[direction] = delay_s

    def silence_open(self, directions: tuple[Direction, ...] = BOTH) -> int:
        """Make the connections that are open now silent for good; new ones pass.

        :param directions: Where nothing passes any more, not even the end of a stream.
        :return: How many directions of connections were silenced.
        """
        pipes = [pipe for pipe in self._pipes if pipe.direction in directions]
        for pipe in pipes:
            pipe.silent = True
            pipe.wake()
        return len(pipes)

    def cut(self, directions: tuple[Direction, ...] = BOTH) -> None:
        """Let nothing pass, on open connections and new ones, until ``heal``.

        What was sent meanwhile is kept and goes on after ``heal``, as TCP's
        retransmission would have it.

        :param directions: Where nothing passes.
        """
        self._cut = frozenset(directions)
        # Nothing answers a dial when nothing reaches the server.
        if Direction.TO_SERVER in self._cut:
            self._may_dial.clear()
        self._hold()

    def heal(self) -> None:
        """End a cut."""
        self._cut = frozenset()
        self._may_dial.set()
        self._hold()

    def reset_open(self) -> None:
        """Break all open connections, so that both ends notice."""
        for task in list(self._tasks):
            task.cancel()

    def count(self, direction: Direction, length: int) -> None:
        """Add to the statistics.

        :param direction: Which way.
        :param length: Bytes that were passed on.
        """
        if direction is Direction.TO_SERVER:
            self.stats.bytes_to_server += length
        else:
            self.stats.bytes_to_client += length

    @property
    def open_connections(self) -> int:
        """Return how many connections are open."""
        return len(self._tasks)

    def _hold(self) -> None:
        for pipe in self._pipes:
            pipe.is_held = pipe.direction in self._cut
            pipe.wake()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.stats.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        writers = [writer]
        pipes: tuple[_Pipe, ...] = ()
        try:
            await self._may_dial.wait()
            server_reader, server_writer = await asyncio.open_connection(
                *self._upstream
            )
            writers.append(server_writer)
            pipes = (
                _Pipe(self, Direction.TO_SERVER, reader, server_writer),
                _Pipe(self, Direction.TO_CLIENT, server_reader, writer),
            )
            self._pipes.update(pipes)
            self._hold()
            async with asyncio.TaskGroup() as group:
                for pipe in pipes:
                    group.create_task(pipe.run())
            for side in writers:
                side.close()
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            # What ended badly ends badly on both sides, with a reset.
            for side in writers:
                side.transport.abort()
        finally:
            self._pipes.difference_update(pipes)
            self._tasks.discard(task)
