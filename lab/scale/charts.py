"""Charts of fitted lines: one for each quantity, with its measured points, its line and its prediction."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib

from lab.scale.slopes import FittedLine, SizedRun

matplotlib.use("Agg")

from matplotlib import pyplot

FIGURE_INCHES = (5.0, 3.2)
DOTS_PER_INCH = 100


def draw(
    folder: Path,
    axis: str,
    runs: Sequence[SizedRun],
    lines: dict[str, FittedLine],
    predicted_size: float | None,
) -> list[Path]:
    """Writes `AXIS-QUANTITY.png` into the folder for each line, and returns the files."""
    folder.mkdir(parents=True, exist_ok=True)
    return [_draw_one(folder, axis, name, runs, line, predicted_size) for name, line in lines.items()]


def _draw_one(
    folder: Path,
    axis: str,
    name: str,
    runs: Sequence[SizedRun],
    line: FittedLine,
    predicted_size: float | None,
) -> Path:
    sizes = [run.size for run in runs]
    ends = [min(sizes), max([*sizes, predicted_size or 0.0])]
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    axes.plot(sizes, [run.quantities[name] for run in runs], "o", label="measured")
    axes.plot(ends, [line.at(end) for end in ends], "-", label=f"{line.start:.4g} + {line.slope:.4g} x")
    if predicted_size is not None:
        error = line.error_at(predicted_size)
        axes.errorbar([predicted_size], [line.at(predicted_size)], [error], fmt="s", label="predicted")
    axes.set_xlabel(axis)
    axes.set_ylabel(name)
    axes.set_ylim(bottom=min(0.0, axes.get_ylim()[0]))
    axes.legend()
    figure.tight_layout()
    path = folder / f"{axis}-{name}.png"
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
    return path
