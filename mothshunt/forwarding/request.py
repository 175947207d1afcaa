"""Parsing of request and response heads, and the head that is sent to a target."""

import math
import re
from collections.abc import Callable, Mapping

from aiohttp import web
from multidict import CIMultiDict

from mothshunt.core.codes import Failure
from mothshunt.core.types import RequestId, ServiceName
from mothshunt.dispatch import codes as dispatch_codes
from mothshunt.dispatch.request import end_to_end_headers
from mothshunt.forwarding import codes, const
from mothshunt.forwarding.authentication import (
    AUTHORIZATION,
    authenticate,
    region_fault,
)
from mothshunt.forwarding.model import HeaderNames, RoutedRequest
from mothshunt.placement.model import (
    NO_NOTICE,
    ReportedLoad,
    RoutableTarget,
    TargetNotice,
)
from mothshunt.rate_limit.model import NO_RATE_LIMIT, RateLimitStatement
from mothshunt.routing.model import Route, RoutingTable, Workspace

STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
MAX_DEADLINE_DIGITS = 9
MAX_ATTEMPTS_DIGITS = 4
MAX_REQUEST_ID_LENGTH = 128
MILLISECONDS_PER_SECOND = 1000
#: Longest time that the header with the deadline can state, in seconds.
MAX_TIME_LEFT_S: float = (10**MAX_DEADLINE_DIGITS - 1) / MILLISECONDS_PER_SECOND
PERCENT = 100
#: Longest value of a load header that is parsed, in characters. Fields may be added to
#: its end.
MAX_LOAD_LENGTH = 200
#: Number of seconds in a target's ``Retry-After``, with or without a fraction.
_SECONDS = re.compile(
    rf"[0-9]{{1,{const.MAX_RETRY_AFTER_DIGITS}}}(\.[0-9]{{1,{const.MAX_RETRY_AFTER_DIGITS}}})?"
)
#: Number of requests a second in a target's rate limit, with or without a fraction.
_RATE = re.compile(
    rf"[0-9]{{1,{const.MAX_RATE_DIGITS}}}(\.[0-9]{{1,{const.MAX_RATE_DIGITS}}})?"
)


def read_request(
    request: web.Request,
    table: RoutingTable,
    names: HeaderNames,
    next_service: Callable[[Route], ServiceName],
    now: float,
    is_current: Callable[[float], bool],
) -> RoutedRequest | Failure:
    """Parse the head of a caller's request; find its route and workspace.

    A caller without a valid key learns only whether its route exists.

    :param request: Request of a caller.
    :param table: Routes in force.
    :param names: Names of the header fields.
    :param next_service: Selects one of the services of a route.
    :param now: The present time, in seconds.
    :param is_current: Whether the table is known to be current at a given time.
    :return: The routed request; or a failure with code 2802, 2006, or 2808 to 2811.
    """
    target = request.raw_path
    path = target.partition("?")[0]
    if not path.startswith("/"):
        path = request.rel_url.raw_path
    route = table.find(request.headers.get("Host", ""), path)
    if route is None:
        return Failure(code=codes.UNKNOWN_ROUTE, detail=path[:80])
    workspace = None
    if table.workspace_by_name:
        authenticated = authenticate(
            request.headers.getall(AUTHORIZATION, ()),
            route,
            table,
            lambda: is_current(now),
        )
        if isinstance(authenticated, Failure):
            return authenticated
        workspace = authenticated
        fault = region_fault(workspace, route)
        if fault is not None:
            return fault
    left_s = _time_left_s(request.headers.get(names.deadline_ms), route)
    if left_s is None:
        return Failure(code=dispatch_codes.BAD_HEADER, detail=names.deadline_ms)
    return RoutedRequest(
        request_id=RequestId(
            request.headers.get(names.request_id, "")[:MAX_REQUEST_ID_LENGTH]
        ),
        route=route,
        service=next_service(route),
        method=request.method,
        target=target,
        affinity_key=_affinity_key(request, route, names),
        received_at=now,
        deadline=now + left_s,
        workspace=workspace,
    )


def stated_time_left_s(headers: Mapping[str, str], names: HeaderNames) -> float:
    """Return the time that a caller says it will wait, regardless of its route.

    :param headers: Header fields of the request.
    :param names: Names of the header fields.
    :return: The time, in seconds; infinite if the header is missing or invalid.
    """
    value = headers.get(names.deadline_ms)
    stated_s = None if value is None else _parse_time_s(value)
    return math.inf if stated_s is None else stated_s


def _parse_time_s(value: str) -> float | None:
    """Return the milliseconds of a header field in seconds; ``None`` if invalid."""
    if not value.isascii() or not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
        return None
    return int(value) / MILLISECONDS_PER_SECOND


def _time_left_s(value: str | None, route: Route) -> float | None:
    longest_s = min(route.timeout_s, MAX_TIME_LEFT_S)
    if value is None:
        return longest_s
    stated_s = _parse_time_s(value)
    return None if stated_s is None else min(stated_s, longest_s)


def _affinity_key(request: web.Request, route: Route, names: HeaderNames) -> str | None:
    """Return the value of the affinity cookie; ``None`` if there is none to use."""
    if not route.has_affinity:
        return None
    for header in request.headers.getall("Cookie", ()):
        for part in header.split(";"):
            name, _, value = part.strip().partition("=")
            if name == names.affinity_cookie:
                return value
    return None


def target_headers(
    headers: Mapping[str, str],
    names: HeaderNames,
    workspace: Workspace | None = None,
    *,
    has_keys: bool = False,
) -> CIMultiDict[str]:
    """Return the header fields that each attempt sends to its target.

    Targets trust the name of the workspace, so a caller's own field is never sent on.

    :param headers: Header fields of the caller's request.
    :param names: Names of the header fields.
    :param workspace: Workspace that the request belongs to; ``None`` for none.
    :param has_keys: Whether ``Authorization`` contains keys of workspaces.
    """
    kept = end_to_end_headers(headers)
    for name in (
        names.deadline_ms,
        names.expected_target,
        names.relayed,
        names.relayed_attempts,
        "Expect",
        "Content-Length",
    ):
        kept.popall(name, None)
    if has_keys:
        kept.popall(AUTHORIZATION, None)
    kept.popall(names.workspace, None)
    if workspace is not None:
        kept[names.workspace] = workspace.name
    return kept


def max_attempts(headers: Mapping[str, str], names: HeaderNames, route: Route) -> int:
    """Return how many targets a request may be sent to from here.

    The instance that relays a request has used some of the route's attempts itself. One
    of an older release doesn't say how many are left.

    :param headers: Header fields of the caller, or of the instance that relays.
    :param names: Names of the header fields.
    :param route: Route of the request.
    """
    left = headers.get(names.relayed_attempts, "")
    if names.relayed not in headers or not left.isascii() or not left.isdigit():
        return route.max_attempts
    return min(route.max_attempts, max(1, int(left[:MAX_ATTEMPTS_DIGITS])))


def request_head(
    routed: RoutedRequest,
    headers: CIMultiDict[str],
    names: HeaderNames,
    target: RoutableTarget,
    body_length: int | None,
    now: float,
) -> bytes:
    """Return the encoded head of a request to a target.

    :param routed: The routed request.
    :param headers: Header fields that ``target_headers`` returned.
    :param names: Names of the header fields.
    :param target: Target that the request is sent to.
    :param body_length: Length of the body in bytes; ``None`` if it is sent in chunks.
    :param now: The present time, in seconds.
    """
    left_ms = max(1, int((routed.deadline - now) * MILLISECONDS_PER_SECOND))
    lines = [f"{routed.method} {routed.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"{names.deadline_ms}: {left_ms}")
    lines.append(f"{names.expected_target}: {target.id}")
    lines += framing_lines(routed.method, body_length)
    text = "\r\n".join(lines) + "\r\n\r\n"
    return text.encode("utf-8", "surrogateescape")


def framing_lines(method: str, body_length: int | None) -> list[str]:
    """Return the header lines from which the receiver knows the end of the body.

    :param method: Method of the request.
    :param body_length: Length of the body in bytes; ``None`` if it is sent in chunks.
    """
    if body_length is None:
        return ["Transfer-Encoding: chunked"]
    if body_length or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        return [f"Content-Length: {body_length}"]
    return []


def read_reported_load(
    headers: Mapping[str, str], names: HeaderNames
) -> ReportedLoad | None:
    """Return the load that a target reports; ``None`` if it is missing or invalid.

    The fourth figure is optional, and further ones are ignored.

    :param headers: Header fields of the target's response.
    :param names: Names of the header fields.
    """
    value = headers.get(names.load, "")
    if len(value) > MAX_LOAD_LENGTH:
        return None
    parts = [part.strip() for part in value.split(",")]
    if len(parts) < 3 or not all(_is_count(part) for part in parts[:3]):
        return None
    running, waiting, slots = (int(part) for part in parts[:3])
    slowdown = 1.0
    if len(parts) > 3 and _is_count(parts[3]) and int(parts[3]) > 0:
        slowdown = int(parts[3]) / PERCENT
    return ReportedLoad(
        running=running, waiting=waiting, slots=slots, slowdown=slowdown
    )


def read_notice(
    status: int, headers: Mapping[str, str], names: HeaderNames
) -> TargetNotice | Failure:
    """Return the notice in a target's response: that it leaves, or wants a pause.

    :param status: HTTP status of the response.
    :param headers: Header fields of the response.
    :param names: Names of the header fields.
    :return: The notice; or a failure with code 2806 if it can't be parsed.
    """
    if status == STATUS_MISDIRECTED:
        # Another target responded; its notice concerns only itself.
        return NO_NOTICE
    is_leaving = headers.get(names.leaving) == names.leaving_value
    pause_s = 0.0
    if status == STATUS_UNAVAILABLE and names.retry_after in headers:
        value = headers[names.retry_after].strip()
        if not _SECONDS.fullmatch(value):
            return Failure(code=codes.PAUSE_UNREADABLE, detail=value[:40])
        pause_s = float(value)
    if not is_leaving and pause_s == 0.0:
        return NO_NOTICE
    return TargetNotice(is_leaving=is_leaving, pause_s=pause_s)


def read_rate_limit(
    status: int, headers: Mapping[str, str], names: HeaderNames
) -> RateLimitStatement | Failure | None:
    """Return what a target's response states about its rate limit.

    :param status: HTTP status of the response.
    :param headers: Header fields of the response.
    :param names: Names of the header fields.
    :return: The statement; ``None`` if another target responded; or a failure with
        code 2807 if the limit can't be parsed.
    """
    if status == STATUS_MISDIRECTED:
        return None
    value = headers.get(names.rate_limit)
    if value is None:
        return NO_RATE_LIMIT
    if not _RATE.fullmatch(value.strip()):
        return Failure(code=codes.RATE_LIMIT_UNREADABLE, detail=value[:40])
    return RateLimitStatement(per_s=float(value))


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 6
