"""The command `cloverwell` and its sub-commands for a proxy.

Bad input ends with exit code 2 and one line that names the field. Other packages bring sub-commands of their
own by the entry points `cloverwell.commands`.
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
    """Ends the program with exit code 2 and the text in one line on standard error."""
    click.echo(f"cloverwell: {text}".replace("\n", " "), err=True)
    raise SystemExit(EXIT_BAD_INPUT)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """A proxy for memcache clients before cache nodes and one origin, and a world to try it in.

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
    from cloverwell.__main__ import main

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
    """The addresses of a configuration, and its endpoints, in one line."""
    host, port = config.listen
    parts = [f"listens on {host}:{port}"]
    if config.operator is not None:
        operator_host, operator_port = config.operator
        parts.append(f"operators call {operator_host}:{operator_port}")
    parts.append(f"{len(config.known_endpoints.members)} known members")
    return ", ".join(parts)


@cli.group()
def config() -> None:
    """The configuration's format."""


@config.command()
def schema() -> None:
    """Print the JSON Schema of the proxy's configuration.

    \b
    Example: cloverwell config schema > schema.json
    """
    click.echo(json.dumps(msgspec.json.schema(proxy_config.ConfigFile), indent=1))


def main() -> None:
    """The console script: adds the commands of other packages and runs the one that was given."""
    # The simulation stands above the proxy, so nothing here may import it.
    for entry in entry_points(group=ENTRY_POINTS):
        cli.add_command(entry.load())
    cli()
