"""Background tasks that are restarted after an error."""

import asyncio
from collections.abc import Awaitable, Callable

from mothshunt.helpers.log import get_logger

RESTART_DELAY_S = 1.0

_LOGGER = get_logger("tasks")


def start_background(
    name: str, run: Callable[[], Awaitable[None]]
) -> asyncio.Task[None]:
    """Start a task that is restarted after an error, until it is cancelled.

    A single error, such as an unexpected message, must not stop the reports or the
    deliveries of an instance for good.

    :param name: Name of the task for the logs.
    :param run: Runs until cancelled; called again after an error or a return.
    """
    return asyncio.create_task(_async_supervise(name, run), name=name)


async def async_cancel(task: asyncio.Task[None] | None) -> None:
    """Cancel a task and wait until it has ended.

    :param task: The task, or ``None`` when it was never started.
    """
    if task is None:
        return
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _async_supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            await run()
        except Exception as error:
            _LOGGER.error("a background task failed", task=name, error=repr(error))
        await asyncio.sleep(RESTART_DELAY_S)
