"""Load on routed deployments, emulated without a network: ``script/bench load FILE``.

The product's deciding functions choose among emulated targets with slots, queues and a
memory for objects; callers in several zones have deadlines and come back once when they
are told to. Random and least-loaded choice see the same arrivals.
"""

import json
from pathlib import Path
from typing import Any

from bench.load.bound import worth_bound
from bench.load.deciders import DECIDERS
from bench.load.report import plot, table, worth_by_window
from bench.load.scenario import Scenario, read_scenario
from bench.load.world import World

SCENARIOS = Path(__file__).parent / "scenarios"
#: Part of a scenario's length that a quick run plays.
QUICK_PART = 0.35
#: Scenarios that a run without a file plays.
DEFAULT_SCENARIO = SCENARIOS / "heavy.toml"


def run(*, quick: bool, file: str | None = None) -> dict[str, Any]:
    """Play a scenario with each decider.

    :param quick: Whether to play the first part only.
    :param file: The scenario; one of the folder ``scenarios`` by default.
    :return: Figures by decider, and the most that any could earn.
    """
    path = Path(file) if file else DEFAULT_SCENARIO
    scenario = read_scenario(path)
    if quick:
        scenario = scenario.first_part(QUICK_PART)
    print(f"{path.name}: {scenario.pattern}")
    print(f"seed {scenario.seed}, {scenario.seconds:g} s a run")
    return _play(scenario, Path.cwd() / "target" / f"load-{scenario.name}")


def _play(scenario: Scenario, stem: Path) -> dict[str, Any]:
    bound = worth_bound(scenario)
    result: dict[str, Any] = {"bound": round(bound.worth, 3)}
    windows = {"bound": bound.by_window}
    for name in DECIDERS:
        world = World.from_scenario(scenario, name)
        figures = world.play()
        result[name] = figures.document(bound.worth)
        windows[name] = worth_by_window(figures, scenario)
        print(f"\n{name}")
        print(table(figures, scenario))
    stem.parent.mkdir(exist_ok=True)
    stem.with_suffix(".json").write_text(json.dumps(result, indent=2))
    plot(windows, scenario, stem.with_suffix(".svg"))
    print(f"\nbound {bound.worth:.3f}: {bound.binds}")
    return result
