"""Merge of routing items by version, and the check of what a patch asks for."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from expression import Error, Ok, Result

from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import HostName, ItemVersion, RouteName, ServiceName
from mothshunt.routing import codes
from mothshunt.routing.messages import PatchRouting
from mothshunt.routing.model import LimitsItem, Route, RouteItem, ServiceItem


class Versioned(Protocol):
    """Carry a version."""

    @property
    def version(self) -> ItemVersion:
        """Version of the item."""
        ...


K = TypeVar("K")
V = TypeVar("V", bound=Versioned)


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingItems:
    """Hold routing items, dropped ones included.

    :param route_by_name: Routes.
    :param service_by_name: Services.
    :param limits: Limits for callers, once there are any.
    """

    route_by_name: Mapping[RouteName, RouteItem] = field(default_factory=dict)
    service_by_name: Mapping[ServiceName, ServiceItem] = field(default_factory=dict)
    limits: LimitsItem | None = None

    def routes(self) -> Iterator[Route]:
        """Return the routes that are not dropped."""
        for item in self.route_by_name.values():
            if item.route is not None:
                yield item.route

    def has_service(self, service: ServiceName) -> bool:
        """Tell whether a service exists.

        :param service: Name of the service.
        """
        item = self.service_by_name.get(service)
        return item is not None and item.service is not None


@dataclass(frozen=True, kw_only=True, slots=True)
class Merged:
    """Hold the items of a patch that take effect.

    :param items: All items after the patch.
    :param routes: Routes that changed.
    :param services: Services that changed.
    :param limits: Limits, where they changed.
    """

    items: RoutingItems
    routes: tuple[RouteItem, ...]
    services: tuple[ServiceItem, ...]
    limits: LimitsItem | None

    @property
    def changed(self) -> int:
        """Number of items that take effect."""
        return len(self.routes) + len(self.services) + (self.limits is not None)


def merge(held: RoutingItems, patch: PatchRouting) -> Result[Merged, Failure]:
    """Merge a patch: for each name the highest version takes effect.

    Order, repeats and the way items are spread over calls make no difference to the
    result. A patch is taken as a whole or refused as a whole. What takes no effect
    may name services that were dropped since: such a call was valid once and is
    acknowledged again.

    :param held: Items in force.
    :param patch: What is asked for.
    :return: What takes effect; or a failure with code 2701, 2702 or 2703.
    """
    fault = _fault_of_call(held, patch)
    if fault is not None:
        return Error(fault)
    routes = _newer(held.route_by_name, _newest((i.name, i) for i in patch.routes))
    services = _newer(
        held.service_by_name, _newest((i.name, i) for i in patch.services)
    )
    limits = patch.limits
    if limits is not None and held.limits is not None:
        limits = limits if limits.version > held.limits.version else None
    items = RoutingItems(
        route_by_name={**held.route_by_name, **routes},
        service_by_name={**held.service_by_name, **services},
        limits=limits or held.limits,
    )
    fault = _fault_of_result(items, routes, services)
    if fault is not None:
        return Error(fault)
    return Ok(
        Merged(
            items=items,
            routes=tuple(routes.values()),
            services=tuple(services.values()),
            limits=limits,
        )
    )


def _newest(items: Iterable[tuple[K, V]]) -> dict[K, V]:
    newest: dict[K, V] = {}
    for name, item in items:
        held = newest.get(name)
        if held is None or item.version > held.version:
            newest[name] = item
    return newest


def _newer(held: Mapping[K, V], items: Mapping[K, V]) -> dict[K, V]:
    return {
        name: item
        for name, item in items.items()
        if name not in held or item.version > held[name].version
    }


def _fault_of_call(held: RoutingItems, patch: PatchRouting) -> Failure | None:
    """Find what is wrong with a call, whatever of it takes effect."""
    name_by_place: dict[tuple[HostName, str], RouteName] = {}
    named = {item.name for item in patch.services if item.service is not None}
    for item in patch.routes:
        route = item.route
        if route is None:
            continue
        fault = fault_of_route(route)
        if fault is not None:
            return _failure(codes.INVALID_ITEM, f"{route.name}: {fault}")
        place = (route.host, route.path_prefix)
        if name_by_place.setdefault(place, route.name) != route.name:
            return _failure(codes.SAME_PLACE, "".join(place))
        for part in route.services:
            if part.service not in named and part.service not in held.service_by_name:
                return _failure(codes.UNKNOWN_SERVICE, part.service)
    return None


def fault_of_route(route: Route) -> str | None:
    """Return what is wrong with a route by itself.

    :param route: The route.
    """
    prefix = route.path_prefix
    checks = (
        (prefix.startswith("/") and prefix.endswith("/"), "no slash at both ends"),
        (bool(route.services), "no service"),
        (all(part.weight >= 0 for part in route.services), "a weight is negative"),
        (sum(part.weight for part in route.services) > 0, "the weights add up to 0"),
        (route.max_attempts >= 1, "no attempt is allowed"),
        (route.timeout_s > 0, "the timeout is not positive"),
    )
    return next((problem for is_right, problem in checks if not is_right), None)


def _fault_of_result(
    items: RoutingItems,
    routes: Mapping[RouteName, RouteItem],
    services: Mapping[ServiceName, ServiceItem],
) -> Failure | None:
    """Find what would be wrong with all items together."""
    changed = [item.route for item in routes.values() if item.route is not None]
    places = {(route.host, route.path_prefix) for route in changed}
    dropped = {name for name, item in services.items() if item.service is None}
    if not places and not dropped:
        return None
    seen: set[tuple[HostName, str]] = set()
    for route in items.routes():
        place = (route.host, route.path_prefix)
        if place in places and place in seen:
            return _failure(codes.SAME_PLACE, "".join(place))
        seen.add(place)
        is_touched = route.name in routes or bool(dropped)
        missing = next(
            (p.service for p in route.services if not items.has_service(p.service)),
            None,
        )
        if is_touched and missing is not None:
            return _failure(codes.UNKNOWN_SERVICE, missing)
    return None


def _failure(code: ResultCode, detail: str) -> Failure:
    return Failure(code=code, detail=detail)
