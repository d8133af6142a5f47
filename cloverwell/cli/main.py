"""The command `cloverwell` and its sub-commands for a proxy.

Bad input ends a command with exit code 2 and one line that names the field. Other packages add sub-commands
through the entry point group `cloverwell.commands`.
"""

import json
import os
import sys
from importlib.metadata import entry_points
from typing import NoReturn

import click
import msgspec

from cloverwell import config as proxy_config

EXIT_BAD_INPUT = 2
ENTRY_POINTS = "cloverwell.commands"


def exit_with_error(text: str) -> NoReturn:
    """Ends the program with exit code 2, after writing the text in one line to standard error."""
    click.echo(f"cloverwell: {text}".replace("\n", " "), err=True)
    raise SystemExit(EXIT_BAD_INPUT)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """A memcache proxy in front of cache nodes and one origin, and a simulator to try it in.

    \b
    cloverwell lab run calm               see it work, in virtual time
    cloverwell check examples/config.json validate a configuration
    cloverwell run examples/config.json   serve
    """


@cli.command()
@click.argument("file", envvar="EDGE_CONFIG")
def run(file: str) -> None:
    """Serve as the configuration FILE says (or $EDGE_CONFIG).

    \b
    Example: cloverwell run examples/config.json
    """
    from cloverwell.program import main

    os.environ["EDGE_CONFIG"] = file
    sys.exit(main())


@cli.command()
@click.argument("file")
def check(file: str) -> None:
    """Validate the configuration FILE without serving.

    \b
    Example: cloverwell check examples/config.json
    """
    try:
        config = proxy_config.read_config({"EDGE_CONFIG": file})
    except proxy_config.ConfigError as error:
        exit_with_error(f"{file}: {error}")
    click.echo(f"{file}: good; {_summary(config)}")


def _summary(config: proxy_config.Config) -> str:
    """Returns one line with the addresses of a configuration and the number of its endpoints."""
    host, port = config.listen
    parts = [f"listens on {host}:{port}"]
    if config.operator is not None:
        operator_host, operator_port = config.operator
        parts.append(f"operators call {operator_host}:{operator_port}")
    parts.append(f"{len(config.known.members)} known members")
    return ", ".join(parts)


@cli.group()
def config() -> None:
    """Show the format of the configuration."""


@config.command()
def schema() -> None:
    """Print the JSON Schema of the proxy's configuration.

    \b
    Example: cloverwell config schema > schema.json
    """
    click.echo(json.dumps(msgspec.json.schema(proxy_config.ConfigFile), indent=1))


def main() -> None:
    """Runs the command that was given, after adding the commands of other packages."""
    # No module of the proxy may import the simulator, so its commands are found by their entry points.
    for entry in entry_points(group=ENTRY_POINTS):
        cli.add_command(entry.load())
    cli()
