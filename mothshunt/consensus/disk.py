"""Task that has writes synced in a thread, many with one sync."""

import asyncio
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

from mothshunt.consensus.founding import FoundingRecord
from mothshunt.consensus.storage import Storage
from mothshunt.consensus.types import DurableState, Write, WriteNumber
from mothshunt.core.clock import Clock
from mothshunt.metrics.registry import Metrics


class DiskWriter:
    """Own the data folder of a node.

    :param storage: The data folder.
    :param clock: Source of the present time.
    :param metrics: Where the duration of syncs is recorded.
    """

    def __init__(self, *, storage: Storage, clock: Clock, metrics: Metrics) -> None:
        self._storage = storage
        self._clock = clock
        self._metrics = metrics
        self._writes: list[Write] = []
        self._number = WriteNumber(0)
        self._has_work = asyncio.Event()
        self._stopping = False
        # One thread, so that writes stay in order.
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="consensus-disk")

    async def async_open(self) -> DurableState:
        """Read the data folder."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._storage.open)

    async def async_read_founding(self) -> FoundingRecord | None:
        """Return what the data folder holds of the founding."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._storage.read_founding)

    async def async_keep_founding(self, record: FoundingRecord) -> None:
        """Keep a record of the founding, synced.

        :param record: The record.
        :raises OSError: When it can't be kept.
        """
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, self._storage.keep_founding, record)

    def submit(self, writes: Sequence[Write], number: WriteNumber) -> None:
        """Queue writes.

        :param writes: What a node asked for, in order.
        :param number: Number of the last of them.
        """
        self._writes.extend(writes)
        self._number = number
        self._has_work.set()

    async def async_run(self, on_synced: Callable[[WriteNumber], None]) -> None:
        """Write until told to stop and nothing is queued.

        :param on_synced: Called with the number of the last synced write.
        :raises OSError: When a write fails.
        """
        loop = asyncio.get_running_loop()
        while self._writes or not self._stopping:
            if not self._writes:
                self._has_work.clear()
                await self._has_work.wait()
                continue
            writes, self._writes = self._writes, []
            number = self._number
            started_at = self._clock.monotonic()
            await loop.run_in_executor(self._executor, self._storage.write, writes)
            took_s = self._clock.monotonic() - started_at
            self._metrics.observe("mothshunt_consensus_sync_seconds", took_s)
            on_synced(number)

    def finish(self) -> None:
        """Let ``async_run`` end once nothing is queued."""
        self._stopping = True
        self._has_work.set()

    async def async_close(self) -> None:
        """Close the data folder."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, self._storage.close)
        self._executor.shutdown(wait=False)
