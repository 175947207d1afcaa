"""How many requests ran at a time, from the records of the targets."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

Run = Mapping[str, Any]


def worst(runs: Iterable[Run], counts: Callable[[Run], bool]) -> int:
    """Return the most runs at one time.

    :param runs: Runs with ``started_at_unix`` and ``ended_at_unix``; a run without an
        end, at a target that was killed, is left out.
    :param counts: Tells which runs to count.
    """
    steps: list[tuple[float, int]] = []
    for run in runs:
        if run["ended_at_unix"] and counts(run):
            steps.append((run["started_at_unix"], 1))
            steps.append((run["ended_at_unix"], -1))
    most = present = 0
    # At one time, ends count before starts.
    for _, step in sorted(steps):
        present += step
        most = max(most, present)
    return most
