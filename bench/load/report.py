"""What a played scenario came to: figures, a table and a plot."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

import pygal

from bench.load.scenario import KindPlan, Scenario
from bench.load.spread import WINDOWS_S, SpreadMeter

WINDOW_S = 2.0


class Outcome(Enum):
    """How a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Ending:
    """Tell how one request ended.

    :param kind: What was asked for.
    :param asked_at: Time at which it was first asked for, in seconds.
    :param outcome: How it ended.
    :param took_ms: Time to its answer, where it got one.
    """

    kind: KindPlan
    asked_at: float
    outcome: Outcome
    took_ms: float

    @property
    def earned(self) -> float:
        """What the answer is worth."""
        if self.outcome is Outcome.IN_TIME:
            return self.kind.worth
        return self.kind.late_worth if self.outcome is Outcome.LATE else 0.0


@dataclass(slots=True)
class Figures:
    """Hold what was measured.

    :param endings: Requests that ended.
    :param asked: Requests that callers made.
    :param returns: Times that callers came back.
    :param spread: How evenly the targets were loaded.
    """

    endings: list[Ending] = field(default_factory=list)
    asked: int = 0
    returns: int = 0
    spread: SpreadMeter = field(default_factory=SpreadMeter)

    def note(self, ending: Ending) -> None:
        """Take the end of a request.

        :param ending: How it ended.
        """
        self.endings.append(ending)

    def worth(self) -> float:
        """Return what was earned as a part of all that could be."""
        return worth_of(self.endings)

    def document(self, bound: float) -> dict[str, Any]:
        """Return the figures for a JSON document.

        :param bound: The most that could be earned.
        """
        counts = Counter(ending.outcome for ending in self.endings)
        took = sorted(ending.took_ms for ending in self.endings if ending.took_ms)
        return {
            "worth": round(self.worth(), 3),
            "part_of_bound": round(self.worth() / bound, 3) if bound else None,
            "asked": self.asked,
            **{o.value.replace(" ", "_"): counts[o] for o in Outcome},
            "returns": self.returns,
            "p50_ms": round(quantile(took, 0.5), 1),
            "p99_ms": round(quantile(took, 0.99), 1),
            "busiest_by_mean": {
                f"{window_s:g}s": [
                    round(quantile(self.spread.ratios(window_s), part), 2)
                    for part in (0.5, 0.95, 0.99)
                ]
                for window_s in WINDOWS_S
            },
            "run_ratio": round(self.spread.run_ratio(), 2),
            "run_ratio_by_region": round(self.spread.run_ratio(by_region=True), 2),
            "uneven_part": round(self.spread.uneven_part, 3),
            "sheds": self.spread.sheds,
            "needless_sheds": self.spread.needless_sheds,
        }


def worth_of(endings: Sequence[Ending]) -> float:
    """Return what requests earned as a part of all that they could.

    :param endings: How they ended.
    """
    owed = sum(ending.kind.worth for ending in endings)
    return sum(ending.earned for ending in endings) / owed if owed else 1.0


def quantile(values: Sequence[float], part: float) -> float:
    """Return a quantile of sorted values; 0 where there are none.

    :param values: The values, sorted.
    :param part: Part of them that is not greater.
    """
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(part * len(values)))]


def worth_by_window(figures: Figures, scenario: Scenario) -> list[float]:
    """Return the worth of the requests of each window of time.

    :param figures: What was measured.
    :param scenario: What was played.
    """
    count = max(1, round(scenario.seconds / WINDOW_S))
    windows: list[list[Ending]] = [[] for _ in range(count)]
    for ending in figures.endings:
        windows[min(count - 1, int(ending.asked_at / WINDOW_S))].append(ending)
    return [worth_of(endings) for endings in windows]


def table(figures: Figures, scenario: Scenario) -> str:
    """Return a table of the kinds of request.

    :param figures: What was measured.
    :param scenario: What was played.
    """
    rows = [("kind", "asked", *(o.value for o in Outcome), "worth", "p50 ms", "p99 ms")]
    for kind in scenario.kinds:
        own = [ending for ending in figures.endings if ending.kind is kind]
        counts = Counter(ending.outcome for ending in own)
        took = sorted(ending.took_ms for ending in own if ending.took_ms)
        rows.append(
            (
                kind.name,
                str(len(own)),
                *(str(counts[o]) for o in Outcome),
                f"{worth_of(own):.3f}",
                f"{quantile(took, 0.5):.0f}",
                f"{quantile(took, 0.99):.0f}",
            )
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join((*lines, f"worth {figures.worth():.3f}"))


def plot(
    windows: Mapping[str, Sequence[float]], scenario: Scenario, path: Path
) -> None:
    """Write a plot of the worth over time.

    :param windows: Worth of each window, by name of the line.
    :param scenario: What was played.
    :param path: The SVG file.
    """
    chart = pygal.Line(title=scenario.pattern, range=(0, 1), x_title="s")
    count = max(len(line) for line in windows.values())
    chart.x_labels = [f"{number * WINDOW_S:g}" for number in range(count)]
    for name, line in windows.items():
        chart.add(name, [round(value, 3) for value in line])
    path.write_bytes(chart.render())
