"""Decide when a claim has lapsed and when a key has expired."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from mothshunt.core.types import CustomerId, LogIndex
from mothshunt.ledger.const import (
    EXPIRY_STEP_S,
    LAPSE_GRACE_S,
    MAX_LAPSES_PER_COMMAND,
    MIN_RETENTION_S,
    RETENTION_S,
)
from mothshunt.ledger.messages import ClaimRef, Expire, Lapse
from mothshunt.ledger.model import LedgerKey
from mothshunt.ledger.state import Entry

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Mark:
    """Note which log index had been applied at which time.

    :param at: Monotonic time, in seconds.
    :param index: Log index.
    """

    at: float
    index: LogIndex


class Sweeper:
    """Watch the age of claims and keys on one control instance.

    Ages are counted from when this instance first saw a claim, on its monotonic
    clock. Another instance that becomes leader may have seen it later; then the claim
    is kept longer, never shorter.
    """

    def __init__(self) -> None:
        self._seen_at_by_attempt: dict[bytes, float] = {}
        self._marks: deque[Mark] = deque()
        self._dropped_by_customer: dict[CustomerId, LogIndex] = {}

    def lapsed(
        self, claims: Iterable[tuple[LedgerKey, Entry]], now: float
    ) -> Lapse | None:
        """Return the command for the claims whose time is over, if there are any.

        :param claims: All claims whose outcome is awaited.
        :param now: Monotonic time, in seconds.
        """
        seen_before = self._seen_at_by_attempt
        self._seen_at_by_attempt = {}
        refs: list[ClaimRef] = []
        for key, entry in claims:
            seen_at = seen_before.get(entry.attempt, now)
            self._seen_at_by_attempt[entry.attempt] = seen_at
            runs_s = entry.runs_ms / MILLISECONDS_PER_SECOND
            if now - seen_at > runs_s + LAPSE_GRACE_S:
                refs.append(ClaimRef(key=key, attempt=entry.attempt))
        if not refs:
            return None
        return Lapse(claims=tuple(refs[:MAX_LAPSES_PER_COMMAND]))

    def expired(
        self, applied: LogIndex, crowded: Iterable[CustomerId], now: float
    ) -> tuple[Expire, ...]:
        """Return the commands that drop the keys whose time is over.

        :param applied: Last log index applied here.
        :param crowded: Customers whose keys are kept for the least time only.
        :param now: Monotonic time, in seconds.
        """
        if not self._marks or now - self._marks[-1].at >= EXPIRY_STEP_S:
            self._marks.append(Mark(at=now, index=applied))
        commands = []
        up_to = None
        while self._marks and now - self._marks[0].at > RETENTION_S:
            up_to = self._marks.popleft().index
        if up_to is not None:
            commands.append(Expire(up_to=up_to))
        up_to = self._applied_before(now - MIN_RETENTION_S)
        for customer in crowded:
            if up_to is not None and self._dropped_by_customer.get(customer) != up_to:
                self._dropped_by_customer[customer] = up_to
                commands.append(Expire(up_to=up_to, customer=customer))
        return tuple(commands)

    def _applied_before(self, at: float) -> LogIndex | None:
        earlier = (mark.index for mark in reversed(self._marks) if mark.at <= at)
        return next(earlier, None)
