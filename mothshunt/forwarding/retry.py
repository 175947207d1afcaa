"""Decide whether a failed attempt is followed by another."""

import math
from dataclasses import dataclass, field
from enum import Enum

from mothshunt.core.types import Ran, ServiceName
from mothshunt.forwarding import const
from mothshunt.placement.model import AttemptOutcome


def hedge_delay_s(usual_s: float, time_s: float) -> float:
    """Return the time after which another target is asked for an answer as well.

    Half of the time is left for the other one at least.

    :param usual_s: Time within which the first target is expected to answer, also when
        it does not know the object, in seconds.
    :param time_s: Time from the send to the end of the request, in seconds.
    """
    delay_s = max(const.HEDGE_MIN_S, usual_s * const.HEDGE_FACTOR)
    return min(delay_s, time_s / 2)


class GiveUp(Enum):
    """Why no further attempt is made."""

    NOT_REPEATABLE = "not_repeatable"
    BODY_GONE = "body_gone"
    ATTEMPTS = "attempts"
    TIME = "time"
    BUDGET = "budget"


@dataclass(slots=True)
class _Counts:
    """Count what was sent for a service, by steps of time."""

    first_by_step: dict[int, int] = field(default_factory=dict)
    further_by_step: dict[int, int] = field(default_factory=dict)

    def forget(self, before: int) -> None:
        """Drop the steps before one."""
        for count_by_step in (self.first_by_step, self.further_by_step):
            for step in [step for step in count_by_step if step < before]:
                del count_by_step[step]

    def may_add(self, step: int, ratio: float, slack: float) -> bool:
        """Tell whether one more attempt stays within every window that holds it.

        A window that begins within a step is held against all attempts from that step
        on, but only against the requests of whole steps.

        :param step: The present step.
        :param ratio: Attempts beyond the first, as a part of the requests.
        :param slack: Attempts beyond the first that are allowed besides.
        """
        first, further = self.first_by_step.get, self.further_by_step.get
        attempts, since = 1, 0
        before = sum(first(step - n, 0) for n in range(1, const.BUDGET_STEPS))
        for begin in range(step, step - const.BUDGET_STEPS - 1, -1):
            attempts += further(begin, 0)
            requests = const.BUDGET_PRESENT_PART * since
            requests += (1.0 - const.BUDGET_PRESENT_PART) * before
            if attempts > ratio * requests + slack:
                return False
            since += first(begin, 0)
            before -= first(begin - 1, 0)
            before += first(begin - const.BUDGET_STEPS, 0)
        return True


@dataclass(slots=True)
class RetryBudget:
    """Bound the attempts beyond the first of this instance's requests.

    In any window they follow the requests of that window and, for a part, those of the
    window before, so that some attempts are left when targets begin to fail. Both add
    up over all entry instances by themselves; the slack is divided among them.

    :param ratio: Attempts beyond the first, as a part of the requests.
    :param slack: Attempts beyond the first that all instances may make besides.
    :param window_s: Window of both, in seconds.
    """

    ratio: float
    slack: float
    window_s: float
    _counts_by_service: dict[ServiceName, _Counts] = field(default_factory=dict)

    def count_request(self, service: ServiceName, now: float) -> None:
        """Note a request for a service.

        :param service: The service.
        :param now: The present time, in seconds.
        """
        counts = self._counts_by_service.setdefault(service, _Counts())
        step = self._step(now)
        if step not in counts.first_by_step:
            counts.forget(step - 2 * const.BUDGET_STEPS)
        counts.first_by_step[step] = counts.first_by_step.get(step, 0) + 1

    def take(self, service: ServiceName, slack_part: float, now: float) -> bool:
        """Take one attempt beyond the first, if the budget allows it.

        :param service: The service.
        :param slack_part: Part of the slack that this instance may use, 0 to 1.
        :param now: The present time, in seconds.
        """
        counts = self._counts_by_service.setdefault(service, _Counts())
        step = self._step(now)
        ratio = self.ratio * const.BUDGET_SAFETY
        slack = self.slack * slack_part * const.BUDGET_SAFETY
        if not counts.may_add(step, ratio, slack):
            return False
        counts.further_by_step[step] = counts.further_by_step.get(step, 0) + 1
        return True

    def _step(self, now: float) -> int:
        return math.floor(now * const.BUDGET_STEPS / self.window_s)


@dataclass(kw_only=True, slots=True)
class Progress:
    """Follow the attempts at one request.

    :param is_idempotent: Whether the request may run more than once.
    :param max_attempts: Targets that it may be sent to.
    :param sent: Targets that it was sent to.
    :param connect_failures: Connections that could not be opened.
    :param ran: Whether a target may have run it.
    """

    is_idempotent: bool
    max_attempts: int
    sent: int = 0
    connect_failures: int = 0
    ran: Ran = Ran.NO

    def note(self, outcome: AttemptOutcome, ran: Ran, *, is_again: bool) -> None:
        """Take the end of an attempt.

        :param outcome: How it ended.
        :param ran: Whether the target may have run the request.
        :param is_again: Whether it was sent to that target before.
        """
        if outcome is AttemptOutcome.CONNECT_FAILED:
            self.connect_failures += 1
        elif outcome is not AttemptOutcome.CANCELLED and not is_again:
            self.sent += 1
        if ran is Ran.UNKNOWN:
            self.ran = ran

    def give_up(self, *, body_gone: bool, time_left_s: float) -> GiveUp | None:
        """Tell why the last attempt was the last one; ``None`` to ask the budget.

        :param body_gone: Whether a part of the body can't be sent again.
        :param time_left_s: Time to the end of the request, in seconds.
        """
        if self.ran is Ran.UNKNOWN and not self.is_idempotent:
            return GiveUp.NOT_REPEATABLE
        if body_gone:
            return GiveUp.BODY_GONE
        if self.sent >= self.max_attempts:
            return GiveUp.ATTEMPTS
        if self.connect_failures >= const.MAX_CONNECT_FAILURES:
            return GiveUp.ATTEMPTS
        if time_left_s < const.MIN_ATTEMPT_S:
            return GiveUp.TIME
        return None
