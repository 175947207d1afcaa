"""Pauses between two looks at what is waited for."""

import asyncio
from collections.abc import AsyncIterator

from mothshunt.cli.const import (
    FIRST_POLL_INTERVAL_S,
    LAST_POLL_INTERVAL_S,
    POLL_INTERVAL_GROWTH,
)


async def async_polls() -> AsyncIterator[None]:
    """Yield at once and then after pauses that grow.

    A short wait ends soon, and a long one costs the control instances little.
    """
    interval_s = FIRST_POLL_INTERVAL_S
    while True:
        yield
        await asyncio.sleep(interval_s)
        interval_s = min(LAST_POLL_INTERVAL_S, interval_s * POLL_INTERVAL_GROWTH)
