"""Types of forwarding."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from mothshunt.core.const import (
    HEADER_DEADLINE_MS,
    HEADER_RAN,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
)
from mothshunt.core.types import RegionId, RequestId, ServiceName
from mothshunt.routing.model import Route, Workspace


@dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """Names of the header fields that callers, instances and targets exchange.

    :param request_id: Id of a request; targets echo it.
    :param deadline_ms: Time left to the deadline of the request, in milliseconds.
    :param expected_target: Id of the target that the request is meant for; any other
        target responds that it did not run the request.
    :param not_run: Header of a target's response saying that it did not run the
        request.
    :param not_run_value: Value of ``not_run`` that says so; ``None`` for any value.
    :param proof: Header that a target sets on each response that it made itself;
        ``None`` if targets set none.
    :param load: Running and waiting requests and slots of a target.
    :param affinity_cookie: Cookie with the affinity key, which identifies the object
        that a request concerns.
    :param retry_after: Time after which a caller may retry. A target sets it with
        status 503 to get no requests from this instance for that time.
    :param leaving: Header that a leaving target sets on all its responses.
    :param leaving_value: Value of ``leaving`` that says so.
    :param rate_limit: Header with the requests a second that a target accepts from all
        entry instances together; set on all its responses as long as the limit holds.
    :param workspace: Name of the workspace that a request belongs to; set on requests
        to targets.
    :param relayed: Name of the entry instance that relays a request to another one; a
        request is relayed once at most.
    :param relayed_attempts: Number of targets that a relayed request may be sent to.
    """

    request_id: str = HEADER_REQUEST_ID
    deadline_ms: str = HEADER_DEADLINE_MS
    expected_target: str = "Mothshunt-Expected-Target"
    not_run: str = HEADER_RAN
    not_run_value: str | None = "no"
    proof: str | None = None
    load: str = "Mothshunt-Load"
    affinity_cookie: str = "Mothshunt-Affinity"
    retry_after: str = HEADER_RETRY_AFTER
    leaving: str = "Mothshunt-Leaving"
    leaving_value: str = "1"
    rate_limit: str = "Mothshunt-Rate-Limit"
    workspace: str = "Mothshunt-Workspace"
    relayed: str = "Mothshunt-Relayed-By"
    relayed_attempts: str = "Mothshunt-Relayed-Attempts"


def whole_seconds(seconds: float) -> str:
    """Format a ``Retry-After`` time in whole seconds (RFC 9110), rounded up.

    :param seconds: The time, in seconds.
    """
    return str(max(1, math.ceil(seconds)))


@dataclass(frozen=True, kw_only=True, slots=True)
class HeaderConventions:
    """HTTP header conventions of an entry instance towards callers and targets.

    :param names: Names of the header fields.
    :param format_retry_after: Formats a ``Retry-After`` time given in seconds.
    """

    names: HeaderNames = field(default_factory=HeaderNames)
    format_retry_after: Callable[[float], str] = whole_seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedRequest:
    """Request of a caller, with its route and service.

    :param request_id: Id of the request in logs of this instance and of targets.
    :param route: Route that matches the request.
    :param service: Service selected from those of the route.
    :param method: HTTP method.
    :param target: HTTP request target (path and query) as the caller sent it.
    :param affinity_key: Key of the object that the request concerns; ``None`` if it has
        none.
    :param received_at: Time at which its head was read, in seconds.
    :param deadline: Time by which the request must be answered, in seconds.
    :param workspace: Workspace that the request belongs to; ``None`` for none.
    """

    request_id: RequestId
    route: Route
    service: ServiceName
    method: str
    target: str
    affinity_key: str | None
    received_at: float
    deadline: float
    workspace: Workspace | None = None

    @property
    def urgency(self) -> int:
        """Rank of the request: that of its workspace, else that of its route."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def home_regions(self) -> frozenset[RegionId]:
        """Regions that the request must stay in; empty for all regions."""
        regions = frozenset(self.route.home_regions)
        if self.workspace is None or not self.workspace.home_regions:
            return regions
        own = frozenset(self.workspace.home_regions)
        return own & regions if regions else own
