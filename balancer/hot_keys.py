"""Detection of hot keys in the latest reads of one balancer; all balancers see about the same mix of keys."""

import math
from collections import deque

# The number of latest reads among which hot keys are detected.
WINDOW = 100
# A fetch's priority is multiplied by 1 + FETCH_PRIORITY * load, where the load is that of its key.
FETCH_PRIORITY = 10.0
# The most load that one key may bring to a server, as a part of a server's mean load. A hotter key is spread
# over several servers.
MAX_LOAD = 0.5


class HotKeys:
    """Estimates the load that each key brings, from its share of the latest reads."""

    def __init__(self) -> None:
        """Starts without any reads."""
        self._recent_keys: deque[str] = deque(maxlen=WINDOW)

    def record_read(self, key: str, server_count: int) -> float:
        """Records a read of the key; returns the key's load: 1 is the mean load of a server."""
        self._recent_keys.append(key)
        return (self._recent_keys.count(key) - 1) / WINDOW * server_count


def servers_needed(load: float) -> int:
    """Returns the number of servers over which a key of that load has to be spread."""
    return max(1, math.ceil(load / MAX_LOAD))
