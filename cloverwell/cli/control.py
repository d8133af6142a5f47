"""`cloverwell control`: runs a control node, and sends operators' requests to one.

Exit codes: 0 done; 1 not done, or no answer; 2 bad input; 3 unknown: the proposal may have been committed,
and can be repeated with its --id.
"""

from __future__ import annotations

import json
import sys
import uuid
from pathlib import Path
from typing import TYPE_CHECKING

import click

from cloverwell.cli.main import exit_with_error

# Modules that serve or send are imported where they are used, so that all other commands start quickly.
if TYPE_CHECKING:
    from cloverwell.control.fleet import ActivationCount
    from cloverwell.control.messages import ProposalAnswer
    from cloverwell.control.net.address import Address
    from cloverwell.control.net.wire import StatusAnswer

EXIT_NOT_DONE = 1
EXIT_UNKNOWN = 3
DEFAULT_TIMEOUT_S = 10.0


@click.group()
def control() -> None:
    """The fleet's control log: run a node of it, propose a change, see where a change is in force.

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

    sys.exit(serve_node(file, lambda text: exit_with_error(f"{file}: {text}")))


@control.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--to", required=True, help="HOST:PORT of any control node.")
@click.option(
    "--id",
    "proposal_id",
    default="",
    help="Id of the proposal; repeated with the same id, it is committed only once.",
)
@click.option("--expect", default=None, type=int, help="Index of the configuration that this one replaces.")
@click.option(
    "--wait", "timeout_s", default=DEFAULT_TIMEOUT_S, show_default=True, help="Seconds for an answer."
)
def propose(file: Path, to: str, proposal_id: str, expect: int | None, timeout_s: float) -> None:
    """Propose the configuration in the JSON FILE for the whole fleet.

    \b
    Example: cloverwell control propose change.json --to 127.0.0.1:7401
    """
    from cloverwell.control.configuration import document_digest
    from cloverwell.control.entry import EntryKind
    from cloverwell.control.messages import ANY_INDEX, ProposalOutcome, Propose
    from cloverwell.control.net.errors import NoAnswerError
    from cloverwell.control.net.operator_client import propose_to_leader

    document = _read_document(file)
    proposal_id = proposal_id or uuid.uuid4().hex
    expected_index = ANY_INDEX if expect is None else expect
    proposal = Propose(proposal_id, EntryKind.CONFIGURATION, document, expected_index)
    try:
        answer = propose_to_leader(_read_address(to), proposal, timeout_s)
    except NoAnswerError as error:
        click.echo(f"unknown: {error}; repeat it with --id {proposal_id}", err=True)
        raise SystemExit(EXIT_UNKNOWN) from None
    committed = answer.outcome is ProposalOutcome.COMMITTED
    click.echo(_describe_outcome(answer, document_digest(document)), err=not committed)
    if answer.outcome is ProposalOutcome.UNKNOWN:
        raise SystemExit(EXIT_UNKNOWN)
    if not committed:
        raise SystemExit(EXIT_NOT_DONE)


def _read_document(file: Path) -> bytes:
    """Returns the content of a configuration file; ends the program if it can't be proposed."""
    from cloverwell.config import ConfigError
    from cloverwell.control.configuration import check_document

    try:
        document = file.read_bytes()
        check_document(document)
    except OSError as error:
        exit_with_error(f"FILE: {error.strerror}: {file}")
    except ConfigError as error:
        exit_with_error(f"{file}: {error}")
    return document


def _describe_outcome(answer: ProposalAnswer, digest: str) -> str:
    """Returns one line with the outcome of a proposal; `digest` is that of the proposed document."""
    if answer.index:
        return f"committed as version {answer.index}, digest {digest}"
    leader = f", the leader is {answer.leader}" if answer.leader else ""
    repeat = f"; repeat it with --id {answer.proposal}" if answer.outcome == "unknown" else ""
    return f"{answer.outcome}{leader}{repeat}"


@control.command()
@click.option("--to", required=True, help="HOST:PORT of any control node.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--wait", "timeout_s", default=DEFAULT_TIMEOUT_S, show_default=True, help="Seconds for an answer."
)
def status(to: str, as_json: bool, timeout_s: float) -> None:
    """Show who leads, how far the log is committed, and where that is in force.

    \b
    Example: cloverwell control status --to 127.0.0.1:7401
    """
    import msgspec

    from cloverwell.control.net.errors import NoAnswerError
    from cloverwell.control.net.operator_client import request_status

    try:
        answer = request_status(_read_address(to), timeout_s)
    except NoAnswerError as error:
        click.echo(f"cloverwell: {error}", err=True)
        raise SystemExit(EXIT_NOT_DONE) from None
    click.echo(json.dumps(msgspec.to_builtins(answer)) if as_json else _describe_status(answer))


def _describe_status(answer: StatusAnswer) -> str:
    """Returns the status of a control node as text for a person."""
    status, own = answer.status, answer.own
    leader = f"{status.leader} at {answer.leader_address}" if status.leader else "none known"
    quorum = "takes proposals" if status.has_quorum else "takes no proposals"
    lines = [
        f"{answer.node}: {status.role}, term {status.term}, {quorum}; leader: {leader}",
        f"  committed: {status.committed.index} ({status.committed.digest.hex()})",
        f"  proxies at this node: {own.alive}, lost {own.lost}",
    ]
    lines += [f"    {count.proxies} at {count.index}" for count in own.positions]
    if answer.activation is not None:
        lines += _describe_activation(answer.activation)
    refusals = own.refusals if answer.activation is None else answer.activation.refusals
    lines += [f"  refused {refusal.index} at {refusal.proxies}: {refusal.reason}" for refusal in refusals]
    return "\n".join(lines)


def _describe_activation(activation: ActivationCount) -> list[str]:
    """Returns the lines that say at how many proxies the last committed entry is active."""
    incomplete = "" if activation.complete else ", not all control nodes heard of yet"
    lines = [
        f"  fleet: {activation.alive} alive, {activation.hidden} hidden{incomplete}",
        f"  in force at {activation.index}: {activation.applied}, refused by {activation.refused}",
    ]
    if activation.oldest_index is not None:
        lines.append(f"  oldest: {activation.oldest_index}")
    return lines


def _read_address(text: str) -> Address:
    """Returns the address in the option --to; ends the program if it is malformed."""
    from cloverwell.membership.endpoint_list import EndpointListError, split_address

    try:
        return split_address(text)
    except EndpointListError as error:
        exit_with_error(f"--to: {error}")
