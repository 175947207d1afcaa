"""Requests that reach an entry instance before it serves."""

import asyncio
from dataclasses import dataclass, field

from mothshunt.forwarding import const


@dataclass(slots=True, eq=False)
class Opening:
    """Hold requests until the instance serves, for a part of the time that they have.

    After a common start all callers meet instances that are not ready yet. One that is
    refused comes back soon and is often refused again, though it could have been served
    in time. Once open, it stays so: an instance that leaves serves those who were told
    of it before.

    :param is_open: Whether the instance serves.
    """

    is_open: bool = False
    _is_decided: asyncio.Event = field(default_factory=asyncio.Event)
    _held: int = 0

    def open(self) -> None:
        """Serve from now on, those first who were held."""
        self.is_open = True
        self._is_decided.set()

    def abandon(self) -> None:
        """Hold nobody any more, as the instance ends before it served."""
        self._is_decided.set()

    async def async_wait(self, left_s: float) -> bool:
        """Wait for the opening; return whether the instance serves.

        :param left_s: Time left to the end of the request, in seconds.
        """
        if self._is_decided.is_set() or self._held >= const.MAX_HELD_REQUESTS:
            return self.is_open
        self._held += 1
        try:
            async with asyncio.timeout(min(const.MAX_HELD_S, left_s * const.HELD_PART)):
                await self._is_decided.wait()
        except TimeoutError:
            return False
        finally:
            self._held -= 1
        return self.is_open
