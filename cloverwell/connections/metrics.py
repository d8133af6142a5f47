"""What the connections' decisions count, for the log and for later metrics."""

from collections import Counter
from collections.abc import Iterator
from enum import Enum

OTHERS = "others"
MAX_NAMES = 1100  # nodes counted by name; successors have new names, and a long day would gather them


class ConnectionEvent(Enum):
    """Each is counted by the node it was for, or by the reason behind it."""

    OPENED = "opened"  # back: a connection came up
    CONNECT_REFUSED = "connect_refused"  # back: none came up
    NOT_OPENED = "not_opened"  # back: this machine could not begin one, whatever the node
    AHEAD = "opened_ahead"  # back: asked for before an attempt needed it
    REUSED = "reused"  # back: an attempt was written to one that had served before
    RETIRED = "retired"  # back: closed by us while idle
    CLOSED = "closed_by_node"  # back: the node ended an idle one
    STALE = "stale"  # back: an attempt was lost at once on one that had stood idle
    CAUGHT = "caught"  # back: the same, but its last byte had not been written: the attempt went elsewhere
    RESET = "reset"  # back: an attempt was lost on a fresh or busy one
    ADMITTED = "admitted"  # front: a client's connection was accepted
    CLOSED_FRONT = "closed_front"  # front: closed by us, by reason
    SPARED = "spared"  # front: was to be closed, but a request stood unread in it
    REQUEST_REFUSED = "request_refused"  # front: a request was refused for want of descriptors
    PAUSED = "paused"  # front: nothing was accepted for a while


class ConnectionMetrics:
    """Counters by kind and name; what a forgotten name counted stays in the total."""

    def __init__(self) -> None:
        self._by: dict[ConnectionEvent, Counter[str]] = {what: Counter() for what in ConnectionEvent}

    def add(self, what: ConnectionEvent, name: str = "", number: int = 1) -> None:
        counter = self._by[what]
        if name not in counter and len(counter) >= MAX_NAMES:
            name = OTHERS
        counter[name] += number

    def forget(self, name: str) -> None:
        """The node is gone: its figures go to those of all others."""
        for counter in self._by.values():
            if name in counter:
                counter[OTHERS] += counter.pop(name)

    def total(self, what: ConnectionEvent) -> int:
        return sum(self._by[what].values())

    def by(self, what: ConnectionEvent) -> dict[str, int]:
        return dict(self._by[what])

    def rows(self) -> Iterator[tuple[str, str, int]]:
        """(kind, name, count) of all that is not zero, in a fixed order."""
        for what, counter in self._by.items():
            for name in sorted(counter):
                yield what.value, name, counter[name]

    def line(self, *whats: ConnectionEvent) -> str:
        """`kind number` of each that has happened, for a log line."""
        return ", ".join(f"{what.value} {total}" for what in whats if (total := self.total(what)))
