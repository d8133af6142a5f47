"""`cloverwell` with its sub-commands. Bad input ends with exit code 2 and one line that names the field."""

import json
import os
import sys
from importlib.metadata import entry_points
from typing import NoReturn

import click
import msgspec

from cloverwell import config as proxy_config

BAD_INPUT = 2


def refuse(text: str) -> NoReturn:
    """Ends with exit code 2 and one line."""
    click.echo(f"cloverwell: {text}".replace("\n", " "), err=True)
    raise SystemExit(BAD_INPUT)


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
        refuse(f"{file}: {error}")
    host, port = config.listen
    at = "" if config.operator is None else f", operators call {config.operator[0]}:{config.operator[1]}"
    click.echo(f"{file}: good; listens on {host}:{port}{at}, {len(config.known.members)} known members")


@cli.group()
def config() -> None:
    """The configuration's format."""


@config.command()
def schema() -> None:
    """Print the JSON Schema of the proxy's configuration.

    \b
    Example: cloverwell config schema > schema.json
    """
    click.echo(json.dumps(msgspec.json.schema(proxy_config.File), indent=1))


def main() -> None:
    # What stands above the proxy (the lab) brings its commands by itself: nothing here imports it.
    for entry in entry_points(group="cloverwell.commands"):
        cli.add_command(entry.load())
    cli()
