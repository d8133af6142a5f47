"""Counts the events of connections, for the log."""

from collections import Counter
from enum import Enum

OTHERS = "others"  # the name under which events beyond `MAX_NAMES` and of forgotten nodes are counted
# The most names per event. Nodes that replace others have new names, which would add up over a long run.
MAX_NAMES = 1100


class ConnectionEvent(Enum):
    """The events that are counted, by the node's name or by a reason; the values are words of the log."""

    # Connections to nodes.
    OPENED = "opened"  # A connection to the node was established.
    CONNECT_REFUSED = "connect_refused"  # The node refused a connection, or didn't answer in time.
    CONNECT_NOT_BEGUN = "not_opened"  # A fault of this machine kept it from beginning a connection.
    OPENED_AHEAD = "opened_ahead"  # The proxy began a connection before an attempt needed it.
    REUSED = "reused"  # An attempt was written to a connection that had served before.
    RETIRED = "retired"  # The proxy closed an idle connection.
    CLOSED_BY_NODE = "closed_by_node"  # The node closed an idle connection.
    STALE = "stale"  # An attempt was lost on a connection that had been idle.
    # A connection ended before the attempt's last byte was written, so that the attempt could go elsewhere.
    STALE_DETECTED = "caught"
    RESET = "reset"  # An attempt was lost on a new or busy connection.
    NODE_CONNECTION_CLOSED = "node_close"  # A connection to a node ended; counted by `NodeCloseReason`.
    MALFORMED_ANSWER = "malformed_answer"  # A node's answer was malformed; counted by `MalformedReason`.
    # Connections of clients.
    ACCEPTED = "admitted"  # A client's connection was accepted.
    CLOSED_BY_PROXY = "closed_front"  # The proxy closed a client's connection; counted by `CloseReason`.
    CLOSE_SKIPPED = "spared"  # A connection was kept, since a request or a response was still unread.
    REQUEST_REFUSED = "request_refused"  # A request was rejected for want of descriptors.
    CLIENT_CONNECTION_CLOSED = "client_close"  # A client's connection ended; counted by `CloseReason`.
    ACCEPT_PAUSED = "paused"  # The proxy stopped accepting connections for a while.


class ConnectionMetrics:
    """Counters by event and name; the counts of a forgotten name stay in the totals."""

    def __init__(self) -> None:
        """Start with all counters at 0."""
        self._counters: dict[ConnectionEvent, Counter[str]] = {event: Counter() for event in ConnectionEvent}

    def add(self, event: ConnectionEvent, name: str = "", count: int = 1) -> None:
        """Count the event `count` times for `name`, which is a node or a reason."""
        counter = self._counters[event]
        if name not in counter and len(counter) >= MAX_NAMES:
            name = OTHERS
        counter[name] += count

    def forget(self, name: str) -> None:
        """Move the counts of a node that is gone to those of `OTHERS`."""
        for counter in self._counters.values():
            if name in counter:
                counter[OTHERS] += counter.pop(name)

    def total(self, event: ConnectionEvent) -> int:
        """Return how often the event was counted for all names together."""
        return sum(self._counters[event].values())

    def counts_by_name(self, event: ConnectionEvent) -> dict[str, int]:
        """Return how often the event was counted for each name."""
        return dict(self._counters[event])

    def format_totals(self, *events: ConnectionEvent) -> str:
        """Return `EVENT TOTAL` for each of the events that has happened, joined by commas for a log line."""
        totals = ((event, self.total(event)) for event in events)
        return ", ".join(f"{event.value} {total}" for event, total in totals if total)
