"""States of the model check, and what may happen in them."""

from __future__ import annotations

from typing import NamedTuple

MOST_ATTEMPTS = 4  # of a proxy in one run; after that it stays unconnected
MOST_PROXIES = 8
END = -1  # in place of a message: the connection ends
NO_TERM = -1


class Budget(NamedTuple):
    """How often each may happen from a start state on."""

    elections: int = 0  # a node stands for election, whatever the others would have said to its pre-vote
    timeouts: int = 0  # a follower's or candidate's timer fires, and it asks for pre-votes
    heartbeats: int = 0  # a leader's does
    crashes: int = 0  # of a control node, which starts again at once from what it had stored
    proposals: int = 0
    losses: int = 0  # of a message between control nodes
    repeats: int = 0  # such a message arrives a second time
    breaks: int = 0  # of a proxy's connection
    restarts: int = 0  # of a proxy, with anything of `Saved`


class Connection(NamedTuple):
    """A proxy's; messages by number, in the order in which they will arrive."""

    attempt: int
    node: int
    up: tuple[int, ...] = ()
    down: tuple[int, ...] = ()


class State(NamedTuple):
    """Nodes, proxies and rules by the numbers of their states. `links`: what is on its way between
    nodes, in order, by (receiver, sender)."""

    nodes: tuple[int, ...]
    proxies: tuple[int, ...]
    rules: int
    links: tuple[tuple[int, ...], ...]
    connections: tuple[Connection | None, ...]
    budget: Budget


class Action(NamedTuple):
    """One event. `what`: a Budget's field, or "peer", "up", "down"; `which`: of what, by number."""

    what: str
    which: tuple[int, ...]


def connection_number(proxy: int, attempt: int) -> int:
    """By which a node knows a proxy's connection."""
    return attempt * MOST_PROXIES + proxy


def proxy_and_attempt(number: int) -> tuple[int, int]:
    """Whose connection this is, and of which try."""
    return number % MOST_PROXIES, number // MOST_PROXIES
