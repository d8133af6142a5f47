"""Counters of what connections did, for the log."""

from collections import Counter
from enum import Enum

OTHERS = "others"
# Nodes that are counted by name. Replacements of nodes have new names, which would add up over a long run.
MAX_NAMES = 1100


class ConnectionEvent(Enum):
    """What is counted, by the node's name or by the reason; the values are words of the log."""

    # Connections to nodes.
    OPENED = "opened"  # A connection was established.
    CONNECT_REFUSED = "connect_refused"  # None was.
    CONNECT_NOT_BEGUN = "not_opened"  # This machine could not begin one, whatever the node.
    OPENED_AHEAD = "opened_ahead"  # One was opened before an attempt needed it.
    REUSED = "reused"  # An attempt was written to a connection that had served before.
    RETIRED = "retired"  # The proxy closed an idle one.
    CLOSED_BY_NODE = "closed_by_node"  # The node closed an idle one.
    STALE = "stale"  # An attempt was lost at once on one that had been idle.
    STALE_DETECTED = "caught"  # The same before the attempt's last byte was written: it was sent elsewhere.
    RESET = "reset"  # An attempt was lost on a new or busy one.
    NODE_CONNECTION_CLOSED = "node_close"  # One has ended, by its reason.
    # Connections of clients.
    ACCEPTED = "admitted"  # A connection was accepted.
    CLOSED_BY_PROXY = "closed_front"  # The proxy closed one.
    CLOSE_SKIPPED = "spared"  # One was to be closed, but a request or response was unread.
    REQUEST_REFUSED = "request_refused"  # A request was rejected for want of descriptors.
    CLIENT_CONNECTION_CLOSED = "client_close"  # One has ended, by its reason.
    ACCEPT_PAUSED = "paused"  # No connection was accepted for a while.


class ConnectionMetrics:
    """Counters by event and name; what was counted for a name that is forgotten stays in the total."""

    def __init__(self) -> None:
        """Start with all counters at 0."""
        self._counters: dict[ConnectionEvent, Counter[str]] = {event: Counter() for event in ConnectionEvent}

    def add(self, event: ConnectionEvent, name: str = "", number: int = 1) -> None:
        """Count the event `number` times for `name`, a node or a reason."""
        counter = self._counters[event]
        if name not in counter and len(counter) >= MAX_NAMES:
            name = OTHERS
        counter[name] += number

    def forget(self, name: str) -> None:
        """Add the counts of a node that is gone to those of all others."""
        for counter in self._counters.values():
            if name in counter:
                counter[OTHERS] += counter.pop(name)

    def total(self, event: ConnectionEvent) -> int:
        """Return how often the event was counted, for all names."""
        return sum(self._counters[event].values())

    def counts_by_name(self, event: ConnectionEvent) -> dict[str, int]:
        """Return how often the event was counted for each name."""
        return dict(self._counters[event])

    def format_totals(self, *events: ConnectionEvent) -> str:
        """Return `event count` of each of the events that has happened, for a log line."""
        totals = ((event, self.total(event)) for event in events)
        return ", ".join(f"{event.value} {total}" for event, total in totals if total)
