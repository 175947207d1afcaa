"""Merge of routing items by version, and validation of patches."""

from collections.abc import Container, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from expression import Error, Ok, Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import (
    HostName,
    ItemVersion,
    RouteName,
    ServiceName,
    WorkspaceName,
)
from mothshunt.routing import codes
from mothshunt.routing.messages import PatchRouting
from mothshunt.routing.model import (
    LimitsItem,
    Route,
    RouteItem,
    ServiceItem,
    Workspace,
    WorkspaceItem,
)
from mothshunt.routing.workspaces import faults_in_workspaces, shared_key_fault


class Versioned(Protocol):
    """Item with a version."""

    @property
    def version(self) -> ItemVersion:
        """Version of the item."""
        ...


K = TypeVar("K")
V = TypeVar("V", bound=Versioned)


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingItems:
    """Routing items, dropped ones included.

    :param route_by_name: Routes.
    :param service_by_name: Services.
    :param limits: Limits for callers; ``None`` until some are set.
    :param workspace_by_name: Workspaces.
    """

    route_by_name: Mapping[RouteName, RouteItem] = field(default_factory=dict)
    service_by_name: Mapping[ServiceName, ServiceItem] = field(default_factory=dict)
    limits: LimitsItem | None = None
    workspace_by_name: Mapping[WorkspaceName, WorkspaceItem] = field(
        default_factory=dict
    )

    def routes(self) -> Iterator[Route]:
        """Return the routes that are not dropped."""
        for item in self.route_by_name.values():
            if item.route is not None:
                yield item.route

    def workspaces(self) -> Iterator[Workspace]:
        """Return the workspaces that are not dropped."""
        for item in self.workspace_by_name.values():
            if item.workspace is not None:
                yield item.workspace

    def has_service(self, service: ServiceName) -> bool:
        """Whether a service exists and is not dropped.

        :param service: Name of the service.
        """
        item = self.service_by_name.get(service)
        return item is not None and item.service is not None


@dataclass(frozen=True, kw_only=True, slots=True)
class MergeResult:
    """Items of a patch that take effect, and all items after it.

    :param items: All items after the patch.
    :param routes: Routes that the patch changes.
    :param services: Services that the patch changes.
    :param limits: Limits, if the patch changes them.
    :param workspaces: Workspaces that the patch changes.
    """

    items: RoutingItems
    routes: tuple[RouteItem, ...]
    services: tuple[ServiceItem, ...]
    limits: LimitsItem | None
    workspaces: tuple[WorkspaceItem, ...] = ()

    @property
    def changed(self) -> int:
        """Number of items that take effect."""
        return (
            len(self.routes)
            + len(self.services)
            + (self.limits is not None)
            + len(self.workspaces)
        )


def merge(stored: RoutingItems, patch: PatchRouting) -> Result[MergeResult, Failure]:
    """Merge a patch into the items; for each name the highest version takes effect.

    The result does not depend on the order of calls, on repeats, or on how items are
    spread over calls. A patch is accepted or refused as a whole. An item that takes
    no effect may name a service that was dropped since: a repeated call that was
    valid when it was first sent is acknowledged again.

    :param stored: Items that are stored.
    :param patch: The patch.
    :return: The items that take effect; or a failure with code 2701, 2702,
        2703 or 2708.
    """
    fault = next(faults_in_patch(patch, stored.service_by_name), None)
    if fault is not None:
        return Error(fault)
    routes = _newer_than_stored(
        stored.route_by_name, highest_versions((i.name, i) for i in patch.routes)
    )
    services = _newer_than_stored(
        stored.service_by_name, highest_versions((i.name, i) for i in patch.services)
    )
    workspaces = _newer_than_stored(
        stored.workspace_by_name,
        highest_versions((i.name, i) for i in patch.workspaces),
    )
    limits = patch.limits
    if limits is not None and stored.limits is not None:
        limits = limits if limits.version > stored.limits.version else None
    items = RoutingItems(
        route_by_name={**stored.route_by_name, **routes},
        service_by_name={**stored.service_by_name, **services},
        limits=limits or stored.limits,
        workspace_by_name={**stored.workspace_by_name, **workspaces},
    )
    _, fault = next(faults_in_items(items, routes, services), (None, None))
    fault = fault or shared_key_fault(items.workspace_by_name, workspaces)
    if fault is not None:
        return Error(fault)
    return Ok(
        MergeResult(
            items=items,
            routes=tuple(routes.values()),
            services=tuple(services.values()),
            limits=limits,
            workspaces=tuple(workspaces.values()),
        )
    )


def highest_versions(items: Iterable[tuple[K, V]]) -> dict[K, V]:
    """Return the item of the highest version of each name; of equal ones, the first.

    :param items: Names and items.
    """
    item_by_name: dict[K, V] = {}
    for name, item in items:
        other = item_by_name.get(name)
        if other is None or item.version > other.version:
            item_by_name[name] = item
    return item_by_name


def _newer_than_stored(stored: Mapping[K, V], items: Mapping[K, V]) -> dict[K, V]:
    return {
        name: item
        for name, item in items.items()
        if name not in stored or item.version > stored[name].version
    }


def faults_in_patch(
    patch: PatchRouting, known_services: Container[ServiceName]
) -> Iterator[Failure]:
    """Yield the faults in any item of a patch, whether it takes effect or not.

    The path of a fault is a JSON pointer into the patch: items that are set precede
    those that are dropped, so that it also fits the document of the patch.

    :param patch: The patch.
    :param known_services: Services that routes may name besides those of the patch.
    """
    name_by_place: dict[tuple[HostName, str], RouteName] = {}
    set_services = {item.name for item in patch.services if item.service is not None}
    for index, item in enumerate(patch.routes):
        route = item.route
        if route is None:
            continue
        path = f"/routes/{index}"
        for member, problem in _problems_of_route(route):
            yield Failure(
                code=codes.INVALID_ITEM,
                detail=f"{route.name}: {problem}",
                path=f"{path}/{member}",
            )
        place = (route.host, route.path_prefix)
        if name_by_place.setdefault(place, route.name) != route.name:
            yield _place_taken(place, path)
        for part_index, part in enumerate(route.services):
            if part.service not in set_services and part.service not in known_services:
                yield _unknown_service(part.service, path, part_index)
    yield from faults_in_workspaces(patch.workspaces)


def _problems_of_route(route: Route) -> Iterator[tuple[str, str]]:
    """Yield the members of a route that are faulty, with a description of each fault.

    :param route: The route.
    """
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield "path_prefix", "the path prefix does not begin and end with a slash"
    if not route.services:
        yield "services", "the route has no service"
    elif not all(part.weight >= 0 for part in route.services):
        yield "services", "a weight is negative"
    elif not sum(part.weight for part in route.services) > 0:
        yield "services", "the weights add up to 0"
    if not route.max_attempts >= 1:
        yield "max_attempts", "the number of attempts is below 1"
    if not route.timeout_s > 0:
        yield "timeout_ms", "the timeout is not positive"


def faults_in_items(
    items: RoutingItems,
    routes: Mapping[RouteName, RouteItem],
    services: Mapping[ServiceName, ServiceItem],
) -> Iterator[tuple[RouteName, Failure]]:
    """Yield the faults that all items together would have after a patch.

    :param items: All items after the patch.
    :param routes: Routes that the patch changes.
    :param services: Services that the patch changes.
    :return: Names of the faulty routes and their faults, with paths into the route.
    """
    changed = [item.route for item in routes.values() if item.route is not None]
    places = {(route.host, route.path_prefix) for route in changed}
    dropped = {name for name, item in services.items() if item.service is None}
    if not places and not dropped:
        return
    seen: set[tuple[HostName, str]] = set()
    for route in items.routes():
        place = (route.host, route.path_prefix)
        if place in places and place in seen:
            yield route.name, _place_taken(place, "")
        seen.add(place)
        if route.name not in routes and not dropped:
            continue
        for index, part in enumerate(route.services):
            if not items.has_service(part.service):
                yield route.name, _unknown_service(part.service, "", index)


def _place_taken(place: tuple[HostName, str], path: str) -> Failure:
    return Failure(
        code=codes.PLACE_TAKEN, detail="".join(place), path=f"{path}/path_prefix"
    )


def _unknown_service(service: ServiceName, path: str, index: int) -> Failure:
    return Failure(
        code=codes.UNKNOWN_SERVICE,
        detail=service,
        path=f"{path}/services/{index}/service",
    )
