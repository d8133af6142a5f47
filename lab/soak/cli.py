"""`cloverwell lab soak`: real processes under series of faults, seed by seed."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import click

from cloverwell.cli.main import exit_with_error
from lab.soak.crowd_plan import draw_crowd_plan
from lab.soak.defects import DEFECTS
from lab.soak.plan import SoakInputError, SoakPlan, draw_plan, load_plan, read_seeds
from lab.soak.result import SoakResult, Verdict

BROKEN = 1  # exit code where a rule broke
NOTHING_JUDGED = 3  # exit code where no run could be judged
MAX_JOBS = 4


@click.command()
@click.option("--seeds", default="1..3", show_default=True, help="A..B, or one seed.")
@click.option(
    "--minutes", type=click.FloatRange(min=0.0, min_open=True), help="Begin no run after that time."
)
@click.option("--jobs", type=click.IntRange(1, MAX_JOBS), default=1, show_default=True, help="Runs at once.")
@click.option("--faults", type=click.Path(path_type=Path), help="A TOML file with the plan, for one run.")
@click.option("--crowds", is_flag=True, help="With little memory, hostile crowds and early kills.")
@click.option("--defect", type=click.Choice(sorted(DEFECTS)), help="Put a defect in: the soak must find it.")
@click.option(
    "--logs", type=click.Path(file_okay=False, path_type=Path), help="Keep the processes' logs here."
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object a run.")
def soak(
    seeds: str,
    minutes: float | None,
    jobs: int,
    faults: Path | None,
    crowds: bool,
    defect: str | None,
    logs: Path | None,
    as_json: bool,
) -> None:
    """Play seeded runs of real processes on loopback, each of 10 to 20 s, and judge them from outside.

    Exit codes: 0 where all judged runs passed; 1 where a rule broke; 2 for bad input; 3 where no run could
    be judged, because no process started or the machine was too busy.

    \b
    Example: cloverwell lab soak --seeds 1..50 --jobs 2 --logs /tmp/soak
    """
    try:
        draw = draw_crowd_plan if crowds else draw_plan
        plans = [load_plan(faults)] if faults is not None else [draw(seed) for seed in read_seeds(seeds)]
    except SoakInputError as error:
        exit_with_error(str(error))
    how = f"--faults {faults}" if faults else "--crowds" if crowds else ""
    results = _play_all(plans, minutes, jobs, defect or "", logs, as_json, how)
    verdicts = [result.verdict for result in results]
    if not as_json:
        totals = ", ".join(f"{verdicts.count(verdict)} {verdict.value}" for verdict in Verdict)
        click.echo(f"{len(plans)} runs: {totals}, {len(plans) - len(results)} not begun")
    if Verdict.BROKEN in verdicts:
        raise SystemExit(BROKEN)
    if Verdict.PASSED not in verdicts:
        raise SystemExit(NOTHING_JUDGED)


def _play_all(
    plans: list[SoakPlan],
    minutes: float | None,
    jobs: int,
    defect: str,
    logs: Path | None,
    as_json: bool,
    how: str,
) -> list[SoakResult]:
    begun_s = time.monotonic()
    results = []
    with ProcessPoolExecutor(jobs) as pool:
        for start in range(0, len(plans), jobs):
            if minutes is not None and time.monotonic() - begun_s > 60.0 * minutes:
                break
            for result in pool.map(partial(play_one, defect=defect, logs=logs), plans[start : start + jobs]):
                results.append(result)
                seed = "" if how.startswith("--faults") else f"--seeds {result.seed}"
                again = " ".join(word for word in ("cloverwell lab soak", how, seed) if word)
                again += f" --defect {defect}" if defect else ""
                click.echo(json.dumps(result.as_json()) if as_json else result.as_text(again))
    return results


def play_one(plan: SoakPlan, defect: str, logs: Path | None) -> SoakResult:
    """Play one plan in an event loop of its own."""
    # The command's other uses need not import what a run does.
    from lab.soak.run import play

    gc.disable()  # a collection would hold the loop up; a run is short
    logging.getLogger("asyncio").setLevel(logging.ERROR)  # it warns of each write to a broken connection
    folder = None if logs is None else logs / f"seed-{plan.seed}"
    return asyncio.run(play(plan, defect, folder))
