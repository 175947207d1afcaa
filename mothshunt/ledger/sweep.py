"""Decide when a claim has lapsed and when a key has expired."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from mothshunt.core.types import LogIndex
from mothshunt.ledger.const import (
    EXPIRY_STEP_S,
    LAPSE_GRACE_S,
    MAX_LAPSES_PER_COMMAND,
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

    def expired(self, applied: LogIndex, now: float) -> Expire | None:
        """Return the command that drops the keys of a past period, if one is over.

        :param applied: Last log index applied here.
        :param now: Monotonic time, in seconds.
        """
        if not self._marks or now - self._marks[-1].at >= EXPIRY_STEP_S:
            self._marks.append(Mark(at=now, index=applied))
        up_to: LogIndex | None = None
        while self._marks and now - self._marks[0].at > RETENTION_S:
            up_to = self._marks.popleft().index
        return None if up_to is None else Expire(up_to=up_to)
