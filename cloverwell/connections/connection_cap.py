"""Learns how many connections a node accepts from those that it refused. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

# The refusals in a row that show that a node is at its limit. A single one may be a fault of the network.
REFUSALS_AT_CAP = 4
CAP_RAISE_INTERVAL_MS = 2000.0  # the time after which a node at its cap is asked for one connection more


@dataclass(slots=True)
class ConnectionCap:
    """The cap of one node, which is infinite until the node refuses connections while others are open."""

    refusal_count: int = 0  # the refusals in a row while other connections were open
    max_connections: float = math.inf
    set_ms: float = 0.0  # when the cap was set, or last raised

    @property
    def is_limited(self) -> bool:
        """Tells whether the node has refused connections lately, or has a cap."""
        return self.refusal_count > 0 or self.max_connections < math.inf

    def record_refusal(self, open_count: int, now: float) -> None:
        """Records that the node refused a connection while `open_count` others were open."""
        if not open_count:  # The node may be down, which is no evidence about the number that it accepts.
            return
        self.refusal_count += 1
        if self.refusal_count >= REFUSALS_AT_CAP:
            self.max_connections, self.set_ms = float(open_count), now

    def allows(self, open_count: int, now: float) -> bool:
        """Tells whether one more connection may be opened while `open_count` are open.

        A node at its cap is allowed one connection more after each `CAP_RAISE_INTERVAL_MS`, which raises the
        cap.
        """
        if open_count < self.max_connections:
            return True
        if now - self.set_ms < CAP_RAISE_INTERVAL_MS:
            return False
        self.max_connections, self.set_ms = self.max_connections + 1.0, now
        return open_count < self.max_connections
