"""Policy of admission under overload, emulated: ``script/bench admission [FILE]``.

Plays scenarios of load with and without admission control and reports, by kind, region
and workspace, what is served in time, late, rejected, and served after the caller came
back. Several seeds show how far figures differ by chance.
"""

from dataclasses import replace
from pathlib import Path
from typing import Any

from bench.load import SCENARIOS
from bench.load.report import Ending, Figures, by_group, group_table, quantile
from bench.load.scenario import Scenario, read_scenario
from bench.load.world import World

#: Scenarios and seeds that a run without a file plays.
DEFAULT_SCENARIOS = ("florists", "utilities")
SEEDS = (11, 12, 13)
#: Policies that are compared: deciders of ``bench.load``.
POLICIES = ("mothshunt", "admission")
#: Part of the rejections that must come within an eighth of the target latency.
IMMEDIATE_PART = 0.95


def run(*, quick: bool, file: str | None = None) -> dict[str, Any]:
    """Play scenarios with each policy and seed.

    :param quick: Whether to play one seed only.
    :param file: The scenario; those of the customers by default.
    :return: Figures by scenario, policy and seed.
    """
    paths = (
        [Path(file)] if file else [SCENARIOS / f"{n}.toml" for n in DEFAULT_SCENARIOS]
    )
    result: dict[str, Any] = {}
    for path in paths:
        scenario = read_scenario(path)
        for policy in POLICIES:
            for seed in SEEDS[:1] if quick else SEEDS:
                figures = World.from_scenario(
                    replace(scenario, seed=seed), policy
                ).play()
                print(f"\n{scenario.name}, {policy}, seed {seed}")
                print(report(figures, scenario))
                result[f"{scenario.name}/{policy}/{seed}"] = document(figures)
    return result


def _kind(ending: Ending) -> str:
    return ending.kind.name


def _kind_and_region(ending: Ending) -> str:
    return f"{ending.kind.name}/{ending.region}"


def report(figures: Figures, scenario: Scenario) -> str:
    """Return tables by kind, region and workspace.

    :param figures: What was measured.
    :param scenario: What was played.
    """
    tables = [
        group_table(by_group(figures, _kind)),
        group_table(by_group(figures, _kind_and_region)),
    ]
    if scenario.workspaces:
        tables.append(group_table(by_group(figures, lambda ending: ending.workspace)))
    lines = [
        f"{name}: rejections after {quantile(sorted(shares), IMMEDIATE_PART):.3f} of "
        f"the target latency at most in {IMMEDIATE_PART}"
        for name, shares in figures.rejected_after.items()
    ]
    return "\n".join((*tables, *lines, f"worth {figures.worth():.3f}"))


def document(figures: Figures) -> dict[str, Any]:
    """Return the figures for a JSON document.

    :param figures: What was measured.
    """
    return {
        "worth": round(figures.worth(), 3),
        "kinds": {
            name: {
                "served": round(group.served, 3),
                "in_time": round(group.in_time, 3),
                "worth": round(group.worth, 3),
                "retried_served": round(group.retried_served, 3),
            }
            for name, group in by_group(figures, _kind).items()
        },
    }
