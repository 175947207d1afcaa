"""What one entry instance knows of the load and the health of one target."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from mothshunt.placement import const
from mothshunt.placement.model import (
    AttemptOutcome,
    Belief,
    Choice,
    PlacedTarget,
    ReportedLoad,
)
from mothshunt.placement.service_time import ServiceTime

_FAILURES = frozenset(
    {AttemptOutcome.ERROR_ANSWER, AttemptOutcome.BROKEN, AttemptOutcome.TIMED_OUT}
)
_PROOFS_OF_LIFE = frozenset(
    {AttemptOutcome.ANSWERED, AttemptOutcome.ERROR_ANSWER, AttemptOutcome.SHED}
)


@dataclass(slots=True, eq=False)
class TargetLoad:
    """Follow one target.

    :param target: The target.
    :param heard_at: Time of its newest renewal, in seconds.
    :param cold_until: Time up to which it is cold, in seconds.
    :param service_time: Time to an answer over all targets of the service.
    :param slowness: Smoothed time of this target, as a multiple of the usual one.
    :param failure_share: Smoothed share of requests that failed.
    :param down_until: Time up to which no connection is tried, in seconds.
    :param is_misplaced: Whether another target answered at its address.
    :param belief: What it was last taken for, for the logs.
    """

    target: PlacedTarget
    heard_at: float
    cold_until: float = 0.0
    service_time: ServiceTime = field(default_factory=ServiceTime)
    slowness: float = 1.0
    failure_share: float = 0.0
    down_until: float = 0.0
    is_misplaced: bool = False
    belief: Belief = Belief.SOUND
    _open: set[Choice] = field(default_factory=set)
    _others: float = 0.0
    _others_at: float = 0.0
    _last_answer_at: float = float("-inf")
    _last_sent_at: float = float("-inf")
    _last_trial_at: float = float("-inf")
    _connect_failures: int = 0
    _failed_at: float = float("-inf")
    _misplaced_at: float = float("-inf")
    _sent_while_cold: deque[float] = field(default_factory=deque)
    _known_objects: OrderedDict[str, None] = field(default_factory=OrderedDict)

    @property
    def open_requests(self) -> int:
        """Requests of this instance that the target has not answered."""
        return len(self._open)

    def renewed(self, target: PlacedTarget, heard_at: float, cold_until: float) -> None:
        """Take a renewal of the target.

        :param target: The target as it is now.
        :param heard_at: Time of the renewal, in seconds.
        :param cold_until: Time up to which the target is cold, in seconds.
        """
        self.target = target
        if heard_at > self.heard_at:
            # A renewal from before the other one answered is often told of after it.
            self.is_misplaced = self.is_misplaced and heard_at <= self._misplaced_at
            if heard_at > self._failed_at and self._connect_failures:
                # It lives: the pause after a failed connection has served its purpose.
                self.down_until = 0.0
                self._connect_failures = 0
        self.heard_at = heard_at
        self.cold_until = cold_until

    def distrust(self, now: float) -> None:
        """Take the target as cold until it is heard of again.

        :param now: The present time, in seconds.
        """
        self._failed_at = now

    def is_cold(self, now: float) -> bool:
        """Tell whether the target is cold, or may be so after a failed connection.

        :param now: The present time, in seconds.
        """
        return now < self.cold_until or self._failed_at > self.heard_at

    def load(self, now: float) -> float:
        """Return the requests that the target has, as far as is known.

        :param now: The present time, in seconds.
        """
        age_s = now - self._others_at
        fade = max(0.0, 1.0 - age_s / const.LOAD_FADE_S)
        return len(self._open) + self._others * fade

    def is_silent(self, now: float) -> bool:
        """Tell whether requests wait and nothing came from the target for long.

        :param now: The present time, in seconds.
        """
        if not self._open:
            return False
        oldest = min(self._open, key=lambda choice: choice.sent_at)
        # Before the first answer only what was expected tells what is usual.
        usual_s = max(self.service_time.mean_s, oldest.expected_s) * self.slowness
        limit_s = max(const.SILENCE_MIN_S, usual_s * const.SILENCE_FACTOR)
        return now - max(oldest.sent_at, self._last_answer_at) > limit_s

    def answered_lately(self, now: float) -> bool:
        """Tell whether an answer proves that the target lives.

        :param now: The present time, in seconds.
        """
        return now - self._last_answer_at < const.ANSWER_PROOF_S

    def is_failing(self, now: float) -> bool:
        """Tell whether the target fails often and no trial is due.

        :param now: The present time, in seconds.
        """
        if self.failure_share <= const.FAILURE_LIMIT:
            return False
        return now - self._last_trial_at < const.TRIAL_INTERVAL_S

    def present_belief(self, now: float, *, is_late: bool) -> Belief:
        """Return what the target is taken for.

        :param now: The present time, in seconds.
        :param is_late: Whether its renewals are missing.
        """
        beliefs = (
            (self.is_misplaced, Belief.MISPLACED),
            (now < self.down_until, Belief.DOWN),
            (is_late and not self.answered_lately(now), Belief.LATE),
            (self.is_silent(now), Belief.SILENT),
            (self.failure_share > const.FAILURE_LIMIT, Belief.FAILING),
            (self.is_cold(now), Belief.COLD),
        )
        return next((belief for holds, belief in beliefs if holds), Belief.SOUND)

    def cold_room(self, per_window: float, now: float) -> bool:
        """Tell whether a cold target may get one more request in this window.

        :param per_window: Requests in any window, from this instance.
        :param now: The present time, in seconds.
        """
        sent = self._sent_while_cold
        while sent and now - sent[0] >= const.COLD_WINDOW_S:
            sent.popleft()
        return len(sent) + 1 <= per_window

    def knows(self, affinity_key: str | None) -> bool:
        """Tell whether the target handled an object before, as far as is known here.

        :param affinity_key: The object.
        """
        return affinity_key is not None and affinity_key in self._known_objects

    def take(
        self,
        now: float,
        reason: str,
        affinity_key: str | None = None,
        expected_s: float = 0.0,
        usual_s: float = 0.0,
    ) -> Choice:
        """Take room for one request.

        :param now: The present time, in seconds.
        :param reason: Distance and rank of the target, for the logs.
        :param affinity_key: Object that the request concerns.
        :param expected_s: Time that a usual target takes for it, in seconds.
        :param usual_s: Time to the answer of a target that doesn't know the object, in
            seconds.
        """
        choice = Choice(
            target=self.target,
            sent_at=now,
            load=self.load(now) + 1,
            reason=reason,
            affinity_key=affinity_key,
            is_known=self.knows(affinity_key),
            expected_s=expected_s,
            usual_s=usual_s,
            renewal_age_s=now - self.heard_at,
        )
        self._open.add(choice)
        self._last_sent_at = now
        self._sent_while_cold.append(now)
        if not self.is_cold(now):
            # The window matters again only once the target turns cold.
            while now - self._sent_while_cold[0] >= const.COLD_WINDOW_S:
                self._sent_while_cold.popleft()
        if self.failure_share > const.FAILURE_LIMIT:
            self._last_trial_at = now
        return choice

    def ended(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Give room back and learn from the outcome.

        :param choice: What ``take`` returned; ended once.
        :param outcome: How the attempt ended.
        :param reported: What the target said of its load.
        :param now: The present time, in seconds.
        """
        if choice not in self._open:
            return
        self._open.discard(choice)
        if outcome in _PROOFS_OF_LIFE:
            self._last_answer_at = now
            self._connect_failures = 0
        if outcome is AttemptOutcome.ANSWERED:
            self._learn(choice, now - choice.sent_at)
        if outcome is AttemptOutcome.ANSWERED or outcome in _FAILURES:
            failed = 1.0 if outcome in _FAILURES else 0.0
            self._note_failure(failed)
        if (
            outcome is AttemptOutcome.OVERTAKEN
            and self._last_answer_at < choice.sent_at
        ):
            # Nothing came meanwhile: it may be silent. One that answers others is not.
            self._note_failure(1.0)
        if outcome is AttemptOutcome.SHED and reported is not None:
            # One that sheds with slots free is as good as failing.
            self._note_failure(1.0 if reported.running < reported.slots else 0.0)
        if outcome is AttemptOutcome.CONNECT_FAILED:
            self._pause(now)
        elif outcome is AttemptOutcome.MISDIRECTED:
            self.is_misplaced = True
            self._misplaced_at = now
        if reported is not None:
            # The request that was answered may still be counted by the target.
            others = reported.running + reported.waiting - len(self._open) - 1
            self._others = max(0.0, float(others))
            self._others_at = now
        elif outcome is AttemptOutcome.SHED:
            self._others = self.target.slots * (1 + const.MAX_QUEUE_FACTOR)
            self._others_at = now

    def _note_failure(self, failed: float) -> None:
        self.failure_share += const.FAILURE_WEIGHT * (failed - self.failure_share)

    def _pause(self, now: float) -> None:
        self._failed_at = now
        wait_s = const.DOWN_MIN_S * 2**self._connect_failures
        self.down_until = now + min(const.DOWN_MAX_S, wait_s)
        self._connect_failures = min(self._connect_failures + 1, 8)

    def _learn(self, choice: Choice, took_s: float) -> None:
        key = choice.affinity_key
        if key is not None:
            self._known_objects[key] = None
            self._known_objects.move_to_end(key)
            if len(self._known_objects) > const.MAX_KNOWN_OBJECTS:
                self._known_objects.popitem(last=False)
        if choice.load > self.target.slots:
            # It may have waited for others, which tells nothing of its own time.
            return
        if choice.expected_s > 0:
            ratio = took_s / choice.expected_s
            ratio = min(const.MAX_SLOWNESS, max(const.MIN_SLOWNESS, ratio))
            self.slowness += const.SERVICE_TIME_WEIGHT * (ratio - self.slowness)
        self.service_time.learn(took_s, is_known=choice.is_known)
