"""Admission of requests while an entry instance starts or leaves."""

import asyncio
import math
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.forwarding import const


@dataclass(slots=True, eq=False)
class AdmissionGate:
    """Gate that holds requests during the start and refuses late ones during the leave.

    When all instances start at once, callers reach instances that don't serve yet. A
    refused caller retries soon and is often refused again, although it could have been
    served in time. Requests are therefore held until the instance serves. An instance
    whose start takes longer than expected refuses them at once.

    Once open, the gate stays open: a leaving instance serves callers that looked it up
    earlier, as long as it can finish their requests.

    :param clock: Source of the present time.
    :param expected_at: Time by which the instance is expected to serve, in seconds.
    :param is_open: Whether the instance serves.
    :param ends_at: Time at which requests in flight are cut off, in seconds.
    """

    clock: Clock
    expected_at: float
    is_open: bool = False
    ends_at: float = math.inf
    _decided: asyncio.Event = field(default_factory=asyncio.Event)
    _held_requests: int = 0

    @classmethod
    def from_start(cls, clock: Clock) -> "AdmissionGate":
        """Return the gate of an instance that starts now.

        :param clock: Source of the present time.
        """
        return cls(clock, clock.monotonic() + const.EXPECTED_STARTUP_S)

    def open(self) -> None:
        """Admit requests from now on, held ones first."""
        self.is_open = True
        self._decided.set()

    def refuse_held(self) -> None:
        """Refuse held requests, as the instance stops before it has served."""
        self._decided.set()

    def set_end(self, ends_at: float) -> None:
        """Set the time at which the instance ends, after which no request may last.

        :param ends_at: Time at which requests in flight are cut off, in seconds.
        """
        self.ends_at = ends_at

    def may_admit(self, deadline: float) -> bool:
        """Whether a request is certain to be answered before the instance ends.

        :param deadline: Time by which the request must be answered, in seconds.
        """
        return deadline + const.TIMEOUT_GRACE_S < self.ends_at

    async def async_wait(self, left_s: float) -> bool:
        """Wait until the instance serves, for a limited time; return whether it does.

        :param left_s: Time left to the deadline of the request, in seconds.
        """
        expected_s = self.expected_at - self.clock.monotonic()
        is_decided = self._decided.is_set() or expected_s <= 0
        if is_decided or self._held_requests >= const.MAX_HELD_REQUESTS:
            return self.is_open
        self._held_requests += 1
        try:
            async with asyncio.timeout(
                min(expected_s, left_s * const.MAX_HOLD_FRACTION)
            ):
                await self._decided.wait()
        except TimeoutError:
            return False
        finally:
            self._held_requests -= 1
        return self.is_open
