"""Authenticated stream to one peer."""

import asyncio
import contextlib
import math
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok, Result

from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure, MothshuntError
from mothshunt.core.types import InstanceId
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.peer import codes, const, frame
from mothshunt.helpers.peer.frame import EncodedFrame, Frame, FrameKind
from mothshunt.helpers.peer.outbox import Outbox
from mothshunt.util import wire

_LOGGER = get_logger("peer")


@dataclass(slots=True)
class Traffic:
    """Bytes and frames carried by all streams of a process.

    :param bytes_sent: Bytes written to sockets.
    :param bytes_received: Bytes of frames received, complete or not.
    :param frames_sent: Frames written to sockets.
    :param frames_received: Complete frames received.
    :param posted_bytes_by_kind: Bytes queued for peers, by kind of message.
    """

    bytes_sent: int = 0
    bytes_received: int = 0
    frames_sent: int = 0
    frames_received: int = 0
    posted_bytes_by_kind: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class PeerLink:
    """Stream to one peer that sends and receives frames.

    :param peer: Authenticated name of the peer.
    :param reader: Incoming half of the stream.
    :param writer: Outgoing half of the stream.
    :param clock: Source of the current time.
    :param traffic: Traffic counters of the process.
    :param deliver: Called with each message or request that arrives.
    :param outbox: Frames that wait to be sent.
    :param closed: Whether the stream is closed.
    :param accepts_compressed: Whether the peer announced to accept compressed frames.
    """

    peer: InstanceId
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    clock: Clock
    traffic: Traffic
    deliver: Callable[["PeerLink", Frame], None]
    outbox: Outbox
    closed: bool = False
    accepts_compressed: bool = False
    _partial_bytes: int = 0
    _waiter_by_correlation: dict[int, asyncio.Future[Any]] = field(default_factory=dict)
    _last_correlation: int = 0
    _received_at: float = math.inf
    _sent_at: float = math.inf
    _silence_failure: Failure | None = None

    def post(self, item: Frame) -> bool:
        """Queue a frame without waiting.

        :param item: The frame.
        :return: ``False`` when the stream is closed or its queue is full.
        """
        return self.post_encoded(frame.encode(item), item.message)

    def post_encoded(self, encoded: EncodedFrame, message: object) -> bool:
        """Queue an encoded frame without waiting.

        :param encoded: What ``frame.encode`` returned.
        :param message: Message of the frame; ``None`` in a heartbeat.
        :return: ``False`` when the stream is closed, its queue is full or the frame is
            larger than the peer accepts.
        """
        if self.closed:
            return False
        size = len(encoded.data(accepts_compressed=self.accepts_compressed))
        if size - frame.LENGTH_BYTES > const.MAX_FRAME_BYTES:
            detail = f"{size} bytes for {self.peer}"
            failure = Failure(code=codes.FRAME_TOO_LARGE, detail=detail)
            _LOGGER.failure("a message can't be sent", failure)
            return False
        if message is not None:
            kind = wire.kind_of(message)
            self.traffic.posted_bytes_by_kind[kind] += encoded.size
        return self.outbox.put(encoded)

    def pending_bytes(self) -> int:
        """Return the bytes that wait in the queue or in the buffer of the socket."""
        return self.outbox.waiting_bytes + self.writer.transport.get_write_buffer_size()

    async def async_request(
        self, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a request and wait for its answer.

        :param message: A registered message.
        :param timeout_s: Seconds to wait.
        :return: The answer, or a failure with code 1105 or 1106.
        """
        self._last_correlation += 1
        correlation = self._last_correlation
        waiter: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiter_by_correlation[correlation] = waiter
        try:
            if not self.post(Frame(FrameKind.REQUEST, correlation, message)):
                return Error(Failure(code=codes.NOT_CONNECTED, detail=self.peer))
            async with asyncio.timeout(timeout_s):
                return Ok(await waiter)
        except TimeoutError:
            return Error(Failure(code=codes.NO_ANSWER, detail=self.peer))
        except ConnectionError:
            detail = f"the stream to {self.peer} closed"
            return Error(Failure(code=codes.NO_ANSWER, detail=detail))
        finally:
            del self._waiter_by_correlation[correlation]

    async def async_run(self) -> Failure | None:
        """Send and receive frames until the stream ends.

        :return: Why this instance closed it, or ``None`` when the peer closed it.
        """
        self._received_at = self._sent_at = self.clock.monotonic()
        tasks = [
            asyncio.create_task(self._async_receive()),
            asyncio.create_task(self._async_send()),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            failures = [t.result() for t in done if not t.exception()]
            return self._silence_failure or next(iter(failures), None)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.close()

    def watch(self, now: float) -> None:
        """Send a heartbeat when one is due, and close the stream of a silent peer.

        :param now: Monotonic time, in seconds.
        """
        if now - self._received_at > const.SILENCE_TIMEOUT_S:
            detail = f"{self.peer}: {self._partial_bytes} bytes of an incomplete frame"
            self._silence_failure = Failure(code=codes.PEER_SILENT, detail=detail)
            self.close()
        elif now - self._sent_at >= const.HEARTBEAT_INTERVAL_S:
            self.post(frame.HEARTBEAT)

    def close(self) -> None:
        """Close the socket and fail the requests that wait for an answer."""
        if self.closed:
            return
        self.closed = True
        for waiter in self._waiter_by_correlation.values():
            if not waiter.done():
                waiter.set_exception(ConnectionError("stream closed"))
        self.outbox.clear()
        # Not close(), which first sends what is still buffered: a silent peer would
        # never take it, and the socket would stay open.
        self.writer.transport.abort()

    async def _async_receive(self) -> Failure | None:
        try:
            while True:
                data = await frame.async_read(self.reader, self._count_received)
                self._partial_bytes = 0
                self._handle_frame(frame.decode(data))
        except (OSError, asyncio.IncompleteReadError):
            return None
        except MothshuntError as error:
            return error.failure
        except Exception as error:
            # The stream is closed for this reason and dialled again.
            return Failure(code=codes.FRAME_MALFORMED, detail=repr(error)[:120])

    def _count_received(self, count: int) -> None:
        # Part of a frame is enough: a large one takes seconds on a slow link.
        self._received_at = self.clock.monotonic()
        self.traffic.bytes_received += count
        self._partial_bytes += count

    def _handle_frame(self, item: Frame) -> None:
        self.traffic.frames_received += 1
        if item.kind is FrameKind.HEARTBEAT:
            self.accepts_compressed |= item.correlation == frame.ACCEPTS_COMPRESSED
            return
        if item.kind is FrameKind.ANSWER:
            waiter = self._waiter_by_correlation.get(item.correlation)
            if waiter is not None and not waiter.done():
                waiter.set_result(item.message)
            return
        self.deliver(self, item)

    async def _async_send(self) -> Failure | None:
        transport = self.writer.transport
        transport.set_write_buffer_limits(high=const.WRITE_BYTES)
        with contextlib.suppress(OSError):
            while True:
                for part in self._parts(await self.outbox.async_take()):
                    self.writer.write(part)
                    self.traffic.bytes_sent += len(part)
                    self._sent_at = self.clock.monotonic()
                    await self.writer.drain()
        return None

    def _parts(self, frames: list[EncodedFrame]) -> Iterator[memoryview]:
        """Yield the bytes of frames in parts of limited size."""
        self.traffic.frames_sent += len(frames)
        accepts_compressed = self.accepts_compressed
        data = b"".join(f.data(accepts_compressed=accepts_compressed) for f in frames)
        for start in range(0, len(data), const.WRITE_BYTES):
            yield memoryview(data)[start : start + const.WRITE_BYTES]
