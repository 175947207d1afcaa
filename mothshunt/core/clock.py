"""Clocks."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of the current time in seconds, which never decreases."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        ...


class SystemClock:
    """Clock of the operating system that also counts the time of a suspension.

    ``time.monotonic`` stops while the machine is suspended, so a lease timed with it
    would still be in use after its end.
    """

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
