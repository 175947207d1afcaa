"""Ranking of the targets of a service by load, latency and availability zone."""

import math
from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

from mothshunt.core.types import AvailabilityZoneId, Preference, RegionId, TargetId
from mothshunt.steering.const import OTHER_ZONE_PENALTY, SCORE_JITTER_RATIO
from mothshunt.steering.pool import RegionGroup
from mothshunt.steering.target_state import TrackedTarget


@dataclass(frozen=True, kw_only=True, slots=True)
class SelectionCriteria:
    """Criteria for the target of one attempt.

    :param preference: Whether the contract prefers low latency or headroom.
    :param availability_zone: Availability zone of this instance.
    :param cold_ramp_s: Time in which a cold target is ramped up, in seconds.
    :param max_connections: Most connections from this instance to one target.
    :param idempotent: Whether the request may be repeated.
    :param excluded: Targets that must not be chosen.
    :param now: Monotonic time, in seconds.
    """

    preference: Preference
    availability_zone: AvailabilityZoneId
    cold_ramp_s: float
    max_connections: int
    idempotent: bool
    excluded: AbstractSet[TargetId]
    now: float


@dataclass(frozen=True, slots=True)
class RankedTarget:
    """Best target of a region, with the estimates behind its rank.

    :param tracked: The target.
    :param expected_s: Expected latency, in seconds.
    :param utilization: Estimated requests in flight as a share of the target's limit,
        this request included.
    """

    tracked: TrackedTarget
    expected_s: float
    utilization: float


def best_target(
    group: RegionGroup, criteria: SelectionCriteria, rng: Random
) -> RankedTarget | None:
    """Return the best target of a region with free capacity, or ``None``.

    :param group: Usable targets of the region.
    :param criteria: Criteria for the target.
    :param rng: Source of the random values that break ties.
    """
    now = criteria.now
    best: TrackedTarget | None = None
    best_score = math.inf
    best_utilization = 0.0
    for tracked in group.targets:
        target = tracked.target
        if (
            tracked.is_suspect
            or now < tracked.backoff_until
            or target.id in criteria.excluded
        ):
            continue
        limit = tracked.concurrency_limit(criteria.cold_ramp_s, now)
        if tracked.in_flight >= min(limit, criteria.max_connections):
            continue
        utilization = (tracked.estimated_in_flight(now) + 1) / limit
        score = utilization * tracked.slowness(group.mean_latency_s, now)
        score *= 1 + rng.random() * SCORE_JITTER_RATIO
        if target.availability_zone != criteria.availability_zone:
            score += OTHER_ZONE_PENALTY
        if score < best_score:
            best, best_score, best_utilization = tracked, score, utilization
    if best is None:
        return None
    slowness = best.slowness(group.mean_latency_s, now)
    expected_s = group.mean_latency_s * slowness * max(1.0, best_utilization)
    return RankedTarget(best, expected_s, best_utilization)


def target_due_for_probe(
    suspects: Iterable[TrackedTarget], home: RegionId, criteria: SelectionCriteria
) -> TrackedTarget | None:
    """Return a suspect target that is due for a probe request, or ``None``.

    Targets of the home region come first.

    :param suspects: Suspect targets among the usable ones.
    :param home: Region of this instance.
    :param criteria: Criteria for the target.
    """
    due = None
    for tracked in suspects:
        if tracked.in_flight or criteria.now < tracked.next_probe_at:
            continue
        if tracked.target.id in criteria.excluded:
            continue
        if tracked.target.region == home:
            return tracked
        due = tracked
    return due
