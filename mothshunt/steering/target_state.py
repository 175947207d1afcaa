"""Load, latency and failures of one target as observed by an entry instance."""

import math
from dataclasses import dataclass

from mothshunt.discovery.model import Target
from mothshunt.steering.const import (
    DEFAULT_LATENCY_S,
    LATENCY_HALF_LIFE_S,
    LATENCY_WEIGHT,
    MAX_SHED_BACKOFF_S,
    REPORT_MAX_AGE_S,
    REPORT_WEIGHT,
    SHED_BACKOFF_S,
    SLOW_RATIO,
    SUSPECT_AFTER_ERRORS,
    SUSPECT_AFTER_FAILURES,
)
from mothshunt.steering.model import Outcome

_FAILURES = frozenset({Outcome.CONNECT_FAILED, Outcome.BROKEN, Outcome.TIMED_OUT})


@dataclass(slots=True)
class TrackedTarget:
    """Target with its state from this instance's requests and from load reports.

    :param target: The target as last announced.
    :param is_suspect: Whether so many requests of this instance failed that only probe
        requests may be sent to it.
    :param cold_since: Monotonic time from which its share of the requests is ramped up,
        in seconds.
    """

    target: Target
    cold_since: float
    in_flight: int = 0
    consecutive_failures: int = 0
    consecutive_errors: int = 0
    next_probe_at: float = -math.inf
    probes_since_answer: int = 0
    is_suspect: bool = False
    consecutive_sheds: int = 0
    backoff_until: float = -math.inf
    others_in_flight: float = 0.0
    others_updated_at: float = -math.inf
    unusable_since: float = math.inf
    _own_in_flight_mean: float = 0.0
    _reported_in_flight_mean: float = 0.0
    _latency_s: float = DEFAULT_LATENCY_S
    _sampled_at: float = -math.inf

    def apply_report(self) -> None:
        """Estimate from a new load report what other instances have in flight."""
        report = self.target.report
        if report is None or report.measured_at <= self.others_updated_at:
            return
        # The report and the own count were taken at different times, so only their
        # moving averages can be compared.
        self._own_in_flight_mean += REPORT_WEIGHT * (
            self.in_flight - self._own_in_flight_mean
        )
        self._reported_in_flight_mean += REPORT_WEIGHT * (
            report.in_flight - self._reported_in_flight_mean
        )
        self.others_in_flight = max(
            0.0, self._reported_in_flight_mean - self._own_in_flight_mean
        )
        self.others_updated_at = report.measured_at

    def estimated_in_flight(self, now: float) -> float:
        """Return the estimated number of requests in flight from all instances.

        The estimate for the other instances fades linearly with the age of its report.

        :param now: Monotonic time, in seconds.
        """
        age_s = now - self.others_updated_at
        if age_s >= REPORT_MAX_AGE_S:
            return self.in_flight
        return self.in_flight + self.others_in_flight * (1 - age_s / REPORT_MAX_AGE_S)

    def slowness(self, mean_latency_s: float, now: float) -> float:
        """Return the expected latency as a multiple of the mean; 1 unless it is slow.

        Without new samples the value returns to 1, so that a target that was slow gets
        requests again.

        :param mean_latency_s: Mean latency of the service in the region, in seconds.
        :param now: Monotonic time, in seconds.
        """
        ratio = self._latency_s / mean_latency_s
        if ratio < SLOW_RATIO:
            return 1.0
        weight = math.pow(0.5, (now - self._sampled_at) / LATENCY_HALF_LIFE_S)
        return max(1.0, weight * ratio + 1 - weight)

    def concurrency_limit(self, cold_ramp_s: float, now: float) -> float:
        """Return the most requests from all instances that may be in flight to it.

        :param cold_ramp_s: Time in which a cold target is ramped up, in seconds.
        :param now: Monotonic time, in seconds.
        """
        age_s = now - self.cold_since
        if age_s >= cold_ramp_s:
            return self.target.slots
        return max(1.0, self.target.slots * age_s / cold_ramp_s)

    def record_outcome(self, outcome: Outcome, elapsed_s: float, now: float) -> None:
        """Update the state with the outcome of an attempt.

        :param outcome: How the attempt ended.
        :param elapsed_s: Time from the choice to the end, in seconds.
        :param now: Monotonic time, in seconds.
        """
        if outcome is Outcome.SHED:
            self._record_shed(now)
        elif outcome in _FAILURES:
            self.consecutive_failures += 1
        elif outcome is Outcome.ERROR_ANSWER:
            self.consecutive_errors += 1
            self.consecutive_failures = 0
        elif outcome is Outcome.ANSWERED:
            self._record_answer(elapsed_s, now)
        self.is_suspect = (
            self.consecutive_failures >= SUSPECT_AFTER_FAILURES
            or self.consecutive_errors >= SUSPECT_AFTER_ERRORS
        )

    def _record_shed(self, now: float) -> None:
        backoff_s = SHED_BACKOFF_S * 2 ** min(self.consecutive_sheds, 10)
        self.backoff_until = now + min(backoff_s, MAX_SHED_BACKOFF_S)
        self.consecutive_sheds += 1
        self.others_in_flight = max(
            self.others_in_flight, self.target.slots - self.in_flight
        )
        self.others_updated_at = max(self.others_updated_at, now)

    def _record_answer(self, elapsed_s: float, now: float) -> None:
        if self.is_suspect:
            self.cold_since = now
        self.consecutive_failures = 0
        self.consecutive_errors = 0
        self.probes_since_answer = 0
        self.consecutive_sheds = 0
        if self._sampled_at == -math.inf:
            self._latency_s = elapsed_s
        self._latency_s += LATENCY_WEIGHT * (elapsed_s - self._latency_s)
        self._sampled_at = now
