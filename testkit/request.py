"""Requests of callers, and how they end."""

from dataclasses import dataclass, field
from enum import Enum

from testkit import answers

DEFAULT_DEADLINE_MS = 10_000


class Outcome(Enum):
    """How a request ended for the caller."""

    WHOLE = "whole"
    #: A numbered refusal or error answer of mothshunt.
    REFUSED = "refused"
    #: An answer with an error status of the target itself.
    TARGET_ERROR = "target_error"
    #: The connection broke, visibly.
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    #: No entry could be connected to, so that nothing was sent.
    NOT_SENT = "not_sent"
    #: An answer that looked whole but was not the request's own: never allowed.
    WRONG = "wrong"


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """Describe one request.

    :param request_id: Unique id, which the target records.
    :param service: Service.
    :param method: HTTP method.
    :param path: Path below the service, with a leading slash.
    :param key: Idempotency key, or ``None``.
    :param body: Body; the answer tells its hash.
    :param deadline_ms: Deadline that is passed on.
    :param headers: Further headers.
    """

    request_id: str
    service: str
    method: str = "GET"
    path: str = "/"
    key: str | None = None
    body: bytes = b""
    deadline_ms: int = DEFAULT_DEADLINE_MS
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def is_read(self) -> bool:
        """Tell whether the request is idempotent by its method."""
        return self.method in ("GET", "HEAD")


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Tell how one request ended.

    :param request: The request.
    :param outcome: How it ended.
    :param entry: Entry that it was sent to.
    :param status: HTTP status; 0 without an answer.
    :param code_name: Name of mothshunt's code; empty without one.
    :param ran: ``no``, ``unknown`` or empty where nothing was said.
    :param retry_after_s: When to come back, where said.
    :param answer: What the body says, when it is whole.
    :param started_at: Monotonic time at which it was due, in seconds.
    :param latency_s: Seconds from then to the end.
    :param detail: Text for a person.
    """

    request: Request
    outcome: Outcome
    entry: str = ""
    status: int = 0
    code_name: str = ""
    ran: str = ""
    retry_after_s: float | None = None
    answer: answers.Answer | None = None
    started_at: float = 0.0
    latency_s: float = 0.0
    detail: str = ""
