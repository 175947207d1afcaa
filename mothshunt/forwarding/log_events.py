"""Log lines of the forwarding slice: one dataclass for each kind."""

from collections.abc import Mapping
from dataclasses import dataclass

from mothshunt.core.types import (
    RequestId,
    Revision,
    RouteName,
    ServiceName,
    TargetId,
)
from mothshunt.helpers.log import Level, log_event


@log_event("left", slice_name="forwarding")
@dataclass(frozen=True, kw_only=True, slots=True)
class Left:
    """End of the leave of an entry instance: it takes no more requests.

    :param unfinished: Requests that were still in flight when the time allowed for the
        leave ended.
    """

    unfinished: int


@log_event("notice unreadable", slice_name="forwarding", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class NoticeUnreadable:
    """Notice in a target's response that can't be parsed.

    :param request_id: Request that the target responded to.
    :param service: Service of the request.
    :param target: The target.
    :param code: Number of the result code.
    :param code_name: Name of the result code.
    :param detail: Text that the target sent.
    """

    request_id: RequestId
    service: ServiceName
    target: TargetId
    code: int
    code_name: str
    detail: str


@log_event("answered", slice_name="forwarding")
@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """Forwarded response of a target; under load some such lines are left out.

    :param request_id: The request.
    :param route: Route of the request.
    :param service: Service of the request.
    :param status: HTTP status of the response.
    :param took_ms: Milliseconds since the head of the request was read.
    :param is_late: Whether that exceeds the route's target latency.
    :param attempts: Number of targets that the request was sent to.
    :param target: Target that sent the response.
    :param ring: Distance and rank of the target, for which it was selected.
    :param load: Known number of requests at the target when it was selected.
    :param known: Whether the target had handled the object before.
    :param expected_ms: Milliseconds that a usual target takes for the request.
    :param revision: Revision of the configuration in force.
    :param allowed_ms: Milliseconds that the caller or the route allowed.
    """

    request_id: RequestId
    route: RouteName
    service: ServiceName
    status: int
    took_ms: int
    is_late: bool
    attempts: int
    target: TargetId
    ring: str
    load: float
    known: bool
    expected_ms: int
    revision: Revision
    allowed_ms: int


@log_event("attempt failed", slice_name="forwarding")
@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFailed:
    """Attempt at a target that gave no response to forward.

    :param request_id: The request.
    :param route: Route of the request.
    :param service: Service of the request.
    :param code: Number of the result code.
    :param code_name: Name of the result code.
    :param detail: Details of this failure.
    :param ran: Whether the target may have run the request.
    :param took_ms: Duration of the attempt, in milliseconds.
    :param revision: Revision of the configuration in force.
    :param target: The target.
    :param ring: Distance and rank of the target, for which it was selected.
    :param load: Known number of requests at the target when it was selected.
    :param known: Whether the target had handled the object before.
    :param renewal_age_ms: Age of the target's newest renewal when it was selected, in
        milliseconds.
    :param reported: Load that the target reported: running and waiting requests of its
        slots.
    :param next_step: ``retried``; ``other_attempt``: another attempt is still running;
        or the reason why no further attempt is made.
    """

    request_id: RequestId
    route: RouteName
    service: ServiceName
    code: int
    code_name: str
    detail: str | None
    ran: str
    took_ms: int
    revision: Revision
    target: TargetId
    ring: str
    load: float
    known: bool
    renewal_age_ms: int
    reported: str | None
    next_step: str


@log_event("refused", slice_name="forwarding")
@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """Error response of the entry instance itself to a request.

    :param request_id: The request.
    :param route: Route of the request.
    :param service: Service of the request.
    :param code: Number of the result code.
    :param code_name: Name of the result code.
    :param detail: Details of this refusal.
    :param ran: Whether a target may have run the request.
    :param retry_after_s: Retry-after time, in seconds.
    :param took_ms: Milliseconds since the head of the request was read.
    :param attempts: Number of targets that the request was sent to.
    :param revision: Revision of the configuration in force.
    :param allowed_ms: Milliseconds that the caller or the route allowed.
    """

    request_id: RequestId
    route: RouteName
    service: ServiceName
    code: int
    code_name: str
    detail: str | None
    ran: str
    retry_after_s: float | None
    took_ms: int
    attempts: int
    revision: Revision
    allowed_ms: int


@log_event("rejected for its key", slice_name="forwarding")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRejected:
    """Rejection of a request for its key, or for the home regions of its workspace.

    :param request_id: The request.
    :param code: Number of the result code.
    :param code_name: Name of the result code.
    :param detail: Details of this rejection.
    :param key_digest: First digits of the SHA-256 digest of the key that was sent, as
        ``mothshunt routing workspaces`` shows them; missing if none was sent.
    :param revision: Revision of the configuration in force.
    """

    request_id: RequestId
    code: int
    code_name: str
    detail: str | None
    key_digest: str | None
    revision: Revision


@log_event("no route matches", slice_name="forwarding")
@dataclass(frozen=True, kw_only=True, slots=True)
class RouteUnknown:
    """Rejection of a request that no route of the configuration in force matches.

    :param request_id: The request.
    :param host: Host that it names.
    :param path: Beginning of its path.
    :param revision: Revision of the configuration in force.
    """

    request_id: RequestId
    host: str
    path: str
    revision: Revision


@log_event("answer broken off", slice_name="forwarding", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerBrokenOff:
    """Response of a target that ended early after a part of it had been forwarded.

    :param request_id: The request.
    :param service: Service of the request.
    :param target: The target.
    :param detail: Cause of the early end.
    """

    request_id: RequestId
    service: ServiceName
    target: TargetId
    detail: str


@log_event(
    "callers that read nothing were disconnected",
    slice_name="forwarding",
    level=Level.WARNING,
)
@dataclass(frozen=True, kw_only=True, slots=True)
class UnreadDisconnected:
    """Connections closed because callers left too many bytes of responses unread.

    :param callers: Number of closed connections.
    :param unread_bytes: Unread bytes of all callers before.
    """

    callers: int
    unread_bytes: int


@log_event("lines were left out", slice_name="forwarding", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class LinesLeftOut:
    """Lines on requests that were left out because too many were due within a second.

    :param lines: Number of left-out lines, by their text.
    """

    lines: Mapping[str, int]
