"""Check of routing items before they are sent."""

import re
from collections.abc import Container, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from mothshunt.core.types import RegionId, ServiceName
from mothshunt.routing import codes
from mothshunt.routing.messages import PatchRouting
from mothshunt.routing.model import Route, Workspace
from mothshunt.routing.state import (
    RoutingItems,
    faults_in_items,
    faults_in_patch,
    highest_versions,
)

#: Host as look-ups compare it: without a port, a scheme or a path.
_HOST = re.compile(r"[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*\.?")


class Severity(Enum):
    """Severity of a finding."""

    ERROR = "error"
    WARNING = "warning"


class WarningKind(Enum):
    """Kinds of entries that are accepted, but probably not what is wanted."""

    ROUTE_SHADOWED = "route_shadowed"
    HOST_NEVER_MATCHES = "host_never_matches"
    WEIGHT_ZERO = "weight_zero"
    SERVICE_UNUSED = "service_unused"
    SERVICE_WITHOUT_TARGETS = "service_without_targets"
    TIMEOUT_BELOW_TARGET_LATENCY = "timeout_below_target_latency"
    QUOTA_ABOVE_CAPACITY = "quota_above_capacity"
    REGION_WITHOUT_TARGETS = "region_without_targets"
    NO_COMMON_REGION = "no_common_region"
    WORKSPACE_WITHOUT_KEYS = "workspace_without_keys"


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """Problem in a document of routing items.

    :param severity: Whether the document would be rejected.
    :param path: JSON pointer into the document.
    :param code: Name of the result code of an error, or of the kind of a warning.
    :param text: Description for a person; it contains no key of a workspace.
    """

    severity: Severity
    path: str
    code: str
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownTargets:
    """Targets of one service that serve.

    :param count: Number of targets.
    :param slots: Requests that all of them run at a time.
    :param regions: Regions that they run in.
    """

    count: int
    slots: int
    regions: frozenset[RegionId]


TargetsByService = Mapping[ServiceName, KnownTargets]


def check(
    patch: PatchRouting,
    targets_by_service: TargetsByService | None = None,
    unchecked_services: Container[ServiceName] = frozenset(),
) -> tuple[Finding, ...]:
    """Return all problems of a patch that is the whole configuration.

    Errors are checked in all items, as a merge does. Warnings are given for the highest
    version of each item only, because the others take no effect.

    :param patch: The items; the paths of findings are positions in it.
    :param targets_by_service: Targets by their service; ``None`` if they are unknown.
    :param unchecked_services: Services that exist, but have faults found before.
    :return: The findings, errors first; each once.
    """
    errors = _errors(patch, unchecked_services)
    warnings = _warnings(patch, targets_by_service)
    return tuple(dict.fromkeys((*errors, *warnings)))


def _errors(
    patch: PatchRouting, unchecked_services: Container[ServiceName]
) -> Iterator[Finding]:
    for fault in faults_in_patch(patch, unchecked_services):
        yield _error(fault.path, fault.code.name, fault.detail)
    routes = highest_versions((item.name, item) for item in patch.routes)
    services = highest_versions((item.name, item) for item in patch.services)
    items = RoutingItems(route_by_name=routes, service_by_name=services)
    path_by_route = {
        item.name: f"/routes/{index}"
        for index, item in enumerate(patch.routes)
        if routes[item.name] is item
    }
    for name, fault in faults_in_items(items, routes, services):
        is_service = fault.code is codes.UNKNOWN_SERVICE
        if not (is_service and fault.detail in unchecked_services):
            path = path_by_route[name] + fault.path
            yield _error(path, fault.code.name, fault.detail)


def _error(path: str, code: str, text: str) -> Finding:
    return Finding(severity=Severity.ERROR, path=path, code=code, text=text)


def _warnings(
    patch: PatchRouting, targets: TargetsByService | None
) -> Iterator[Finding]:
    highest_route = highest_versions((item.name, item) for item in patch.routes)
    route_by_path = {
        f"/routes/{index}": item.route
        for index, item in enumerate(patch.routes)
        if item.route is not None and highest_route[item.name] is item
    }
    for path, route in route_by_path.items():
        yield from _route_warnings(path, route)
    yield from _shadowed_routes(route_by_path)
    used = {part.service for route in route_by_path.values() for part in route.services}
    highest_service = highest_versions((item.name, item) for item in patch.services)
    for index, service in enumerate(patch.services):
        if service.service is None or highest_service[service.name] is not service:
            continue
        if service.name not in used:
            text = f"no route names the service {service.name}"
            yield _warning(f"/services/{index}", WarningKind.SERVICE_UNUSED, text)
    highest_workspace = highest_versions((item.name, item) for item in patch.workspaces)
    workspace_by_path = {
        f"/workspaces/{index}": item.workspace
        for index, item in enumerate(patch.workspaces)
        if item.workspace is not None and highest_workspace[item.name] is item
    }
    for path, workspace in workspace_by_path.items():
        yield from _workspace_warnings(path, workspace, tuple(route_by_path.values()))
    if targets is not None:
        yield from _target_warnings(route_by_path, workspace_by_path, targets)


def _route_warnings(path: str, route: Route) -> Iterator[Finding]:
    if not _HOST.fullmatch(route.host):
        text = f"no request names the host {route.host!a}; a port is not part of it"
        yield _warning(f"{path}/host", WarningKind.HOST_NEVER_MATCHES, text)
    # Where all weights are 0, the sum is an error already.
    if any(part.weight > 0 for part in route.services):
        for index, part in enumerate(route.services):
            if part.weight == 0:
                text = f"the service {part.service} gets no request of the route"
                part_path = f"{path}/services/{index}/weight"
                yield _warning(part_path, WarningKind.WEIGHT_ZERO, text)
    if 0 < route.timeout_s < route.target_latency_s:
        text = f"{route.timeout_s:g} s is below {route.target_latency_s:g} s"
        yield _warning(
            f"{path}/timeout_ms", WarningKind.TIMEOUT_BELOW_TARGET_LATENCY, text
        )


def _shadowed_routes(route_by_path: Mapping[str, Route]) -> Iterator[Finding]:
    """Yield the routes whose host differs from another one's in upper case only.

    A merge rejects equal hosts with equal prefixes, but look-ups ignore the case.
    """
    first_by_place: dict[tuple[str, str], Route] = {}
    for path, route in route_by_path.items():
        first = first_by_place.setdefault(
            (route.host.lower(), route.path_prefix), route
        )
        if first.host != route.host:
            text = f"only one of {route.name} and {first.name} matches requests"
            yield _warning(f"{path}/path_prefix", WarningKind.ROUTE_SHADOWED, text)


def _workspace_warnings(
    path: str, workspace: Workspace, routes: tuple[Route, ...]
) -> Iterator[Finding]:
    if not workspace.key_digests:
        text = f"no request can belong to {workspace.name}"
        yield _warning(f"{path}/keys", WarningKind.WORKSPACE_WITHOUT_KEYS, text)
    homes = frozenset(workspace.home_regions)
    if not homes or not routes:
        return
    if all(r.home_regions and homes.isdisjoint(r.home_regions) for r in routes):
        text = f"each route rejects the requests of {workspace.name}"
        yield _warning(f"{path}/home_regions", WarningKind.NO_COMMON_REGION, text)


def _target_warnings(
    route_by_path: Mapping[str, Route],
    workspace_by_path: Mapping[str, Workspace],
    targets: TargetsByService,
) -> Iterator[Finding]:
    all_regions = frozenset[RegionId]().union(*(t.regions for t in targets.values()))
    for path, route in route_by_path.items():
        regions: frozenset[RegionId] = frozenset()
        for index, part in enumerate(route.services):
            known = targets.get(part.service)
            if known is not None and known.count > 0:
                regions |= known.regions
            elif part.weight > 0:
                text = f"the service {part.service} has no target"
                part_path = f"{path}/services/{index}/service"
                yield _warning(part_path, WarningKind.SERVICE_WITHOUT_TARGETS, text)
        if regions:
            yield from _empty_regions(path, route.home_regions, regions)
    capacity = _capacity_per_s(tuple(route_by_path.values()), targets)
    for path, workspace in workspace_by_path.items():
        if all_regions:
            yield from _empty_regions(path, workspace.home_regions, all_regions)
        if capacity is not None and workspace.requests_per_s > capacity:
            text = (
                f"{workspace.requests_per_s:g} requests/s exceed the {capacity:g} "
                "requests/s that all slots complete at the target latency"
            )
            yield _warning(
                f"{path}/requests_per_s", WarningKind.QUOTA_ABOVE_CAPACITY, text
            )


def _empty_regions(
    path: str, homes: tuple[RegionId, ...], regions: frozenset[RegionId]
) -> Iterator[Finding]:
    for index, region in enumerate(homes):
        if region not in regions:
            text = f"no target runs in {region}"
            yield _warning(
                f"{path}/home_regions/{index}", WarningKind.REGION_WITHOUT_TARGETS, text
            )


def _capacity_per_s(
    routes: tuple[Route, ...], targets: TargetsByService
) -> float | None:
    """Return the requests per second that the targets of all routes complete.

    The service time is not known before it is measured. It is taken as the shortest
    target latency of the routes to a service, so that faster answers allow more.

    :return: The rate; ``None`` without targets, or where a target latency is 0.
    """
    latency_by_service: dict[ServiceName, float] = {}
    for route in routes:
        for part in route.services:
            latency = latency_by_service.get(part.service, route.target_latency_s)
            shortest = min(latency, route.target_latency_s)
            latency_by_service[part.service] = shortest
    served = [
        (targets[name].slots, latency)
        for name, latency in latency_by_service.items()
        if name in targets
    ]
    if not served or any(latency <= 0 for _, latency in served):
        return None
    return sum(slots / latency for slots, latency in served)


def _warning(path: str, kind: WarningKind, text: str) -> Finding:
    return Finding(severity=Severity.WARNING, path=path, code=kind.value, text=text)
