"""State of the idempotency keys, which all control instances replicate."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from mothshunt.core.types import CustomerId, LogIndex
from mothshunt.ledger.const import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_KEYS,
    MAX_KEYS_PER_CUSTOMER,
    MAX_RESPONSE_BYTES,
    MAX_RESPONSE_BYTES_PER_CUSTOMER,
    NEAR_LIMIT_SHARE,
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
from mothshunt.ledger.model import LedgerKey, StoredResponse


class KeyState(Enum):
    """State of the request to which a key belongs."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyInfo:
    """State of one key.

    :param state: State of the request.
    :param index: Log index at which the key was added.
    :param fingerprint: Hash of method, path and body.
    :param attempt: Id of the claim.
    :param runs_ms: Longest time that the request may run, in milliseconds.
    :param response: The first response, if one is recorded.
    """

    state: KeyState
    index: LogIndex
    fingerprint: bytes
    attempt: bytes
    runs_ms: int
    response: StoredResponse | None = None


@dataclass(slots=True)
class Usage:
    """Number of keys and size of responses stored for one customer, or for all.

    :param keys: Stored keys.
    :param response_bytes: Size of the stored responses in bytes.
    """

    keys: int = 0
    response_bytes: int = 0


class LedgerState:
    """State of all keys, in the order in which they were added."""

    def __init__(self) -> None:
        self.info_by_key: dict[LedgerKey, KeyInfo] = {}
        #: State of the keys whose request is in progress.
        self.open_claim_by_key: dict[LedgerKey, KeyInfo] = {}
        self.usage_by_customer: dict[CustomerId, Usage] = {}
        self.usage = Usage()

    def claim(self, index: LogIndex, command: Claim) -> ClaimOutcome:
        """Claim a key unless another attempt has it; return the outcome.

        :param index: Index of the command in the log.
        :param command: The claim.
        """
        info = self.info_by_key.get(command.key)
        if info is None:
            return self._add_claim(index, command)
        if info.attempt == command.attempt:
            return _outcome_for_resent_claim(info)
        if info.fingerprint != command.fingerprint:
            return ClaimOutcome(status=ClaimStatus.CONFLICT)
        if info.state is KeyState.RELEASED:
            self._remove(command.key)
            return self._add_claim(index, command)
        return _outcome_for_other_attempt(info)

    def record(self, command: Record) -> bool:
        """Store the first response to a request; return whether the state changed.

        :param command: The response and the claim that it belongs to.
        """
        info = self.info_by_key.get(command.key)
        if info is None or info.attempt != command.attempt:
            return False
        if info.state in (KeyState.ANSWERED, KeyState.RELEASED):
            return False
        response = command.answer
        if not self._can_store(command.key, response):
            response = replace(response, headers=(), body=None)
        self._add_usage(command.key, 0, _size(response))
        self._set_state(command.key, info, KeyState.ANSWERED, response)
        return True

    def release(self, index: LogIndex, command: Release) -> bool:
        """Release a key whose request was not run; return whether a claim was released.

        A release that is applied before its claim adds the key as released. The claim,
        for which no request waits any more, then doesn't take the key.

        :param index: Index of the command in the log.
        :param command: The claim to release.
        """
        info = self.info_by_key.get(command.key)
        if info is None:
            return self._add_released(index, command)
        if info.attempt != command.attempt or info.state is KeyState.ANSWERED:
            return False
        self._set_state(command.key, info, KeyState.RELEASED, None)
        return True

    def lapse(self, command: Lapse) -> bool:
        """Mark the outcomes of claimed requests as unknown; return whether any changed.

        :param command: The claims that lapsed.
        """
        changed = False
        for ref in command.claims:
            info = self.info_by_key.get(ref.key)
            if info is None or info.attempt != ref.attempt:
                continue
            if info.state is KeyState.CLAIMED:
                self._set_state(ref.key, info, KeyState.UNKNOWN, None)
                changed = True
        return changed

    def expire(self, command: Expire) -> bool:
        """Remove expired keys; return whether there were any.

        :param command: Log index up to which keys expired, and their customer.
        """
        expired = list(self._keys_claimed_up_to(command.up_to, command.customer))
        for key in expired:
            self._remove(key)
        return bool(expired)

    def insert(self, key: LedgerKey, info: KeyInfo) -> None:
        """Add a key.

        :param key: The key.
        :param info: State of the key.
        """
        self.info_by_key[key] = info
        if info.state is KeyState.CLAIMED:
            self.open_claim_by_key[key] = info
        self._add_usage(key, 1, _size(info.response))

    def customers_near_limit(self) -> tuple[CustomerId, ...]:
        """Return the customers whose usage is near a limit; all if the total is."""
        if _is_near_limit(self.usage, MAX_KEYS, MAX_RESPONSE_BYTES):
            return tuple(self.usage_by_customer)
        return tuple(
            customer
            for customer, usage in self.usage_by_customer.items()
            if _is_near_limit(
                usage, MAX_KEYS_PER_CUSTOMER, MAX_RESPONSE_BYTES_PER_CUSTOMER
            )
        )

    def _add_claim(self, index: LogIndex, command: Claim) -> ClaimOutcome:
        if self._is_full(command.key):
            return ClaimOutcome(status=ClaimStatus.FULL)
        info = KeyInfo(
            state=KeyState.CLAIMED,
            index=index,
            fingerprint=command.fingerprint,
            attempt=command.attempt,
            runs_ms=command.runs_ms,
        )
        self.insert(command.key, info)
        return ClaimOutcome(status=ClaimStatus.OWNED)

    def _add_released(self, index: LogIndex, command: Release) -> bool:
        if not self._is_full(command.key):
            info = KeyInfo(
                state=KeyState.RELEASED,
                index=index,
                fingerprint=command.fingerprint,
                attempt=command.attempt,
                runs_ms=0,
            )
            self.insert(command.key, info)
        return False

    def _keys_claimed_up_to(
        self, bound: LogIndex, customer: CustomerId | None
    ) -> Iterator[LedgerKey]:
        for key, info in self.info_by_key.items():
            if info.index > bound:
                return
            if customer is None or key.customer == customer:
                yield key

    def _set_state(
        self,
        key: LedgerKey,
        info: KeyInfo,
        state: KeyState,
        response: StoredResponse | None,
    ) -> None:
        self.info_by_key[key] = replace(info, state=state, response=response)
        self.open_claim_by_key.pop(key, None)

    def _remove(self, key: LedgerKey) -> None:
        info = self.info_by_key.pop(key)
        self.open_claim_by_key.pop(key, None)
        self._add_usage(key, -1, -_size(info.response))

    def _is_full(self, key: LedgerKey) -> bool:
        usage = self.usage_by_customer.get(key.customer, _NO_USAGE)
        return self.usage.keys >= MAX_KEYS or usage.keys >= MAX_KEYS_PER_CUSTOMER

    def _can_store(self, key: LedgerKey, response: StoredResponse) -> bool:
        if response.body is None or len(response.body) > MAX_BODY_BYTES:
            return False
        size = _size(response)
        if size - len(response.body) > MAX_HEADER_BYTES:
            return False
        if self.usage.response_bytes + size > MAX_RESPONSE_BYTES:
            return False
        usage = self.usage_by_customer.get(key.customer, _NO_USAGE)
        return usage.response_bytes + size <= MAX_RESPONSE_BYTES_PER_CUSTOMER

    def _add_usage(self, key: LedgerKey, key_count: int, response_bytes: int) -> None:
        usage = self.usage_by_customer.setdefault(key.customer, Usage())
        for total in (self.usage, usage):
            total.keys += key_count
            total.response_bytes += response_bytes
        if usage.keys == 0:
            del self.usage_by_customer[key.customer]


_NO_USAGE = Usage()


def _is_near_limit(usage: Usage, max_keys: int, max_bytes: int) -> bool:
    return (
        usage.keys >= NEAR_LIMIT_SHARE * max_keys
        or usage.response_bytes >= NEAR_LIMIT_SHARE * max_bytes
    )


def _outcome_for_resent_claim(info: KeyInfo) -> ClaimOutcome:
    if info.state is KeyState.RELEASED:
        return ClaimOutcome(status=ClaimStatus.WITHDRAWN)
    if info.state is KeyState.CLAIMED:
        return ClaimOutcome(status=ClaimStatus.OWNED)
    return _outcome_for_other_attempt(info)


def _outcome_for_other_attempt(info: KeyInfo) -> ClaimOutcome:
    if info.state is KeyState.ANSWERED:
        return ClaimOutcome(status=ClaimStatus.ANSWERED, answer=info.response)
    if info.state is KeyState.CLAIMED:
        return ClaimOutcome(status=ClaimStatus.IN_PROGRESS, runs_ms=info.runs_ms)
    return ClaimOutcome(status=ClaimStatus.UNKNOWN)


def _size(response: StoredResponse | None) -> int:
    if response is None:
        return 0
    header_bytes = sum(len(name) + len(value) for name, value in response.headers)
    return header_bytes + len(response.body or b"")
