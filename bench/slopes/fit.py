"""Straight lines through measured points."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import linear_regression


@dataclass(frozen=True, kw_only=True, slots=True)
class Point:
    """Hold one measurement.

    :param size: Size that was measured at.
    :param value: What was measured.
    """

    size: float
    value: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """Hold a straight line through points.

    :param slope: Growth for each unit of size.
    :param intercept: Value at size 0.
    :param worst_error: Largest distance of a point from the line, in units of value.
    :param points: The points.
    """

    slope: float
    intercept: float
    worst_error: float
    points: tuple[Point, ...]

    def document(self, unit: str) -> dict[str, object]:
        """Return the line for a JSON report.

        :param unit: Unit of the slope.
        """
        return {
            "unit": unit,
            "slope": _rounded(self.slope),
            "intercept": _rounded(self.intercept),
            "worst_error": _rounded(self.worst_error),
            "points": {f"{p.size:g}": _rounded(p.value) for p in self.points},
        }


def fit(points: Sequence[Point]) -> Line:
    """Fit a straight line by least squares.

    :param points: At least two points of different sizes.
    """
    line = linear_regression([p.size for p in points], [p.value for p in points])
    errors = [abs(p.value - (line.intercept + line.slope * p.size)) for p in points]
    return Line(
        slope=line.slope,
        intercept=line.intercept,
        worst_error=max(errors),
        points=tuple(points),
    )


def _rounded(value: float) -> float:
    return float(f"{value:.4g}")
