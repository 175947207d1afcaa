"""Order in which the targets of one region are tried."""

import math
from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

from mothshunt.core.types import AvailabilityZoneId, RegionId, TargetId, Weighs
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
    found: TargetState | None = None
    found_score = math.inf
    found_use = 0.0
    for state in group.states:
        target = state.target
        if state.suspect or now < state.shed_until or target.id in question.excluded:
            continue
        allowed = state.allowed(question.cold_ramp_s, now)
        if state.in_flight >= min(allowed, question.connections):
            continue
        use = (state.occupancy(now) + 1) / allowed
        score = use * state.slowness(group.usual_latency_s, now)
        score *= 1 + rng.random() * TIE_RATIO
        if target.availability_zone != question.availability_zone:
            score += OTHER_ZONE_COST
        if score < found_score:
            found, found_score, found_use = state, score, use
    if found is None:
        return None
    slowness = found.slowness(group.usual_latency_s, now)
    expected_s = group.usual_latency_s * slowness * max(1.0, found_use)
    return Ranked(found, expected_s, found_use)


def due_trial(
    suspects: Iterable[TargetState], home: RegionId, question: Question
) -> TargetState | None:
    """Return a suspect target that is due for a trial, one of the region first.

    :param suspects: Suspect targets that may get work.
    :param home: Region of this instance.
    :param question: What is looked for.
    """
    found = None
    for state in suspects:
        if state.in_flight or question.now < state.trial_at:
            continue
        if state.target.id in question.excluded:
            continue
        if state.target.region == home:
            return state
        found = state
    return found
