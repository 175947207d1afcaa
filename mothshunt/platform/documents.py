"""Documents of targets and operators, decoded once into the product's types."""

import json
from collections.abc import Mapping
from typing import Any

from mothshunt.core.types import (
    AvailabilityZoneId,
    HostName,
    Incarnation,
    ItemVersion,
    OperatorId,
    RegionId,
    RouteName,
    ServiceName,
    TargetId,
    WorkspaceName,
)
from mothshunt.platform import names, values
from mothshunt.platform.values import BadValueError
from mothshunt.registry.messages import Renewal, RenewalState
from mothshunt.routing.const import MAX_KEY_LENGTH
from mothshunt.routing.messages import PatchRouting
from mothshunt.routing.model import (
    LimitsItem,
    RequestKind,
    RequestLimits,
    Route,
    RouteItem,
    Service,
    ServiceItem,
    WeightedService,
    Workspace,
    WorkspaceItem,
)
from mothshunt.routing.state import RoutingItems
from mothshunt.routing.workspaces import key_digests

OPERATOR = OperatorId("platform")
MAX_INT = 2**62
MILLISECONDS_PER_SECOND = 1000
#: Longest time for which a target counts as cold after a report, in seconds.
MAX_COLD_S = 3600.0
_KIND_BY_WORD = {
    names.KIND_SAFE: RequestKind.IDEMPOTENT,
    names.KIND_DOWNLOAD: RequestKind.IDEMPOTENT,
    names.KIND_NON_IDEMPOTENT: RequestKind.NON_IDEMPOTENT,
}
_STATE_BY_WORD = {
    names.STATE_READY: RenewalState.SERVING,
    names.STATE_DRAINING: RenewalState.LEAVING,
}


def read_json(content: bytes) -> dict[str, Any]:
    """Read a JSON document.

    :param content: JSON text.
    :raises BadValueError: When it is none, or no table.
    """
    try:
        return values.table(json.loads(content), "")
    except (ValueError, RecursionError) as error:
        raise BadValueError("", f"not a JSON document: {error!s:.80}") from error


def read_renewal(
    target: str,
    document: Mapping[str, Any],
    region_by_zone: Mapping[AvailabilityZoneId, RegionId],
) -> Renewal:
    """Read what a target says of itself.

    :param target: Name of the target, from the path.
    :param document: The body.
    :param region_by_zone: Regions of the availability zones.
    :raises BadValueError: When a field is missing or not what it must be.
    """
    host, port = values.address(document.get("address"), "address")
    zone = AvailabilityZoneId(values.text(document.get("zone"), "zone"))
    if zone not in region_by_zone:
        raise BadValueError("zone", "no such availability zone")
    word = values.text(document.get("state"), "state")
    if word not in _STATE_BY_WORD:
        raise BadValueError("state", "no such state")
    # How long it stays cold after this report, not since its start.
    cold_s = values.seconds(
        document.get("cold_remaining", "0ms"), "cold_remaining", MAX_COLD_S
    )
    return Renewal(
        target=TargetId(values.text(target, "id")),
        incarnation=read_incarnation(document) or Incarnation(0),
        sequence=values.whole(document.get("sequence"), "sequence", 0, MAX_INT),
        service=ServiceName(values.text(document.get("service"), "service")),
        host=host,
        port=port,
        region=region_by_zone[zone],
        availability_zone=zone,
        release=values.text(document.get("version", "-"), "version"),
        slots=values.whole(document.get("slots"), "slots", 1, 100_000),
        state=_STATE_BY_WORD[word],
        cold_ms=int(cold_s * MILLISECONDS_PER_SECOND),
    )


def read_incarnation(document: Mapping[str, Any]) -> Incarnation | None:
    """Read when a target started, which tells its starts apart.

    :param document: The body.
    :raises BadValueError: When it is no whole number.
    """
    if "born" not in document:
        return None
    return Incarnation(values.whole(document["born"], "born", 0, MAX_INT))


def read_patch(document: Mapping[str, Any]) -> PatchRouting:
    """Read the items that an operator sets and drops.

    :param document: The body.
    :raises BadValueError: When a field is missing or not what it must be.
    """
    upsert = values.table(document.get("upsert", {}), "upsert")
    remove = values.table(document.get("remove", {}), "remove")
    limits = upsert.get("limits")
    routes = [
        *_set_routes(upsert),
        *(
            RouteItem(
                name=RouteName(item_name),
                version=ItemVersion(item_version),
                route=None,
            )
            for item_name, item_version in _dropped(remove, "routes")
        ),
    ]
    services = [
        *(
            _service(values.table(item, f"upsert/services/{index}"))
            for index, item in enumerate(
                values.rows(upsert.get("services"), "upsert/services")
            )
        ),
        *(
            ServiceItem(
                name=ServiceName(item_name),
                version=ItemVersion(item_version),
                service=None,
            )
            for item_name, item_version in _dropped(remove, "services")
        ),
    ]
    workspaces = [
        *(
            _workspace(
                values.table(item, f"upsert/{names.WORKSPACES}/{index}"),
                f"upsert/{names.WORKSPACES}/{index}",
            )
            for index, item in enumerate(
                values.rows(upsert.get(names.WORKSPACES), f"upsert/{names.WORKSPACES}")
            )
        ),
        *(
            WorkspaceItem(
                name=WorkspaceName(item_name),
                version=ItemVersion(item_version),
                workspace=None,
            )
            for item_name, item_version in _dropped(remove, names.WORKSPACES)
        ),
    ]
    return PatchRouting(
        operator=OPERATOR,
        routes=tuple(routes),
        services=tuple(services),
        limits=None if limits is None else _limits(values.table(limits, "limits")),
        workspaces=tuple(workspaces),
    )


def _dropped(remove: dict[str, Any], kind: str) -> list[tuple[str, int]]:
    dropped = []
    for index, entry in enumerate(values.rows(remove.get(kind), f"remove/{kind}")):
        path = f"remove/{kind}/{index}"
        item = values.table(entry, path)
        item_name = values.text(item.get("name"), f"{path}/name")
        dropped.append((item_name, values.version(item.get("version"), path)))
    return dropped


def _set_routes(upsert: dict[str, Any]) -> list[RouteItem]:
    routes = []
    for index, entry in enumerate(values.rows(upsert.get("hosts"), "upsert/hosts")):
        path = f"upsert/hosts/{index}"
        group = values.table(entry, path)
        host = HostName(values.text(group.get("host"), f"{path}/host"))
        for number, item in enumerate(values.rows(group.get("paths"), f"{path}/paths")):
            routes.append(_route(host, values.table(item, path), f"{path}/{number}"))
    return routes


def _route(host: HostName, item: dict[str, Any], path: str) -> RouteItem:
    name = RouteName(values.text(item.get("name"), f"{path}/name"))
    kind = _KIND_BY_WORD.get(values.text(item.get("kind"), f"{path}/kind"))
    if kind is None:
        raise BadValueError(f"{path}/kind", "no such kind")
    homes = values.rows(item.get("allowed_regions"), f"{path}/allowed_regions")
    route = Route(
        name=name,
        host=host,
        path_prefix=values.text(item.get("path_prefix"), f"{path}/path_prefix", 4096),
        kind=kind,
        timeout_s=values.seconds(item.get("timeout"), f"{path}/timeout"),
        target_latency_s=values.seconds(
            item.get("target_latency"), f"{path}/target_latency"
        ),
        priority=values.whole(item.get("priority"), f"{path}/priority", 0, 1000),
        services=_services(item, path),
        max_attempts=values.whole(item.get("max_attempts"), path, 0, 1000),
        has_affinity=item.get("sticky") is True,
        home_regions=tuple(RegionId(values.text(home, path)) for home in homes),
        document=json.dumps(item),
        allows_anonymous=values.flag(
            item.get("allow_anonymous", False), f"{path}/allow_anonymous"
        ),
    )
    version = ItemVersion(values.version(item.get("version"), f"{path}/version"))
    return RouteItem(name=name, version=version, route=route)


def _services(item: dict[str, Any], path: str) -> tuple[WeightedService, ...]:
    if item.get("traffic_split") is None:
        service = ServiceName(values.text(item.get("service"), f"{path}/service"))
        return (WeightedService(service=service, weight=1.0),)
    parts = []
    split = values.rows(item["traffic_split"], f"{path}/traffic_split")
    for entry in split:
        part = values.table(entry, f"{path}/traffic_split")
        parts.append(
            WeightedService(
                service=ServiceName(values.text(part.get("service"), path)),
                weight=values.number(part.get("weight"), f"{path}/weight"),
            )
        )
    return tuple(parts)


def _service(item: dict[str, Any]) -> ServiceItem:
    name = ServiceName(values.text(item.get("name"), "services/name"))
    path = f"services/{name}"
    service = Service(
        name=name,
        health_path=values.text(item.get("health_path"), f"{path}/health_path"),
        max_connections=values.whole(
            item.get("max_connections"), f"{path}/max_connections", 0, MAX_INT
        ),
        cold_start_s=values.seconds(item.get("cold_start", "0ms"), path),
        cold_requests_per_s=values.number(item.get("cold_per_s", 0), path),
        document=json.dumps(item),
    )
    version = ItemVersion(values.version(item.get("version"), f"{path}/version"))
    return ServiceItem(name=name, version=version, service=service)


def _workspace(item: dict[str, Any], path: str) -> WorkspaceItem:
    name = WorkspaceName(values.text(item.get("name"), f"{path}/name"))
    keys = values.rows(item.get("api_keys"), f"{path}/api_keys")
    homes = values.rows(item.get("allowed_regions"), f"{path}/allowed_regions")
    priority = item.get("priority")
    workspace = Workspace(
        name=name,
        key_digests=key_digests(
            values.any_text(key, f"{path}/api_keys/{index}", MAX_KEY_LENGTH)
            for index, key in enumerate(keys)
        ),
        requests_per_s=values.number(item.get("per_s", 0), f"{path}/per_s"),
        burst=values.number(item.get("burst", 0), f"{path}/burst"),
        priority=(
            None
            if priority is None
            else values.whole(priority, f"{path}/priority", 0, 1000)
        ),
        home_regions=tuple(
            RegionId(values.text(home, f"{path}/allowed_regions")) for home in homes
        ),
        document=json.dumps(item),
    )
    version = ItemVersion(values.version(item.get("version"), f"{path}/version"))
    return WorkspaceItem(name=name, version=version, workspace=workspace)


def _limits(item: dict[str, Any]) -> LimitsItem:
    limits = RequestLimits(
        max_header_bytes=values.whole(
            item.get("max_header_bytes"), "limits/max_header_bytes", 1, MAX_INT
        ),
        max_body_bytes=values.whole(
            item.get("max_body_bytes"), "limits/max_body_bytes", 0, MAX_INT
        ),
        header_timeout_s=values.seconds(item.get("header_timeout"), "limits"),
        idle_timeout_s=values.seconds(item.get("idle_timeout"), "limits"),
        document=json.dumps(item),
    )
    version = ItemVersion(values.version(item.get("version"), "limits/version"))
    return LimitsItem(version=version, limits=limits)


def items_document(items: RoutingItems) -> dict[str, Any]:
    """Return all items that are not dropped, each as it was sent.

    :param items: The routing items.
    """
    paths_by_host: dict[HostName, list[Any]] = {}
    for route in items.routes():
        paths_by_host.setdefault(route.host, []).append(json.loads(route.document))
    document: dict[str, Any] = {
        "services": [
            json.loads(item.service.document)
            for item in items.service_by_name.values()
            if item.service is not None
        ],
        "hosts": [
            {"host": host, "paths": paths} for host, paths in paths_by_host.items()
        ],
    }
    workspaces = [json.loads(workspace.document) for workspace in items.workspaces()]
    if workspaces:
        document[names.WORKSPACES] = workspaces
    if items.limits is not None:
        document["limits"] = json.loads(items.limits.limits.document)
    return document
