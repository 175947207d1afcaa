"""Requests that callers make, drawn once for all deciders."""

import bisect
import itertools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from random import Random

from bench.load.scenario import EventKind, KindPlan, Scenario
from mothshunt.core.types import AvailabilityZoneId, WorkspaceName

#: Steps in which the rates are looked up, in seconds.
STEP_S = 0.1


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a caller.

    :param number: Unique number.
    :param at: Time at which the caller makes it, in seconds.
    :param kind: What it asks for.
    :param zone: Availability zone of the caller.
    :param key: Object that it concerns.
    :param workspace: Workspace of the caller; ``None`` where there are none.
    """

    number: int
    at: float
    kind: KindPlan
    zone: AvailabilityZoneId
    key: str | None
    workspace: WorkspaceName | None = None


def arrivals(scenario: Scenario) -> list[Arrival]:
    """Draw all requests of a scenario, in the order of their time.

    :param scenario: The scenario.
    """
    random = Random(scenario.seed)
    drawn = sorted(_drawn(scenario, random), key=lambda item: item[0])
    if not scenario.workspaces:
        return [Arrival(number, *item) for number, item in enumerate(drawn)]
    # A source of its own, so that workspaces change nothing else of a scenario.
    names, weights = zip(*scenario.workspaces.items(), strict=True)
    chosen = Random(scenario.seed + 2).choices(names, weights, k=len(drawn))
    return [
        Arrival(number, *item, workspace)
        for number, (item, workspace) in enumerate(zip(drawn, chosen, strict=True))
    ]


def _drawn(
    scenario: Scenario, random: Random
) -> Iterator[tuple[float, KindPlan, AvailabilityZoneId, str | None]]:
    for kind in scenario.kinds:
        weights = [1.0 / (rank + 1) ** kind.skew for rank in range(kind.objects)]
        cumulative = list(itertools.accumulate(weights))
        at = 0.0
        while at < scenario.seconds:
            for zone, share in _callers(scenario, kind, at).items():
                per_step = kind.per_s * share * STEP_S
                for _ in range(_poisson(per_step, random)):
                    rank = bisect.bisect(cumulative, random.random() * cumulative[-1])
                    moment = at + random.random() * STEP_S
                    key = f"{kind.service}-{rank}" if kind.has_affinity else None
                    yield moment, kind, zone, key
            at += STEP_S


def _callers(
    scenario: Scenario, kind: KindPlan, now: float
) -> Mapping[AvailabilityZoneId, float]:
    """Return the callers of each zone as a part of the usual callers of all."""
    zones = list(scenario.region_by_zone)
    weights = {zone: scenario.callers.get(zone, 1.0) for zone in zones}
    total = sum(weights.values())
    parts = {zone: weight / total for zone, weight in weights.items()}
    if scenario.waves is not None:
        for zone, region in scenario.region_by_zone.items():
            parts[zone] *= scenario.waves.factor(region, now)
    for event in scenario.events:
        if not event.holds(now) or event.of not in (None, kind.name):
            continue
        met = [zone for zone in zones if event.zone in (None, zone)]
        if event.kind is EventKind.BURST:
            for zone in met:
                parts[zone] *= event.x
        elif event.kind is EventKind.SHIFT and event.to_zone is not None:
            for zone in met:
                moved = parts[zone] * event.share
                parts[zone] -= moved
                parts[event.to_zone] += moved
    return parts


def _poisson(mean: float, random: Random) -> int:
    count = 0
    at = random.expovariate(1.0)
    while at < mean:
        count += 1
        at += random.expovariate(1.0)
    return count
