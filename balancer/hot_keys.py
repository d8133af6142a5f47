"""Detection of hot keys among the last reads of this balancer: all balancers see about the same mix."""

import math
from collections import deque

# The number of reads among which a hot key is detected.
WINDOW = 100
# A fetch for a key that brings the load of a mean server has this many more times its request's priority.
FETCH_PRIORITY = 10.0
# The part of a mean server's load that one key may bring; a hotter key is spread over more servers.
MAX_LOAD = 0.5


class HotKeys:
    """Estimates the load that a key brings."""

    def __init__(self) -> None:
        """No read has been counted yet."""
        self._last: deque[str] = deque(maxlen=WINDOW)

    def record_read(self, key: str, servers: int) -> float:
        """Counts one more read of the key; returns the key's load, in loads of a mean one of the servers."""
        self._last.append(key)
        return (self._last.count(key) - 1) / WINDOW * servers


def servers_needed(load: float) -> int:
    """The number of servers over which a key of that load is to be spread."""
    return max(1, math.ceil(load / MAX_LOAD))
