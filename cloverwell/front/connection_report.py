"""Describes the clients' connections that a drain or a shutdown has not closed in time."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import Protocol

from cloverwell.connections.closing import ClosingState

MAX_CONNECTIONS = 5  # that one line describes; the others are counted
MAX_REQUEST_IDS = 5  # of one connection


class ReportedConnection(Protocol):
    """What the report says of a connection."""

    peer: str

    def closing_state(self) -> ClosingState:
        """What decides its close."""

    def has_unread_bytes(self) -> bool:
        """Whether a request may be unread."""

    @property
    def open_request_ids(self) -> list[str]:
        """The ids of its open requests, the oldest first."""

    @property
    def age_ms(self) -> float:
        """How long ago it was accepted."""


def describe_open_connections(connections: Collection[ReportedConnection]) -> str:
    """Return one line on the connections: each one's client, state, age and open requests."""
    if not connections:
        return "no connection of a client is held"
    described = [_describe(connection) for connection in list(connections)[:MAX_CONNECTIONS]]
    count = f"{len(connections)} connections of clients are held"
    return f"{count}: {'; '.join(described)}{_left_out(connections, MAX_CONNECTIONS)}"


def _describe(connection: ReportedConnection) -> str:
    parts = [connection.peer, f"open for {connection.age_ms:.0f} ms", *_state_words(connection)]
    if ids := connection.open_request_ids:
        parts.append(f"requests {' '.join(ids[:MAX_REQUEST_IDS])}{_left_out(ids, MAX_REQUEST_IDS)}")
    return ", ".join(parts)


def _state_words(connection: ReportedConnection) -> list[str]:
    """What keeps the connection open, in words."""
    state = connection.closing_state()
    words = {
        "new": state.nothing_read,
        "responses pending": state.responses_pending,
        "a long value is being sent": state.streaming,
        "half a command": state.partial_command,
        "reading paused": state.reading_paused,
        "our side closed": state.half_closed_ms is not None,
        "bytes unread": connection.has_unread_bytes(),
    }
    return [word for word, holds in words.items() if holds] or ["idle"]


def _left_out(items: Collection[object] | Sequence[object], shown: int) -> str:
    return f" and {len(items) - shown} more" if len(items) > shown else ""
