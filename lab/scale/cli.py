"""`cloverwell lab scale`: run a world of many proxies, and fit lines to what runs measured."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from cloverwell.cli.main import exit_with_error
from lab.scale import machine, plan
from lab.scale.errors import RunInterruptedError, ScaleRunError
from lab.scale.scenario import ScaleScenario, ScaleScenarioError, check, load, shipped
from lab.scale.slopes import FitError, FittedLine, SizedRun, fit_all, relative_error

if TYPE_CHECKING:
    from lab.scale.result import ScaleResult

BROKEN = 1  # exit code if revisions were lost or misplaced, or a process ended by itself
INTERRUPTED = 130
RESULTS = click.Path(exists=True, dir_okay=False, path_type=Path)
AXES = ("proxies", "nodes")


class RunByDefault(click.Group):
    """A group of commands in which `scale WORLD` stands for `scale run WORLD`."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Puts `run` before arguments that begin with no command."""
        if args and args[0] not in self.commands and args[0] not in ("-h", "--help"):
            args = ["run", *args]
        return super().parse_args(ctx, args)


@click.group(cls=RunByDefault)
def scale() -> None:
    """Many hollow proxies beside a few real ones, in real time on loopback.

    \b
    cloverwell lab scale WORLD.toml [--seed N] [--out FILE]     see `scale run --help`
    cloverwell lab scale slopes FILE... --axis proxies --at 480
    cloverwell lab scale worlds
    """


@scale.command()
def worlds() -> None:
    """The worlds that are shipped, with what each is about."""
    for name in shipped():
        click.echo(f"{name:12} {load(name).about}")


@scale.command()
@click.argument("world")
@click.option("--seed", type=int, help="Draws changes, loss and load; the world's own without it.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="Results, as JSON Lines.")
@click.option("--logs", type=click.Path(file_okay=False, path_type=Path), help="Keep logs in this folder.")
@click.option("--hollow", type=int, help="So many hollow proxies, in place of the world's number.")
@click.option("--nodes", type=int, help="So many cache nodes, in place of the world's number.")
def run(
    world: str, seed: int | None, out: Path | None, logs: Path | None, hollow: int | None, nodes: int | None
) -> None:
    """Run WORLD (a TOML file, or a shipped world's name). It ends by itself.

    Exit codes: 0; 1 where revisions were lost or misplaced, or a process ended by itself; 2 for a bad world
    or one that is too large for the machine; 130 for Ctrl-C.

    \b
    Example: cloverwell lab scale small --out small.jsonl
    """
    name = Path(world).name
    try:
        scenario = _with_sizes(load(world), name, seed, hollow, nodes)
        plan.check_fits(scenario, machine.memory_mb(), name)
    except ScaleScenarioError as error:
        exit_with_error(str(error))
    if out is not None and not out.parent.is_dir():
        exit_with_error(f"--out: {out.parent} is no folder")
    _run_and_report(scenario, Path(world).stem, out, logs)


def _run_and_report(scenario: ScaleScenario, name: str, out: Path | None, logs: Path | None) -> None:
    # The commands that run nothing need not import what a run does.
    from lab.scale.result import write_text
    from lab.scale.summary import format_summary

    result = _run_scenario(scenario, logs)
    if out is not None:
        out.write_text(write_text(result, name))
    click.echo(format_summary(name, result))
    if not result.good:
        raise SystemExit(BROKEN)


def _run_scenario(scenario: ScaleScenario, logs: Path | None) -> ScaleResult:
    from lab.scale import run as runner

    with tempfile.TemporaryDirectory(prefix="cloverwell-scale-") as scratch:
        folder = logs or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            return runner.run(scenario, folder.resolve())
        except RunInterruptedError:
            click.echo("cloverwell: interrupted; all processes have ended", err=True)
            raise SystemExit(INTERRUPTED) from None
        except (ScaleRunError, TimeoutError) as error:
            click.echo(f"cloverwell: {error or 'a process was not ready in time'}", err=True)
            raise SystemExit(BROKEN) from None


def _with_sizes(
    scenario: ScaleScenario, where: str, seed: int | None, hollow: int | None, nodes: int | None
) -> ScaleScenario:
    """Returns the scenario with another seed and other sizes, checked as a file is."""
    raw = msgspec.to_builtins(scenario)
    if seed is not None:
        raw["seed"] = seed
    if hollow is not None:
        raw["hollow"]["count"] = hollow
    if nodes is not None:
        raw["nodes"]["count"] = nodes
    try:
        changed = msgspec.convert(raw, ScaleScenario)
    except msgspec.ValidationError as error:
        raise ScaleScenarioError(where, str(error)) from None
    check(changed, where)
    return changed


@scale.command()
@click.argument("files", nargs=-1, required=True, type=RESULTS)
@click.option("--axis", type=click.Choice(AXES), default="proxies", show_default=True)
@click.option("--at", "predicted_size", type=float, help="Predict each quantity at this size.")
@click.option("--measured", type=RESULTS, help="Results there, to compare.")
@click.option("--charts", type=click.Path(file_okay=False, path_type=Path), help="Write charts here, as PNG.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def slopes(
    files: tuple[Path, ...],
    axis: str,
    predicted_size: float | None,
    measured: Path | None,
    charts: Path | None,
    as_json: bool,
) -> None:
    """Fit a line to each quantity over the sizes of the results in FILES (at least four sizes).

    \b
    Example: cloverwell lab scale slopes p*.jsonl --axis proxies --at 480 --charts charts
    """
    try:
        runs = [_read_run(path, axis) for path in files]
        lines = fit_all(runs)
        quantities = _read_run(measured, axis).quantities if measured is not None else {}
    except (FitError, KeyError, ValueError) as error:
        exit_with_error(f"FILES: {error}")
    for name, line in lines.items():
        row = _line_row(name, line, predicted_size, quantities.get(name))
        click.echo(json.dumps(row) if as_json else " ".join(f"{key}={value}" for key, value in row.items()))
    if charts is not None:
        from lab.scale.charts import draw

        draw(charts, axis, runs, lines, predicted_size)


def _read_run(path: Path, axis: str) -> SizedRun:
    """Returns the size and the quantities of a run's results."""
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    by_kind = {line["kind"]: line for line in lines if line["kind"] in ("run", "summary")}
    head = by_kind["run"]
    size = head["proxies"]["hollow"] if axis == "proxies" else head["nodes"]
    return SizedRun(float(size), by_kind["summary"]["quantities"])


def _line_row(name: str, line: FittedLine, size: float | None, measured: float | None) -> dict[str, Any]:
    """Returns the printed fields of a line, with its prediction at `size` and the value `measured` there."""
    row: dict[str, Any] = {
        "quantity": name,
        "slope": round(line.slope, 6),
        "slope_error": round(line.slope_error, 6),
        "start": round(line.start, 4),
        "start_error": round(line.start_error, 4),
        "residual": round(line.residual, 4),
    }
    if size is not None:
        row |= {"at": size, "predicted": round(line.at(size), 4), "error": round(line.error_at(size), 4)}
        if measured is not None:
            row |= {"measured": measured, "off": round(relative_error(line.at(size), measured), 3)}
    return row
