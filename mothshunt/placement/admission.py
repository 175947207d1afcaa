"""Admission of requests to services that are short of capacity.

What can't be served in time is rejected at once, the less urgent before the more
urgent, and of each workspace only what exceeds its fair share. Without this, requests
of all kinds wait in the targets' queues until all of them are late.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId, ServiceName
from mothshunt.placement import codes, const
from mothshunt.placement.admission_counts import (
    MAX_REPORTED_WORKSPACES,
    ServiceCounter,
    ServiceCounts,
    sum_counts,
)
from mothshunt.placement.admission_level import AdmissionLevel
from mothshunt.placement.log_events import AdmissionReport
from mothshunt.placement.model import (
    AttemptOutcome,
    Choice,
    PlacementRequest,
    ReportedLoad,
)
from mothshunt.routing.model import RoutingTable

#: Age of the newest counts of all entry instances after which those of this one are
#: used, in seconds: three intervals, as one message may be late or lost.
MAX_SUMS_AGE_S = 3.0
#: Time between two updates of the level, in seconds.
UPDATE_INTERVAL_S = 1.0
#: Own counts are collected over this number of updates before they are used: one entry
#: instance sees about one request a second of a service.
OWN_UPDATES = 5
#: Fraction from which a rejected request may be sent again soon. In the emulator, 0.25
#: earned 0.02 more than 0.5 with half more demand than usual: what comes back late has
#: little value.
LIKELY_FRACTION = 0.25
#: A request with less than this share of the usual time left of its urgency is pressed
#: for time: mostly its caller came back after a rejection.
PRESSED_SHARE = 0.9
#: Factor on the fraction of pressed requests. Callers come back while the service is
#: still short, to the same busy targets, and would be served less often than new ones.
PRESSED_FACTOR = 1.5
#: Weight of a new request in the usual time left, where it is below that.
TIME_LEFT_WEIGHT = 0.02
#: Range of the random addition to a retry time, as a share of the target latency.
RETRY_SPREAD_SHARE = 0.3
#: Share of the time left for which callers honour a retry time.
MAX_RETRY_SHARE = 1 / 3


def controlled_services(
    table: RoutingTable, *, admits_by_priority: bool
) -> frozenset[ServiceName]:
    """Return the services that admission is controlled for.

    None, unless the settings ask for it. Then these are all services if there are
    workspaces; else those whose routes have different priorities.

    :param table: Configuration in force.
    :param admits_by_priority: Setting of the same name.
    """
    if not admits_by_priority:
        return frozenset()
    if table.workspace_by_name:
        return frozenset(table.service_by_name)
    priorities: dict[ServiceName, set[int]] = {}
    for routes in table.routes_by_host.values():
        for route in routes:
            for weighted in route.services:
                priorities.setdefault(weighted.service, set()).add(route.priority)
    return frozenset(name for name, found in priorities.items() if len(found) > 1)


@dataclass(slots=True, eq=False)
class ServiceAdmission:
    """Admission to one service.

    :param level: Fractions that are admitted.
    :param counter: Counts since the last report.
    :param rejected_by_reason: Requests rejected since the last log line, by reason.
    :param own: Own counts of the last intervals.
    """

    level: AdmissionLevel = field(default_factory=AdmissionLevel)
    counter: ServiceCounter = field(default_factory=ServiceCounter)
    rejected_by_reason: dict[str, int] = field(default_factory=dict)
    own: list[ServiceCounts] = field(default_factory=list)
    _time_left_by_urgency: dict[int, float] = field(default_factory=dict)

    def record_time_left(self, request: PlacementRequest) -> None:
        """Record the time left of a request; new requests have the most.

        :param request: Properties of the request.
        """
        left_s = request.time_left_s
        held_s = self._time_left_by_urgency.get(request.urgency, 0.0)
        if left_s < held_s:
            left_s = held_s + TIME_LEFT_WEIGHT * (left_s - held_s)
        self._time_left_by_urgency[request.urgency] = left_s

    def is_pressed(self, request: PlacementRequest) -> bool:
        """Whether a request has less time left than is usual for its urgency.

        :param request: Properties of the request.
        """
        usual_s = self._time_left_by_urgency.get(request.urgency, 0.0)
        return request.time_left_s < usual_s * PRESSED_SHARE


@dataclass(slots=True, eq=False)
class Sums:
    """Counts of all entry instances.

    :param rows: Counts by service.
    :param received_at: Time at which they were received, in seconds.
    """

    rows: tuple[ServiceCounts, ...]
    received_at: float

    @property
    def asked(self) -> int:
        """Requests for all services."""
        return sum(row.asked for row in self.rows)


@dataclass(slots=True, eq=False)
class LevelAdmission:
    """Admission by the level of each service; an ``AdmissionControl``.

    :param random: Source of randomness.
    :param by_service: Admission to each service that was requested.
    :param services: Services that admission is controlled for.
    :param uses_own_counts: Whether only the counts of this instance are known.
    """

    random: Random = field(default_factory=Random)
    by_service: dict[ServiceName, ServiceAdmission] = field(default_factory=dict)
    services: frozenset[ServiceName] = frozenset()
    uses_own_counts: bool = True
    _sums_by_control: dict[InstanceId, Sums] = field(default_factory=dict)
    _used: Sums | None = None

    def reject(self, request: PlacementRequest) -> Failure | None:
        """Return the reason to reject a request; ``None`` to admit it.

        A request that was sent to a target before is admitted: rejecting it now would
        waste what was done for it.
        """
        if request.excluded:
            return None
        service = self._service(request.service)
        if service is None:
            return None
        service.counter.count_asked(request.urgency, request.workspace)
        service.record_time_left(request)
        level = service.level
        if level.is_full:
            return None
        fraction = level.fraction(request.urgency)
        reason = "level"
        workspace = request.workspace
        if workspace is not None:
            limit = level.limit_by_workspace.get(workspace, 1.0)
            if limit < fraction:
                fraction, reason = limit, "workspace"
        if service.is_pressed(request):
            fraction = min(1.0, fraction * PRESSED_FACTOR)
        if fraction >= 1.0 or self.random.random() < fraction:
            return None
        service.counter.count_rejected(request.urgency)
        held = service.rejected_by_reason
        held[reason] = held.get(reason, 0) + 1
        code = codes.OVER_FAIR_SHARE if reason == "workspace" else codes.NOT_ADMITTED
        return Failure(
            code=code, retry_after_s=self._retry_after_s(level, request, fraction)
        )

    def _retry_after_s(
        self, level: AdmissionLevel, request: PlacementRequest, fraction: float
    ) -> float:
        """Return when the level is expected to admit the request, spread."""
        wait_s = const.MIN_RETRY_AFTER_S
        slope = level.slope_by_urgency.get(request.urgency, 0.0)
        if fraction < LIKELY_FRACTION:
            wait_s = const.MAX_RETRY_AFTER_S
            if slope > 0:
                updates = (LIKELY_FRACTION - fraction) / slope
                wait_s = min(wait_s, updates * UPDATE_INTERVAL_S)
        spread_s = RETRY_SPREAD_SHARE * request.target_latency_s
        longest_s = request.time_left_s * MAX_RETRY_SHARE
        latest_s = min(longest_s, wait_s + spread_s)
        # Where callers can't wait long enough, they are spread over the last half.
        earliest_s = min(latest_s - spread_s, latest_s / 2)
        earliest_s = max(const.MIN_RETRY_AFTER_S, earliest_s)
        return earliest_s + self.random.random() * max(0.0, latest_s - earliest_s)

    def record_no_capacity(self, request: PlacementRequest) -> None:
        """Record that no target had capacity for a request."""
        service = self._service(request.service)
        if service is None or request.excluded:
            return
        service.counter.count_rejected(request.urgency)
        held = service.rejected_by_reason
        held["capacity"] = held.get("capacity", 0) + 1

    def record_choice(
        self, choice: Choice, request: PlacementRequest, now: float
    ) -> None:
        """Record that capacity was reserved for a request."""
        choice.urgency = request.urgency
        choice.due_at = now + request.target_latency_s

    def record_end(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Record the end of an attempt."""
        if outcome is not AttemptOutcome.ANSWERED:
            return
        service = self._service(choice.target.service)
        if service is not None:
            is_late = now > choice.due_at
            service.counter.count_answer(choice.urgency, reported, is_late=is_late)

    def _service(self, name: ServiceName) -> ServiceAdmission | None:
        if name not in self.services:
            return None
        service = self.by_service.get(name)
        if service is None:
            service = self.by_service[name] = ServiceAdmission()
        return service

    def fraction(self, service: ServiceName, urgency: int) -> float:
        """Return the fraction of an urgency that a service admits.

        :param service: The service.
        :param urgency: The urgency.
        """
        found = self.by_service.get(service)
        return 1.0 if found is None else found.level.fraction(urgency)

    def control(self, services: frozenset[ServiceName]) -> None:
        """Control admission to these services from now on, and to no others.

        :param services: The services.
        """
        self.services = services
        for name in [name for name in self.by_service if name not in services]:
            del self.by_service[name]

    def take_counts(self) -> tuple[ServiceCounts, ...]:
        """Return the counts since the last call; called once each update interval."""
        taken = []
        for name, service in self.by_service.items():
            counts = service.counter.take(name)
            service.own.append(counts or ServiceCounts(name, ()))
            del service.own[:-OWN_UPDATES]
            if counts is not None:
                taken.append(counts)
        return tuple(taken)

    def record_sums(
        self, control: InstanceId, rows: tuple[ServiceCounts, ...], now: float
    ) -> None:
        """Record counts of all entry instances, which the next update uses.

        :param control: Control instance that summed them.
        :param rows: The sums.
        :param now: The present time, in seconds.
        """
        self._sums_by_control[control] = Sums(rows, now)

    def update(self, now: float) -> None:
        """Adjust all levels; called once each update interval.

        Counts are used once only. Of several control instances, the one that counts
        most requests is used: another one may not reach some entry instances.

        :param now: The present time, in seconds.
        """
        fresh = {
            control: sums
            for control, sums in self._sums_by_control.items()
            if now - sums.received_at <= MAX_SUMS_AGE_S
        }
        self._sums_by_control = fresh
        best = max(fresh.values(), key=lambda sums: sums.asked, default=None)
        if best is None:
            self.uses_own_counts = True
            for name, service in self.by_service.items():
                rows = sum_counts(service.own, MAX_REPORTED_WORKSPACES)
                counts = rows.get(name)
                if counts is not None:
                    service.level.adjust(counts, is_own=True)
            return
        self.uses_own_counts = False
        if best is self._used:
            return
        self._used = best
        row_by_service = {row.service: row for row in best.rows}
        for name in {*row_by_service, *self.by_service}:
            found = self._service(name)
            if found is not None:
                counts = row_by_service.get(name) or ServiceCounts(name, ())
                found.level.adjust(counts, is_own=False)

    def reports(self) -> Iterator[AdmissionReport]:
        """Return a log event on each service that rejected requests or is short."""
        for name, service in self.by_service.items():
            rejected, service.rejected_by_reason = service.rejected_by_reason, {}
            level = service.level
            if level.is_full and not rejected:
                continue
            yield AdmissionReport(
                service=name,
                admitted={
                    str(urgency): round(fraction, 2)
                    for urgency, fraction in level.fraction_by_urgency.items()
                },
                limited={
                    str(workspace): round(fraction, 2)
                    for workspace, fraction in level.limit_by_workspace.items()
                },
                rejected=rejected,
                demand_per_s=round(level.demand, 1),
                capacity_per_s=round(level.capacity, 1),
                queue=round(level.queue, 2),
                source="own" if self.uses_own_counts else "all",
            )
