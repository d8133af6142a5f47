"""What the parent and its processes tell each other: a JSON object a line, on standard input and output.

All instants are seconds of the machine's monotonic clock, which all processes share.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from lab.scale.scenario import Changes

# To a process ----------------------------------------------------------------------------------


class StartDiscovery(Struct, tag="start-discovery"):
    port: int
    calls_per_s: float
    queue: int
    seed: int
    changes: Changes
    known: EndpointList


class HollowSpec(Struct):
    """One hollow proxy; `settings` is its settings object, `discovery` the address it calls."""

    name: str
    seed: int
    discovery: tuple[str, int]
    settings: dict[str, Any]


class StartHollow(Struct, tag="start-hollow"):
    """`incarnation` counts the starts of this process."""

    process: str
    incarnation: int
    proxies: list[HollowSpec]
    known: EndpointList


class RelayLink(Struct):
    """A port at which proxies of `region` reach discovery."""

    region: str
    port: int
    target: tuple[str, int]
    delay_ms: float


class StartRelay(Struct, tag="start-relay"):
    seed: int
    links: list[RelayLink]


class StartNodes(Struct, tag="start-nodes"):
    ports: list[int]
    origin_port: int
    miss_share: float


class StartLoad(Struct, tag="start-load"):
    """Clients of the real proxies; `requests_per_s` is what each proxy is sent."""

    seed: int
    proxies: list[tuple[str, int]]
    connections: int
    requests_per_s: float


class SwitchChanges(Struct, tag="switch-changes"):
    """Changes of the list begin, or end."""

    on: bool


class LinkWay(Struct):
    """One way of a link: cut, or later by `extra_ms`, or `loss` of its segments retransmitted."""

    cut: bool = False
    extra_ms: float = 0.0
    loss: float = 0.0


class SetLink(Struct, tag="set-link"):
    """`there` is the way from the region's proxies to discovery."""

    region: str
    there: LinkWay
    back: LinkWay


class Finish(Struct, tag="finish"):
    """Report the totals, and end."""


Start = StartDiscovery | StartHollow | StartRelay | StartNodes | StartLoad
Command = Start | SwitchChanges | SetLink | Finish

SERVER_LIST = "list"  # the source of discovery's revisions; each control client names its own

# From a process --------------------------------------------------------------------------------


class Ready(Struct, tag="ready"):
    """It listens, or its proxies run."""


class Changed(Struct, tag="changed"):
    """A source (discovery, or a stand-in control node) has a new revision since `at_s`."""

    revision: int
    at_s: float
    members: list[Endpoint] = []
    source: str = SERVER_LIST


class ChangesEnded(Struct, tag="changes-ended"):
    """No further revision comes."""


class ActivationCount(Struct):
    """What a proxy took from a source, `at_s` being when its decisions had it.

    `held`: it is what was known at the proxy's start; `lines`: entries in the answer; `cpu_ms`: CPU time that
    taking the answer cost the proxy, from its bytes to the next call.
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


class InForceBatch(Struct, tag="in-force"):
    rows: list[ActivationCount]


class FinalList(Struct):
    """A proxy's list at the end."""

    proxy: str
    revision: int
    digest: str


class HollowTotals(Struct, tag="hollow-totals"):
    """`faults` counts exceptions that nothing expected, `failed_calls` those to discovery.

    `most_lag_ms` is the latest that a timer of the process came: seconds mean that the machine was too busy
    for the run, and that its delays say nothing of the proxies.
    """

    lists: list[FinalList]
    failed_calls: int
    most_lag_ms: float
    faults: int = 0


class DiscoveryTotals(Struct, tag="discovery-totals"):
    """From the first change to the last. `refused`: answered with 503; `most_calls`: in any one second."""

    seconds: float
    calls: int
    most_calls: int
    refused: int
    answers: int
    bytes_in: int
    bytes_out: int
    longest_queue: int


class RelayTotals(Struct, tag="relay-totals"):
    connections: int


class NodesTotals(Struct, tag="nodes-totals"):
    asked: int
    origin_asked: int


class LoadTotals(Struct, tag="load-totals"):
    """`lost`: the connection ended without an answer; `unanswered`: it still stands.

    `latency` is an encoded histogram of those that were served, in us.
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
Report = Ready | Changed | ChangesEnded | InForceBatch | Totals

_commands = msgspec.json.Decoder(Command)
_reports = msgspec.json.Decoder(Report)


def encode(message: Command | Report) -> bytes:
    """The message as a line."""
    return msgspec.json.encode(message) + b"\n"


def decode_command(line: bytes) -> Command:
    """Raises `msgspec.MsgspecError`."""
    return _commands.decode(line)


def decode_report(line: bytes) -> Report:
    """Raises `msgspec.MsgspecError`."""
    return _reports.decode(line)
