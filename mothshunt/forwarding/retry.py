"""Rules and budget for retries and hedged attempts."""

import math
from dataclasses import dataclass, field
from enum import Enum

from mothshunt.core.types import Ran, ServiceName
from mothshunt.forwarding import const
from mothshunt.placement.model import AttemptOutcome


def hedge_delay_s(unknown_object_s: float, time_s: float) -> float:
    """Return the time after which a hedged attempt is made at another target.

    At least half of the time to the deadline is left for the hedged attempt.

    :param unknown_object_s: Expected time to the first target's response if it has not
        handled the object before, in seconds.
    :param time_s: Time from the first attempt to the deadline of the request, in
        seconds.
    """
    delay_s = max(const.HEDGE_MIN_S, unknown_object_s * const.HEDGE_FACTOR)
    return min(delay_s, time_s / 2)


class GiveUpReason(Enum):
    """Reasons for which no retry is made."""

    NOT_REPEATABLE = "not_repeatable"
    BODY_GONE = "body_gone"
    ATTEMPTS = "attempts"
    TIME = "time"
    BUDGET = "budget"


@dataclass(slots=True)
class _ServiceCounts:
    """Requests and extra attempts of a service, counted per step of time."""

    requests_by_step: dict[int, int] = field(default_factory=dict)
    extra_attempts_by_step: dict[int, int] = field(default_factory=dict)

    def remove_before(self, oldest_step: int) -> None:
        """Remove the counts of all steps before the given one."""
        for count_by_step in (self.requests_by_step, self.extra_attempts_by_step):
            for step in [step for step in count_by_step if step < oldest_step]:
                del count_by_step[step]

    def allows_extra_attempt(self, step: int, ratio: float, slack: float) -> bool:
        """Whether another extra attempt keeps the budget in every window containing it.

        For a window that begins within a step, all extra attempts of that step are
        counted, but only the requests of the steps that lie in the window entirely.

        :param step: The present step.
        :param ratio: Allowed extra attempts as a fraction of the requests.
        :param slack: Extra attempts that are allowed in addition.
        """
        requests_in, extra_in = (
            self.requests_by_step.get,
            self.extra_attempts_by_step.get,
        )
        extra_attempts, requests_in_window = 1, 0
        requests_before = sum(
            requests_in(step - n, 0) for n in range(1, const.BUDGET_STEPS_PER_WINDOW)
        )
        for begin in range(step, step - const.BUDGET_STEPS_PER_WINDOW - 1, -1):
            extra_attempts += extra_in(begin, 0)
            requests = const.BUDGET_CURRENT_WINDOW_FRACTION * requests_in_window
            requests += (1.0 - const.BUDGET_CURRENT_WINDOW_FRACTION) * requests_before
            if extra_attempts > ratio * requests + slack:
                return False
            requests_in_window += requests_in(begin, 0)
            requests_before -= requests_in(begin - 1, 0)
            requests_before += requests_in(begin - const.BUDGET_STEPS_PER_WINDOW, 0)
        return True


@dataclass(slots=True)
class RetryBudget:
    """Budget of one entry instance for extra attempts: retries and hedged attempts.

    In any window, the number allowed is a fraction of the requests of that window and
    of the window before, so that some are available when targets begin to fail. Summed
    over all entry instances, these fractions keep the budget without coordination; the
    slack, a fixed number of extra attempts, is divided among the instances.

    :param ratio: Allowed extra attempts as a fraction of the requests.
    :param slack: Extra attempts that all instances together may make in addition.
    :param window_s: Length of the window that both apply to, in seconds.
    """

    ratio: float
    slack: float
    window_s: float
    _counts_by_service: dict[ServiceName, _ServiceCounts] = field(default_factory=dict)

    def count_request(self, service: ServiceName, now: float) -> None:
        """Count a request, which earns budget for extra attempts.

        :param service: Service of the request.
        :param now: The present time, in seconds.
        """
        counts = self._counts_by_service.setdefault(service, _ServiceCounts())
        step = self._step(now)
        if step not in counts.requests_by_step:
            counts.remove_before(step - 2 * const.BUDGET_STEPS_PER_WINDOW)
        counts.requests_by_step[step] = counts.requests_by_step.get(step, 0) + 1

    def take(self, service: ServiceName, slack_part: float, now: float) -> bool:
        """Take one extra attempt from the budget; return whether it allows that.

        :param service: Service of the request.
        :param slack_part: Fraction of the slack that this instance may use, 0 to 1.
        :param now: The present time, in seconds.
        """
        counts = self._counts_by_service.setdefault(service, _ServiceCounts())
        step = self._step(now)
        ratio = self.ratio * const.BUDGET_USED_FRACTION
        slack = self.slack * slack_part * const.BUDGET_USED_FRACTION
        if not counts.allows_extra_attempt(step, ratio, slack):
            return False
        counts.extra_attempts_by_step[step] = (
            counts.extra_attempts_by_step.get(step, 0) + 1
        )
        return True

    def _step(self, now: float) -> int:
        return math.floor(now * const.BUDGET_STEPS_PER_WINDOW / self.window_s)


@dataclass(kw_only=True, slots=True)
class RetryState:
    """State of one request from which retries are decided.

    :param is_idempotent: Whether the request may run more than once.
    :param max_attempts: Maximum number of targets that it may be sent to.
    :param targets_tried: Number of targets that it was sent to.
    :param targets_trying: Number of targets with an attempt in progress.
    :param connect_failures: Number of connections that could not be opened.
    :param ran: Whether a target may have run it.
    """

    is_idempotent: bool
    max_attempts: int
    targets_tried: int = 0
    targets_trying: int = 0
    connect_failures: int = 0
    ran: Ran = Ran.NO

    def record_start(self) -> None:
        """Record the start of an attempt."""
        self.targets_trying += 1

    @property
    def attempts_left(self) -> int:
        """Number of further targets that the request may be sent to from here."""
        left = self.max_attempts - self.targets_tried - self.targets_trying
        return max(0, left)

    def take_attempts_left(self) -> int:
        """Return how many further targets the request may be sent to, and forbid them.

        Another entry instance may use them then.
        """
        left = self.attempts_left
        self.max_attempts -= left
        return left

    def record_attempt(
        self, outcome: AttemptOutcome, ran: Ran, *, was_sent_before: bool
    ) -> None:
        """Record the end of an attempt.

        :param outcome: How the attempt ended.
        :param ran: Whether the target may have run the request.
        :param was_sent_before: Whether the request had been sent to that target before.
        """
        self.targets_trying -= 1
        if outcome is AttemptOutcome.CONNECT_FAILED:
            self.connect_failures += 1
        elif outcome is not AttemptOutcome.CANCELLED and not was_sent_before:
            self.targets_tried += 1
        if ran is Ran.UNKNOWN:
            self.ran = ran

    def give_up_reason(
        self, *, body_gone: bool, time_left_s: float
    ) -> GiveUpReason | None:
        """Return the reason against a retry; ``None`` if only the budget may forbid it.

        :param body_gone: Whether a part of the body can't be sent again.
        :param time_left_s: Time left to the deadline of the request, in seconds.
        """
        if self.ran is Ran.UNKNOWN and not self.is_idempotent:
            return GiveUpReason.NOT_REPEATABLE
        if body_gone:
            return GiveUpReason.BODY_GONE
        if self.targets_tried >= self.max_attempts:
            return GiveUpReason.ATTEMPTS
        if self.connect_failures >= const.MAX_CONNECT_FAILURES:
            return GiveUpReason.ATTEMPTS
        if time_left_s < const.MIN_ATTEMPT_S:
            return GiveUpReason.TIME
        return None
