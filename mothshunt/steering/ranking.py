"""Order in which the targets of one region are tried."""

from collections.abc import Iterator
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

from mothshunt.core.types import AvailabilityZoneId, TargetId, Weighs
from mothshunt.steering.const import OTHER_ZONE_LATENCY_S
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
    """

    state: TargetState
    expected_s: float


def best(group: RegionGroup, question: Question, rng: Random) -> Ranked | None:
    """Return the best target of a region that has room, if any has.

    :param group: Targets of the region.
    :param question: What is looked for.
    :param rng: Breaks ties.
    """
    found = None
    found_score = 0.0
    for state in group.states:
        if not _has_room(state, question):
            continue
        expected_s = _expected_s(state, group, question)
        score = (
            expected_s if question.weighs is Weighs.LATENCY else _use(state, question)
        )
        score *= 1 + rng.random() * 0.05
        if found is None or score < found_score:
            found = Ranked(state, expected_s)
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


def _has_room(state: TargetState, question: Question) -> bool:
    if state.is_suspect() or question.now < state.shed_until:
        return False
    if state.target.id in question.excluded:
        return False
    if state.in_flight >= min(state.target.slots, question.connections):
        return False
    allowed = state.allowed(question.cold_ramp_s, question.now)
    return state.occupancy(question.now) + 1 <= allowed + 0.5


def _use(state: TargetState, question: Question) -> float:
    allowed = state.allowed(question.cold_ramp_s, question.now)
    use = (state.occupancy(question.now) + 1) / allowed
    if state.target.availability_zone != question.availability_zone:
        use += 0.05
    return use


def _expected_s(state: TargetState, group: RegionGroup, question: Question) -> float:
    now = question.now
    expected_s = state.latency_s(group.usual_latency_s, now)
    expected_s *= 1 + state.occupancy(now) / state.allowed(question.cold_ramp_s, now)
    if state.target.availability_zone != question.availability_zone:
        expected_s += OTHER_ZONE_LATENCY_S
    return expected_s
