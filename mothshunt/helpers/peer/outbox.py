"""Queue of frames that wait to be sent on one stream, bounded in bytes."""

import asyncio
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from mothshunt.helpers.peer import const
from mothshunt.helpers.peer.frame import EncodedFrame


@dataclass(slots=True)
class SendBudget:
    """Bound on the bytes of large frames that wait on all streams of an instance.

    A frame that waits on several streams is held in memory, and counted, once.

    :param max_bytes: Most bytes that may wait.
    :param waiting_bytes: Bytes that wait now.
    """

    max_bytes: float = const.MAX_LARGE_BYTES_IN_ALL
    waiting_bytes: int = 0

    def reserve(self, frame: EncodedFrame) -> bool:
        """Count a frame for one stream more if the bound allows it.

        :param frame: The frame.
        :return: Whether it may wait.
        """
        if not frame.streams:
            if self.waiting_bytes + frame.size > self.max_bytes:
                return False
            self.waiting_bytes += frame.size
        frame.streams += 1
        return True

    def release(self, frame: EncodedFrame) -> None:
        """Count a frame for one stream less.

        :param frame: Frame that was reserved for the stream.
        """
        frame.streams -= 1
        if not frame.streams:
            self.waiting_bytes -= frame.size


@dataclass(slots=True, eq=False)
class Outbox:
    """Frames that wait to be sent on one stream, oldest first.

    Small frames have room of their own on each stream, so that large ones never keep
    them out.

    :param budget: Bound on the large frames of all streams.
    :param max_small_bytes: Most bytes of small frames on this stream.
    :param max_large_bytes: Most bytes of large frames on this stream, unless it is a
        single one.
    """

    budget: SendBudget
    max_small_bytes: int
    max_large_bytes: int
    _frames: deque[EncodedFrame] = field(default_factory=deque)
    _unsent: list[EncodedFrame] = field(default_factory=list)
    _small_bytes: int = 0
    _large_bytes: int = 0
    _filled: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the frames that wait, those in the course of being sent included."""
        return self._small_bytes + self._large_bytes

    def put(self, frame: EncodedFrame) -> bool:
        """Add a frame.

        :param frame: The frame. An object that already waits is not added again.
        :return: ``False`` when there is no room for it.
        """
        if len(self._frames) >= const.MAX_QUEUED_FRAMES:
            return False
        if not frame.is_large:
            if self._small_bytes + frame.size > self.max_small_bytes:
                return False
            self._small_bytes += frame.size
        else:
            if any(frame is waiting for waiting in self._waiting()):
                return True
            is_full = self._large_bytes + frame.size > self.max_large_bytes
            if (self._large_bytes and is_full) or not self.budget.reserve(frame):
                return False
            self._large_bytes += frame.size
        self._frames.append(frame)
        self._filled.set()
        return True

    async def async_take(self) -> list[EncodedFrame]:
        """Wait for frames and return those to send next.

        They count as waiting until the next call or ``clear``.
        """
        self._release_unsent()
        while not self._frames:
            self._filled.clear()
            await self._filled.wait()
        size = 0
        while self._frames and (
            not size or size + self._frames[0].size <= const.WRITE_BYTES
        ):
            frame = self._frames.popleft()
            size += frame.size
            self._unsent.append(frame)
        return self._unsent

    def clear(self) -> None:
        """Drop all frames."""
        self._release_unsent()
        while self._frames:
            self._release(self._frames.popleft())

    def _waiting(self) -> Iterator[EncodedFrame]:
        yield from self._unsent
        yield from self._frames

    def _release_unsent(self) -> None:
        for frame in self._unsent:
            self._release(frame)
        self._unsent = []

    def _release(self, frame: EncodedFrame) -> None:
        if frame.is_large:
            self._large_bytes -= frame.size
            self.budget.release(frame)
        else:
            self._small_bytes -= frame.size
