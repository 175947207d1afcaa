"""What an attempt that gave the caller no whole answer says of itself."""

from dataclasses import dataclass

from aiohttp import ClientResponse

from mothshunt.core.codes import Failure
from mothshunt.core.const import HEADER_RETRY_AFTER
from mothshunt.core.types import Ran
from mothshunt.dispatch import codes
from mothshunt.dispatch.const import MAX_RETRY_AFTER_S, RETRY_AFTER_S
from mothshunt.dispatch.retry import RetryReason
from mothshunt.steering.model import Outcome

_OUTCOME_BY_REASON = {
    RetryReason.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    RetryReason.SHED: Outcome.SHED,
    RetryReason.BROKEN: Outcome.BROKEN,
    RetryReason.TRUNCATED: Outcome.BROKEN,
    # The target may be slow, or one of its connections lost: neither is its failure.
    RetryReason.SILENT: Outcome.CANCELLED,
    RetryReason.TIMED_OUT: Outcome.TIMED_OUT,
    RetryReason.LEASE_ENDED: Outcome.CANCELLED,
    RetryReason.CALLER: Outcome.CANCELLED,
}
_CODE_BY_REASON = {
    RetryReason.CONNECT_FAILED: codes.TARGET_UNREACHABLE,
    RetryReason.SHED: codes.TARGET_SHED,
    RetryReason.BROKEN: codes.TARGET_BROKE,
    RetryReason.TRUNCATED: codes.TARGET_BROKE,
    RetryReason.SILENT: codes.TARGET_TIMED_OUT,
    RetryReason.TIMED_OUT: codes.TARGET_TIMED_OUT,
    RetryReason.LEASE_ENDED: codes.LEASE_ENDED,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFailure:
    """Describe an attempt that gave the caller no whole answer.

    :param reason: How it failed.
    :param failure: What the caller is told when no further attempt is made.
    """

    reason: RetryReason
    failure: Failure

    @property
    def outcome(self) -> Outcome:
        """What the choice of targets learns from the attempt."""
        return _OUTCOME_BY_REASON[self.reason]

    @classmethod
    def from_reason(
        cls, reason: RetryReason, *, handed_over: bool, detail: str = ""
    ) -> "AttemptFailure":
        """Describe an attempt that failed on the way.

        :param reason: How it failed.
        :param handed_over: Whether a byte of the request may have reached the target.
        :param detail: Text for a person.
        """
        code = _CODE_BY_REASON[reason]
        if reason is RetryReason.TIMED_OUT and not handed_over:
            code = codes.DEADLINE_PASSED
        failure = Failure(
            code=code,
            detail=detail,
            ran=Ran.UNKNOWN if handed_over else Ran.NO,
            retry_after_s=RETRY_AFTER_S,
        )
        return cls(reason=reason, failure=failure)

    @classmethod
    def from_shed(cls, response: ClientResponse) -> "AttemptFailure":
        """Describe an attempt that the target turned away.

        :param response: Head of the answer.
        """
        value = response.headers.get(HEADER_RETRY_AFTER, "")
        retry_after_s = RETRY_AFTER_S
        if value.isascii() and value.isdigit():
            retry_after_s = min(float(value), MAX_RETRY_AFTER_S)
        failure = Failure(code=codes.TARGET_SHED, retry_after_s=retry_after_s)
        return cls(reason=RetryReason.SHED, failure=failure)

    @classmethod
    def unframed(cls) -> "AttemptFailure":
        """Describe an answer of which a truncation could not be told."""
        failure = Failure(code=codes.ANSWER_UNFRAMED, ran=Ran.UNKNOWN)
        return cls(reason=RetryReason.TRUNCATED, failure=failure)
