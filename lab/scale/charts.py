"""One chart for each quantity: the measured points, the line, and what it predicts."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib

from lab.scale.slopes import Line

matplotlib.use("Agg")

from matplotlib import pyplot


def draw(
    folder: Path,
    axis: str,
    runs: Sequence[tuple[float, Mapping[str, float]]],
    lines: Mapping[str, Line],
    predicted_size: float | None,
) -> list[Path]:
    """Writes `AXIS-QUANTITY.png` into the folder; tells the files."""
    folder.mkdir(parents=True, exist_ok=True)
    return [_draw_one(folder, axis, name, runs, line, predicted_size) for name, line in lines.items()]


def _draw_one(
    folder: Path,
    axis: str,
    name: str,
    runs: Sequence[tuple[float, Mapping[str, float]]],
    line: Line,
    predicted_size: float | None,
) -> Path:
    sizes = [size for size, _ in runs]
    ends = [min(sizes), max([*sizes, predicted_size or 0.0])]
    figure, axes = pyplot.subplots(figsize=(5.0, 3.2))
    axes.plot(sizes, [quantities[name] for _, quantities in runs], "o", label="measured")
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
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
    return path
