"""Straight lines through measured quantities, by least squares, with the errors of the fit. No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

MIN_SIZES = 4


class FitError(ValueError):
    """There are too few runs to fit a line to."""


@dataclass(frozen=True, slots=True)
class SizedRun:
    """The quantities that a run measured, by name, and the run's size on the axis of the fit."""

    size: float
    quantities: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class FittedLine:
    """A line by its `slope` and its `start` at size 0, with the standard errors of both.

    `residual` is the standard deviation of the residuals.
    """

    slope: float
    start: float
    slope_error: float
    start_error: float
    residual: float
    sizes: tuple[float, ...]

    def at(self, size: float) -> float:
        """Returns the value of the line at that size."""
        return self.start + self.slope * size

    def error_at(self, size: float) -> float:
        """Returns the standard error of a new measurement at that size."""
        count = len(self.sizes)
        mean_size = sum(self.sizes) / count
        spread = sum((known - mean_size) ** 2 for known in self.sizes)
        return self.residual * math.sqrt(1.0 + 1.0 / count + (size - mean_size) ** 2 / spread)


def fit(points: Sequence[tuple[float, float]]) -> FittedLine:
    """Returns the least-squares line through points of (size, value).

    Raises `FitError` for fewer than `MIN_SIZES` different sizes.
    """
    distinct_sizes = len({size for size, _ in points})
    if distinct_sizes < MIN_SIZES:
        raise FitError(f"a line needs {MIN_SIZES} different sizes, there are {distinct_sizes}")
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_value = sum(value for _, value in points) / count
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in points) / spread
    start = mean_value - slope * mean_size
    squares = sum((value - start - slope * size) ** 2 for size, value in points)
    residual = math.sqrt(squares / (count - 2))
    return FittedLine(
        slope=slope,
        start=start,
        slope_error=residual / math.sqrt(spread),
        start_error=residual * math.sqrt(1.0 / count + mean_size**2 / spread),
        residual=residual,
        sizes=tuple(size for size, _ in points),
    )


def fit_all(runs: Sequence[SizedRun]) -> dict[str, FittedLine]:
    """Returns a line for each quantity that all runs have. Raises `FitError` as `fit` does."""
    if not runs:
        raise FitError("there are no runs")
    names = [name for name in runs[0].quantities if all(name in run.quantities for run in runs)]
    return {name: fit([(run.size, run.quantities[name]) for run in runs]) for name in names}


def relative_error(predicted: float, measured: float) -> float:
    """Returns how far a prediction was off, as a share of the measured value."""
    if measured == 0.0:
        return 0.0 if predicted == 0.0 else math.inf
    return (predicted - measured) / measured
