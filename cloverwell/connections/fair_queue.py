"""Decides which connection with waiting commands is next. No I/O.

As in FQ-CoDel (RFC 8290, section 4.1) there are two lists. A connection that has not had a turn since it sent
its commands is new; one that has used up a turn and has further commands is backlogged. Both lists are served
first in, first out, and in alternation: so a client that sends little waits for other such clients alone,
however many commands others have sent, and no list is starved.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class FairQueue(Generic[ConnectionT]):
    """The connections that wait for their turn, each of them once."""

    def __init__(self) -> None:
        """Start with no connection."""
        self._new: OrderedDict[ConnectionT, None] = OrderedDict()
        self._backlogged: OrderedDict[ConnectionT, None] = OrderedDict()
        self._new_is_next = True

    def __len__(self) -> int:
        """Return the number of connections that wait."""
        return len(self._new) + len(self._backlogged)

    def add(self, connection: ConnectionT, is_new: bool) -> None:
        """Add a connection at the end of its list; one that waits already keeps its place."""
        if connection in self._new or connection in self._backlogged:
            return
        (self._new if is_new else self._backlogged)[connection] = None

    def take(self) -> ConnectionT | None:
        """Remove and return the connection that is next, or return None if none waits."""
        first, second = (self._new, self._backlogged) if self._new_is_next else (self._backlogged, self._new)
        self._new_is_next = not self._new_is_next
        for connections in (first, second):
            if connections:
                return connections.popitem(last=False)[0]
        return None

    def discard(self, connection: ConnectionT) -> None:
        """Remove a connection, if it waits."""
        self._new.pop(connection, None)
        self._backlogged.pop(connection, None)
