"""Choice of a target for one attempt."""

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
    RegionId,
    ServiceName,
    TargetId,
    Weighs,
)
from mothshunt.discovery.model import TargetDirectory
from mothshunt.drain.model import DrainSet
from mothshunt.limits.holder import LeaseHolder
from mothshunt.steering import codes
from mothshunt.steering.const import (
    EJECTED_RATIO,
    EJECTED_TRIAL_S,
    HEADROOM_GAP_RATIO,
    HEADROOM_PRESSED_RATIO,
    LATENCY_SHIFT_RATIO,
    PRESSURE_WEIGHT,
    REMOTE_LATENCY_S,
    RETRY_AFTER_JITTER_RATIO,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    SUSPECT_TRIAL_S,
)
from mothshunt.steering.lanes import Lanes
from mothshunt.steering.model import Choice, Outcome
from mothshunt.steering.pool import RegionGroup, ServicePool
from mothshunt.steering.ranking import Question, Ranked, best, due_trial
from mothshunt.steering.target_state import TargetState


@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Say where this entry instance runs.

    :param region: Its region, the home region of its requests.
    :param availability_zone: Its availability zone.
    """

    region: RegionId
    availability_zone: AvailabilityZoneId


class Chooser:
    """Choose targets from own counts, own outcomes and aged reports.

    :param place: Where this instance runs.
    :param directory: Targets that are known.
    :param holder: Shares of this instance.
    :param entry_count: Returns the number of entry instances.
    :param rng: Breaks ties.
    :param started_at: Monotonic time at which this process started, in seconds.
    """

    def __init__(
        self,
        *,
        place: Place,
        directory: TargetDirectory,
        holder: LeaseHolder,
        entry_count: Callable[[], int],
        rng: Random,
        started_at: float,
    ) -> None:
        self._place = place
        self._directory = directory
        self._holder = holder
        self._entry_count = entry_count
        self._rng = rng
        self._started_at = started_at
        self._pool_by_service: dict[tuple[CustomerId, ServiceName], ServicePool] = {}
        self._lanes_by_customer: dict[CustomerId, Lanes] = {}
        self._pressure_ratio = 0.0

    def choose(
        self,
        *,
        contract: Contract,
        service: ServiceName,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        drains: DrainSet,
        now: float,
        counted: bool = True,
        patient: bool = False,
    ) -> Result[Choice, Failure]:
        """Choose a target and take the room for one attempt.

        :param contract: Contract in force of the customer.
        :param service: Service that is asked for.
        :param idempotent: Whether the request may be repeated.
        :param excluded: Targets that must not be chosen.
        :param drains: Drains in force.
        :param now: Monotonic time, in seconds.
        :param counted: Whether a refusal counts as new demand.
        :param patient: Whether to stay in the home region as long as a target there
            could take the request.
        :return: The choice; or a failure that says when to come back.
        """
        terms = contract.service(service)
        if terms is None:
            return Error(Failure(code=codes.UNKNOWN_SERVICE, detail=service))
        pool = self._pool(contract.customer, service)
        targets = self._directory.targets(contract.customer, service)
        pool.update(targets, drains, now)
        question = self._question(contract, terms, idempotent, excluded, now)
        lanes = self._lanes(contract)
        refusal: Failure | None = None
        for state in self._candidates(pool, lanes, question, patient):
            lane = lanes.lane(state.target.region)
            failure = self._holder.check_capacity(
                lane, idempotent=idempotent, now=now, count_refusal=counted
            )
            if failure is None:
                self._start(pool, state, now)
                permit = self._holder.acquire(lane, now)
                self._learn_pressure(0.0)
                choice = Choice(target=state.target, permit=permit, started_at=now)
                return Ok(choice)
            refusal = refusal or failure
        if counted:
            self._learn_pressure(1.0)
        return Error(self._refusal(pool, refusal))

    def _learn_pressure(self, refused: float) -> None:
        self._pressure_ratio += PRESSURE_WEIGHT * (refused - self._pressure_ratio)

    def finish(self, choice: Choice, outcome: Outcome, now: float) -> None:
        """Give the room back and learn from the outcome.

        :param choice: What ``choose`` returned; finished once.
        :param outcome: How the attempt ended.
        :param now: Monotonic time, in seconds.
        """
        self._holder.release(choice.permit, now)
        target = choice.target
        pool = self._pool(target.customer, target.service)
        state = pool.state_by_id.get(target.id)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        if state.target.incarnation != target.incarnation:
            return
        elapsed_s = now - choice.started_at
        was_suspect = state.suspect
        state.learn(outcome, elapsed_s, now)
        if state.suspect != was_suspect:
            pool.list_suspects()
        if outcome is Outcome.ANSWERED:
            pool.group_by_region[target.region].learn(elapsed_s)
        if state.suspect:
            state.trial_at = now + self._trial_interval_s(pool, state)

    def _pool(self, customer: CustomerId, service: ServiceName) -> ServicePool:
        pool = self._pool_by_service.get((customer, service))
        if pool is None:
            pool = ServicePool(self._started_at)
            self._pool_by_service[customer, service] = pool
        return pool

    def _question(
        self,
        contract: Contract,
        terms: ServiceContract,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        now: float,
    ) -> Question:
        return Question(
            weighs=contract.weighs,
            availability_zone=self._place.availability_zone,
            cold_ramp_s=terms.cold_ramp_s,
            connections=max(
                1, terms.connections_per_target // max(1, self._entry_count())
            ),
            idempotent=idempotent,
            excluded=excluded,
            now=now,
        )

    def _lanes(self, contract: Contract) -> Lanes:
        lanes = self._lanes_by_customer.get(contract.customer)
        if lanes is None or lanes.contract is not contract:
            lanes = Lanes(contract, self._place.region, self._holder)
            self._lanes_by_customer[contract.customer] = lanes
        return lanes

    def _candidates(
        self, pool: ServicePool, lanes: Lanes, question: Question, patient: bool
    ) -> Iterator[TargetState]:
        """Yield targets in the order in which they are to be tried."""
        trial = None
        if pool.suspects:
            trial = due_trial(pool.suspects, self._place.region, question)
        if trial is not None and question.idempotent:
            yield trial
        home = pool.group_by_region.get(self._place.region)
        at_home = best(home, question, self._rng) if home else None
        if home and at_home and self._leave_home(pool, home, at_home, question):
            yield from self._away(pool, lanes, question)
        if at_home:
            yield at_home.state
        away = [] if at_home and patient else self._away(pool, lanes, question)
        yield from away
        # A commitment tries a suspect target out only where there is no other.
        if trial is not None and not (question.idempotent or at_home or away):
            yield trial

    def _away(
        self, pool: ServicePool, lanes: Lanes, question: Question
    ) -> list[TargetState]:
        """Return the best target of each other region, the best region first."""
        found: list[tuple[float, TargetState]] = []
        for region, group in pool.group_by_region.items():
            if region == self._place.region:
                continue
            ranked = best(group, question, self._rng)
            if ranked is None:
                continue
            order = ranked.expected_s
            if question.weighs is Weighs.HEADROOM:
                order = self._pressure(lanes, group, question)
            found.append((order, ranked.state))
        found.sort(key=lambda item: item[0])
        return [state for _, state in found]

    def _pressure(self, lanes: Lanes, group: RegionGroup, question: Question) -> float:
        """Return how full a region is, by its slots and by the share held of it."""
        share = lanes.use_ratio(group.region, question.now)
        return max(share, group.use_ratio(question.cold_ramp_s, question.now))

    def _leave_home(
        self,
        pool: ServicePool,
        home: RegionGroup,
        at_home: Ranked,
        question: Question,
    ) -> bool:
        """Tell whether to leave the home region although it has room."""
        if question.weighs is Weighs.LATENCY:
            limit_s = at_home.expected_s * LATENCY_SHIFT_RATIO
            if home.usual_latency_s + REMOTE_LATENCY_S > limit_s:
                return False
            return any(
                group.usual_latency_s < limit_s
                for group in pool.group_by_region.values()
                if group is not home and group.states
            )
        if at_home.use < HEADROOM_PRESSED_RATIO:
            return False
        ramp_s = question.cold_ramp_s
        use = home.use_ratio(ramp_s, question.now)
        if use < HEADROOM_PRESSED_RATIO:
            return False
        return any(
            group.use_ratio(ramp_s, question.now) < use - HEADROOM_GAP_RATIO
            for group in pool.group_by_region.values()
            if group is not home and group.states
        )

    def _start(self, pool: ServicePool, state: TargetState, now: float) -> None:
        state.in_flight += 1
        if not state.suspect:
            return
        state.trials += 1
        state.trial_at = now + self._trial_interval_s(pool, state)

    def _trial_interval_s(self, pool: ServicePool, state: TargetState) -> float:
        """Return the time to the next trial; long only for a part of a region."""
        states = pool.group_by_region[state.target.region].states
        others = sum(item.trials > 1 for item in states if item is not state)
        if others + 1 > EJECTED_RATIO * len(states):
            return SUSPECT_TRIAL_S
        return min(EJECTED_TRIAL_S, math.ldexp(SUSPECT_TRIAL_S, state.trials))

    def _refusal(self, pool: ServicePool, refusal: Failure | None) -> Failure:
        if refusal is None:
            refusal = Failure(code=_busy_code(pool))
        return Failure(
            code=refusal.code,
            detail=refusal.detail,
            retry_after_s=self._retry_after_s(),
        )

    def _retry_after_s(self) -> float:
        """Return the time to come back, longer the more is refused."""
        reach_s = RETRY_AFTER_MAX_S - RETRY_AFTER_MIN_S
        spread = self._rng.uniform(-RETRY_AFTER_JITTER_RATIO, RETRY_AFTER_JITTER_RATIO)
        return (RETRY_AFTER_MIN_S + self._pressure_ratio * reach_s) * (1 + spread)


def _busy_code(pool: ServicePool) -> ResultCode:
    states = [item for group in pool.group_by_region.values() for item in group.states]
    if not states:
        return codes.NO_TARGET
    if all(state.suspect for state in states):
        return codes.TARGETS_FAILING
    return codes.TARGETS_BUSY
