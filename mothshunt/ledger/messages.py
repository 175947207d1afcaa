"""Commands of the ledger and their outcomes."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.core.types import CustomerId, LogIndex, Ran
from mothshunt.ledger.model import KeptAnswer, LedgerKey
from mothshunt.util.wire import message


class ClaimStatus(Enum):
    """What a claim met."""

    OWNED = "owned"
    ANSWERED = "answered"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    FULL = "full"
    WITHDRAWN = "withdrawn"


@message("ledger.claim")
@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Claim the sole right to run a request.

    :param key: The key.
    :param fingerprint: Hash of method, path and body.
    :param attempt: Unique to one handling of the request at one entry instance, so
        that a claim sent twice is one claim.
    :param runs_ms: Longest time that the request may run, in milliseconds.
    """

    key: LedgerKey
    fingerprint: bytes
    attempt: bytes
    runs_ms: int


@message("ledger.record")
@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """Keep the first answer to a claimed request.

    :param key: The key.
    :param attempt: The claim.
    :param answer: The answer.
    """

    key: LedgerKey
    attempt: bytes
    answer: KeptAnswer


@message("ledger.release")
@dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Give up a claim whose request was not run.

    :param key: The key.
    :param fingerprint: Hash of method, path and body.
    :param attempt: The claim.
    """

    key: LedgerKey
    fingerprint: bytes
    attempt: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRef:
    """Name one claim.

    :param key: The key.
    :param attempt: The claim.
    """

    key: LedgerKey
    attempt: bytes


@message("ledger.lapse")
@dataclass(frozen=True, kw_only=True, slots=True)
class Lapse:
    """Note that the outcome of claimed requests is unknown, as their time is over.

    :param claims: The claims.
    """

    claims: tuple[ClaimRef, ...]


@message("ledger.expire")
@dataclass(frozen=True, kw_only=True, slots=True)
class Expire:
    """Drop the keys whose retention period is over.

    :param up_to: Keys claimed at or before this log index are dropped.
    :param customer: Only keys of this customer; ``None`` for all.
    """

    up_to: LogIndex
    customer: CustomerId | None = None


@message("ledger.claim_outcome")
@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimOutcome:
    """Tell what a claim met.

    :param status: What it met.
    :param answer: The first answer, where there is one.
    :param runs_ms: Longest time that the request which holds the key may run.
    """

    status: ClaimStatus
    answer: KeptAnswer | None = None
    runs_ms: int = 0


@message("ledger.done")
@dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """Tell that a command other than a claim was applied.

    :param changed: Whether it changed anything.
    """

    changed: bool


@message("ledger.undecided")
@dataclass(frozen=True, kw_only=True, slots=True)
class Undecided:
    """Tell that control did not get a command committed.

    :param ran: Whether it may be committed all the same.
    :param detail: Text for a person.
    """

    ran: Ran
    detail: str
