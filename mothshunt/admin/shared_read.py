"""Reads that callers who come at about the same time share."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class SharedRead(Generic[T]):
    """Run at most one read at a time, and one more that begins after it.

    Each caller gets the result of a read that began after its call. So however many
    requests come, with valid tokens or guessed ones, they cost one read per round.

    :param read: Does the read.
    """

    def __init__(self, read: Callable[[], Awaitable[T]]) -> None:
        self._read = read
        self._running: asyncio.Task[T] | None = None
        self._next: asyncio.Task[T] | None = None

    async def async_get(self) -> T:
        """Return the result of a read that begins after this call."""
        if self._next is None:
            self._next = asyncio.create_task(self._async_after(self._running))
        # A caller that gives up must not end the read for the others.
        return await asyncio.shield(self._next)

    async def _async_after(self, earlier: "asyncio.Task[T] | None") -> T:
        if earlier is not None:
            await asyncio.wait({earlier})
        self._running, self._next = self._next, None
        return await self._read()
