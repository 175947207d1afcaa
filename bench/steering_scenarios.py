"""What happens in each scenario, and the arrivals that all choosers get."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bench.steering_profiles import (
    ENTRIES_PER_REGION,
    REGIONS,
    USUAL_LOAD,
    CustomerProfile,
)
from mothshunt.core.types import Preference, RegionId, ServiceName

SURGE_FACTOR = 2.2
#: Sleman's seasonal surge reaches the other regions as well.
SURGE_ELSEWHERE_FACTOR = 1.3
RUN_TIME_SIGMA = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """Describe what goes wrong, and when.

    :param name: Name in the result.
    :param surge: Whether one region's arrivals rise in the middle third.
    :param region_lost: Whether one region's targets are lost in the middle third.
    :param slow_target: Whether one target of each service is slow.
    :param lying_target: Whether one target of each service answers errors while it
        reports that it is idle.
    """

    name: str
    surge: bool = False
    region_lost: bool = False
    slow_target: bool = False
    lying_target: bool = False


SCENARIOS = (
    Scenario(name="baseline"),
    Scenario(name="surge", surge=True),
    Scenario(name="region_lost", region_lost=True),
    Scenario(name="slow_target", slow_target=True),
    Scenario(name="misleading_health", lying_target=True),
)
TROUBLED_REGION = REGIONS[0]


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a caller.

    :param number: Unique in the run.
    :param at: Time of arrival at the entry instance, in seconds.
    :param entry: Position of the entry instance.
    :param service: Service that is asked for.
    :param idempotent: Whether it may be repeated.
    :param run_s: Time that a warm target takes, in seconds.
    """

    number: int
    at: float
    entry: int
    service: ServiceName
    idempotent: bool
    run_s: float


def arrivals(
    profile: CustomerProfile, scenario: Scenario, duration_s: float, seed: int
) -> list[Arrival]:
    """Draw the requests of one run.

    :param profile: The customer.
    :param scenario: What happens.
    :param duration_s: Length of the run, in seconds.
    :param seed: Seed of the draw.
    """
    rng = Random(f"{seed} {profile.name} {scenario.name}")
    drawn = []
    for service in profile.services:
        rate = USUAL_LOAD * service.total_slots() / service.run_s / len(REGIONS)
        for position, region in enumerate(REGIONS):
            factor = _factor(profile, scenario, region, duration_s)
            for at in _times(rng, rate, factor, duration_s):
                entry = position * ENTRIES_PER_REGION
                entry += rng.randrange(ENTRIES_PER_REGION)
                run_s = _run_s(rng, service.run_s)
                idempotent = rng.random() < service.idempotent
                drawn.append((at, entry, service.name, idempotent, run_s))
    drawn.sort()
    return [Arrival(number, *item) for number, item in enumerate(drawn)]


def _times(
    rng: Random, rate: float, factor: Callable[[float], float], duration_s: float
) -> list[float]:
    highest = rate * SURGE_FACTOR
    times = []
    at = rng.expovariate(highest)
    while at < duration_s:
        if rng.random() * highest < rate * factor(at):
            times.append(at)
        at += rng.expovariate(highest)
    return times


def _factor(
    profile: CustomerProfile, scenario: Scenario, region: RegionId, duration_s: float
) -> Callable[[float], float]:
    if not scenario.surge:
        return lambda at: 1.0
    factor = SURGE_FACTOR
    if region != TROUBLED_REGION:
        headroom = profile.weighs is Preference.HEADROOM
        factor = SURGE_ELSEWHERE_FACTOR if headroom else 1.0
    start, end = middle_third(duration_s)
    return lambda at: factor if start <= at < end else 1.0


def middle_third(duration_s: float) -> tuple[float, float]:
    """Return when trouble starts and ends, in seconds.

    :param duration_s: Length of the run, in seconds.
    """
    return duration_s / 3, duration_s * 2 / 3


def _run_s(rng: Random, mean_s: float) -> float:
    return mean_s * rng.lognormvariate(-(RUN_TIME_SIGMA**2) / 2, RUN_TIME_SIGMA)


def percentile_ms(latencies_s: list[float], part: float) -> float:
    """Return a percentile of latencies, in milliseconds.

    :param latencies_s: Latencies in seconds.
    :param part: The percentile, from 0 to 1.
    """
    if not latencies_s:
        return math.nan
    ordered = sorted(latencies_s)
    position = min(len(ordered) - 1, int(part * len(ordered)))
    return round(ordered[position] * 1000, 2)
