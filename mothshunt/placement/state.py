"""Choice of a target from the state that one entry instance holds, without any I/O.

Requests with the same affinity key are for the same object. All entry instances send
them to the same target as long as it has capacity: a target knows the objects that it
has handled, and responds faster for them. Rendezvous hashing ranks the targets for an
object, so a target that is added or removed moves only its own objects. An object has
one target in the whole deployment if the delay between regions is short, else one in
each region. Availability zones always share their targets, as callers in all of them
request the same objects.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from random import Random

from expression import Error, Ok, Result

from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import AvailabilityZoneId, RegionId, ServiceName, TargetId
from mothshunt.placement import codes, const
from mothshunt.placement.admission_model import AdmissionControl, NoAdmissionControl
from mothshunt.placement.even_load import EvenLoad
from mothshunt.placement.log_events import PlacementReport, TargetBelieved
from mothshunt.placement.model import (
    AttemptOutcome,
    Choice,
    NoRateLimits,
    PlacementRequest,
    RateLimitView,
    ReportedLoad,
    RoutableTarget,
    TargetHealth,
    TargetNotice,
)
from mothshunt.placement.service_targets import (
    ChoiceCounters,
    Estimate,
    RegionByZone,
    Scope,
    ServiceTargets,
    load_by_region,
)
from mothshunt.placement.service_time import ServiceTime
from mothshunt.placement.spill import Spillover, choose_region, plan_spillover
from mothshunt.placement.spread import GlobalAffinity
from mothshunt.placement.target_load import TargetLoad
from mothshunt.placement.tolerance import RemoteTolerance, is_tolerant
from mothshunt.placement.withheld import TargetNotices
from mothshunt.util.hashing import HASH_RANGE, hash_text

DemandByZone = Mapping[ServiceName, Mapping[AvailabilityZoneId, float]]


def full_share(zone: AvailabilityZoneId, now: float) -> float:
    """Return the share of a limit that a single entry instance may use: all of it."""
    return 1.0


def never_regional(service: ServiceName) -> bool:
    """Return that the regions of the callers of objects are not observed."""
    return False


@dataclass(kw_only=True, slots=True)
class Placement:
    """Targets of one entry instance, and the choice among them.

    :param zone: Availability zone of this instance.
    :param region: Region of this instance.
    :param max_region_shift: Largest share of a region's requests that may change
        region from one window to the next.
    :param renewal_interval_s: Time between two renewals of a target, in seconds.
    :param random: Source of randomness for requests without an object and for retry
        times.
    :param cold_share: Function that returns the share of the limits of a zone's cold
        targets that this instance may use, given the zone and the present time.
    :param load_by_target: Load and health of each target that requests may be sent to.
    :param notices: Pauses and leaves that targets announced.
    :param rate_limits: Rate limits that targets name.
    :param is_regional: Function that returns whether each object of a service is
        requested in one region only.
    :param admission: Admission of requests to services that are short of capacity.
    :param even_load: Load of the targets as all entry instances know it; ``None``
        where it is not shared.
    """

    zone: AvailabilityZoneId
    region: RegionId
    max_region_shift: float
    renewal_interval_s: float
    random: Random
    cold_share: Callable[[AvailabilityZoneId, float], float] = full_share
    load_by_target: dict[TargetId, TargetLoad] = field(default_factory=dict)
    notices: TargetNotices = field(default_factory=TargetNotices)
    rate_limits: RateLimitView = field(default_factory=NoRateLimits)
    is_regional: Callable[[ServiceName], bool] = never_regional
    admission: AdmissionControl = field(default_factory=NoAdmissionControl)
    even_load: EvenLoad | None = None
    _targets_by_service: dict[ServiceName, ServiceTargets] = field(default_factory=dict)
    _cold_limit_by_target: Mapping[TargetId, float] = field(default_factory=dict)
    _newest_renewed_at: float = float("-inf")

    def replace_targets(
        self,
        loads: Iterable[TargetLoad],
        cold_limit_by_target: Mapping[TargetId, float],
    ) -> None:
        """Replace the targets.

        :param loads: Targets that requests may be sent to; those that were in use
            before are passed as the same objects.
        :param cold_limit_by_target: Limit of requests to each target in any second
            while it is cold, for all entry instances together.
        """
        self.load_by_target = {load.target.id: load for load in loads}
        self._cold_limit_by_target = cold_limit_by_target
        previous, self._targets_by_service = self._targets_by_service, {}
        for load in self.load_by_target.values():
            service = load.target.service
            targets = self._targets_by_service.get(service)
            if targets is None:
                held = previous.get(service)
                targets = ServiceTargets(
                    held.global_affinity if held else self._new_affinity(service),
                    held.spillover if held else Spillover(self.max_region_shift),
                    held.service_time if held else ServiceTime(),
                    held.counters if held else ChoiceCounters(),
                    held.tolerance if held else RemoteTolerance(),
                )
                self._targets_by_service[service] = targets
            load.service_time = targets.service_time
            self._list_for(targets, load).append(load)

    def _new_affinity(self, service: ServiceName) -> GlobalAffinity:
        is_regional = self.is_regional(service)
        return GlobalAffinity(
            self.max_region_shift,
            share=0.0 if is_regional else 1.0,
            prefers_region=is_regional,
        )

    def _list_for(self, targets: ServiceTargets, load: TargetLoad) -> list[TargetLoad]:
        if load.target.region == self.region:
            return targets.local
        return targets.remote

    def record_newest_renewal(self, newest_renewed_at: float) -> None:
        """Record the time of the newest renewal of any target.

        :param newest_renewed_at: Time of the renewal, in seconds.
        """
        self._newest_renewed_at = newest_renewed_at

    def choose(self, request: PlacementRequest, now: float) -> Result[Choice, Failure]:
        """Choose a target and reserve capacity at it.

        :param request: Properties of the request.
        :param now: The present time, in seconds.
        :return: The choice; or a failure with code 2901 to 2904 and a retry time.
        """
        targets = self._targets_by_service.get(request.service)
        if targets is None:
            return Error(self._refusal(codes.NO_TARGETS, const.MAX_RETRY_AFTER_S))
        if not request.excluded:
            targets.global_affinity.record_target_latency(request.target_latency_s)
        usable_by_scope = self._usable_by_scope(targets, request, now)
        best: Estimate | None = None
        for scope in self._scopes_to_try(targets, usable_by_scope, request):
            usable = usable_by_scope[scope]
            if scope is Scope.OTHER_REGIONS:
                usable = self._in_chosen_region(targets.spillover, usable, request)
            ranked = self._ranked(usable, request, now)[: const.MAX_COMPARED_TARGETS]
            for rank, load in enumerate(ranked):
                estimate = self._estimate(targets, load, request, now)
                estimate.reason = f"{scope.value}-{rank}"
                if best is None or estimate.is_preferred_over(best):
                    best = estimate
            if best is not None and best.queue_factor <= const.CROWDED_QUEUE_FACTOR:
                break
        if best is None:
            pause_s = self.remaining_pause_s(request, now)
            if pause_s is not None:
                return Error(self._refusal_until(codes.TARGETS_PAUSED, pause_s))
            token_wait_s = self._remaining_token_wait_s(targets, request, now)
            if token_wait_s is not None:
                return Error(self._refusal_until(codes.TARGETS_AT_LIMIT, token_wait_s))
            return Error(self._refusal(codes.NO_TARGETS, const.MIN_CONNECT_BACKOFF_S))
        rejection = self.admission.reject(request)
        if rejection is not None:
            targets.counters.refused += 1
            return Error(rejection)
        if not self._is_worthwhile(best, request):
            self.admission.record_no_capacity(request)
            wait_s = best.total_s - request.target_latency_s
            targets.counters.refused += 1
            return Error(self._refusal(codes.NO_CAPACITY, wait_s))
        choice = best.load.reserve(
            now,
            best.reason,
            request.affinity_key,
            best.expected_s,
            best.unknown_object_s,
        )
        if self.even_load is not None:
            choice.load = self.even_load.estimated_requests(best.load, now)
            if request.affinity_key is None:
                self.even_load.record_choice(best.load, now)
        targets.counters.count(choice)
        self.admission.record_choice(choice, request, now)
        return Ok(choice)

    def _usable_by_scope(
        self, targets: ServiceTargets, request: PlacementRequest, now: float
    ) -> dict[Scope, list[TargetLoad]]:
        """Return the targets that may get a request, by scope.

        Failing targets are passed over only if they are a minority. If most targets
        fail, sending all requests to the others would not help.
        """
        usable = {
            scope: [load for load in loads if self._is_usable(load, request, now)]
            for scope, loads in targets.loads_by_scope().items()
        }
        if self.rate_limits.has_limits():
            usable = {
                scope: [
                    load
                    for load in loads
                    if self._is_within_rate_limit(load.target, request, now)
                ]
                for scope, loads in usable.items()
            }
        healthy = {
            scope: [load for load in loads if not load.is_failing(now)]
            for scope, loads in usable.items()
        }
        count = len(usable[Scope.ALL])
        healthy_count = len(healthy[Scope.ALL])
        return healthy if healthy_count >= count * const.MIN_HEALTHY_SHARE else usable

    def _estimate(
        self,
        targets: ServiceTargets,
        load: TargetLoad,
        request: PlacementRequest,
        now: float,
    ) -> Estimate:
        """Return an estimate of how soon a target would respond."""
        latency_s = request.target_latency_s
        times = targets.service_time
        is_known = request.affinity_key is None or load.knows(request.affinity_key)
        expected_s = times.expected_s(is_known=is_known, target_latency_s=latency_s)
        unknown_s = times.expected_s(is_known=False, target_latency_s=latency_s)
        slots = load.target.slots
        slowness = load.slowness
        if self.even_load is None:
            estimated = load.estimated_requests(now)
        else:
            estimated = self.even_load.estimated_requests(load, now)
            slowness *= self.even_load.slowdown_factor(load, now)
        queued = max(0.0, estimated + 1 - slots)
        wait_s = queued / slots * times.mean_or_initial_s(latency_s) * slowness
        return Estimate(
            load=load,
            queue_factor=queued / slots,
            is_known=is_known,
            expected_s=expected_s,
            total_s=wait_s + expected_s * slowness,
            unknown_object_s=wait_s + max(expected_s, unknown_s) * slowness,
        )

    def _is_worthwhile(self, best: Estimate, request: PlacementRequest) -> bool:
        """Whether to send the request: in time, or late but to a short queue."""
        if best.queue_factor == 0.0:
            return True
        if best.queue_factor > const.MAX_QUEUE_FACTOR:
            return False
        if best.total_s <= request.target_latency_s:
            return True
        is_in_time = best.total_s <= request.time_left_s
        return is_in_time and best.queue_factor <= const.MAX_LATE_QUEUE_FACTOR

    def _scopes_to_try(
        self,
        targets: ServiceTargets,
        usable_by_scope: Mapping[Scope, list[TargetLoad]],
        request: PlacementRequest,
    ) -> tuple[Scope, ...]:
        """Return the scopes to try, in order.

        The hash of an object decides whether it has global affinity and whether it
        spills over, so small changes of these shares move few objects. Objects without
        global affinity go to other regions only as far as the spillover share demands,
        or if the own region has no usable target.
        """
        position = self._hash_position(request)
        global_share = targets.global_affinity.share
        if request.affinity_key is not None and position < global_share:
            return (Scope.ALL,)
        if not usable_by_scope[Scope.REGION]:
            return (Scope.OTHER_REGIONS,)
        if request.affinity_key is not None:
            position = (position - global_share) / max(1e-9, 1.0 - global_share)
        if position < self._remote_share(targets, request):
            return (Scope.OTHER_REGIONS, Scope.REGION)
        return (Scope.REGION,)

    def _remote_share(
        self, targets: ServiceTargets, request: PlacementRequest
    ) -> float:
        """Return the share of requests like this one that go to other regions first."""
        share = targets.spillover.remote_share
        affinity = targets.global_affinity
        if not affinity.prefers_region:
            return share
        tolerates = is_tolerant(
            request.target_latency_s,
            targets.service_time.known_s,
            affinity.remote_delay_s(),
        )
        if not request.excluded:
            targets.tolerance.record(is_tolerant=tolerates)
        return targets.tolerance.remote_share(share, is_tolerant=tolerates)

    def _in_chosen_region(
        self,
        spillover: Spillover,
        usable: list[TargetLoad],
        request: PlacementRequest,
    ) -> list[TargetLoad]:
        """Return the targets of one other region, chosen by spare capacity."""
        weight_by_region = {
            load.target.region: spillover.spare_by_region.get(load.target.region, 0.0)
            for load in usable
        }
        key = request.affinity_key or str(self.random.random())
        chosen = choose_region(key, weight_by_region)
        if chosen is None:
            return usable
        return [load for load in usable if load.target.region == chosen]

    def _hash_position(self, request: PlacementRequest) -> float:
        if request.affinity_key is None:
            return self.random.random()
        key = f"{request.service}/{request.affinity_key}"
        return hash_text(key) / HASH_RANGE

    def _ranked(
        self, usable: list[TargetLoad], request: PlacementRequest, now: float
    ) -> list[TargetLoad]:
        key = request.affinity_key
        if key is None:
            if self.even_load is not None and usable:
                return self.even_load.order(usable, now)
            self.random.shuffle(usable)
            return sorted(usable, key=self._utilization_and_zone)
        ranked = sorted(
            usable,
            key=lambda load: hash_text(f"{load.target.id}/{key}"),
            reverse=True,
        )
        if self.even_load is not None:
            return self.even_load.order_for_object(ranked, request)
        return ranked

    def _utilization_and_zone(self, load: TargetLoad) -> tuple[float, bool]:
        utilization = load.pending_requests / load.target.slots
        return utilization, load.target.availability_zone != self.zone

    def _is_usable(
        self, load: TargetLoad, request: PlacementRequest, now: float
    ) -> bool:
        target = load.target
        if target.id in request.excluded or load.is_misplaced:
            return False
        if not _is_in_home_regions(target, request) or self._is_paused(target, now):
            return False
        if now < load.down_until or load.is_silent(now):
            return False
        if load.is_cold(now):
            limit = self._cold_limit_by_target.get(target.id, 0.0)
            share = self.cold_share(target.availability_zone, now)
            if not load.has_cold_capacity(limit * const.COLD_LIMIT_SHARE * share, now):
                return False
        return not self._is_renewal_overdue(load) or load.has_recent_response(now)

    def _is_within_rate_limit(
        self, target: RoutableTarget, request: PlacementRequest, now: float
    ) -> bool:
        """Whether a target names no rate limit, or may have a token for the request."""
        if self.rate_limits.limit_per_s(target) is None:
            return True
        token_at = self.rate_limits.next_token_at(target)
        return request.accepts_limited and token_at is not None and token_at <= now

    def _is_renewal_overdue(self, load: TargetLoad) -> bool:
        missed_s = self._newest_renewed_at - load.renewed_at
        return missed_s > const.MAX_MISSED_RENEWALS * self.renewal_interval_s

    def _is_paused(self, target: RoutableTarget, now: float) -> bool:
        return now < self.notices.paused_until(target)

    def remaining_pause_s(self, request: PlacementRequest, now: float) -> float | None:
        """Return the time until the first pause of a target ends, in seconds.

        :param request: Properties of the request.
        :param now: The present time, in seconds.
        :return: The time; ``None`` if some target of the service is not paused.
        """
        targets = self._targets_by_service.get(request.service)
        if targets is None:
            return None
        ends = [
            self.notices.paused_until(load.target)
            for load in targets.all_targets()
            if _is_in_home_regions(load.target, request)
        ]
        first = min(ends, default=now)
        return first - now if first > now else None

    def _refusal(self, code: ResultCode, wait_s: float) -> Failure:
        wait_s = min(const.MAX_RETRY_AFTER_S, max(const.MIN_RETRY_AFTER_S, wait_s))
        return Failure(code=code, retry_after_s=wait_s * self._retry_spread())

    def _remaining_token_wait_s(
        self, targets: ServiceTargets, request: PlacementRequest, now: float
    ) -> float | None:
        """Return the time until the next token for a target of the service, in seconds.

        :return: The time; ``None`` if no target is passed over for its rate limit.
        """
        times = [
            self.rate_limits.next_token_at(load.target)
            for load in targets.all_targets()
            if _is_in_home_regions(load.target, request)
            and self.rate_limits.limit_per_s(load.target) is not None
        ]
        if not times:
            return None
        known = (at for at in times if at is not None)
        return max(0.0, min(known, default=now + const.MAX_RETRY_AFTER_S) - now)

    def _refusal_until(self, code: ResultCode, wait_s: float) -> Failure:
        # There is no upper bound: no target takes requests before then.
        wait_s = max(const.MIN_RETRY_AFTER_S, wait_s) * self._retry_spread()
        return Failure(code=code, retry_after_s=wait_s)

    def _retry_spread(self) -> float:
        return 1.0 + self.random.random() * const.RETRY_AFTER_SPREAD

    def record_notice(
        self, target: RoutableTarget, notice: TargetNotice, now: float
    ) -> bool:
        """Record a notice of a target; see ``TargetNotices.record``.

        :param target: The target, as it was when the request was sent.
        :param notice: What the target asked for.
        :param now: The present time, in seconds.
        """
        return self.notices.record(target, notice, now)

    def finish(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Release the reserved capacity and learn from the outcome of the attempt.

        :param choice: Choice that ``choose`` returned; to be passed only once.
        :param outcome: Outcome of the attempt.
        :param reported: Load that the target reported; ``None`` if it reported none.
        :param now: The present time, in seconds.
        """
        load = self.load_by_target.get(choice.target.id)
        if load is None:
            return
        load.finish(choice, outcome, reported, now)
        self.admission.record_end(choice, outcome, reported, now)
        if self.even_load is not None:
            self.even_load.record_outcome(choice.target, outcome, reported, now)
        targets = self._targets_by_service.get(choice.target.service)
        if targets is not None and reported is not None:
            targets.counters.count_report(choice, reported)
        is_remote = choice.target.region != self.region
        may_have_queued = choice.load > choice.target.slots
        if outcome is not AttemptOutcome.ANSWERED or targets is None or may_have_queued:
            return
        if choice.is_known:
            targets.global_affinity.record_response(
                now - choice.sent_at, is_remote=is_remote
            )

    def frequent_remote_targets(
        self,
        demand: Mapping[ServiceName, float],
        max_connections: Mapping[ServiceName, int],
        entries: int,
        now: float,
    ) -> Iterator[RoutableTarget]:
        """Return the targets of other regions to which a connection should be ready.

        Opening a connection takes a round trip between regions, for which the first
        request would have to wait.

        :param demand: Requests a second at this instance, by service.
        :param max_connections: Connection limit of a target, by service.
        :param entries: Number of entry instances that may be sending requests.
        :param now: The present time, in seconds.
        """
        for service, targets in self._targets_by_service.items():
            if (
                targets.global_affinity.share == 0.0
                and targets.spillover.remote_share == 0.0
            ):
                continue
            count = len(targets.local) + len(targets.remote)
            expected_uses = (
                demand.get(service, 0.0) * const.READY_CONNECTION_USE_S / count
            )
            ready_limit = (
                max_connections.get(service, 0) * const.MAX_READY_CONNECTIONS_SHARE
            )
            if (
                expected_uses < 1.0
                or entries > ready_limit
                or not targets.global_affinity.is_remote_delay_noticeable()
            ):
                continue
            for load in targets.remote:
                if self._current_health(load, now) is TargetHealth.HEALTHY:
                    yield load.target

    def _current_health(self, load: TargetLoad, now: float) -> TargetHealth:
        if self._is_paused(load.target, now):
            return TargetHealth.PAUSED
        return load.current_health(now, is_late=self._is_renewal_overdue(load))

    def health_changes(self, now: float) -> Iterator[TargetBelieved]:
        """Return a log event for each target whose health has changed.

        :param now: The present time, in seconds.
        """
        for load in self.load_by_target.values():
            before = load.health
            load.health = self._current_health(load, now)
            if load.health is before:
                continue
            yield TargetBelieved(
                target=load.target.id,
                service=load.target.service,
                belief=load.health.value,
                before=before.value,
                failure_share=round(load.failure_share, 2),
                slowness=round(load.slowness, 1),
                renewal_age_ms=round((now - load.renewed_at) * 1000),
            )

    def reports(self) -> Iterator[PlacementReport]:
        """Return a log event on the choices for each service since the last call."""
        for service, targets in self._targets_by_service.items():
            counters, targets.counters = targets.counters, ChoiceCounters()
            if not counters.chosen and not counters.refused:
                continue
            spillover, times = targets.spillover, targets.service_time
            yield PlacementReport(
                service=service,
                chosen=counters.chosen,
                refused=counters.refused,
                known=counters.known,
                by_ring=counters.count_by_reason,
                spread_part=round(targets.global_affinity.share, 3),
                region_part=round(spillover.remote_share, 3),
                known_ms=round(times.known_s * 1000),
                unknown_ms=round(times.unknown_s * 1000),
                mean_ms=round(times.mean_s * 1000),
                targets=sum(1 for _ in targets.all_targets()),
                expected_requests=_mean(counters.expected_requests, counters.reports),
                reported_requests=_mean(counters.reported_requests, counters.reports),
            )

    def adjust(self, demand: DemandByZone, region_by_zone: RegionByZone) -> None:
        """Adjust global affinity and spillover; called once each adjustment interval.

        :param demand: Requests a second, by service and availability zone.
        :param region_by_zone: Regions of the availability zones.
        """
        for service, targets in self._targets_by_service.items():
            demand_by_zone = demand.get(service, {})
            has_traffic = demand_by_zone.get(self.zone, 0.0) > 0
            targets.global_affinity.prefers_region = self.is_regional(service)
            targets.global_affinity.adjust(has_traffic=has_traffic)
            loads = load_by_region(
                targets, demand_by_zone, region_by_zone, self.rate_limits
            )
            targets.spillover.adjust(
                plan_spillover(loads, self.region), has_traffic=has_traffic
            )

    def refresh_use(self, now: float) -> None:
        """Refresh the mean use of the targets, if their loads are shared.

        :param now: The present time, in seconds.
        """
        if self.even_load is None:
            return
        for service, targets in self._targets_by_service.items():
            self.even_load.record_use(
                service,
                targets.all_targets(),
                targets.service_time.mean_s,
                now,
            )


def _mean(total: float, count: int) -> float:
    return round(total / count, 1) if count else 0.0


def _is_in_home_regions(target: RoutableTarget, request: PlacementRequest) -> bool:
    return not request.home_regions or target.region in request.home_regions
