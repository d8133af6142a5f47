"""Describes which clients' connections hold most memory, here and in the kernel, for the log."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from cloverwell.codec.socket_state import unacknowledged_bytes
from cloverwell.front.client_connection import ClientConnection

MAX_REPORTED_CLIENTS = 3


def describe_holders(connections: Iterable[ClientConnection]) -> str:
    """Return the number of connections, the sum that the kernel holds for them, and who holds most here."""
    open_connections = list(connections)
    kernel_bytes = sum(unacknowledged_bytes(connection.fileno()) for connection in open_connections)
    largest = heapq.nlargest(MAX_REPORTED_CLIENTS, open_connections, key=lambda one: one.held_bytes)
    described = [f"{one.peer} {one.held_bytes}" for one in largest if one.held_bytes]
    most = f", most by {', '.join(described)}" if described else ""
    return f"{len(open_connections)} clients, {kernel_bytes} bytes in the kernel for them{most}"
