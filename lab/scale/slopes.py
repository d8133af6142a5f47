"""Straight lines through measured quantities: least squares, with the error of the fit. No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

LEAST_SIZES = 4


class FitError(ValueError):
    """There is too little to fit a line to."""


@dataclass(frozen=True, slots=True)
class Line:
    """`slope` and `start` (at size 0), their standard errors, and the residuals' standard deviation."""

    slope: float
    start: float
    slope_error: float
    start_error: float
    residual: float
    sizes: tuple[float, ...]

    def at(self, size: float) -> float:
        """What the line says for that size."""
        return self.start + self.slope * size

    def error_at(self, size: float) -> float:
        """The standard error of a new measurement at that size."""
        count = len(self.sizes)
        middle = sum(self.sizes) / count
        spread = sum((known - middle) ** 2 for known in self.sizes)
        return self.residual * math.sqrt(1.0 + 1.0 / count + (size - middle) ** 2 / spread)


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """The least-squares line through (size, value); raises `FitError` for under four different sizes."""
    if len({size for size, _ in points}) < LEAST_SIZES:
        raise FitError(f"a line needs {LEAST_SIZES} different sizes, there are {len({s for s, _ in points})}")
    count = len(points)
    middle = sum(size for size, _ in points) / count
    mean = sum(value for _, value in points) / count
    spread = sum((size - middle) ** 2 for size, _ in points)
    slope = sum((size - middle) * (value - mean) for size, value in points) / spread
    start = mean - slope * middle
    squares = sum((value - start - slope * size) ** 2 for size, value in points)
    residual = math.sqrt(squares / (count - 2))
    return Line(
        slope=slope,
        start=start,
        slope_error=residual / math.sqrt(spread),
        start_error=residual * math.sqrt(1.0 / count + middle**2 / spread),
        residual=residual,
        sizes=tuple(size for size, _ in points),
    )


def fit_all(runs: Sequence[tuple[float, Mapping[str, float]]]) -> dict[str, Line]:
    """A line for each quantity that all runs have; `runs` are (size, quantities)."""
    if not runs:
        raise FitError("there are no runs")
    names = [name for name in runs[0][1] if all(name in quantities for _, quantities in runs)]
    return {name: fit([(size, quantities[name]) for size, quantities in runs]) for name in names}


def miss(predicted: float, measured: float) -> float:
    """How far a prediction was off, as a share of what was measured."""
    if measured == 0.0:
        return 0.0 if predicted == 0.0 else math.inf
    return (predicted - measured) / measured
