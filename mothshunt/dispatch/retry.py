"""Decision whether another attempt follows a failed one."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.contract.model import RetryBudget
from mothshunt.core.types import Ran
from mothshunt.dispatch.const import BUDGET_BURST_S, MAX_ATTEMPTS


class RetryReason(Enum):
    """Cause of an attempt's failure; label of the retry counter."""

    CONNECT_FAILED = "connect_failed"
    SHED = "shed"
    BROKEN = "broken"
    TRUNCATED = "truncated"
    SILENT = "silent"
    TIMED_OUT = "timed_out"
    CALLER = "caller"
    LEASE_ENDED = "lease_ended"


class GiveUpReason(Enum):
    """Reason for which no further attempt is made."""

    NOT_REPEATABLE = "not_repeatable"
    BODY_GONE = "body_gone"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"
    CALLER = "caller"


@dataclass(frozen=True, kw_only=True, slots=True)
class FailedAttempt:
    """Attempt that gave the caller no complete response.

    :param reason: Cause of the failure.
    :param ran: Whether a target may have run the request in this or an earlier attempt.
    :param attempts: Number of attempts so far, this one included.
    :param body_consumed: Whether a part of the request body can't be sent again.
    """

    reason: RetryReason
    ran: Ran
    attempts: int
    body_consumed: bool = False


class TokenBucket:
    """Retry budget of one customer on this instance, as a token bucket.

    First attempts and time add tokens; a retry takes one.

    :param budget: Budget in the contract in force.
    :param now: Monotonic time, in seconds.
    """

    __slots__ = ("_burst", "_tokens", "_updated_at", "budget")

    def __init__(self, budget: RetryBudget, now: float) -> None:
        self._tokens = budget.minimum_per_s * BUDGET_BURST_S
        self._burst = max(1.0, self._tokens)
        self._updated_at = now
        self.budget = budget

    def set_budget(self, budget: RetryBudget) -> None:
        """Replace the budget and drop the tokens above its limit.

        :param budget: Budget in the new contract.
        """
        self.budget = budget
        self._burst = max(1.0, budget.minimum_per_s * BUDGET_BURST_S)
        self._tokens = min(self._tokens, self._burst)

    def count_first_attempt(self) -> None:
        """Add the fraction of a token that each first attempt adds."""
        self._tokens = min(self._burst, self._tokens + self.budget.ratio)

    def has_token(self, now: float) -> bool:
        """Whether the budget allows a retry.

        :param now: Monotonic time, in seconds.
        """
        gained = max(0.0, now - self._updated_at) * self.budget.minimum_per_s
        return self._tokens + gained >= 1.0

    def take(self, now: float) -> bool:
        """Take a token for one retry.

        :param now: Monotonic time, in seconds.
        :return: Whether there was a token.
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
    """Return why no attempt may follow a failed one, or ``None`` if a retry is allowed.

    A token is taken from the budget only if everything else allows the retry.

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
    if failed.body_consumed:
        return GiveUpReason.BODY_GONE
    if failed.attempts >= MAX_ATTEMPTS:
        return GiveUpReason.ATTEMPTS
    if now >= deadline:
        return GiveUpReason.DEADLINE
    if not bucket.take(now):
        return GiveUpReason.BUDGET
    return None
