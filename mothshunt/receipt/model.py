"""Receipt of a call as the other slices see it."""

from collections.abc import Callable
from dataclasses import dataclass

from mothshunt.configuration.model import NO_REVISION
from mothshunt.core.codes import Failure
from mothshunt.core.types import Revision
from mothshunt.receipt import codes, const


@dataclass(frozen=True, kw_only=True, slots=True)
class Receipt:
    """Circumstances in which a call was received.

    Callers that get no response in time send the call to another instance, and later
    calls after it. Run once these are confirmed, a call that names no base revision
    would undo them.

    :param revision: Revision of the configuration here when the call was received. It
        is the newest base on which the call may be run.
    :param longest_wait_s: Maximum time for which the call may have waited unread, in
        seconds.
    :param has_caller_left: Returns whether the caller has closed its connection.
    """

    revision: Revision
    longest_wait_s: float
    has_caller_left: Callable[[], bool]

    def find_refusal(self) -> Failure | None:
        """Return why the call must not be run any more; ``None`` if it may be.

        :return: A failure with code 1201 or 1202, or ``None``.
        """
        if self.has_caller_left():
            return Failure(code=codes.CALLER_LEFT)
        return self.find_age_refusal()

    def find_age_refusal(self) -> Failure | None:
        """Return why a call must not be run even if its caller needs no response.

        :return: A failure with code 1202, or ``None``.
        """
        if self.longest_wait_s >= const.MIN_SUSPENSION_S:
            detail = f"received up to {self.longest_wait_s:.1f} s ago"
            return Failure(code=codes.CALL_OUTDATED, detail=detail)
        return None


#: Receipt of a call to an instance that runs no changes.
UNWATCHED = Receipt(
    revision=NO_REVISION, longest_wait_s=float("inf"), has_caller_left=lambda: False
)
