"""Routes, services and request limits that the other slices use."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated, Any

from pydantic import BeforeValidator

from mothshunt.core.types import (
    AvailabilityZoneId,
    HostName,
    Incarnation,
    ItemVersion,
    RegionId,
    RouteName,
    ServiceName,
    TargetId,
    WorkspaceName,
)
from mothshunt.routing.const import LARGEST_NUMBER


def _from_stored_number(value: Any) -> Any:
    # Earlier releases accepted infinite numbers, which JSON stores as null.
    return LARGEST_NUMBER if value is None else value


Number = Annotated[float, BeforeValidator(_from_stored_number)]


class RequestKind(Enum):
    """Kind of request: one that may run more than once, or one that may not."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """Service among those that a route is split over, with its weight.

    :param service: The service.
    :param weight: Its part of the requests, relative to the others of the route.
    """

    service: ServiceName
    weight: Number


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Destination and terms of the requests for one host and path prefix.

    :param name: Unique name.
    :param host: Host that the requests name.
    :param path_prefix: Prefix of the path; begins and ends with a slash.
    :param kind: Whether the requests may run more than once.
    :param timeout_s: Longest time until a request is answered, in seconds.
    :param target_latency_s: Time within which an answer has its full value, in
        seconds.
    :param priority: Rank among the routes of a service; 0 is the most urgent.
    :param services: Services that take the requests; one, or several with weights.
    :param max_attempts: Number of targets that one request may be sent to, including
        the first.
    :param has_affinity: Whether a target answers sooner for an object that it has
        handled before.
    :param home_regions: Regions that the requests must stay in; empty for all regions.
    :param document: Operator's document of the item, returned as it was sent.
    :param allows_anonymous: Whether the requests need no key of a workspace.
    """

    name: RouteName
    host: HostName
    path_prefix: str
    kind: RequestKind
    timeout_s: Number
    target_latency_s: Number
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    has_affinity: bool
    home_regions: tuple[RegionId, ...]
    document: str
    allows_anonymous: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether the requests may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """Service, with the terms that all of its targets share.

    :param name: Unique name.
    :param health_path: Path of the targets' health check.
    :param max_connections: Number of connections that a target accepts from all
        instances together.
    :param cold_start_s: Time after its start for which a target is cold, in seconds.
    :param cold_requests_per_s: Requests per second that a cold target can take.
    :param document: Operator's document of the item, returned as it was sent.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    cold_start_s: Number
    cold_requests_per_s: Number
    document: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """Tenant of the deployment, identified by the keys that its requests carry.

    :param name: Unique name.
    :param key_digests: SHA-256 digests of its keys, in hexadecimal digits.
    :param requests_per_s: Quota of requests a second, over all entry instances; 0 for
        no quota.
    :param burst: Requests that may exceed the rate at a time.
    :param priority: Rank of its requests, which takes precedence over that of the
        route; ``None`` to use the route's.
    :param home_regions: Regions that the requests must stay in; empty for all regions.
    :param document: Operator's document of the item, returned as it was sent. It may
        contain the keys.
    """

    name: WorkspaceName
    key_digests: tuple[str, ...]
    requests_per_s: float
    burst: float
    priority: int | None
    home_regions: tuple[RegionId, ...]
    document: str = field(repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """Limits on what a caller may send, and on the time it may take.

    :param max_header_bytes: Longest header field, in bytes.
    :param max_body_bytes: Largest request body, in bytes.
    :param header_timeout_s: Longest time to receive a whole request head, in seconds.
    :param idle_timeout_s: Time after which an idle connection is closed, in seconds.
    :param document: Operator's document of the item, returned as it was sent.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: Number
    idle_timeout_s: Number
    document: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteItem:
    """Route at one version, set or dropped.

    :param name: Name of the route.
    :param version: Version of the item.
    :param route: The route; ``None`` where this version drops it.
    """

    name: RouteName
    version: ItemVersion
    route: Route | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceItem:
    """Service at one version, set or dropped.

    :param name: Name of the service.
    :param version: Version of the item.
    :param service: The service; ``None`` where this version drops it.
    """

    name: ServiceName
    version: ItemVersion
    service: Service | None


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceItem:
    """Workspace at one version, set or dropped.

    :param name: Name of the workspace.
    :param version: Version of the item.
    :param workspace: The workspace; ``None`` where this version drops it.
    """

    name: WorkspaceName
    version: ItemVersion
    workspace: Workspace | None


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitsItem:
    """Request limits at one version.

    :param version: Version of the item.
    :param limits: The limits.
    """

    version: ItemVersion
    limits: RequestLimits


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuation:
    """State of an availability zone: evacuated or not.

    :param availability_zone: The zone.
    :param is_evacuated: Whether the zone's targets get no new requests.
    """

    availability_zone: AvailabilityZoneId
    is_evacuated: bool


class RetiredState(Enum):
    """Reason why a target gets no new requests: it leaves or has left."""

    LEAVING = "leaving"
    LEFT = "left"


@dataclass(frozen=True, kw_only=True, slots=True)
class RetiredTarget:
    """Record that a target gets no new requests up to one incarnation.

    :param target: Name of the target.
    :param incarnation: Newest incarnation that leaves or has left.
    :param state: Whether it leaves or has left.
    """

    target: TargetId
    incarnation: Incarnation
    state: RetiredState


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingTable:
    """All routing items in force, indexed for look-up.

    :param routes_by_host: Routes of each host, longest prefix first.
    :param service_by_name: Services that exist.
    :param limits: Limits for callers; ``None`` until some are set.
    :param evacuated_zones: Availability zones whose targets get no new requests.
    :param retired_by_target: Targets that leave or have left.
    :param workspace_by_name: Workspaces that exist.
    :param workspace_by_key_digest: The same by the digest of each key.
    :param has_items: Whether any route was ever set; before that, it is unknown which
        requests are valid.
    """

    routes_by_host: Mapping[HostName, tuple[Route, ...]] = field(default_factory=dict)
    service_by_name: Mapping[ServiceName, Service] = field(default_factory=dict)
    limits: RequestLimits | None = None
    evacuated_zones: frozenset[AvailabilityZoneId] = frozenset()
    retired_by_target: Mapping[TargetId, RetiredTarget] = field(default_factory=dict)
    workspace_by_name: Mapping[WorkspaceName, Workspace] = field(default_factory=dict)
    workspace_by_key_digest: Mapping[str, Workspace] = field(default_factory=dict)
    has_items: bool = False

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix.

        :param host: Host that the request names, with or without a port.
        :param path: Path, without the query.
        """
        name = HostName(host.rsplit(":", 1)[0].lower() if ":" in host else host.lower())
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def is_retired(self, target: TargetId, incarnation: Incarnation) -> bool:
        """Whether a target leaves or has left and gets no new requests.

        :param target: Name of the target.
        :param incarnation: Its incarnation.
        """
        retired = self.retired_by_target.get(target)
        return retired is not None and incarnation <= retired.incarnation
