"""Routing items, targets and entry instances as the administration API shows them."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated

from pydantic import ConfigDict, Field

from mothshunt.admin.workspace_model import WorkspaceBody, WorkspaceDocument
from mothshunt.core.types import (
    AvailabilityZoneId,
    HostName,
    Incarnation,
    InstanceId,
    ItemVersion,
    OperatorId,
    RegionId,
    Revision,
    RouteName,
    ServiceName,
    TargetId,
    WorkspaceName,
)
from mothshunt.routing.const import LARGEST_NUMBER, MAX_NAME_LENGTH
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
    WorkspaceItem,
)
from mothshunt.routing.state import RoutingItems
from mothshunt.util import schema

_STRICT = ConfigDict(extra="forbid")
MILLISECONDS_PER_SECOND = 1000

Text = Annotated[str, Field(min_length=1, max_length=MAX_NAME_LENGTH)]
Version = Annotated[ItemVersion, Field(ge=0, lt=2**62)]
MAX_MILLISECONDS = LARGEST_NUMBER * MILLISECONDS_PER_SECOND
Milliseconds = Annotated[float, Field(ge=0, le=MAX_MILLISECONDS)]
#: Items are stored as JSON, which has no infinity.
FiniteNumber = Annotated[float, Field(ge=0, allow_inf_nan=False)]


def _milliseconds(duration_s: float) -> float:
    return min(duration_s * MILLISECONDS_PER_SECOND, MAX_MILLISECONDS)


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedServiceDocument:
    """Name a service among those that a route is split over.

    :param service: The service.
    :param weight: Its part of the requests, relative to the others of the route.
    """

    __pydantic_config__ = _STRICT

    service: Annotated[ServiceName, Text]
    weight: FiniteNumber = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteDocument:
    """Describe a route at one version.

    :param name: Unique name.
    :param version: Version of the item; the highest takes effect.
    :param host: Host that is asked for.
    :param path_prefix: Beginning of the path; begins and ends with a slash.
    :param kind: Whether the requests may run more than once.
    :param timeout_ms: Longest time to an answer, in milliseconds.
    :param target_latency_ms: Time within which an answer is worth most, in
        milliseconds.
    :param services: Where the requests go; one service, or several with weights.
    :param priority: Rank among the routes of a service; 0 is the most urgent.
    :param max_attempts: Targets that one request may be sent to, the first included.
    :param has_affinity: Whether a target answers sooner for an object that it
        handled before.
    :param home_regions: Regions that the requests must not leave; none for all.
    :param allows_anonymous: Whether the requests need no key of a workspace.
    """

    __pydantic_config__ = _STRICT

    name: Annotated[RouteName, Text]
    version: Version
    host: Annotated[HostName, Text]
    path_prefix: Text
    kind: RequestKind
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds
    services: Annotated[tuple[WeightedServiceDocument, ...], Field(min_length=1)]
    priority: Annotated[int, Field(ge=0, le=1000)] = 0
    max_attempts: Annotated[int, Field(ge=1, le=1000)] = 1
    has_affinity: bool = False
    home_regions: tuple[RegionId, ...] = ()
    allows_anonymous: bool = False

    @classmethod
    def from_item(cls, route: Route, version: ItemVersion) -> "RouteDocument":
        """Describe a route.

        :param route: The route.
        :param version: Version of the item.
        """
        return cls(
            name=route.name,
            version=version,
            host=route.host,
            path_prefix=route.path_prefix,
            kind=route.kind,
            timeout_ms=_milliseconds(route.timeout_s),
            target_latency_ms=_milliseconds(route.target_latency_s),
            services=tuple(
                WeightedServiceDocument(service=part.service, weight=part.weight)
                for part in route.services
            ),
            priority=route.priority,
            max_attempts=route.max_attempts,
            has_affinity=route.has_affinity,
            home_regions=route.home_regions,
            allows_anonymous=route.allows_anonymous,
        )

    def item(self) -> RouteItem:
        """Return the item that this describes."""
        route = Route(
            name=self.name,
            host=self.host,
            path_prefix=self.path_prefix,
            kind=self.kind,
            timeout_s=self.timeout_ms / MILLISECONDS_PER_SECOND,
            target_latency_s=self.target_latency_ms / MILLISECONDS_PER_SECOND,
            priority=self.priority,
            services=tuple(
                WeightedService(service=part.service, weight=part.weight)
                for part in self.services
            ),
            max_attempts=self.max_attempts,
            has_affinity=self.has_affinity,
            home_regions=self.home_regions,
            allows_anonymous=self.allows_anonymous,
            document=schema.to_json(self).decode(),
        )
        return RouteItem(name=self.name, version=self.version, route=route)


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceDocument:
    """Describe the targets of one service at one version.

    :param name: Unique name.
    :param version: Version of the item; the highest takes effect.
    :param health_path: Path of the targets' health check.
    :param max_connections: Connections that a target takes from all instances.
    :param cold_start_ms: Time for which a target is cold after its start, in
        milliseconds.
    :param cold_requests_per_s: Requests a second that a cold target tolerates.
    """

    __pydantic_config__ = _STRICT

    name: Annotated[ServiceName, Text]
    version: Version
    health_path: Text = "/healthz"
    max_connections: Annotated[int, Field(ge=0)] = 100
    cold_start_ms: Milliseconds = 0.0
    cold_requests_per_s: FiniteNumber = 0.0

    @classmethod
    def from_item(cls, service: Service, version: ItemVersion) -> "ServiceDocument":
        """Describe a service.

        :param service: The service.
        :param version: Version of the item.
        """
        return cls(
            name=service.name,
            version=version,
            health_path=service.health_path,
            max_connections=service.max_connections,
            cold_start_ms=_milliseconds(service.cold_start_s),
            cold_requests_per_s=service.cold_requests_per_s,
        )

    def item(self) -> ServiceItem:
        """Return the item that this describes."""
        service = Service(
            name=self.name,
            health_path=self.health_path,
            max_connections=self.max_connections,
            cold_start_s=self.cold_start_ms / MILLISECONDS_PER_SECOND,
            cold_requests_per_s=self.cold_requests_per_s,
            document=schema.to_json(self).decode(),
        )
        return ServiceItem(name=self.name, version=self.version, service=service)


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitsDocument:
    """Bound what a caller may send, at one version.

    :param version: Version of the item; the highest takes effect.
    :param max_header_bytes: Longest header field.
    :param max_body_bytes: Largest request body.
    :param header_timeout_ms: Longest time to a whole request head, in milliseconds.
    :param idle_timeout_ms: Time after which an idle connection is closed, in
        milliseconds.
    """

    __pydantic_config__ = _STRICT

    version: Version
    max_header_bytes: Annotated[int, Field(ge=1)]
    max_body_bytes: Annotated[int, Field(ge=0)]
    header_timeout_ms: Milliseconds
    idle_timeout_ms: Milliseconds

    @classmethod
    def from_item(cls, item: LimitsItem) -> "LimitsDocument":
        """Describe the limits.

        :param item: The limits with their version.
        """
        limits = item.limits
        return cls(
            version=item.version,
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_ms=_milliseconds(limits.header_timeout_s),
            idle_timeout_ms=_milliseconds(limits.idle_timeout_s),
        )

    def item(self) -> LimitsItem:
        """Return the item that this describes."""
        limits = RequestLimits(
            max_header_bytes=self.max_header_bytes,
            max_body_bytes=self.max_body_bytes,
            header_timeout_s=self.header_timeout_ms / MILLISECONDS_PER_SECOND,
            idle_timeout_s=self.idle_timeout_ms / MILLISECONDS_PER_SECOND,
            document=schema.to_json(self).decode(),
        )
        return LimitsItem(version=self.version, limits=limits)


@dataclass(frozen=True, kw_only=True, slots=True)
class DroppedDocument:
    """Drop an item.

    :param name: Name of the item.
    :param version: Version at which it is dropped; the highest takes effect.
    """

    __pydantic_config__ = _STRICT

    name: Text
    version: Version


@dataclass(frozen=True, kw_only=True, slots=True)
class PatchBody:
    """Set and drop routing items; all of them take effect, or none does.

    An item of a lower or equal version than the one held changes nothing.

    :param routes: Routes that are set.
    :param services: Services that are set.
    :param limits: Limits for callers.
    :param dropped_routes: Routes that are dropped.
    :param dropped_services: Services that are dropped.
    :param workspaces: Workspaces that are set.
    :param dropped_workspaces: Workspaces that are dropped.
    """

    __pydantic_config__ = _STRICT

    routes: tuple[RouteDocument, ...] = ()
    services: tuple[ServiceDocument, ...] = ()
    limits: LimitsDocument | None = None
    dropped_routes: tuple[DroppedDocument, ...] = ()
    dropped_services: tuple[DroppedDocument, ...] = ()
    workspaces: tuple[WorkspaceBody, ...] = ()
    dropped_workspaces: tuple[DroppedDocument, ...] = ()

    def patch(self, operator: OperatorId) -> PatchRouting:
        """Return the command that this asks for.

        :param operator: Who asks.
        """
        return PatchRouting(
            operator=operator,
            routes=tuple(self._routes()),
            services=tuple(self._services()),
            limits=self.limits.item() if self.limits is not None else None,
            workspaces=tuple(self._workspaces()),
        )

    def _routes(self) -> Iterator[RouteItem]:
        yield from (route.item() for route in self.routes)
        for dropped in self.dropped_routes:
            name = RouteName(dropped.name)
            yield RouteItem(name=name, version=dropped.version, route=None)

    def _services(self) -> Iterator[ServiceItem]:
        yield from (service.item() for service in self.services)
        for dropped in self.dropped_services:
            name = ServiceName(dropped.name)
            yield ServiceItem(name=name, version=dropped.version, service=None)

    def _workspaces(self) -> Iterator[WorkspaceItem]:
        yield from (workspace.item() for workspace in self.workspaces)
        for dropped in self.dropped_workspaces:
            name = WorkspaceName(dropped.name)
            yield WorkspaceItem(name=name, version=dropped.version, workspace=None)


@dataclass(frozen=True, kw_only=True, slots=True)
class PatchDocument:
    """Tell that a patch is in force.

    :param revision: Revision that holds it.
    :param changed: Items that took effect; the others were as new before.
    """

    revision: Revision
    changed: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingDocument:
    """Show the routing items in force.

    :param routes: Routes, sorted by name.
    :param services: Services, sorted by name.
    :param limits: Limits for callers, once there are any.
    :param workspaces: Workspaces, sorted by name.
    """

    routes: tuple[RouteDocument, ...]
    services: tuple[ServiceDocument, ...]
    limits: LimitsDocument | None
    workspaces: tuple[WorkspaceDocument, ...] = ()

    @classmethod
    def from_items(cls, items: RoutingItems) -> "RoutingDocument":
        """Describe the items that are not dropped.

        :param items: The items.
        """
        routes = (
            RouteDocument.from_item(item.route, item.version)
            for _, item in sorted(items.route_by_name.items())
            if item.route is not None
        )
        services = (
            ServiceDocument.from_item(item.service, item.version)
            for _, item in sorted(items.service_by_name.items())
            if item.service is not None
        )
        workspaces = (
            WorkspaceDocument.from_item(item.workspace, item.version)
            for _, item in sorted(items.workspace_by_name.items())
            if item.workspace is not None
        )
        limits = items.limits
        return cls(
            routes=tuple(routes),
            services=tuple(services),
            limits=LimitsDocument.from_item(limits) if limits is not None else None,
            workspaces=tuple(workspaces),
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationDocument:
    """Show whether an availability zone is evacuated.

    :param availability_zone: The zone.
    :param evacuated: Whether its targets get no new requests.
    :param revision: Revision of the zone's last change.
    """

    availability_zone: AvailabilityZoneId
    evacuated: bool
    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationList:
    """Name the availability zones that are evacuated.

    :param evacuated_zones: Their names, sorted.
    """

    evacuated_zones: tuple[AvailabilityZoneId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredTargetDocument:
    """Show what a target last said of itself.

    :param target: Name of the target.
    :param incarnation: Tells its starts apart.
    :param service: Service that it serves.
    :param address: ``host:port``.
    :param region: Region that it runs in.
    :param availability_zone: Availability zone that it runs in.
    :param release: Version of its software.
    :param slots: Requests that it runs at a time.
    :param state: Whether it serves or leaves.
    :param age_s: Seconds since it was last heard of.
    :param cold_s: Seconds for which it stays cold.
    :param rate_limit_per_s: Requests a second that it accepts from all entry instances
        together, as this instance knows it; ``None`` if it names no limit.
    """

    target: TargetId
    incarnation: Incarnation
    service: ServiceName
    address: str
    region: RegionId
    availability_zone: AvailabilityZoneId
    release: str
    slots: int
    state: str
    age_s: float
    cold_s: float
    rate_limit_per_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredTargetList:
    """List the targets that this instance knows.

    :param targets: Sorted by service and name.
    """

    targets: tuple[RegisteredTargetDocument, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class RenewalDocument:
    """Tell a target when to renew.

    :param renew_after_ms: Milliseconds until its next renewal.
    """

    renew_after_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaveBody:
    """Name the incarnation of a target that has left.

    :param incarnation: The incarnation; ``None`` for the newest that is known.
    """

    __pydantic_config__ = _STRICT

    incarnation: Annotated[Incarnation | None, Field(ge=0, lt=2**63)] = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaveDocument:
    """Tell a target that its leave is recorded.

    :param left: ``true``.
    """

    left: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryDocument:
    """Name an entry instance that takes requests.

    :param id: Name of the instance.
    :param region: Its region.
    :param availability_zone: Its availability zone.
    :param address: ``host:port`` for callers.
    """

    id: InstanceId
    region: RegionId
    availability_zone: AvailabilityZoneId
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryList:
    """Name the entry instances that a caller should use.

    :param entries: The instances, any of which may be used.
    :param lifetime_ms: Milliseconds for which the answer may be kept.
    """

    entries: tuple[EntryDocument, ...]
    lifetime_ms: int
