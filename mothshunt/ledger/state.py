"""State of the idempotency keys, alike on every control instance."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from mothshunt.core.types import CustomerId, LogIndex
from mothshunt.ledger.const import (
    CROWDED_SHARE,
    MAX_ANSWER_BYTES,
    MAX_ANSWER_BYTES_PER_CUSTOMER,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_KEYS,
    MAX_KEYS_PER_CUSTOMER,
)
from mothshunt.ledger.messages import (
    Claim,
    ClaimOutcome,
    ClaimStatus,
    Expire,
    Lapse,
    Record,
    Release,
)
from mothshunt.ledger.model import KeptAnswer, LedgerKey


class KeyState(Enum):
    """What is known of the request that holds a key."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """Hold what is known of one key.

    :param state: What is known of the request.
    :param index: Log index of the claim.
    :param fingerprint: Hash of method, path and body.
    :param attempt: The claim.
    :param runs_ms: Longest time that the request may run, in milliseconds.
    :param answer: The first answer, where there is one.
    """

    state: KeyState
    index: LogIndex
    fingerprint: bytes
    attempt: bytes
    runs_ms: int
    answer: KeptAnswer | None = None


@dataclass(slots=True)
class Usage:
    """Count what is kept for one customer, or for all.

    :param keys: Keys that are kept.
    :param answer_bytes: Bytes of the answers that are kept.
    """

    keys: int = 0
    answer_bytes: int = 0


class LedgerState:
    """Hold all keys, in the order of their claims."""

    def __init__(self) -> None:
        self.entry_by_key: dict[LedgerKey, Entry] = {}
        #: The entries whose outcome is still awaited.
        self.claimed_by_key: dict[LedgerKey, Entry] = {}
        self.usage_by_customer: dict[CustomerId, Usage] = {}
        self.usage = Usage()

    def claim(self, index: LogIndex, command: Claim) -> ClaimOutcome:
        """Claim a key, or tell what holds it.

        :param index: Position of the command in the log.
        :param command: The claim.
        """
        entry = self.entry_by_key.get(command.key)
        if entry is None:
            return self._claim_new(index, command)
        if entry.attempt == command.attempt:
            return _claimed_again(entry)
        if entry.fingerprint != command.fingerprint:
            return ClaimOutcome(status=ClaimStatus.CONFLICT)
        if entry.state is KeyState.RELEASED:
            self._drop(command.key)
            return self._claim_new(index, command)
        return _held(entry)

    def record(self, command: Record) -> bool:
        """Keep the first answer; return whether it was news.

        :param command: The answer and the claim that it belongs to.
        """
        entry = self.entry_by_key.get(command.key)
        if entry is None or entry.attempt != command.attempt:
            return False
        if entry.state in (KeyState.ANSWERED, KeyState.RELEASED):
            return False
        answer = command.answer
        if not self._has_room_for(command.key, answer):
            answer = replace(answer, headers=(), body=None)
        self._count(command.key, 0, _size(answer))
        self._set(command.key, entry, KeyState.ANSWERED, answer)
        return True

    def release(self, index: LogIndex, command: Release) -> bool:
        """Free a key whose request was not run; return whether it was held.

        A release that comes before its claim leaves a mark, so that the claim, which
        nobody waits for, does not hold the key when it comes.

        :param index: Position of the command in the log.
        :param command: The claim that is given up.
        """
        entry = self.entry_by_key.get(command.key)
        if entry is None:
            return self._mark_released(index, command)
        if entry.attempt != command.attempt or entry.state is KeyState.ANSWERED:
            return False
        self._set(command.key, entry, KeyState.RELEASED, None)
        return True

    def lapse(self, command: Lapse) -> bool:
        """Note that outcomes are unknown; return whether any was awaited.

        :param command: The claims whose time is over.
        """
        changed = False
        for ref in command.claims:
            entry = self.entry_by_key.get(ref.key)
            if entry is None or entry.attempt != ref.attempt:
                continue
            if entry.state is KeyState.CLAIMED:
                self._set(ref.key, entry, KeyState.UNKNOWN, None)
                changed = True
        return changed

    def expire(self, command: Expire) -> bool:
        """Drop old keys; return whether there were any.

        :param command: Bound of the log index.
        """
        expired = list(self._claimed_up_to(command.up_to, command.customer))
        for key in expired:
            self._drop(key)
        return bool(expired)

    def insert(self, key: LedgerKey, entry: Entry) -> None:
        """Put an entry of a snapshot in place.

        :param key: The key.
        :param entry: What is known of it.
        """
        self.entry_by_key[key] = entry
        if entry.state is KeyState.CLAIMED:
            self.claimed_by_key[key] = entry
        self._count(key, 1, _size(entry.answer))

    def crowded(self) -> tuple[CustomerId, ...]:
        """Return the customers whose keys take up most of what may be kept."""
        if _is_crowded(self.usage, MAX_KEYS, MAX_ANSWER_BYTES):
            return tuple(self.usage_by_customer)
        return tuple(
            customer
            for customer, usage in self.usage_by_customer.items()
            if _is_crowded(usage, MAX_KEYS_PER_CUSTOMER, MAX_ANSWER_BYTES_PER_CUSTOMER)
        )

    def _claim_new(self, index: LogIndex, command: Claim) -> ClaimOutcome:
        if self._is_full(command.key):
            return ClaimOutcome(status=ClaimStatus.FULL)
        entry = Entry(
            state=KeyState.CLAIMED,
            index=index,
            fingerprint=command.fingerprint,
            attempt=command.attempt,
            runs_ms=command.runs_ms,
        )
        self.insert(command.key, entry)
        return ClaimOutcome(status=ClaimStatus.OWNED)

    def _mark_released(self, index: LogIndex, command: Release) -> bool:
        if not self._is_full(command.key):
            entry = Entry(
                state=KeyState.RELEASED,
                index=index,
                fingerprint=command.fingerprint,
                attempt=command.attempt,
                runs_ms=0,
            )
            self.insert(command.key, entry)
        return False

    def _claimed_up_to(
        self, bound: LogIndex, customer: CustomerId | None
    ) -> Iterator[LedgerKey]:
        for key, entry in self.entry_by_key.items():
            if entry.index > bound:
                return
            if customer is None or key.customer == customer:
                yield key

    def _set(
        self,
        key: LedgerKey,
        entry: Entry,
        state: KeyState,
        answer: KeptAnswer | None,
    ) -> None:
        self.entry_by_key[key] = replace(entry, state=state, answer=answer)
        self.claimed_by_key.pop(key, None)

    def _drop(self, key: LedgerKey) -> None:
        entry = self.entry_by_key.pop(key)
        self.claimed_by_key.pop(key, None)
        self._count(key, -1, -_size(entry.answer))

    def _is_full(self, key: LedgerKey) -> bool:
        usage = self.usage_by_customer.get(key.customer, _NO_USAGE)
        return self.usage.keys >= MAX_KEYS or usage.keys >= MAX_KEYS_PER_CUSTOMER

    def _has_room_for(self, key: LedgerKey, answer: KeptAnswer) -> bool:
        if answer.body is None or len(answer.body) > MAX_BODY_BYTES:
            return False
        size = _size(answer)
        if size - len(answer.body) > MAX_HEADER_BYTES:
            return False
        if self.usage.answer_bytes + size > MAX_ANSWER_BYTES:
            return False
        usage = self.usage_by_customer.get(key.customer, _NO_USAGE)
        return usage.answer_bytes + size <= MAX_ANSWER_BYTES_PER_CUSTOMER

    def _count(self, key: LedgerKey, keys: int, answer_bytes: int) -> None:
        usage = self.usage_by_customer.setdefault(key.customer, Usage())
        for counted in (self.usage, usage):
            counted.keys += keys
            counted.answer_bytes += answer_bytes
        if usage.keys == 0:
            del self.usage_by_customer[key.customer]


_NO_USAGE = Usage()


def _is_crowded(usage: Usage, max_keys: int, max_bytes: int) -> bool:
    return (
        usage.keys >= CROWDED_SHARE * max_keys
        or usage.answer_bytes >= CROWDED_SHARE * max_bytes
    )


def _claimed_again(entry: Entry) -> ClaimOutcome:
    if entry.state is KeyState.RELEASED:
        return ClaimOutcome(status=ClaimStatus.WITHDRAWN)
    if entry.state is KeyState.CLAIMED:
        return ClaimOutcome(status=ClaimStatus.OWNED)
    return _held(entry)


def _held(entry: Entry) -> ClaimOutcome:
    if entry.state is KeyState.ANSWERED:
        return ClaimOutcome(status=ClaimStatus.ANSWERED, answer=entry.answer)
    if entry.state is KeyState.CLAIMED:
        return ClaimOutcome(status=ClaimStatus.IN_PROGRESS, runs_ms=entry.runs_ms)
    return ClaimOutcome(status=ClaimStatus.UNKNOWN)


def _size(answer: KeptAnswer | None) -> int:
    if answer is None:
        return 0
    header_bytes = sum(len(name) + len(value) for name, value in answer.headers)
    return header_bytes + len(answer.body or b"")
