"""Commands of the ledger and the responses to them."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.core.types import CustomerId, LogIndex, Ran
from mothshunt.ledger.model import LedgerKey, StoredResponse
from mothshunt.util.wire import message


class ClaimStatus(Enum):
    """Outcome of a claim."""

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
    """Command that claims the sole right to run a request.

    :param key: The key.
    :param fingerprint: Hash of method, path and body.
    :param attempt: Id of one handling of the request at one entry instance; it stays
        the same when the claim is sent again.
    :param runs_ms: Longest time that the request may run, in milliseconds.
    """

    key: LedgerKey
    fingerprint: bytes
    attempt: bytes
    runs_ms: int


@message("ledger.record")
@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """Command that stores the first response to a claimed request.

    :param key: The key.
    :param attempt: Id of the claim.
    :param answer: The response.
    """

    key: LedgerKey
    attempt: bytes
    answer: StoredResponse


@message("ledger.release")
@dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Command that releases a claim whose request was not run.

    :param key: The key.
    :param fingerprint: Hash of method, path and body.
    :param attempt: Id of the claim.
    """

    key: LedgerKey
    fingerprint: bytes
    attempt: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRef:
    """Reference to one claim.

    :param key: The key.
    :param attempt: Id of the claim.
    """

    key: LedgerKey
    attempt: bytes


@message("ledger.lapse")
@dataclass(frozen=True, kw_only=True, slots=True)
class Lapse:
    """Command that marks the outcome of claimed requests as unknown.

    The time in which a response could be recorded is over.

    :param claims: The claims.
    """

    claims: tuple[ClaimRef, ...]


@message("ledger.expire")
@dataclass(frozen=True, kw_only=True, slots=True)
class Expire:
    """Command that removes the keys whose retention period is over.

    :param up_to: Keys claimed at or before this log index are removed.
    :param customer: Only keys of this customer; ``None`` for all.
    """

    up_to: LogIndex
    customer: CustomerId | None = None


@message("ledger.claim_outcome")
@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimOutcome:
    """Response to a claim.

    :param status: Outcome of the claim.
    :param answer: The stored response, if there is one.
    :param runs_ms: Longest time that the request in progress may run, in milliseconds;
        0 if none is.
    """

    status: ClaimStatus
    answer: StoredResponse | None = None
    runs_ms: int = 0


@message("ledger.done")
@dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """Response to a command other than a claim, once it is applied.

    :param changed: Whether the command changed the state.
    """

    changed: bool


@message("ledger.undecided")
@dataclass(frozen=True, kw_only=True, slots=True)
class Undecided:
    """Response to a command that could not be confirmed as committed.

    :param ran: Whether the command was committed; ``UNKNOWN`` if it may have been.
    :param detail: Description of the failure.
    """

    ran: Ran
    detail: str
