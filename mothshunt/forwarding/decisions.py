"""Rate-limited log lines about single requests."""

from collections import Counter
from dataclasses import dataclass, field

from mothshunt.core.codes import Failure
from mothshunt.core.types import RequestId, Revision
from mothshunt.forwarding import const
from mothshunt.forwarding.attempt import OutgoingRequest
from mothshunt.forwarding.log_events import (
    AnswerBrokenOff,
    Answered,
    AttemptFailed,
    KeyRejected,
    LinesLeftOut,
    NoticeUnreadable,
    Refused,
    RouteUnknown,
)
from mothshunt.helpers import log
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.model import Choice, ReportedLoad

MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True, eq=False)
class RequestLog:
    """Writer of log lines about requests, limited in lines per second.

    Failures, late responses and timely responses have separate limits, so that lines
    about successes don't displace those about failures. Lines over a limit are counted.

    :param metrics: Metrics of the process.
    """

    metrics: Metrics
    _current_second: int = 0
    _written_by_limit: Counter[int] = field(default_factory=Counter)
    _omitted_by_text: Counter[str] = field(default_factory=Counter)

    def log_answered(
        self,
        outgoing: OutgoingRequest,
        choice: Choice,
        *,
        status: int,
        attempts: int,
        revision: Revision,
        now: float,
    ) -> None:
        """Log that a target's response is sent to the caller.

        :param outgoing: The request.
        :param choice: The target and the reason for its choice.
        :param status: HTTP status of the response.
        :param attempts: Number of different targets that the request was sent to,
            without failed connections and cancelled attempts.
        :param revision: Revision of the configuration in force.
        :param now: The present time, in seconds.
        """
        routed = outgoing.routed
        took_s = now - routed.received_at
        is_late = took_s > routed.route.target_latency_s
        text, per_s = "answered", const.MAX_TIMELY_LINES_PER_S
        if is_late:
            text, per_s = "answered late", const.MAX_LATE_LINES_PER_S
        if not self._may_write(text, per_s, now):
            return
        log.write(
            Answered(
                request_id=routed.request_id,
                route=routed.route.name,
                service=routed.service,
                status=status,
                took_ms=_milliseconds(took_s),
                is_late=is_late,
                attempts=attempts,
                target=choice.target.id,
                ring=choice.reason,
                load=round(choice.load, 1),
                known=choice.is_known,
                expected_ms=_milliseconds(choice.expected_s),
                revision=revision,
                allowed_ms=_milliseconds(routed.deadline - routed.received_at),
            )
        )

    def log_attempt_failed(
        self,
        outgoing: OutgoingRequest,
        choice: Choice,
        reported_load: ReportedLoad | None,
        failure: Failure,
        *,
        next_step: str,
        revision: Revision,
        now: float,
    ) -> None:
        """Log that an attempt gave no response for the caller.

        :param outgoing: The request.
        :param choice: The target and the reason for its choice.
        :param reported_load: Load that the target reported with its response.
        :param failure: Failure of the attempt.
        :param next_step: ``retried``; ``other_attempt`` while an attempt at another
            target is in progress; or the reason for which no retry is made.
        :param revision: Revision of the configuration in force.
        :param now: The present time, in seconds.
        """
        if not self._may_write("attempt failed", const.MAX_FAILURE_LINES_PER_S, now):
            return
        routed = outgoing.routed
        log.write(
            AttemptFailed(
                request_id=routed.request_id,
                route=routed.route.name,
                service=routed.service,
                code=failure.code.number,
                code_name=failure.code.name,
                detail=failure.detail or None,
                ran=failure.ran.value,
                took_ms=_milliseconds(now - choice.sent_at),
                revision=revision,
                target=choice.target.id,
                ring=choice.reason,
                load=round(choice.load, 1),
                known=choice.is_known,
                renewal_age_ms=_milliseconds(choice.renewal_age_s),
                reported=reported_load.text() if reported_load else None,
                next_step=next_step,
            )
        )

    def log_refused(
        self,
        outgoing: OutgoingRequest,
        failure: Failure,
        *,
        attempts: int,
        revision: Revision,
        now: float,
    ) -> None:
        """Log that this instance refuses a request, without a target's response.

        :param outgoing: The request.
        :param failure: Reason for the refusal.
        :param attempts: Number of different targets that the request was sent to,
            without failed connections and cancelled attempts.
        :param revision: Revision of the configuration in force.
        :param now: The present time, in seconds.
        """
        if not self._may_write("refused", const.MAX_FAILURE_LINES_PER_S, now):
            return
        routed = outgoing.routed
        log.write(
            Refused(
                request_id=routed.request_id,
                route=routed.route.name,
                service=routed.service,
                code=failure.code.number,
                code_name=failure.code.name,
                detail=failure.detail or None,
                ran=failure.ran.value,
                retry_after_s=failure.retry_after_s,
                took_ms=_milliseconds(now - routed.received_at),
                attempts=attempts,
                revision=revision,
                allowed_ms=_milliseconds(routed.deadline - routed.received_at),
            )
        )

    def log_key_rejected(
        self,
        request_id: RequestId,
        failure: Failure,
        *,
        key_digest: str | None,
        revision: Revision,
        now: float,
    ) -> None:
        """Log that a request is rejected for its key or its workspace's home regions.

        :param request_id: Id of the request.
        :param failure: Reason for the rejection.
        :param key_digest: First digits of the digest of the key that was sent.
        :param revision: Revision of the configuration in force.
        :param now: The present time, in seconds.
        """
        text = "rejected for its key"
        if not self._may_write(text, const.MAX_AUTHENTICATION_LINES_PER_S, now):
            return
        log.write(
            KeyRejected(
                request_id=request_id,
                code=failure.code.number,
                code_name=failure.code.name,
                detail=failure.detail or None,
                key_digest=key_digest,
                revision=revision,
            )
        )

    def log_route_unknown(
        self,
        request_id: RequestId,
        host: str,
        path: str,
        *,
        revision: Revision,
        now: float,
    ) -> None:
        """Log that no route matches a request.

        :param request_id: Id of the request.
        :param host: Host that it names.
        :param path: Beginning of its path.
        :param revision: Revision of the configuration in force.
        :param now: The present time, in seconds.
        """
        if self._may_write(
            "no route matches", const.MAX_UNKNOWN_ROUTE_LINES_PER_S, now
        ):
            log.write(
                RouteUnknown(
                    request_id=request_id, host=host, path=path, revision=revision
                )
            )

    def log_broken_off(
        self, outgoing: OutgoingRequest, choice: Choice, detail: str, now: float
    ) -> None:
        """Log that a response was cut short after a part was sent to the caller.

        :param outgoing: The request.
        :param choice: The target and the reason for its choice.
        :param detail: Error of the connection to the target.
        :param now: The present time, in seconds.
        """
        if not self._may_write("answer broken off", const.MAX_FAILURE_LINES_PER_S, now):
            return
        log.write(
            AnswerBrokenOff(
                request_id=outgoing.routed.request_id,
                service=outgoing.routed.service,
                target=choice.target.id,
                detail=detail,
            )
        )

    def log_unreadable_notice(
        self, outgoing: OutgoingRequest, choice: Choice, failure: Failure, now: float
    ) -> None:
        """Log that a target's notice, in the headers of its response, can't be parsed.

        :param outgoing: The request.
        :param choice: The target and the reason for its choice.
        :param failure: Reason for which it can't be parsed.
        :param now: The present time, in seconds.
        """
        text = "notice unreadable"
        if not self._may_write(text, const.MAX_FAILURE_LINES_PER_S, now):
            return
        log.write(
            NoticeUnreadable(
                request_id=outgoing.routed.request_id,
                service=outgoing.routed.service,
                target=choice.target.id,
                code=failure.code.number,
                code_name=failure.code.name,
                detail=failure.detail,
            )
        )

    def _may_write(self, text: str, per_s: int, now: float) -> bool:
        """Whether a line is within its limit per second; count it either way."""
        second = int(now)
        if second != self._current_second:
            if self._omitted_by_text:
                log.write(LinesLeftOut(lines=dict(self._omitted_by_text)))
            self._current_second = second
            self._written_by_limit.clear()
            self._omitted_by_text.clear()
        if self._written_by_limit[per_s] >= per_s:
            self._omitted_by_text[text] += 1
            self.metrics.count(const.METRIC_LINES_DROPPED, slice="forwarding")
            return False
        self._written_by_limit[per_s] += 1
        return True


def _milliseconds(seconds: float) -> int:
    return round(seconds * MILLISECONDS_PER_SECOND)
