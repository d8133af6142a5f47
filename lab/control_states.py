"""States of the model check, and the actions that may happen in them."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

MAX_ATTEMPTS = 4  # to connect, of a proxy in one run; after that it stays unconnected
MAX_PROXIES = 8
END_OF_CONNECTION = -1  # in place of a message's number
NO_TERM = -1


class Budget(NamedTuple):
    """How often each kind of action may happen from a start state on."""

    elections: int = 0  # a node starts an election, whatever the others would have answered its pre-vote
    timeouts: int = 0  # a follower's or candidate's election timer fires, and it asks for pre-votes
    heartbeats: int = 0  # a leader's heartbeat timer fires
    crashes: int = 0  # a control node crashes and starts again at once from what it had stored
    proposals: int = 0
    losses: int = 0  # a message between control nodes is lost
    repeats: int = 0  # such a message arrives a second time
    breaks: int = 0  # a proxy's connection breaks
    restarts: int = 0  # a proxy restarts, with anything of `Saved`


class ActionKind(StrEnum):
    """The kinds of action: those that a `Budget` bounds, and the arrival of messages."""

    ELECTION = "elections"
    TIMEOUT = "timeouts"
    HEARTBEAT = "heartbeats"
    CRASH = "crashes"
    PROPOSAL = "proposals"
    LOSS = "losses"
    REPEAT = "repeats"
    BREAK = "breaks"
    RESTART = "restarts"
    PEER_ARRIVAL = "peer"  # at a control node, from another one
    UP_ARRIVAL = "up"  # at a control node, from a proxy
    DOWN_ARRIVAL = "down"  # at a proxy


class Connection(NamedTuple):
    """A proxy's connection to a control node.

    `up` and `down` are the numbers of the messages in flight to the node and to the proxy, in the order in
    which they will arrive.
    """

    attempt: int
    node: int
    up: tuple[int, ...] = ()
    down: tuple[int, ...] = ()


class State(NamedTuple):
    """The state of the whole system; nodes, proxies and invariants by the numbers of their states.

    `links` are the messages in flight between nodes, in order, by (receiver, sender).
    """

    nodes: tuple[int, ...]
    proxies: tuple[int, ...]
    invariants: int
    links: tuple[tuple[int, ...], ...]
    connections: tuple[Connection | None, ...]
    budget: Budget


class Action(NamedTuple):
    """One event. `arguments` are the numbers of the processes and messages that take part."""

    kind: ActionKind
    arguments: tuple[int, ...]


def connection_number(proxy: int, attempt: int) -> int:
    """Returns the number by which a control node knows a proxy's connection."""
    return attempt * MAX_PROXIES + proxy


def proxy_and_attempt(number: int) -> tuple[int, int]:
    """Returns whose connection a number is, and of which attempt."""
    return number % MAX_PROXIES, number // MAX_PROXIES
