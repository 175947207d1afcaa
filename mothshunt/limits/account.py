"""Use of one limit by one entry instance, and the share that it needs."""

import math
from dataclasses import dataclass

from mothshunt.limits.const import (
    DEFAULT_DURATION_S,
    DURATION_WEIGHT,
    MEAN_WEIGHT,
    MIN_RATE_WINDOW_S,
    NEEDED_DEVIATIONS,
    PEAK_DEVIATIONS,
    SPARE_REQUESTS,
    WINDOW_S,
)


@dataclass(slots=True)
class LimitUsage:
    """Use of one limit by one entry instance.

    :param is_home_region: Whether the limit is the capacity of the region of this
        instance; only under such a limit is a share requested ahead of demand.
    """

    is_home_region: bool
    static_share: int = 0
    leased_share: int = 0
    in_use: int = 0
    previous_window_mean: float = 0.0
    refused: int = 0
    previous_refused_per_s: float = 0.0
    mean_duration_s: float = DEFAULT_DURATION_S
    mean_in_use: float = 0.0
    #: Integral of ``in_use`` over the current window, in request-seconds.
    _request_seconds: float = 0.0
    _updated_at: float = 0.0

    def add(self, count: int, now: float) -> None:
        """Add requests to the number in flight.

        :param count: Requests that start, negative for those that end.
        :param now: Monotonic time, in seconds.
        """
        self._request_seconds += self.in_use * (now - self._updated_at)
        self._updated_at = now
        self.in_use += count

    def needed_share(self, wanted: int) -> int:
        """Return the part of the wanted share that average use takes.

        :param wanted: Result of ``wanted_share``.
        """
        if not self.is_home_region:
            return wanted
        usual = math.ceil(
            self.mean_in_use + NEEDED_DEVIATIONS * math.sqrt(self.mean_in_use)
        )
        return min(wanted, max(0, usual - self.static_share))

    def wanted_share(self, window_s: float, now: float) -> int:
        """Return the leased share that covers recent use and refused requests.

        A refused request counts as if it had been in flight for the mean duration.

        :param window_s: Time since the window began, in seconds.
        :param now: Monotonic time, in seconds.
        """
        self.add(0, now)
        mean = self._request_seconds / max(window_s, MIN_RATE_WINDOW_S)
        refused_per_s = self.refused / max(window_s, MIN_RATE_WINDOW_S)
        if window_s < WINDOW_S:
            mean = max(mean, self.previous_window_mean)
            refused_per_s = max(refused_per_s, self.previous_refused_per_s)
        demand = math.ceil(refused_per_s * self.mean_duration_s)
        if self.is_home_region:
            demand += math.ceil(mean + PEAK_DEVIATIONS * math.sqrt(mean))
        demand = max(
            demand, self.in_use + math.ceil(refused_per_s * self.mean_duration_s)
        )
        if demand and self.is_home_region:
            demand += SPARE_REQUESTS
        return max(0, demand - self.static_share)

    def start_window(self, window_s: float, now: float) -> None:
        """Start a new measurement window and update the averages with the last one.

        :param window_s: Length of the window that ends, in seconds.
        :param now: Monotonic time, in seconds.
        """
        self.add(0, now)
        self.previous_window_mean = self._request_seconds / window_s
        mean = (
            self.previous_window_mean + self.refused / window_s * self.mean_duration_s
        )
        self.mean_in_use += MEAN_WEIGHT * (mean - self.mean_in_use)
        self._request_seconds = 0.0
        self.previous_refused_per_s = self.refused / window_s
        self.refused = 0

    def record_duration(self, duration_s: float) -> None:
        """Update the moving average of request durations.

        :param duration_s: Time for which one request was in flight, in seconds.
        """
        self.mean_duration_s += DURATION_WEIGHT * (duration_s - self.mean_duration_s)

    def is_idle(self) -> bool:
        """Whether no share is held and no request was in flight or refused lately."""
        return not (
            self.in_use
            or self.leased_share
            or self.previous_window_mean
            or self._request_seconds
            or self.refused
            or self.previous_refused_per_s
        )
