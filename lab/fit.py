"""A straight line through measured points, and how far it may be trusted."""

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from statistics import linear_regression


@dataclass(slots=True, frozen=True)
class Line:
    """y = `at_zero` + `slope` * x by least squares; errors are standard errors."""

    slope: float
    slope_error: float
    at_zero: float
    residual: float  # standard deviation of the points around the line
    points: int

    def at(self, x: float) -> float:
        """The line's value there."""
        return self.at_zero + self.slope * x

    def as_dict(self) -> dict[str, float]:
        """The fields by their names, for JSON."""
        return asdict(self)


def fit(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """The line through at least three points, not all at one x; raises `ValueError` otherwise."""
    if len(xs) != len(ys) or len(xs) < 3 or len(set(xs)) < 2:
        raise ValueError("points: at least three, with an x and a y each, and not all at one x")
    slope, at_zero = linear_regression(xs, ys)
    squares = sum((y - at_zero - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    mean = sum(xs) / len(xs)
    spread = sum((x - mean) ** 2 for x in xs)
    residual = math.sqrt(squares / (len(xs) - 2))
    return Line(slope, residual / math.sqrt(spread), at_zero, residual, len(xs))
