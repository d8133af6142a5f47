"""Describes the clients' connections that a drain or a shutdown has not closed in time, for the log."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import Protocol

from cloverwell.connections.closing import ClosingState

MAX_CONNECTIONS = 5  # The line describes so many connections and only counts the others.
MAX_REQUEST_IDS = 5  # The line names so many requests of a connection and only counts the others.


class ReportedConnection(Protocol):
    """A connection, as far as the report reads it."""

    peer: str

    def closing_state(self) -> ClosingState:
        """Return the state that decides when the connection is closed."""

    def has_unread_bytes(self) -> bool:
        """Return whether the socket's buffer has unread bytes."""

    @property
    def open_request_ids(self) -> list[str]:
        """Return the ids of the open requests, the oldest first."""

    @property
    def age_ms(self) -> float:
        """Return the time in ms since the connection was accepted."""


def describe_open_connections(connections: Collection[ReportedConnection]) -> str:
    """Return a line that describes each connection by its client, age, state and open requests."""
    if not connections:
        return "no client connection is open"
    described = [_describe(connection) for connection in list(connections)[:MAX_CONNECTIONS]]
    count = f"{len(connections)} client connections are still open"
    return f"{count}: {'; '.join(described)}{_and_more(connections, MAX_CONNECTIONS)}"


def _describe(connection: ReportedConnection) -> str:
    parts = [connection.peer, f"open for {connection.age_ms:.0f} ms", *_state_words(connection)]
    if ids := connection.open_request_ids:
        parts.append(f"requests {' '.join(ids[:MAX_REQUEST_IDS])}{_and_more(ids, MAX_REQUEST_IDS)}")
    return ", ".join(parts)


def _state_words(connection: ReportedConnection) -> list[str]:
    """Return the parts of its state that may keep the connection open."""
    state = connection.closing_state()
    words = {
        "no bytes received yet": state.nothing_read,
        "responses pending": state.responses_pending,
        "a long value is being sent": state.streaming,
        "the client is behind with reading": state.behind,
        "incomplete command received": state.partial_command,
        "reading paused": state.reading_paused,
        "closed by the proxy but not yet by the client": state.half_closed_ms is not None,
        "unread bytes in the socket buffer": connection.has_unread_bytes(),
    }
    return [word for word, holds in words.items() if holds] or ["idle"]


def _and_more(items: Collection[object] | Sequence[object], shown_count: int) -> str:
    return f" and {len(items) - shown_count} more" if len(items) > shown_count else ""
