"""How a node ended a connection that carried an attempt: a value, without I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ConnectionLoss:
    """The end of a connection by its node, while an attempt was on it."""

    idle_age_ms: float | None  # how long it had stood idle before its oldest attempt; None on a fresh one
    since_write_ms: float  # the time since the last bytes of that attempt were written
    answer_begun: bool
    last_byte_unsent: bool  # the last byte of an attempt had not been written: that one has not run
    by_reset: bool  # else the node closed it; a reset answers what was written
    had_served: bool  # an attempt had ended on it before

    @property
    def refused_on_arrival(self) -> bool:
        """Whether the node accepted the connection only to reset it."""
        return self.by_reset and not self.had_served
