"""`cloverwell lab`: lists the shipped scenarios and runs them in virtual time."""

import json
from pathlib import Path
from typing import Any

import click

from cloverwell.cli.main import exit_with_error
from lab.scale.cli import scale
from lab.scenario import load, names
from lab.scenario_error import ScenarioError
from lab.simulation import Simulation
from lab.soak.cli import soak

BROKEN = 1  # exit code where a rule broke


@click.group()
def lab() -> None:
    """Worlds to try the proxy in: nodes, origin, discovery, clients, and what goes wrong.

    \b
    cloverwell lab list
    cloverwell lab run deploy --seed 3 --out /tmp/deploy
    """


lab.add_command(scale)
lab.add_command(soak)


@lab.command("list")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def list_worlds(as_json: bool) -> None:
    """The worlds that are shipped, with what each is about."""
    for name in names():
        about = load(name).about
        click.echo(json.dumps({"world": name, "about": about}) if as_json else f"{name:12} {about}")


@lab.command()
@click.argument("world")
@click.option("--seed", default=1, show_default=True, help="Draws all that is left to chance.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Folder for summary and logs.")
@click.option("--json", "as_json", is_flag=True, help="Print the summary as JSON.")
def run(world: str, seed: int, out: Path | None, as_json: bool) -> None:
    """Play WORLD (a name, or a TOML file) in virtual time; exit code 1 where a rule broke.

    \b
    Example: cloverwell lab run hang --seed 7 --out /tmp/hang
    """
    try:
        scenario = load(world)
    except ScenarioError as error:
        exit_with_error(str(error))
    simulation = Simulation(scenario, seed)
    summary = {"world": world} | simulation.run()
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / "summary.json").write_text(json.dumps(summary, indent=1) + "\n")
        for proxy in simulation.proxies:
            (out / f"{proxy.name}.log").write_text(proxy.log.getvalue())
    click.echo(json.dumps(summary) if as_json else format_summary(summary))
    if any(summary["rules"].values()):
        raise SystemExit(BROKEN)


def format_summary(summary: dict[str, Any]) -> str:
    """The summary as text, for a person to read."""
    lines = [f"{summary['world']}, seed {summary['seed']}: service {summary['service']:.3f}"]
    span = f"{summary['simulated_s']:g} s ({summary['wall_s']:.1f} s here)"
    lines.append(f"  {summary['requests']} requests in {span}")
    lines += [f"  {at:7.2f} s  {text}" for at, text in summary["notes"]]
    lines += [f"  class {name:12} {value:.4f}" for name, value in summary["classes"].items()]
    lines.append("  ends: " + ", ".join(f"{name} {number}" for name, number in summary["ends"].items()))
    broken = {rule: number for rule, number in summary["rules"].items() if number}
    lines.append("  rules kept" if not broken else f"  RULES BROKEN: {broken}")
    lines += [f"    {b['at_s']:.3f} {b['rule']} {b['request']}: {b['why']}" for b in summary["breaches"][:5]]
    return "\n".join(lines)
