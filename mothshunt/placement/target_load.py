"""Load and health of one target, as one entry instance observes them."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from mothshunt.placement import const
from mothshunt.placement.model import (
    AttemptOutcome,
    Choice,
    ReportedLoad,
    RoutableTarget,
    TargetHealth,
)
from mothshunt.placement.service_time import ServiceTime

_FAILURES = frozenset(
    {AttemptOutcome.ERROR_ANSWER, AttemptOutcome.BROKEN, AttemptOutcome.TIMED_OUT}
)
_RESPONSES = frozenset(
    {AttemptOutcome.ANSWERED, AttemptOutcome.ERROR_ANSWER, AttemptOutcome.SHED}
)


@dataclass(slots=True, eq=False)
class TargetLoad:
    """Load and health of one target, learnt from its responses and renewals.

    :param target: The target.
    :param renewed_at: Time of its newest renewal, in seconds.
    :param cold_until: Time until which the target is cold, in seconds.
    :param service_time: Service times of all targets of the service.
    :param slowness: Smoothed service time of this target, as a multiple of the
        expected one.
    :param failure_share: Smoothed share of its requests that failed.
    :param down_until: End of the back-off after a failed connection, in seconds.
    :param is_misplaced: Whether another target responded at its address.
    :param health: Health that was last written to the log.
    """

    target: RoutableTarget
    renewed_at: float
    cold_until: float = 0.0
    service_time: ServiceTime = field(default_factory=ServiceTime)
    slowness: float = 1.0
    failure_share: float = 0.0
    down_until: float = 0.0
    is_misplaced: bool = False
    health: TargetHealth = TargetHealth.HEALTHY
    _pending: set[Choice] = field(default_factory=set)
    _reported_other_requests: float = 0.0
    _reported_at: float = 0.0
    _last_response_at: float = float("-inf")
    _last_sent_at: float = float("-inf")
    _last_probe_at: float = float("-inf")
    _connect_failures: int = 0
    _assumed_cold_at: float = float("-inf")
    _misplaced_at: float = float("-inf")
    _sent_in_window: deque[float] = field(default_factory=deque)
    _known_objects: OrderedDict[str, None] = field(default_factory=OrderedDict)

    @property
    def pending_requests(self) -> int:
        """Number of requests of this instance that are pending at the target."""
        return len(self._pending)

    def pending_since(self, since: float) -> int:
        """Return the number of pending requests that were sent after a time.

        :param since: The time, in seconds.
        """
        return sum(choice.sent_at > since for choice in self._pending)

    def record_renewal(
        self, target: RoutableTarget, renewed_at: float, cold_until: float
    ) -> None:
        """Record a renewal of the target's registration.

        :param target: The target as described by the renewal.
        :param renewed_at: Time of the renewal, in seconds.
        :param cold_until: Time until which the target is cold, in seconds.
        """
        self.target = target
        if renewed_at > self.renewed_at:
            # ``is_misplaced`` was set when another target responded at the address. A
            # renewal that was sent before then may arrive later, and does not show that
            # this target is at its address again.
            self.is_misplaced = self.is_misplaced and renewed_at <= self._misplaced_at
            if renewed_at > self._assumed_cold_at and self._connect_failures:
                # The target is alive, so connections to it may be tried again.
                self.down_until = 0.0
                self._connect_failures = 0
        self.renewed_at = renewed_at
        self.cold_until = cold_until

    def forgive_failures(self) -> None:
        """Forget failures that were those of this instance's network."""
        self.down_until = 0.0
        self._connect_failures = 0
        self.failure_share = 0.0

    def assume_cold(self, now: float) -> None:
        """Treat the target as cold until its next renewal.

        :param now: The present time, in seconds.
        """
        self._assumed_cold_at = now

    def is_cold(self, now: float) -> bool:
        """Whether the target is cold, or assumed to be until its next renewal.

        A cold target takes only a limited rate of requests, such as after its start.

        :param now: The present time, in seconds.
        """
        return now < self.cold_until or self._assumed_cold_at > self.renewed_at

    def estimated_requests(self, now: float) -> float:
        """Return the estimated number of requests at the target.

        These are the pending ones of this instance and, as long as the last report is
        recent, those of other instances.

        :param now: The present time, in seconds.
        """
        age_s = now - self._reported_at
        fade = max(0.0, 1.0 - age_s / const.REPORTED_LOAD_LIFETIME_S)
        return len(self._pending) + self._reported_other_requests * fade

    def is_silent(self, now: float) -> bool:
        """Whether requests have been pending for long without any response.

        :param now: The present time, in seconds.
        """
        if not self._pending:
            return False
        oldest = min(self._pending, key=lambda choice: choice.sent_at)
        # Before the first response, the expected time is the only one known.
        service_s = max(self.service_time.mean_s, oldest.expected_s) * self.slowness
        limit_s = max(const.MIN_SILENCE_S, service_s * const.SILENCE_FACTOR)
        return now - max(oldest.sent_at, self._last_response_at) > limit_s

    def has_recent_response(self, now: float) -> bool:
        """Whether a recent response proves that the target is alive.

        :param now: The present time, in seconds.
        """
        return now - self._last_response_at < const.RECENT_RESPONSE_S

    def is_failing(self, now: float) -> bool:
        """Whether the target fails often and no probe request is due.

        :param now: The present time, in seconds.
        """
        if self.failure_share <= const.MAX_FAILURE_SHARE:
            return False
        return now - self._last_probe_at < const.PROBE_INTERVAL_S

    def current_health(self, now: float, *, is_late: bool) -> TargetHealth:
        """Return the health of the target.

        :param now: The present time, in seconds.
        :param is_late: Whether its registration has not been renewed in time.
        """
        conditions = (
            (self.is_misplaced, TargetHealth.MISPLACED),
            (now < self.down_until, TargetHealth.DOWN),
            (is_late and not self.has_recent_response(now), TargetHealth.LATE),
            (self.is_silent(now), TargetHealth.SILENT),
            (self.failure_share > const.MAX_FAILURE_SHARE, TargetHealth.FAILING),
            (self.is_cold(now), TargetHealth.COLD),
        )
        return next(
            (health for holds, health in conditions if holds), TargetHealth.HEALTHY
        )

    def has_cold_capacity(self, per_window: float, now: float) -> bool:
        """Whether a cold target may get one more request in this window.

        :param per_window: Limit of this instance's requests in any window.
        :param now: The present time, in seconds.
        """
        sent = self._sent_in_window
        while sent and now - sent[0] >= const.COLD_WINDOW_S:
            sent.popleft()
        return len(sent) + 1 <= per_window

    def knows(self, affinity_key: str | None) -> bool:
        """Whether the target knows an object, from its responses to this instance.

        :param affinity_key: Key of the object.
        """
        return affinity_key is not None and affinity_key in self._known_objects

    def reserve(
        self,
        now: float,
        reason: str,
        affinity_key: str | None = None,
        expected_s: float = 0.0,
        unknown_object_s: float = 0.0,
    ) -> Choice:
        """Reserve capacity for one request.

        :param now: The present time, in seconds.
        :param reason: Scope and rank of the target, for the logs.
        :param affinity_key: Key of the object that the request is for.
        :param expected_s: Expected service time of an average target, in seconds.
        :param unknown_object_s: Expected time to the response if the target does not
            know the object, queueing included, in seconds.
        """
        choice = Choice(
            target=self.target,
            sent_at=now,
            load=self.estimated_requests(now) + 1,
            reason=reason,
            affinity_key=affinity_key,
            is_known=self.knows(affinity_key),
            expected_s=expected_s,
            unknown_object_s=unknown_object_s,
            renewal_age_s=now - self.renewed_at,
        )
        self._pending.add(choice)
        self._last_sent_at = now
        self._sent_in_window.append(now)
        if not self.is_cold(now):
            # Drop old entries here: ``has_cold_capacity`` runs for cold targets only.
            while now - self._sent_in_window[0] >= const.COLD_WINDOW_S:
                self._sent_in_window.popleft()
        if self.failure_share > const.MAX_FAILURE_SHARE:
            self._last_probe_at = now
        return choice

    def finish(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Release the reserved capacity and learn from the outcome of the attempt.

        :param choice: Choice that ``reserve`` returned; a second call has no effect.
        :param outcome: Outcome of the attempt.
        :param reported: Load that the target reported; ``None`` if it reported none.
        :param now: The present time, in seconds.
        """
        if choice not in self._pending:
            return
        self._pending.discard(choice)
        if outcome in _RESPONSES:
            self._last_response_at = now
            self._connect_failures = 0
        if outcome is AttemptOutcome.ANSWERED:
            self._record_response(choice, now - choice.sent_at)
        if outcome is AttemptOutcome.ANSWERED or outcome in _FAILURES:
            failed = 1.0 if outcome in _FAILURES else 0.0
            self._record_failure(failed)
        if (
            outcome is AttemptOutcome.OVERTAKEN
            and self._last_response_at < choice.sent_at
        ):
            # No response to any request has come since: the target may be silent.
            self._record_failure(1.0)
        if outcome is AttemptOutcome.SHED and reported is not None:
            # A target that rejects requests while it has free slots is failing.
            self._record_failure(1.0 if reported.running < reported.slots else 0.0)
        if outcome is AttemptOutcome.CONNECT_FAILED:
            self._back_off(now)
        elif outcome is AttemptOutcome.MISDIRECTED:
            self.is_misplaced = True
            self._misplaced_at = now
        if reported is not None:
            # The report may still include the request that it came with.
            other_requests = (
                reported.running + reported.waiting - len(self._pending) - 1
            )
            self._reported_other_requests = max(0.0, float(other_requests))
            self._reported_at = now
        elif outcome is AttemptOutcome.SHED:
            self._reported_other_requests = self.target.slots * (
                1 + const.MAX_QUEUE_FACTOR
            )
            self._reported_at = now

    def _record_failure(self, failed: float) -> None:
        self.failure_share += const.FAILURE_WEIGHT * (failed - self.failure_share)

    def _back_off(self, now: float) -> None:
        self._assumed_cold_at = now
        wait_s = const.MIN_CONNECT_BACKOFF_S * 2**self._connect_failures
        self.down_until = now + min(const.MAX_CONNECT_BACKOFF_S, wait_s)
        self._connect_failures = min(self._connect_failures + 1, 8)

    def _record_response(self, choice: Choice, took_s: float) -> None:
        key = choice.affinity_key
        if key is not None:
            self._known_objects[key] = None
            self._known_objects.move_to_end(key)
            if len(self._known_objects) > const.MAX_KNOWN_OBJECTS:
                self._known_objects.popitem(last=False)
        if choice.load > self.target.slots:
            # The request may have been queued, so its service time is not known.
            return
        if choice.expected_s > 0:
            ratio = took_s / choice.expected_s
            ratio = min(const.MAX_SLOWNESS, max(const.MIN_SLOWNESS, ratio))
            self.slowness += const.SERVICE_TIME_WEIGHT * (ratio - self.slowness)
        self.service_time.record(took_s, is_known=choice.is_known)
