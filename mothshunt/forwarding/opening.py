"""Requests that reach an entry instance before it serves."""

import asyncio
import math
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.forwarding import const


@dataclass(slots=True, eq=False)
class Opening:
    """Hold requests until the instance serves, while that is expected soon.

    After a common start all callers meet instances that are not ready yet. One that is
    refused comes back soon and is often refused again, though it could have been served
    in time. An instance that takes longer than usual refuses at once.

    Once open, it stays so: an instance that leaves serves those who were told of it
    before, as far as it can finish what they ask for.

    :param clock: Source of the present time.
    :param expected_at: Time by which the instance is expected to serve, in seconds.
    :param is_open: Whether the instance serves.
    :param ends_at: Time at which what is still in flight is cut off, in seconds.
    """

    clock: Clock
    expected_at: float
    is_open: bool = False
    ends_at: float = math.inf
    _is_decided: asyncio.Event = field(default_factory=asyncio.Event)
    _held: int = 0

    @classmethod
    def from_start(cls, clock: Clock) -> "Opening":
        """Return that of an instance that starts now.

        :param clock: Source of the present time.
        """
        return cls(clock, clock.monotonic() + const.OPENING_EXPECTED_S)

    def open(self) -> None:
        """Serve from now on, those first who were held."""
        self.is_open = True
        self._is_decided.set()

    def abandon(self) -> None:
        """Hold nobody any more, as the instance ends before it served."""
        self._is_decided.set()

    def end_at(self, ends_at: float) -> None:
        """Take nothing any more that may last beyond the end of the instance.

        :param ends_at: Time at which what is in flight is cut off, in seconds.
        """
        self.ends_at = ends_at

    def may_take(self, deadline: float) -> bool:
        """Tell whether a request is certainly answered before the instance ends.

        :param deadline: Time at which the request must be answered, in seconds.
        """
        return deadline + const.TIMEOUT_GRACE_S < self.ends_at

    async def async_wait(self, left_s: float) -> bool:
        """Wait for the opening; return whether the instance serves.

        :param left_s: Time left to the end of the request, in seconds.
        """
        expected_s = self.expected_at - self.clock.monotonic()
        is_decided = self._is_decided.is_set() or expected_s <= 0
        if is_decided or self._held >= const.MAX_HELD_REQUESTS:
            return self.is_open
        self._held += 1
        try:
            async with asyncio.timeout(min(expected_s, left_s * const.HELD_PART)):
                await self._is_decided.wait()
        except TimeoutError:
            return False
        finally:
            self._held -= 1
        return self.is_open
