"""Sources of the present time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Give the present time in seconds; it never goes back."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        ...


class SystemClock:
    """Read the monotonic clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()
