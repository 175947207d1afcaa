"""Slopes that docs/CAPACITY.md is worked out from.

They are measured at three sizes or more on one machine; a straight line is fitted to
the points, and the largest distance of a point from it is reported beside it.
"""

from bench import lookup_slopes
from bench.slopes import control, tables


def run(*, quick: bool) -> dict[str, object]:
    """Measure all slopes.

    :param quick: Whether to measure at smaller sizes, and look-ups not at all.
    """
    slopes: dict[str, object] = {
        "tables": tables.measure(quick),
        "control": control.measure(quick),
    }
    if not quick:
        slopes["lookup"] = lookup_slopes.run(quick=False)
    return slopes
