"""Sources of the present time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Give the present time in seconds; it never goes back."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        ...


class SystemClock:
    """Read the clock that goes on while the machine is suspended.

    A lease that is counted on the monotonic clock would outlive its time at a machine
    that was suspended, as that clock stands still meanwhile.
    """

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
