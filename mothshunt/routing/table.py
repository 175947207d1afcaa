"""Construction of the routing table from the items in force."""

from mothshunt.configuration.decode import ItemDecoder
from mothshunt.configuration.model import Section
from mothshunt.configuration.store import ItemStore
from mothshunt.core.types import HostName, ServiceName, TargetId
from mothshunt.routing.model import Route, RoutingTable, Service
from mothshunt.routing.state import RoutingItems
from mothshunt.routing.workspaces import workspace_by_key_digest


def routes_by_host(items: RoutingItems) -> dict[HostName, tuple[Route, ...]]:
    """Return the routes of each host, longest prefix first.

    :param items: The routing items.
    """
    routes_of_host: dict[HostName, list[Route]] = {}
    for route in items.routes():
        routes_of_host.setdefault(HostName(route.host.lower()), []).append(route)
    return {
        host: tuple(sorted(routes, key=_prefix_length, reverse=True))
        for host, routes in routes_of_host.items()
    }


def build_table(
    items: RoutingItems, store: ItemStore, decoder: ItemDecoder
) -> RoutingTable:
    """Return the routing table of a store.

    :param items: Routing items of the store.
    :param store: The stored items.
    :param decoder: Decoder with a cache of decoded items.
    """
    service_by_name: dict[ServiceName, Service] = {
        name: item.service
        for name, item in items.service_by_name.items()
        if item.service is not None
    }
    workspace_by_name = {workspace.name: workspace for workspace in items.workspaces()}
    evacuations = decoder.values(store, Section.EVACUATION).values()
    retired = decoder.values(store, Section.RETIRED_TARGET)
    return RoutingTable(
        routes_by_host=routes_by_host(items),
        service_by_name=service_by_name,
        limits=items.limits.limits if items.limits is not None else None,
        evacuated_zones=frozenset(
            item.availability_zone for item in evacuations if item.is_evacuated
        ),
        retired_by_target={TargetId(name): item for name, item in retired.items()},
        workspace_by_name=workspace_by_name,
        workspace_by_key_digest=workspace_by_key_digest(workspace_by_name.values()),
        has_items=bool(items.route_by_name),
    )


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
