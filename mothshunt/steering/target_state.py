"""What an entry instance knows of one target."""

import math
from dataclasses import dataclass

from mothshunt.discovery.model import Target
from mothshunt.steering.const import (
    DEFAULT_LATENCY_S,
    LATENCY_HALF_LIFE_S,
    LATENCY_WEIGHT,
    REPORT_MAX_AGE_S,
    REPORT_WEIGHT,
    SHED_BACKOFF_MAX_S,
    SHED_BACKOFF_S,
    SLOW_RATIO,
    SUSPECT_AFTER_ERRORS,
    SUSPECT_AFTER_FAILURES,
)
from mothshunt.steering.model import Outcome

_FAILURES = frozenset({Outcome.CONNECT_FAILED, Outcome.BROKEN, Outcome.TIMED_OUT})


@dataclass(slots=True)
class TargetState:
    """Hold what own requests and reports tell of one target.

    :param target: The target as last announced.
    :param suspect: Whether own requests failed so often that only trials may go there.
    :param cold_since: Monotonic time from which it is brought to its full share, in
        seconds.
    """

    target: Target
    cold_since: float
    in_flight: int = 0
    failures: int = 0
    errors: int = 0
    trial_at: float = -math.inf
    trials: int = 0
    suspect: bool = False
    sheds: int = 0
    shed_until: float = -math.inf
    others: float = 0.0
    others_at: float = -math.inf
    unusable_since: float = math.inf
    _own_mean: float = 0.0
    _report_mean: float = 0.0
    _latency_s: float = DEFAULT_LATENCY_S
    _sampled_at: float = -math.inf

    def take_report(self) -> None:
        """Work out from a new load report what other instances have in flight."""
        report = self.target.report
        if report is None or report.measured_at <= self.others_at:
            return
        # A report and the own count are of different moments; only means compare.
        self._own_mean += REPORT_WEIGHT * (self.in_flight - self._own_mean)
        self._report_mean += REPORT_WEIGHT * (report.in_flight - self._report_mean)
        self.others = max(0.0, self._report_mean - self._own_mean)
        self.others_at = report.measured_at

    def occupancy(self, now: float) -> float:
        """Return the estimated requests in flight from all instances.

        :param now: Monotonic time, in seconds.
        """
        age = now - self.others_at
        if age >= REPORT_MAX_AGE_S:
            return self.in_flight
        return self.in_flight + self.others * (1 - age / REPORT_MAX_AGE_S)

    def slowness(self, usual_s: float, now: float) -> float:
        """Return the latency to expect over the usual one; 1 unless it is slow.

        What was measured long ago gives way to what is usual.

        :param usual_s: Usual latency of the service in the region, in seconds.
        :param now: Monotonic time, in seconds.
        """
        ratio = self._latency_s / usual_s
        if ratio < SLOW_RATIO:
            return 1.0
        weight = math.pow(0.5, (now - self._sampled_at) / LATENCY_HALF_LIFE_S)
        return max(1.0, weight * ratio + 1 - weight)

    def allowed(self, cold_ramp_s: float, now: float) -> float:
        """Return how many requests from all instances the target may get.

        :param cold_ramp_s: Time to bring a cold target to its full share, in seconds.
        :param now: Monotonic time, in seconds.
        """
        age = now - self.cold_since
        if age >= cold_ramp_s:
            return self.target.slots
        return max(1.0, self.target.slots * age / cold_ramp_s)

    def learn(self, outcome: Outcome, elapsed_s: float, now: float) -> None:
        """Take over how an attempt ended.

        :param outcome: How it ended.
        :param elapsed_s: Time from the choice to the end, in seconds.
        :param now: Monotonic time, in seconds.
        """
        if outcome is Outcome.SHED:
            self._learn_shed(now)
        elif outcome in _FAILURES:
            self.failures += 1
        elif outcome is Outcome.ERROR_ANSWER:
            self.errors += 1
            self.failures = 0
        elif outcome is Outcome.ANSWERED:
            self._learn_answer(elapsed_s, now)
        self.suspect = (
            self.failures >= SUSPECT_AFTER_FAILURES
            or self.errors >= SUSPECT_AFTER_ERRORS
        )

    def _learn_shed(self, now: float) -> None:
        backoff = SHED_BACKOFF_S * 2 ** min(self.sheds, 10)
        self.shed_until = now + min(backoff, SHED_BACKOFF_MAX_S)
        self.sheds += 1
        self.others = max(self.others, self.target.slots - self.in_flight)
        self.others_at = max(self.others_at, now)

    def _learn_answer(self, elapsed_s: float, now: float) -> None:
        if self.suspect:
            self.cold_since = now
        self.failures = 0
        self.errors = 0
        self.trials = 0
        self.sheds = 0
        if self._sampled_at == -math.inf:
            self._latency_s = elapsed_s
        self._latency_s += LATENCY_WEIGHT * (elapsed_s - self._latency_s)
        self._sampled_at = now
