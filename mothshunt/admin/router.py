"""Choice of the operation that a request asks for."""

import re
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from urllib.parse import unquote

from expression import Ok, Result

from mothshunt.admin import codes
from mothshunt.admin.messages import Refusal, Route, refuse
from mothshunt.core.const import ID_PATTERN


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteMatch:
    """Name the operation that a request asks for.

    :param route: The operation.
    :param path_values: Values of the variable parts of its path.
    """

    route: Route
    path_values: Mapping[str, str]


def find_route(
    routes: Sequence[Route], method: str, raw_path: str
) -> Result[RouteMatch, Refusal]:
    """Find the operation that a request asks for.

    :param routes: Operations of the API.
    :param method: HTTP method.
    :param raw_path: Path as it was sent, still with its escapes.
    """
    matches = list(_matches(routes, raw_path))
    if not matches:
        return refuse(codes.ROUTE_UNKNOWN, unquote(raw_path)[:200])
    # A literal part goes before a variable one.
    matches.sort(key=lambda match: len(match.path_values))
    for match in matches:
        if match.route.method == method:
            return _checked(match)
    allowed = ", ".join(sorted({match.route.method for match in matches}))
    return refuse(codes.METHOD_NOT_ALLOWED, f"allowed: {allowed}")


def _matches(routes: Sequence[Route], raw_path: str) -> Iterator[RouteMatch]:
    parts = [unquote(part) for part in raw_path.split("/")]
    for route in routes:
        names = route.path.split("/")
        if len(names) != len(parts):
            continue
        pairs = list(zip(names, parts, strict=True))
        if all(name == part or name.startswith("{") for name, part in pairs):
            values = {n.strip("{}"): p for n, p in pairs if n.startswith("{")}
            yield RouteMatch(route=route, path_values=values)


def _checked(match: RouteMatch) -> Result[RouteMatch, Refusal]:
    for name, value in match.path_values.items():
        if not re.fullmatch(ID_PATTERN, value):
            return refuse(codes.PARAMETER_INVALID, "not an identifier", f"/{name}")
    return Ok(match)
