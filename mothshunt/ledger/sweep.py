"""Detection of lapsed claims and expired keys by their age."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from mothshunt.core.types import CustomerId, LogIndex
from mothshunt.ledger.const import (
    INDEX_SAMPLE_INTERVAL_S,
    LAPSE_GRACE_S,
    MAX_LAPSES_PER_COMMAND,
    MIN_RETENTION_S,
    RETENTION_S,
)
from mothshunt.ledger.messages import ClaimRef, Expire, Lapse
from mothshunt.ledger.model import LedgerKey
from mothshunt.ledger.state import KeyInfo

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class IndexSample:
    """Log index that had been applied at one time.

    :param at: Monotonic time, in seconds.
    :param index: Log index.
    """

    at: float
    index: LogIndex


class Sweeper:
    """Tracker of the age of claims and keys on one control instance.

    The age of a claim is the time since this instance first saw it, on the monotonic
    clock. An instance that becomes leader may have seen a claim later than the former
    leader did; the claim then lapses later, never earlier.
    """

    def __init__(self) -> None:
        self._first_seen_at_by_attempt: dict[bytes, float] = {}
        self._samples: deque[IndexSample] = deque()
        self._expired_up_to_by_customer: dict[CustomerId, LogIndex] = {}

    def lapse_command(
        self, claims: Iterable[tuple[LedgerKey, KeyInfo]], now: float
    ) -> Lapse | None:
        """Return the command for the claims that lapsed, if there are any.

        :param claims: All claims whose request is in progress.
        :param now: Monotonic time, in seconds.
        """
        previous = self._first_seen_at_by_attempt
        self._first_seen_at_by_attempt = {}
        lapsed: list[ClaimRef] = []
        for key, info in claims:
            first_seen_at = previous.get(info.attempt, now)
            self._first_seen_at_by_attempt[info.attempt] = first_seen_at
            runs_s = info.runs_ms / MILLISECONDS_PER_SECOND
            if now - first_seen_at > runs_s + LAPSE_GRACE_S:
                lapsed.append(ClaimRef(key=key, attempt=info.attempt))
        if not lapsed:
            return None
        return Lapse(claims=tuple(lapsed[:MAX_LAPSES_PER_COMMAND]))

    def expire_commands(
        self, applied: LogIndex, near_limit: Iterable[CustomerId], now: float
    ) -> tuple[Expire, ...]:
        """Return the commands that remove expired keys.

        :param applied: Last log index that this instance has applied.
        :param near_limit: Customers whose keys are stored for ``MIN_RETENTION_S`` only.
        :param now: Monotonic time, in seconds.
        """
        if not self._samples or now - self._samples[-1].at >= INDEX_SAMPLE_INTERVAL_S:
            self._samples.append(IndexSample(at=now, index=applied))
        commands = []
        up_to = None
        while self._samples and now - self._samples[0].at > RETENTION_S:
            up_to = self._samples.popleft().index
        if up_to is not None:
            commands.append(Expire(up_to=up_to))
        up_to = self._index_applied_by(now - MIN_RETENTION_S)
        for customer in near_limit:
            if (
                up_to is not None
                and self._expired_up_to_by_customer.get(customer) != up_to
            ):
                self._expired_up_to_by_customer[customer] = up_to
                commands.append(Expire(up_to=up_to, customer=customer))
        return tuple(commands)

    def _index_applied_by(self, at: float) -> LogIndex | None:
        indexes = (
            sample.index for sample in reversed(self._samples) if sample.at <= at
        )
        return next(indexes, None)
