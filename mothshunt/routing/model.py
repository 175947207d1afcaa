"""Routes, services and limits as the other slices see them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from mothshunt.core.types import (
    AvailabilityZoneId,
    HostName,
    Incarnation,
    ItemVersion,
    RegionId,
    RouteName,
    ServiceName,
    TargetId,
)


class RequestKind(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """Name a service among those that a route is split over.

    :param service: The service.
    :param weight: Its part of the requests, relative to the others of the route.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Say where requests of one host and path prefix go.

    :param name: Unique name.
    :param host: Host that is asked for.
    :param path_prefix: Beginning of the path; begins and ends with a slash.
    :param kind: Whether the requests may run more than once.
    :param timeout_s: Longest time to an answer, in seconds.
    :param target_latency_s: Time within which an answer is worth most, in seconds.
    :param priority: Rank among the routes of a service; 0 is the most urgent.
    :param services: Where the requests go; one service, or several with weights.
    :param max_attempts: Targets that one request may be sent to, the first included.
    :param has_affinity: Whether a target answers sooner for an object that it
        handled before.
    :param home_regions: Regions that the requests must not leave; none for all.
    :param document: The operator's document of the item, returned as it was sent.
    """

    name: RouteName
    host: HostName
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    has_affinity: bool
    home_regions: tuple[RegionId, ...]
    document: str

    @property
    def is_idempotent(self) -> bool:
        """Whether the requests may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """Describe the targets of one service.

    :param name: Unique name.
    :param health_path: Path of the targets' health check.
    :param max_connections: Connections that a target takes from all instances.
    :param cold_start_s: Time for which a target is cold after its start, in seconds.
    :param cold_requests_per_s: Requests a second that a cold target tolerates.
    :param document: The operator's document of the item, returned as it was sent.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float
    document: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """Bound what a caller may send, and how long it may take.

    :param max_header_bytes: Longest header field.
    :param max_body_bytes: Largest request body.
    :param header_timeout_s: Longest time to a whole request head, in seconds.
    :param idle_timeout_s: Time after which an idle connection is closed, in seconds.
    :param document: The operator's document of the item, returned as it was sent.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    document: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteItem:
    """Hold a route at one version.

    :param name: Name of the route.
    :param version: Version of the item.
    :param route: The route; ``None`` where this version drops it.
    """

    name: RouteName
    version: ItemVersion
    route: Route | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceItem:
    """Hold a service at one version.

    :param name: Name of the service.
    :param version: Version of the item.
    :param service: The service; ``None`` where this version drops it.
    """

    name: ServiceName
    version: ItemVersion
    service: Service | None


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitsItem:
    """Hold the limits at one version.

    :param version: Version of the item.
    :param limits: The limits.
    """

    version: ItemVersion
    limits: RequestLimits


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuation:
    """Tell whether an availability zone is evacuated.

    :param availability_zone: The zone.
    :param is_evacuated: Whether its targets get no new requests.
    """

    availability_zone: AvailabilityZoneId
    is_evacuated: bool


class RetiredState(Enum):
    """Why a target gets no new requests any more."""

    LEAVING = "leaving"
    LEFT = "left"


@dataclass(frozen=True, kw_only=True, slots=True)
class RetiredTarget:
    """Tell that a target gets no new requests in this incarnation.

    :param target: Name of the target.
    :param incarnation: Newest incarnation that leaves or has left.
    :param state: Whether it leaves or has left.
    """

    target: TargetId
    incarnation: Incarnation
    state: RetiredState


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingTable:
    """Hold all routing items in force, ready to be looked up.

    :param routes_by_host: Routes of each host, longest prefix first.
    :param service_by_name: Services that exist.
    :param limits: Limits for callers, once there are any.
    :param evacuated_zones: Availability zones whose targets get nothing.
    :param retired_by_target: Targets that leave or have left.
    :param has_items: Whether any route was ever set; before that nothing is known of
        what callers may ask for.
    """

    routes_by_host: Mapping[HostName, tuple[Route, ...]] = field(default_factory=dict)
    service_by_name: Mapping[ServiceName, Service] = field(default_factory=dict)
    limits: RequestLimits | None = None
    evacuated_zones: frozenset[AvailabilityZoneId] = frozenset()
    retired_by_target: Mapping[TargetId, RetiredTarget] = field(default_factory=dict)
    has_items: bool = False

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path.

        :param host: Host that is asked for, with or without a port.
        :param path: Path, without the query.
        """
        name = HostName(host.rsplit(":", 1)[0].lower() if ":" in host else host.lower())
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def is_retired(self, target: TargetId, incarnation: Incarnation) -> bool:
        """Tell whether a target gets no new requests any more.

        :param target: Name of the target.
        :param incarnation: Its incarnation.
        """
        retired = self.retired_by_target.get(target)
        return retired is not None and incarnation <= retired.incarnation
