"""Updates of an entry instance's targets from the registry and configuration."""

import asyncio
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from functools import partial

from expression import Result

from mothshunt.configuration.model import Configuration
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import (
    AvailabilityZoneId,
    RegionId,
    ServiceName,
    TargetId,
)
from mothshunt.helpers import log
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.locality.coordinator import LocalityReporter
from mothshunt.membership.roster_view import RosterView
from mothshunt.metrics.registry import Metrics
from mothshunt.placement import const
from mothshunt.placement.admission import (
    UPDATE_INTERVAL_S,
    LevelAdmission,
    controlled_services,
)
from mothshunt.placement.admission_model import NoAdmissionControl
from mothshunt.placement.demand import DemandMeter
from mothshunt.placement.log_events import TargetLeaves
from mothshunt.placement.model import (
    NO_NOTICE,
    AttemptOutcome,
    Choice,
    PlacementRequest,
    ReportedLoad,
    RoutableTarget,
    TargetNotice,
)
from mothshunt.placement.state import Placement
from mothshunt.placement.target_load import TargetLoad
from mothshunt.registry.messages import RenewalState
from mothshunt.registry.state import KnownTarget, TargetRegistry
from mothshunt.routing.model import RoutingTable
from mothshunt.settings.config import RoutingSettings

METRIC_CHOICES = "mothshunt_placement_choices_total"
METRIC_ADMITTED = "mothshunt_admission_fraction"
METRIC_REFUSALS = "mothshunt_placement_refusals_total"


@dataclass(slots=True, eq=False)
class PlacementCoordinator:
    """Choice of targets of one entry instance, with its inputs and periodic updates.

    :param state: State that the targets are chosen from.
    :param registry: Registered targets.
    :param roster: Entry instances that may be sending requests.
    :param settings: Limits that hold for all entry instances together.
    :param clock: Source of the present time.
    :param metrics: Metrics of the process.
    :param on_demand: Called with the request rate at this instance, by service.
    :param on_frequent_targets: Called with the targets to which a connection should be
        ready.
    :param on_reported: Called with each load that a target reported; ``None`` where
        loads are not shared.
    :param on_leaving: Called with a target that announced in a response that it leaves.
    :param locality: Regions in which objects are requested; ``None`` to not observe
        them.
    :param admission: Admission to services that are short of capacity; in use where
        the configuration ranks requests.
    """

    state: Placement
    registry: TargetRegistry
    roster: RosterView
    settings: RoutingSettings
    clock: Clock
    metrics: Metrics
    on_demand: Callable[[Mapping[ServiceName, float]], None]
    on_frequent_targets: Callable[[Iterable[RoutableTarget]], None]
    on_leaving: Callable[[RoutableTarget], object]
    locality: LocalityReporter | None = None
    admission: LevelAdmission = field(default_factory=LevelAdmission)
    on_reported: Callable[[RoutableTarget, ReportedLoad], None] | None = None
    _table: RoutingTable = field(default_factory=RoutingTable)
    _demand: DemandMeter = field(default_factory=DemandMeter)
    _evacuated_zones: frozenset[AvailabilityZoneId] = frozenset()
    _cold_share_by_zone: dict[AvailabilityZoneId, tuple[float, float]] = field(
        default_factory=dict
    )
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start the periodic updates."""
        self.state.cold_share = self.cold_share
        self.refresh()
        self._task = start_background("placement", self._async_run)

    async def async_stop(self) -> None:
        """Stop the periodic updates."""
        await async_cancel(self._task)

    def on_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration.

        :param configuration: The configuration in force.
        """
        table = configuration.routing
        readmitted = self._evacuated_zones - table.evacuated_zones
        self._table = table
        if self.locality is not None:
            # Only where tenants share the deployment is it worth the messages: there
            # most objects belong to a tenant, and its callers to a region.
            self.locality.is_enabled = bool(table.workspace_by_name)
        self._control_admission(table)
        self._evacuated_zones = table.evacuated_zones
        self.refresh()
        if readmitted:
            self._assume_cold(readmitted, self.clock.monotonic())

    def _control_admission(self, table: RoutingTable) -> None:
        services = controlled_services(
            table, admits_by_priority=self.settings.admits_by_priority
        )
        if services == self.admission.services:
            return
        for service in services - self.admission.services:
            for urgency in range(const.MAX_URGENCY_METRICS):
                self.metrics.gauge(
                    METRIC_ADMITTED,
                    partial(self.admission.fraction, service, urgency),
                    service=service,
                    urgency=str(urgency),
                )
        self.admission.control(services)
        self.state.admission = self.admission if services else NoAdmissionControl()

    def _assume_cold(self, zones: frozenset[AvailabilityZoneId], now: float) -> None:
        """Treat the targets of zones as cold until their next renewal.

        Targets of a zone whose evacuation has ended may have just become cold.
        """
        for load in self.state.load_by_target.values():
            if load.target.availability_zone in zones:
                load.assume_cold(now)

    def refresh(self) -> None:
        """Update the targets from the registry and the configuration."""
        held = self.state.load_by_target
        loads = []
        for known in self._routable_targets():
            target = _routable_target(known)
            load = held.get(target.id)
            if load is None or load.target.incarnation != target.incarnation:
                load = TargetLoad(target=target, renewed_at=known.renewed_at)
            load.record_renewal(target, known.renewed_at, known.cold_until)
            loads.append(load)
        limits = {load.target.id: self._cold_limit(load.target) for load in loads}
        self.state.replace_targets(loads, limits)
        self.state.record_newest_renewal(self.registry.newest_renewed_at)

    def _routable_targets(self) -> Iterator[KnownTarget]:
        table, notices = self._table, self.state.notices
        now = self.clock.monotonic()
        for known in self.registry.known_by_target.values():
            renewal = known.renewal
            if renewal.state is not RenewalState.SERVING:
                continue
            if renewal.availability_zone in table.evacuated_zones:
                continue
            if table.is_retired(renewal.target, renewal.incarnation):
                continue
            if notices.is_leaving(
                renewal.target, renewal.incarnation, known.renewed_at, now
            ):
                continue
            if renewal.service in table.service_by_name:
                yield known

    def _cold_limit(self, target: RoutableTarget) -> float:
        """Return the limit of all requests to a cold target, in requests a second."""
        service = self._table.service_by_name[target.service]
        per_s = service.cold_requests_per_s * self.settings.cold_factor
        return per_s + self.settings.cold_slack

    def cold_share(self, zone: AvailabilityZoneId, now: float) -> float:
        """Return this instance's share of the limits of a zone's cold targets.

        :param zone: Availability zone of the targets.
        :param now: The present time, in seconds.
        """
        share, computed_at = self._cold_share_by_zone.get(zone, (0.0, float("-inf")))
        if now - computed_at >= const.COLD_SHARE_CACHE_S:
            share = self.roster.zone_limit_share(zone, const.COLD_WINDOW_S, now)
            self._cold_share_by_zone[zone] = (share, now)
        return share

    def choose(self, request: PlacementRequest) -> Result[Choice, Failure]:
        """Choose a target and reserve capacity at it; see ``Placement.choose``.

        :param request: Properties of the request.
        """
        if not request.excluded:
            self._demand.count(request.service)
            if self.locality is not None:
                self.locality.record(request.service, request.affinity_key)
        result = self.state.choose(request, self.clock.monotonic())
        match result:
            case Result(tag="ok", ok=choice):
                self.metrics.count(METRIC_CHOICES, reason=choice.reason)
            case Result(error=failure):
                self.metrics.count(
                    METRIC_REFUSALS, service=request.service, reason=failure.code.name
                )
        return result

    def may_send(self, choice: Choice) -> bool:
        """Whether a chosen target may still get the request.

        :param choice: Choice that ``choose`` returned.
        """
        if not self.is_routable(choice.target):
            return False
        paused_until = self.state.notices.paused_until(choice.target)
        return self.clock.monotonic() >= paused_until

    def is_routable(self, target: RoutableTarget) -> bool:
        """Whether a target gets new requests, now or after a pause.

        :param target: The target.
        """
        load = self.state.load_by_target.get(target.id)
        return load is not None and load.target.incarnation == target.incarnation

    def remaining_pause_s(self, request: PlacementRequest) -> float | None:
        """Return the time until the first pause of a target ends; see ``Placement``.

        :param request: Properties of the request.
        """
        return self.state.remaining_pause_s(request, self.clock.monotonic())

    def record_notice(self, target: RoutableTarget, notice: TargetNotice) -> None:
        """Record a notice that a target sent with a response.

        :param target: The target, as it was when the request was sent.
        :param notice: What the target asked for.
        """
        if notice is NO_NOTICE:
            return
        if self.state.record_notice(target, notice, self.clock.monotonic()):
            log.write(
                TargetLeaves(
                    target=target.id,
                    incarnation=target.incarnation,
                    service=target.service,
                )
            )
            self.refresh()
            self.on_leaving(target)

    def finish(
        self, choice: Choice, outcome: AttemptOutcome, reported: ReportedLoad | None
    ) -> None:
        """Release the reserved capacity and learn from the outcome of the attempt.

        :param choice: Choice that ``choose`` returned.
        :param outcome: Outcome of the attempt.
        :param reported: Load that the target reported; ``None`` if it reported none.
        """
        self.state.finish(choice, outcome, reported, self.clock.monotonic())
        if reported is not None and self.on_reported is not None:
            self.on_reported(choice.target, reported)

    def unroutable_targets(self) -> Iterator[TargetId]:
        """Return the registered targets that get no new requests."""
        routable = self.state.load_by_target
        return (t for t in self.registry.known_by_target if t not in routable)

    async def _async_run(self) -> None:
        report_at = update_admission_at = 0.0
        while True:
            await asyncio.sleep(const.ADJUST_INTERVAL_S)
            self.refresh()
            now = self.clock.monotonic()
            if now >= report_at:
                report_at = now + const.REPORT_INTERVAL_S
                for report in self.state.reports():
                    log.write(report)
                for admission_report in self.admission.reports():
                    log.write(admission_report)
            if self.admission.services and now >= update_admission_at:
                update_admission_at = now + UPDATE_INTERVAL_S
                self.admission.update(now)
            for changed in self.state.health_changes(now):
                log.write(changed)
            own_demand = self._demand.measure(const.ADJUST_INTERVAL_S)
            self.on_demand(own_demand)
            self.on_frequent_targets(self._frequent_remote_targets(own_demand, now))
            self.state.adjust(self.roster.demand(own_demand), self._region_by_zone())

    def _frequent_remote_targets(
        self, own_demand: Mapping[ServiceName, float], now: float
    ) -> Iterator[RoutableTarget]:
        services = self._table.service_by_name.values()
        return self.state.frequent_remote_targets(
            own_demand,
            {service.name: service.max_connections for service in services},
            self.roster.count(),
            now,
        )

    def _region_by_zone(self) -> dict[AvailabilityZoneId, RegionId]:
        region_by_zone = {
            load.target.availability_zone: load.target.region
            for load in self.state.load_by_target.values()
        }
        return region_by_zone | self.roster.region_by_zone()


def _routable_target(known: KnownTarget) -> RoutableTarget:
    renewal = known.renewal
    return RoutableTarget(
        id=renewal.target,
        incarnation=renewal.incarnation,
        service=renewal.service,
        host=renewal.host,
        port=renewal.port,
        region=renewal.region,
        availability_zone=renewal.availability_zone,
        slots=renewal.slots,
    )
