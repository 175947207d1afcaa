"""Decide whether a failed attempt is followed by another."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.contract.model import RetryBudget
from mothshunt.core.types import Ran
from mothshunt.dispatch.const import BUDGET_BURST_S, MAX_ATTEMPTS


class RetryReason(Enum):
    """Why an attempt failed; the label of the retry counter."""

    CONNECT_FAILED = "connect_failed"
    SHED = "shed"
    BROKEN = "broken"
    TRUNCATED = "truncated"
    SILENT = "silent"
    TIMED_OUT = "timed_out"
    CALLER = "caller"
    LEASE_ENDED = "lease_ended"


class GiveUpReason(Enum):
    """Why no further attempt is made."""

    NOT_REPEATABLE = "not_repeatable"
    BODY_GONE = "body_gone"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"
    CALLER = "caller"


@dataclass(frozen=True, kw_only=True, slots=True)
class FailedAttempt:
    """Describe an attempt that gave the caller no whole answer.

    :param reason: How it failed.
    :param ran: Whether the target may have run the request.
    :param number: Attempts made so far, this one included.
    :param body_gone: Whether a part of the request body can't be sent again.
    """

    reason: RetryReason
    ran: Ran
    number: int
    body_gone: bool = False


class TokenBucket:
    """Count the retries that a customer's contract allows this instance.

    :param budget: The budget in force.
    :param now: Monotonic time, in seconds.
    """

    __slots__ = ("_burst", "_tokens", "_updated_at", "budget")

    def __init__(self, budget: RetryBudget, now: float) -> None:
        self._tokens = budget.minimum_per_s * BUDGET_BURST_S
        self._burst = max(1.0, self._tokens)
        self._updated_at = now
        self.budget = budget

    def set_budget(self, budget: RetryBudget) -> None:
        """Put another budget in force and keep the tokens that fit it.

        :param budget: The budget in the contract.
        """
        self.budget = budget
        self._burst = max(1.0, budget.minimum_per_s * BUDGET_BURST_S)
        self._tokens = min(self._tokens, self._burst)

    def count_first_attempt(self) -> None:
        """Add the share of a retry that a first attempt brings."""
        self._tokens = min(self._burst, self._tokens + self.budget.ratio)

    def has_one(self, now: float) -> bool:
        """Tell whether the budget allows a retry.

        :param now: Monotonic time, in seconds.
        """
        gained = max(0.0, now - self._updated_at) * self.budget.minimum_per_s
        return self._tokens + gained >= 1.0

    def take(self, now: float) -> bool:
        """Take one retry.

        :param now: Monotonic time, in seconds.
        :return: Whether the budget allowed it.
        """
        gained = max(0.0, now - self._updated_at) * self.budget.minimum_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def give_up_reason(
    failed: FailedAttempt,
    *,
    idempotent: bool,
    bucket: TokenBucket,
    now: float,
    deadline: float,
) -> GiveUpReason | None:
    """Tell why a failed attempt is the last, or ``None`` to try once more.

    A token is taken from the budget only when all else allows the retry.

    :param failed: The failed attempt.
    :param idempotent: Whether the request may be repeated.
    :param bucket: Retry budget of the customer.
    :param now: Monotonic time, in seconds.
    :param deadline: Monotonic time at which the request ends, in seconds.
    """
    if failed.reason is RetryReason.CALLER:
        return GiveUpReason.CALLER
    if failed.ran is not Ran.NO and not idempotent:
        return GiveUpReason.NOT_REPEATABLE
    if failed.body_gone:
        return GiveUpReason.BODY_GONE
    if failed.number >= MAX_ATTEMPTS:
        return GiveUpReason.ATTEMPTS
    if now >= deadline:
        return GiveUpReason.DEADLINE
    if not bucket.take(now):
        return GiveUpReason.BUDGET
    return None
