"""How many connections a node accepts, learnt from those that it refused. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

REFUSALS_AT_CAP = 4  # one refusal alone is a fault on the way; so many in a row are a node at its limit
RETRY_MS = 2000.0  # a node that refused a connection is asked for one more after so long


@dataclass(slots=True)
class ConnectionCap:
    """The cap of one node, which is infinite until the node has refused connections while others stood."""

    refusals: int = 0  # in a row, while others stood
    most: float = math.inf
    set_ms: float = 0.0  # when the cap was set, or last raised

    @property
    def limited(self) -> bool:
        """Whether the node has refused connections of late."""
        return self.refusals > 0 or self.most < math.inf

    def record_refusal(self, opened: int, now: float) -> None:
        """Records that the node refused a connection while `opened` others stood."""
        if not opened:  # it is not there, which says nothing of how many it takes
            return
        self.refusals += 1
        if self.refusals >= REFUSALS_AT_CAP:
            self.most, self.set_ms = float(opened), now

    def allows(self, opened: int, now: float) -> bool:
        """Tells whether one more may be asked for beside `opened`; now and then the cap is raised by one."""
        if opened < self.most:
            return True
        if now - self.set_ms < RETRY_MS:
            return False
        self.most, self.set_ms = self.most + 1.0, now
        return opened < self.most
