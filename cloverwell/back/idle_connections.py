"""The idle connections to one node, in the order in which they were last used."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

from cloverwell.back.node_connection import NodeConnection

NodePool = TypeVar("NodePool")  # the type of one node's pool, `back.pool.Pool`


class IdleConnections(Generic[NodePool]):
    """The idle connections to one node, each of which is also in a collection for all nodes."""

    def __init__(self, pool: NodePool, of_all_nodes: OrderedDict[NodeConnection, NodePool]) -> None:
        """Starts empty. `of_all_nodes` gets each connection too, and has the longest idle one first."""
        self._pool = pool
        self._of_all_nodes = of_all_nodes
        self.connections: list[NodeConnection] = []  # the one that was used last is at the end

    def add(self, connection: NodeConnection) -> None:
        """Adds a connection that became idle just now."""
        self.connections.append(connection)
        self._of_all_nodes[connection] = self._pool

    def remove(self, connection: NodeConnection) -> None:
        """Removes a connection, which must be one of these."""
        self.connections.remove(connection)
        del self._of_all_nodes[connection]

    def discard(self, connection: NodeConnection) -> None:
        """Removes a connection if it is one of these."""
        if self._of_all_nodes.pop(connection, None) is not None:
            self.connections.remove(connection)

    def take_last_used(self, now: float) -> NodeConnection | None:
        """Removes and returns the usable connection that was used last, or None if there is none.

        A connection on which late data after its last answer may still arrive is used only if there is no
        other.
        """
        usable = [connection for connection in self.connections if connection.usable_from_ms <= now]
        if not usable:
            return None
        selected = next(
            (connection for connection in reversed(usable) if connection.is_settled(now)), usable[-1]
        )
        self.remove(selected)
        return selected

    def count_not_yet_usable(self, now: float) -> int:
        """Returns the number of connections that become usable only a few ms after their last answer."""
        return sum(connection.usable_from_ms > now for connection in self.connections)
