"""What a played scenario came to: figures, a table and a plot."""

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

import pygal

from bench.load.scenario import KindPlan, Scenario
from bench.load.spread import WINDOWS_S, SpreadMeter
from mothshunt.core.types import RegionId, WorkspaceName

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
    :param region: Region of the caller.
    :param workspace: Workspace of the caller; ``None`` where there are none.
    :param returns: Times that the caller came back after a rejection.
    :param tried_at: Time at which an entry instance last got it, in seconds.
    """

    kind: KindPlan
    asked_at: float
    outcome: Outcome
    took_ms: float
    region: RegionId | None = None
    workspace: WorkspaceName | None = None
    returns: int = 0
    tried_at: float = 0.0

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
    :param rejected_after: Time to each rejection as a multiple of the target latency,
        by kind.
    :param spread: How evenly the targets were loaded.
    """

    endings: list[Ending] = field(default_factory=list)
    asked: int = 0
    returns: int = 0
    rejected_after: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
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


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupFigures:
    """Say how the requests of one group ended, each as a part of all of it.

    :param asked: Number of requests.
    :param in_time: Served in time.
    :param late: Served late.
    :param rejected: Rejected in the end.
    :param retried_served: Served after the caller came back.
    :param worth: What was earned of what could be.
    """

    asked: int
    in_time: float
    late: float
    rejected: float
    retried_served: float
    worth: float

    @property
    def served(self) -> float:
        """Served in time or late."""
        return self.in_time + self.late

    @classmethod
    def from_endings(cls, endings: Sequence[Ending]) -> "GroupFigures":
        """Count the endings of a group.

        :param endings: How its requests ended.
        """
        count = len(endings) or 1
        outcomes = Counter(ending.outcome for ending in endings)
        served = (Outcome.IN_TIME, Outcome.LATE)
        retried = sum(e.returns > 0 and e.outcome in served for e in endings)
        return cls(
            asked=len(endings),
            in_time=outcomes[Outcome.IN_TIME] / count,
            late=outcomes[Outcome.LATE] / count,
            rejected=outcomes[Outcome.REFUSED] / count,
            retried_served=retried / count,
            worth=worth_of(endings),
        )


def by_group(
    figures: Figures, group: Callable[[Ending], str | None]
) -> dict[str, GroupFigures]:
    """Return figures of groups of requests.

    :param figures: What was measured.
    :param group: Returns the group of a request; ``None`` for none.
    """
    endings: dict[str, list[Ending]] = defaultdict(list)
    for ending in figures.endings:
        name = group(ending)
        if name is not None:
            endings[name].append(ending)
    return {name: GroupFigures.from_endings(endings[name]) for name in sorted(endings)}


def group_table(groups: Mapping[str, GroupFigures]) -> str:
    """Return a table of groups of requests.

    :param groups: Figures by name of the group.
    """
    head = ("group", "asked", "in time", "late", "rejected", "retried", "worth")
    rows = [head]
    for name, g in groups.items():
        parts = (g.in_time, g.late, g.rejected, g.retried_served, g.worth)
        cells = [f"{part:.3f}" for part in parts]
        rows.append(
            (name, str(g.asked), cells[0], cells[1], cells[2], cells[3], cells[4])
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(head))]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )


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
