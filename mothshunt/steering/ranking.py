"""Order in which the targets of one region are tried."""

from collections.abc import Iterator
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

from mothshunt.core.types import AvailabilityZoneId, TargetId, Weighs
from mothshunt.steering.const import OTHER_ZONE_COST, TIE_RATIO
from mothshunt.steering.pool import RegionGroup
from mothshunt.steering.target_state import TargetState


@dataclass(frozen=True, kw_only=True, slots=True)
class Question:
    """Say what a target is looked for.

    :param weighs: What the contract prefers.
    :param availability_zone: Availability zone of this instance.
    :param cold_ramp_s: Time to bring a cold target to its full share, in seconds.
    :param connections: Most connections from this instance to one target.
    :param idempotent: Whether the request may be repeated.
    :param excluded: Targets that must not be chosen.
    :param now: Monotonic time, in seconds.
    """

    weighs: Weighs
    availability_zone: AvailabilityZoneId
    cold_ramp_s: float
    connections: int
    idempotent: bool
    excluded: AbstractSet[TargetId]
    now: float


@dataclass(frozen=True, slots=True)
class Ranked:
    """Hold the best target of a region.

    :param state: The target.
    :param expected_s: Latency to expect from it, in seconds.
    :param use: Estimated part of its slots in use, this request counted in.
    """

    state: TargetState
    expected_s: float
    use: float


def best(group: RegionGroup, question: Question, rng: Random) -> Ranked | None:
    """Return the best target of a region that has room, if any has.

    :param group: Targets of the region.
    :param question: What is looked for.
    :param rng: Breaks ties.
    """
    now = question.now
    found = None
    found_score = 0.0
    for state in group.states:
        if not _may_take(state, question):
            continue
        use = (state.occupancy(now) + 1) / state.allowed(question.cold_ramp_s, now)
        slowness = state.slowness(group.usual_latency_s, now)
        score = use * slowness * (1 + rng.random() * TIE_RATIO)
        if state.target.availability_zone != question.availability_zone:
            score += OTHER_ZONE_COST
        if found is None or score < found_score:
            expected_s = group.usual_latency_s * slowness * max(1.0, use)
            found = Ranked(state, expected_s, use)
            found_score = score
    return found


def due_trials(group: RegionGroup, question: Question) -> Iterator[TargetState]:
    """Yield suspect targets of a region that are due for a trial.

    :param group: Targets of the region.
    :param question: What is looked for.
    """
    for state in group.states:
        if state.target.id in question.excluded or not state.is_suspect():
            continue
        if state.in_flight == 0 and question.now >= state.trial_at:
            yield state


def _may_take(state: TargetState, question: Question) -> bool:
    now = question.now
    if state.is_suspect() or now < state.shed_until:
        return False
    if state.target.id in question.excluded:
        return False
    allowed = min(state.allowed(question.cold_ramp_s, now), question.connections)
    return state.in_flight < allowed
