"""`cloverwell control`: a node of the control log, and what operators ask of it.

Exit codes: 0 done; 1 not done, or no answer; 2 bad input; 3 it may have been done, repeat it with its --id.
"""

from __future__ import annotations

import json
import sys
import uuid
from pathlib import Path
from typing import TYPE_CHECKING

import click

from cloverwell.cli.main import refuse

if TYPE_CHECKING:
    from cloverwell.control.messages import ProposalAnswer
    from cloverwell.control.net.wire import StatusAnswer

NOT_DONE = 1
UNKNOWN = 3
DEFAULT_WAIT_S = 10.0


@click.group()
def control() -> None:
    """The fleet's control log: run a node of it, propose a change, see where it is in force.

    \b
    cloverwell control serve deploy/control/node.toml
    cloverwell control propose change.json --to 127.0.0.1:7401
    cloverwell control status --to 127.0.0.1:7401
    """


@control.command()
@click.argument("file", type=click.Path(path_type=Path))
def serve(file: Path) -> None:
    """Serve as the control node that the TOML FILE describes.

    \b
    Example: cloverwell control serve deploy/control/node.toml
    """
    from cloverwell.control.server.program import serve as serve_node

    sys.exit(serve_node(file, lambda text: refuse(f"{file}: {text}")))


@control.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--to", required=True, help="HOST:PORT of any control node.")
@click.option("--id", "proposal", default="", help="The same for a repeat, which is then done once.")
@click.option("--expect", default=None, type=int, help="Index of the configuration that this one replaces.")
@click.option("--wait", "wait_s", default=DEFAULT_WAIT_S, show_default=True, help="Seconds for an answer.")
def propose(file: Path, to: str, proposal: str, expect: int | None, wait_s: float) -> None:
    """Propose the configuration in the JSON FILE for the whole fleet.

    \b
    Example: cloverwell control propose change.json --to 127.0.0.1:7401
    """
    from cloverwell.config import ConfigError
    from cloverwell.control.configuration import check_document, digest
    from cloverwell.control.entry import EntryKind
    from cloverwell.control.messages import ANY_INDEX, ProposalOutcome, Propose
    from cloverwell.control.net.errors import NoAnswerError
    from cloverwell.control.net.operator_client import propose_to_leader

    try:
        document = file.read_bytes()
        check_document(document)
    except OSError as error:
        refuse(f"FILE: {error.strerror}: {file}")
    except ConfigError as error:
        refuse(f"{file}: {error}")
    proposal = proposal or uuid.uuid4().hex
    expected = ANY_INDEX if expect is None else expect
    message = Propose(proposal, EntryKind.CONFIGURATION, document, expected)
    try:
        answer = propose_to_leader(_address(to), message, wait_s)
    except NoAnswerError as error:
        click.echo(f"unknown: {error}; repeat it with --id {proposal}", err=True)
        raise SystemExit(UNKNOWN) from None
    click.echo(_told(answer, digest(document)), err=answer.outcome is not ProposalOutcome.COMMITTED)
    if answer.outcome is ProposalOutcome.UNKNOWN:
        raise SystemExit(UNKNOWN)
    if answer.outcome is not ProposalOutcome.COMMITTED:
        raise SystemExit(NOT_DONE)


def _told(answer: ProposalAnswer, digest: str) -> str:
    if answer.index:
        return f"committed as version {answer.index}, digest {digest}"
    leader = f", the leader is {answer.leader}" if answer.leader else ""
    again = f"; repeat it with --id {answer.proposal}" if answer.outcome == "unknown" else ""
    return f"{answer.outcome}{leader}{again}"


@control.command()
@click.option("--to", required=True, help="HOST:PORT of any control node.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
@click.option("--wait", "wait_s", default=DEFAULT_WAIT_S, show_default=True, help="Seconds for an answer.")
def status(to: str, as_json: bool, wait_s: float) -> None:
    """Who leads, how far the log is committed, and where that is in force.

    \b
    Example: cloverwell control status --to 127.0.0.1:7401
    """
    import msgspec

    from cloverwell.control.net.errors import NoAnswerError
    from cloverwell.control.net.operator_client import request_status

    try:
        answer = request_status(_address(to), wait_s)
    except NoAnswerError as error:
        click.echo(f"cloverwell: {error}", err=True)
        raise SystemExit(NOT_DONE) from None
    click.echo(json.dumps(msgspec.to_builtins(answer)) if as_json else _status_lines(answer))


def _status_lines(answer: StatusAnswer) -> str:
    """For a person."""
    status, own, in_force = answer.status, answer.own, answer.activation
    leader = f"{status.leader} at {answer.leader_address}" if status.leader else "none known"
    quorum = "takes proposals" if status.has_quorum else "takes no proposals"
    lines = [
        f"{answer.node}: {status.role}, term {status.term}, {quorum}; leader: {leader}",
        f"  committed: {status.committed.index} ({status.committed.digest.hex()})",
        f"  proxies at this node: {own.alive}, lost {own.lost}",
    ]
    lines += [f"    {count.proxies} at {count.index}" for count in own.positions]
    if in_force is not None:
        known = "" if in_force.complete else ", not all control nodes heard of yet"
        lines.append(f"  fleet: {in_force.alive} alive, {in_force.hidden} hidden{known}")
        lines.append(f"  in force at {in_force.index}: {in_force.applied}, refused by {in_force.refused}")
        if in_force.oldest_index is not None:
            lines.append(f"  oldest: {in_force.oldest_index}")
    refusals = own.refusals if in_force is None else in_force.refusals
    lines += [f"  refused {refusal.index} at {refusal.proxies}: {refusal.reason}" for refusal in refusals]
    return "\n".join(lines)


def _address(text: str) -> tuple[str, int]:
    from cloverwell.membership.endpoint_list import EndpointListError, split_address

    try:
        return split_address(text)
    except EndpointListError as error:
        refuse(f"--to: {error}")
