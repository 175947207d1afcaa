"""Use of one limit by one entry instance, and the demand that it shows."""

import math
from dataclasses import dataclass

from mothshunt.limits.const import (
    DEFAULT_HOLD_S,
    DEMAND_MARGIN,
    HOLD_WEIGHT,
    LEAST_WINDOW_S,
    MEAN_WEIGHT,
    NEED_DEVIATIONS,
    PEAK_DEVIATIONS,
    WINDOW_S,
)


@dataclass(slots=True)
class Account:
    """Count the use of one limit.

    :param at_home: Whether the limit is the capacity of the region of this instance;
        only there is room held in advance.
    """

    at_home: bool
    static: int = 0
    share: int = 0
    in_use: int = 0
    last_mean: float = 0.0
    refused: int = 0
    last_refused_per_s: float = 0.0
    hold_s: float = DEFAULT_HOLD_S
    mean: float = 0.0
    _request_s: float = 0.0
    _changed_at: float = 0.0

    def change(self, change: int, now: float) -> None:
        """Count requests that start or end.

        :param change: Requests that start, negative for those that end.
        :param now: Monotonic time, in seconds.
        """
        self._request_s += self.in_use * (now - self._changed_at)
        self._changed_at = now
        self.in_use += change

    def needed(self, wanted: int) -> int:
        """Return the part of what is wanted that usual use takes.

        :param wanted: What ``wanted`` returned.
        """
        if not self.at_home:
            return wanted
        usual = math.ceil(self.mean + NEED_DEVIATIONS * math.sqrt(self.mean))
        return min(wanted, max(0, usual - self.static))

    def wanted(self, window_s: float, now: float) -> int:
        """Return the leased share that recent use and refusals ask for.

        Refused requests would have been in flight as long as others are.

        :param window_s: Time since the window began, in seconds.
        :param now: Monotonic time, in seconds.
        """
        self.change(0, now)
        mean = self._request_s / max(window_s, LEAST_WINDOW_S)
        refused_per_s = self.refused / max(window_s, LEAST_WINDOW_S)
        if window_s < WINDOW_S:
            mean = max(mean, self.last_mean)
            refused_per_s = max(refused_per_s, self.last_refused_per_s)
        demand = math.ceil(refused_per_s * self.hold_s)
        if self.at_home:
            demand += math.ceil(mean + PEAK_DEVIATIONS * math.sqrt(mean))
        demand = max(demand, self.in_use + math.ceil(refused_per_s * self.hold_s))
        if demand and self.at_home:
            demand += DEMAND_MARGIN
        return max(0, demand - self.static)

    def start_window(self, window_s: float, now: float) -> None:
        """Begin a new period over which use is measured.

        :param window_s: Length of the period that ends, in seconds.
        :param now: Monotonic time, in seconds.
        """
        self.change(0, now)
        self.last_mean = self._request_s / window_s
        mean = self.last_mean + self.refused / window_s * self.hold_s
        self.mean += MEAN_WEIGHT * (mean - self.mean)
        self._request_s = 0.0
        self.last_refused_per_s = self.refused / window_s
        self.refused = 0

    def learn_hold(self, hold_s: float) -> None:
        """Take the time of one request into the moving average.

        :param hold_s: Time that it held its room, in seconds.
        """
        self.hold_s += HOLD_WEIGHT * (hold_s - self.hold_s)

    def is_idle(self) -> bool:
        """Tell whether nothing was held, used or asked for lately."""
        return not (
            self.in_use
            or self.share
            or self.last_mean
            or self._request_s
            or self.refused
            or self.last_refused_per_s
        )
