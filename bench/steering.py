"""Choice of targets against random and round-robin choice on the same arrivals.

The deciding functions are driven directly by a queue model of the targets. A
refused request found no room; a failed one got an error, or no answer in time.
"""

from typing import Any

from bench.steering_choosers import CHOOSERS, Directory
from bench.steering_model import Figures, QueueModel
from bench.steering_profiles import PROFILES, REQUEST_TIMEOUT_S, CustomerProfile
from bench.steering_scenarios import (
    SCENARIOS,
    Arrival,
    Scenario,
    arrivals,
    percentile_ms,
)
from bench.timeline import Timeline

SEED = 20
QUICK_S = 15.0
FULL_S = 60.0
START_S = -2.0


def run(*, quick: bool) -> dict[str, Any]:
    """Run every scenario for both customers.

    :param quick: Whether to run a shorter time.
    :return: Figures by customer, scenario and chooser.
    """
    duration_s = QUICK_S if quick else FULL_S
    print(f"seed {SEED}, {duration_s:g} s a run")
    return {
        profile.name: {
            scenario.name: _run_scenario(profile, scenario, duration_s)
            for scenario in SCENARIOS
        }
        for profile in PROFILES
    }


def _run_scenario(
    profile: CustomerProfile, scenario: Scenario, duration_s: float
) -> dict[str, Any]:
    drawn = arrivals(profile, scenario, duration_s, SEED)
    result = {}
    for name in CHOOSERS:
        figures = _run_chooser(name, profile, scenario, drawn, duration_s)
        result[name] = _document(figures, profile)
        print(f"{profile.name:10} {scenario.name:18} {name:12} {result[name]}")
    return result


def _run_chooser(
    name: str,
    profile: CustomerProfile,
    scenario: Scenario,
    drawn: list[Arrival],
    duration_s: float,
) -> Figures:
    timeline = Timeline(START_S)
    directory = Directory()
    model = QueueModel(
        profile=profile,
        scenario=scenario,
        duration_s=duration_s,
        timeline=timeline,
        directory=directory,
        chooser=CHOOSERS[name](profile, directory, timeline, SEED),
    )
    return model.run(drawn, duration_s + 2 * REQUEST_TIMEOUT_S)


def _document(figures: Figures, profile: CustomerProfile) -> dict[str, Any]:
    return {
        "p50_ms": percentile_ms(figures.latencies_s, 0.5),
        "p99_ms": percentile_ms(figures.latencies_s, 0.99),
        "refused": figures.refused,
        "failed": figures.failed,
        "worst_occupancy": round(figures.worst_occupancy, 3),
        "worst_shift_over_cap": max(0, figures.worst_shift - profile.shift_cap()),
        "doubled": figures.doubled,
        "arrived": figures.arrived,
        "retries": figures.retries,
    }
