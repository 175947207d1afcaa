"""Failures of attempts that gave the caller no complete response."""

from dataclasses import dataclass

from aiohttp import ClientResponse

from mothshunt.core.codes import Failure
from mothshunt.core.const import HEADER_RETRY_AFTER
from mothshunt.core.types import Ran
from mothshunt.dispatch import codes
from mothshunt.dispatch.const import DEFAULT_RETRY_AFTER_S, MAX_RETRY_AFTER_S
from mothshunt.dispatch.retry import RetryReason
from mothshunt.steering.model import Outcome

_OUTCOME_BY_REASON = {
    RetryReason.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    RetryReason.SHED: Outcome.SHED,
    RetryReason.BROKEN: Outcome.BROKEN,
    RetryReason.TRUNCATED: Outcome.BROKEN,
    # The target may be slow, or the network may have dropped the connection; neither
    # counts as a failure of the target.
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
    """Failure of an attempt that gave the caller no complete response.

    :param reason: Cause of the failure.
    :param failure: Failure reported to the caller if no further attempt is made.
    """

    reason: RetryReason
    failure: Failure

    @property
    def outcome(self) -> Outcome:
        """Outcome that is reported to the target chooser."""
        return _OUTCOME_BY_REASON[self.reason]

    @classmethod
    def from_reason(
        cls, reason: RetryReason, *, send_started: bool, detail: str = ""
    ) -> "AttemptFailure":
        """Return the failure of an attempt for a given reason.

        :param reason: Cause of the failure.
        :param send_started: Whether a byte of the request may have reached the target.
        :param detail: Text for a person.
        """
        code = _CODE_BY_REASON[reason]
        if reason is RetryReason.TIMED_OUT and not send_started:
            code = codes.DEADLINE_PASSED
        failure = Failure(
            code=code,
            detail=detail,
            ran=Ran.UNKNOWN if send_started else Ran.NO,
            retry_after_s=DEFAULT_RETRY_AFTER_S,
        )
        return cls(reason=reason, failure=failure)

    @classmethod
    def from_shed(cls, response: ClientResponse) -> "AttemptFailure":
        """Return the failure of an attempt that the target rejected without running it.

        :param response: Head of the response.
        """
        value = response.headers.get(HEADER_RETRY_AFTER, "")
        retry_after_s = DEFAULT_RETRY_AFTER_S
        if value.isascii() and value.isdigit():
            retry_after_s = min(float(value), MAX_RETRY_AFTER_S)
        failure = Failure(code=codes.TARGET_SHED, retry_after_s=retry_after_s)
        return cls(reason=RetryReason.SHED, failure=failure)

    @classmethod
    def from_unframed(cls) -> "AttemptFailure":
        """Return the failure for a response whose truncation could not be detected."""
        failure = Failure(code=codes.ANSWER_UNFRAMED, ran=Ran.UNKNOWN)
        return cls(reason=RetryReason.TRUNCATED, failure=failure)
