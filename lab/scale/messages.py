"""The messages between the parent and its child processes, as lines of JSON on standard input and output.

Commands go to a child process, reports come from it. All instants (`at_s`) are seconds of the machine's
monotonic clock, which all processes share. The tags and field names are the JSON form and must not change.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from lab.scale.scenario import ListChanges

# To a process ----------------------------------------------------------------------------------


class StartDiscovery(Struct, tag="start-discovery"):
    """Makes the child process the discovery stand-in, with the endpoint list `known` to begin with.

    It answers `calls_per_s`, and refuses calls while `queue` of them wait.
    """

    port: int
    calls_per_s: float
    queue: int
    seed: int
    changes: ListChanges
    known: EndpointList


class HollowSpec(Struct):
    """One hollow proxy: its settings object, and the address at which it reaches discovery."""

    name: str
    seed: int
    discovery: tuple[str, int]
    settings: dict[str, Any]


class StartHollow(Struct, tag="start-hollow"):
    """Makes the child process one of hollow proxies; `incarnation` counts the starts of this process."""

    process: str
    incarnation: int
    proxies: list[HollowSpec]
    known: EndpointList


class RelayLink(Struct):
    """A port at which the proxies of `region` reach discovery at `target`, later by `delay_ms` each way."""

    region: str
    port: int
    target: tuple[str, int]
    delay_ms: float


class StartRelay(Struct, tag="start-relay"):
    """Makes the child process the relay between regions; `seed` draws which segments are lost."""

    seed: int
    links: list[RelayLink]


class StartNodes(Struct, tag="start-nodes"):
    """Makes the child process the stand-in cache nodes and the origin; `miss_share` of the keys miss."""

    ports: list[int]
    origin_port: int
    miss_share: float


class StartLoad(Struct, tag="start-load"):
    """Makes the child process the clients of the real proxies; each proxy is sent `requests_per_s`."""

    seed: int
    proxies: list[tuple[str, int]]
    connections: int
    requests_per_s: float


class SwitchChanges(Struct, tag="switch-changes"):
    """Begins or ends the changes of the endpoint list, and the load with them."""

    on: bool


class DirectionState(Struct):
    """The state of one direction of a link.

    While it is `cut` nothing arrives; otherwise data arrives later by `extra_ms`, and the share `loss` of its
    segments is retransmitted.
    """

    cut: bool = False
    extra_ms: float = 0.0
    loss: float = 0.0


class SetLink(Struct, tag="set-link"):
    """Sets both directions of a region's link; `there` leads from the region's proxies to discovery."""

    region: str
    there: DirectionState
    back: DirectionState


class Finish(Struct, tag="finish"):
    """Asks the child process to report its totals and to end."""


Start = StartDiscovery | StartHollow | StartRelay | StartNodes | StartLoad
Command = Start | SwitchChanges | SetLink | Finish

# The source of discovery's revisions; each control client has a name of its own for its source.
SERVER_LIST = "list"

# From a process --------------------------------------------------------------------------------


class Ready(Struct, tag="ready"):
    """Reports that the child process listens, or that its proxies run."""


class RevisionPublished(Struct, tag="changed"):
    """Reports that a source (discovery, or a stand-in control node) has a new revision since `at_s`."""

    revision: int
    at_s: float
    members: list[Endpoint] = []
    source: str = SERVER_LIST


class ChangesEnded(Struct, tag="changes-ended"):
    """Reports that no further revision will come."""


class Activation(Struct):
    """Records that a proxy's decisions applied a revision of a source at `at_s`.

    `held` marks the list that was known at the proxy's start, `lines` is the number of entries in the answer,
    and `cpu_ms` the CPU time that the proxy took for the answer, from its bytes to the next call.
    """

    proxy: str
    incarnation: int
    revision: int
    at_s: float
    complete: bool
    lines: int
    held: bool = False
    cpu_ms: float = 0.0
    source: str = SERVER_LIST


class ActivationBatch(Struct, tag="in-force"):
    """Reports activations in the order in which they happened."""

    rows: list[Activation]


class FinalEndpointList(Struct):
    """A proxy's endpoint list at the end of the run, by its revision and its digest."""

    proxy: str
    revision: int
    digest: str


class HollowTotals(Struct, tag="hollow-totals"):
    """The totals of a process of hollow proxies.

    `faults` counts unexpected exceptions, and `failed_calls` the failed calls to discovery. `most_lag_ms` is
    the greatest delay of a timer of the process: a delay of seconds means that the machine was too busy for
    the run, and that its measured delays say nothing about the proxies.
    """

    lists: list[FinalEndpointList]
    failed_calls: int
    most_lag_ms: float
    faults: int = 0


class DiscoveryTotals(Struct, tag="discovery-totals"):
    """The totals of discovery from the first change to the last.

    `refused` counts calls answered with 503, and `most_calls` is the largest number of calls in one second.
    """

    seconds: float
    calls: int
    most_calls: int
    refused: int
    answers: int
    bytes_in: int
    bytes_out: int
    longest_queue: int


class RelayTotals(Struct, tag="relay-totals"):
    """The total of the relay: how many connections it accepted."""

    connections: int


class NodesTotals(Struct, tag="nodes-totals"):
    """The totals of the stand-in cache nodes and the origin: how many requests each answered."""

    asked: int
    origin_asked: int


class LoadTotals(Struct, tag="load-totals"):
    """The totals of the load's requests, by their outcome.

    A `lost` request's connection ended without an answer; an `unanswered` one is still open at the end.
    `latency` is an encoded HdrHistogram of the served requests, in microseconds.
    """

    sent: int
    served: int
    refused: int
    failed: int
    lost: int
    not_connected: int
    unanswered: int
    latency: str


Totals = HollowTotals | DiscoveryTotals | RelayTotals | NodesTotals | LoadTotals
Report = Ready | RevisionPublished | ChangesEnded | ActivationBatch | Totals

_commands = msgspec.json.Decoder(Command)
_reports = msgspec.json.Decoder(Report)


def encode(message: Command | Report) -> bytes:
    """Returns the message as one line, with its end."""
    return msgspec.json.encode(message) + b"\n"


def decode_command(line: bytes) -> Command:
    """Returns the command of a line. Raises `msgspec.MsgspecError` for any other line."""
    return _commands.decode(line)


def decode_report(line: bytes) -> Report:
    """Returns the report of a line. Raises `msgspec.MsgspecError` for any other line."""
    return _reports.decode(line)
