"""Selection of a target for one attempt, using the outcomes of earlier ones."""

import math
from collections.abc import Callable, Iterator
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

from expression import Error, Ok, Result

from mothshunt.contract.model import Contract, ServiceContract
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import (
    AvailabilityZoneId,
    CustomerId,
    Preference,
    RegionId,
    ServiceName,
    TargetId,
)
from mothshunt.discovery.model import TargetDirectory
from mothshunt.drain.model import DrainSet
from mothshunt.limits.holder import LeaseHolder
from mothshunt.steering import codes
from mothshunt.steering.const import (
    HEADROOM_HIGH_UTILIZATION,
    HEADROOM_MIN_LEAD,
    INTER_REGION_LATENCY_S,
    LATENCY_SHIFT_RATIO,
    MAX_EJECTED_PROBE_INTERVAL_S,
    MAX_EJECTED_RATIO,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    PROBE_INTERVAL_S,
    REFUSAL_WEIGHT,
    RETRY_AFTER_JITTER_RATIO,
)
from mothshunt.steering.lanes import CustomerLimits
from mothshunt.steering.model import Choice, Outcome
from mothshunt.steering.pool import RegionGroup, ServicePool
from mothshunt.steering.ranking import (
    RankedTarget,
    SelectionCriteria,
    best_target,
    target_due_for_probe,
)
from mothshunt.steering.target_state import TrackedTarget


@dataclass(frozen=True, kw_only=True, slots=True)
class Location:
    """Region and availability zone of this entry instance.

    :param region: Its region, which is the home region of its requests.
    :param availability_zone: Its availability zone.
    """

    region: RegionId
    availability_zone: AvailabilityZoneId


class Chooser:
    """Selection of targets under the contracts' limits.

    Targets are compared by the requests in flight and the outcomes of this instance,
    and by load reports, which count less as they age.

    :param location: Region and availability zone of this instance.
    :param directory: Known targets.
    :param holder: Shares of the limits that this instance holds.
    :param entry_count: Returns the number of entry instances.
    :param rng: Source of randomness for ties and retry-after times.
    :param started_at: Monotonic time at which this process started, in seconds.
    """

    def __init__(
        self,
        *,
        location: Location,
        directory: TargetDirectory,
        holder: LeaseHolder,
        entry_count: Callable[[], int],
        rng: Random,
        started_at: float,
    ) -> None:
        self._location = location
        self._directory = directory
        self._holder = holder
        self._entry_count = entry_count
        self._rng = rng
        self._started_at = started_at
        self._pool_by_service: dict[tuple[CustomerId, ServiceName], ServicePool] = {}
        self._limits_by_customer: dict[CustomerId, CustomerLimits] = {}
        self._refusal_ratio = 0.0

    def choose(
        self,
        *,
        contract: Contract,
        service: ServiceName,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        drains: DrainSet,
        now: float,
        count_refusal: bool = True,
        stay_in_region: bool = False,
    ) -> Result[Choice, Failure]:
        """Choose a target and reserve capacity for one attempt.

        :param contract: Contract in force of the customer.
        :param service: Service that the request is for.
        :param idempotent: Whether the request may be repeated.
        :param excluded: Targets that must not be chosen.
        :param drains: Drains in force.
        :param now: Monotonic time, in seconds.
        :param count_refusal: Whether a refusal counts as new demand.
        :param stay_in_region: Whether other regions are left out while a target of
            the home region has free slots, even if the contract's limits refuse it;
            regions that the contract prefers at the moment are still tried first.
        :return: The choice, or a failure with a retry-after time.
        """
        service_contract = contract.service(service)
        if service_contract is None:
            return Error(Failure(code=codes.UNKNOWN_SERVICE, detail=service))
        pool = self._pool(contract.customer, service)
        targets = self._directory.targets(contract.customer, service)
        pool.update(targets, drains, now)
        criteria = self._criteria(contract, service_contract, idempotent, excluded, now)
        limits = self._limits(contract)
        refusal: Failure | None = None
        for tracked in self._candidates(pool, limits, criteria, stay_in_region):
            limit_set = limits.limit_set(tracked.target.region)
            failure = self._holder.check_capacity(
                limit_set, idempotent=idempotent, now=now, count_refusal=count_refusal
            )
            if failure is None:
                self._record_start(pool, tracked, now)
                permit = self._holder.acquire(limit_set, now)
                self._update_refusal_ratio(0.0)
                choice = Choice(target=tracked.target, permit=permit, started_at=now)
                return Ok(choice)
            refusal = refusal or failure
        if count_refusal:
            self._update_refusal_ratio(1.0)
        return Error(self._with_retry_after(pool, refusal))

    def _update_refusal_ratio(self, refused: float) -> None:
        self._refusal_ratio += REFUSAL_WEIGHT * (refused - self._refusal_ratio)

    def finish(self, choice: Choice, outcome: Outcome, now: float) -> None:
        """Release the capacity of an attempt and record its outcome.

        :param choice: What ``choose`` returned; each choice is finished once.
        :param outcome: How the attempt ended.
        :param now: Monotonic time, in seconds.
        """
        self._holder.release(choice.permit, now)
        target = choice.target
        pool = self._pool(target.customer, target.service)
        tracked = pool.tracked_by_id.get(target.id)
        if tracked is None:
            return
        tracked.in_flight = max(0, tracked.in_flight - 1)
        if tracked.target.incarnation != target.incarnation:
            return
        elapsed_s = now - choice.started_at
        was_suspect = tracked.is_suspect
        tracked.record_outcome(outcome, elapsed_s, now)
        if tracked.is_suspect != was_suspect:
            pool.refresh_suspects()
        if outcome is Outcome.ANSWERED:
            pool.group_by_region[target.region].record_latency(elapsed_s)
        if tracked.is_suspect:
            tracked.next_probe_at = now + self._probe_interval_s(pool, tracked)

    def _pool(self, customer: CustomerId, service: ServiceName) -> ServicePool:
        pool = self._pool_by_service.get((customer, service))
        if pool is None:
            pool = ServicePool(self._started_at)
            self._pool_by_service[customer, service] = pool
        return pool

    def _criteria(
        self,
        contract: Contract,
        service_contract: ServiceContract,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        now: float,
    ) -> SelectionCriteria:
        return SelectionCriteria(
            preference=contract.weighs,
            availability_zone=self._location.availability_zone,
            cold_ramp_s=service_contract.cold_ramp_s,
            max_connections=max(
                1,
                service_contract.connections_per_target // max(1, self._entry_count()),
            ),
            idempotent=idempotent,
            excluded=excluded,
            now=now,
        )

    def _limits(self, contract: Contract) -> CustomerLimits:
        limits = self._limits_by_customer.get(contract.customer)
        if limits is None or limits.contract is not contract:
            limits = CustomerLimits(contract, self._location.region, self._holder)
            self._limits_by_customer[contract.customer] = limits
        return limits

    def _candidates(
        self,
        pool: ServicePool,
        limits: CustomerLimits,
        criteria: SelectionCriteria,
        stay_in_region: bool,
    ) -> Iterator[TrackedTarget]:
        """Yield the targets for an attempt, in order of preference."""
        probe = None
        if pool.suspects:
            probe = target_due_for_probe(pool.suspects, self._location.region, criteria)
        if probe is not None and criteria.idempotent:
            yield probe
        home = pool.group_by_region.get(self._location.region)
        home_best = best_target(home, criteria, self._rng) if home else None
        if home and home_best and self._is_shift_due(pool, home, home_best, criteria):
            yield from self._remote_targets(pool, limits, criteria)
        if home_best:
            yield home_best.tracked
        remote = (
            []
            if home_best and stay_in_region
            else self._remote_targets(pool, limits, criteria)
        )
        yield from remote
        # A non-idempotent request, which must not be repeated, goes to a suspect target
        # only if there is no other.
        if probe is not None and not (criteria.idempotent or home_best or remote):
            yield probe

    def _remote_targets(
        self, pool: ServicePool, limits: CustomerLimits, criteria: SelectionCriteria
    ) -> list[TrackedTarget]:
        """Return the best target of each other region, the best region first.

        Regions are ordered by utilization if the contract prefers headroom, otherwise
        by expected latency.
        """
        found: list[tuple[float, TrackedTarget]] = []
        for region, group in pool.group_by_region.items():
            if region == self._location.region:
                continue
            ranked = best_target(group, criteria, self._rng)
            if ranked is None:
                continue
            sort_key = ranked.expected_s
            if criteria.preference is Preference.HEADROOM:
                sort_key = self._utilization(limits, group, criteria)
            found.append((sort_key, ranked.tracked))
        found.sort(key=lambda item: item[0])
        return [tracked for _, tracked in found]

    def _utilization(
        self, limits: CustomerLimits, group: RegionGroup, criteria: SelectionCriteria
    ) -> float:
        """Return the utilization of a region's targets or of its share, if higher."""
        share = limits.utilization(group.region, criteria.now)
        return max(share, group.utilization(criteria.cold_ramp_s, criteria.now))

    def _is_shift_due(
        self,
        pool: ServicePool,
        home: RegionGroup,
        home_best: RankedTarget,
        criteria: SelectionCriteria,
    ) -> bool:
        """Whether other regions come first although the home region has capacity."""
        if criteria.preference is Preference.LATENCY:
            limit_s = home_best.expected_s * LATENCY_SHIFT_RATIO
            if home.mean_latency_s + INTER_REGION_LATENCY_S > limit_s:
                return False
            return any(
                group.mean_latency_s < limit_s
                for group in pool.group_by_region.values()
                if group is not home and group.targets
            )
        if home_best.utilization < HEADROOM_HIGH_UTILIZATION:
            return False
        ramp_s = criteria.cold_ramp_s
        utilization = home.utilization(ramp_s, criteria.now)
        if utilization < HEADROOM_HIGH_UTILIZATION:
            return False
        return any(
            group.utilization(ramp_s, criteria.now) < utilization - HEADROOM_MIN_LEAD
            for group in pool.group_by_region.values()
            if group is not home and group.targets
        )

    def _record_start(
        self, pool: ServicePool, tracked: TrackedTarget, now: float
    ) -> None:
        tracked.in_flight += 1
        if not tracked.is_suspect:
            return
        tracked.probes_since_answer += 1
        tracked.next_probe_at = now + self._probe_interval_s(pool, tracked)

    def _probe_interval_s(self, pool: ServicePool, tracked: TrackedTarget) -> float:
        """Return the time to the next probe request to a suspect target.

        The interval grows only while few enough targets of the region are ejected.
        """
        targets = pool.group_by_region[tracked.target.region].targets
        other_ejected = sum(
            item.probes_since_answer > 1 for item in targets if item is not tracked
        )
        if other_ejected + 1 > MAX_EJECTED_RATIO * len(targets):
            return PROBE_INTERVAL_S
        return min(
            MAX_EJECTED_PROBE_INTERVAL_S,
            math.ldexp(PROBE_INTERVAL_S, tracked.probes_since_answer),
        )

    def _with_retry_after(self, pool: ServicePool, refusal: Failure | None) -> Failure:
        """Return the failure for the caller, with a retry-after time.

        :param pool: Targets of the service; their state gives the reason if no limit
            refused the request.
        :param refusal: First refusal by a limit of the contract, if any.
        """
        if refusal is None:
            refusal = Failure(code=_refusal_code(pool))
        return Failure(
            code=refusal.code,
            detail=refusal.detail,
            retry_after_s=self._retry_after_s(),
        )

    def _retry_after_s(self) -> float:
        """Return a retry-after time that grows with the share of recent refusals."""
        range_s = MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S
        jitter = self._rng.uniform(-RETRY_AFTER_JITTER_RATIO, RETRY_AFTER_JITTER_RATIO)
        return (MIN_RETRY_AFTER_S + self._refusal_ratio * range_s) * (1 + jitter)


def _refusal_code(pool: ServicePool) -> ResultCode:
    usable = [item for group in pool.group_by_region.values() for item in group.targets]
    if not usable:
        return codes.NO_TARGET
    if all(item.is_suspect for item in usable):
        return codes.TARGETS_FAILING
    return codes.TARGETS_BUSY
