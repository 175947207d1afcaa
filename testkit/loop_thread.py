"""An event loop in a thread, for tests that are not coroutines themselves."""

import asyncio
import threading
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

T = TypeVar("T")

CALL_TIMEOUT_S = 120.0


class LoopThread:
    """Run coroutines and callbacks in an event loop of their own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, T], timeout_s: float = CALL_TIMEOUT_S) -> T:
        """Run a coroutine and return its result.

        :param work: The coroutine.
        :param timeout_s: Seconds to wait.
        """
        return self.submit(work).result(timeout_s)

    def submit(self, work: Coroutine[Any, Any, T]) -> "Future[T]":
        """Begin a coroutine and return at once.

        :param work: The coroutine.
        """
        return asyncio.run_coroutine_threadsafe(work, self._loop)

    def call(self, function: Callable[..., T], *arguments: Any) -> T:
        """Call a plain function in the event loop and return its result.

        :param function: The function.
        :param arguments: Its arguments.
        """

        async def run() -> T:
            return function(*arguments)

        return self.run(run())

    def close(self) -> None:
        """Cancel what still runs and end the thread."""
        self.run(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _cancel_all(self) -> None:
        tasks: list[Awaitable[Any]] = []
        for task in asyncio.all_tasks():
            if task is not asyncio.current_task():
                task.cancel()
                tasks.append(task)
        await asyncio.gather(*tasks, return_exceptions=True)
