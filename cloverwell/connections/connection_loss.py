"""Describes how a node ended a connection that carried an attempt. No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ConnectionLoss:
    """The end of a connection by its node while an attempt was on it; times in ms."""

    # How long the connection had been idle before its oldest attempt; None if it was new or busy.
    idle_age_ms: float | None
    since_write_ms: float  # the time since the last bytes of that attempt were written
    answer_begun: bool  # whether a part of the answer had come
    last_byte_unsent: bool  # whether the last byte of an attempt was held back: that attempt has not run
    by_reset: bool  # whether the node reset the connection, which answers a write; False: closed it
    had_served: bool  # whether an attempt had ended on the connection before

    @property
    def refused_on_arrival(self) -> bool:
        """Tells whether the node accepted the connection only to reset it."""
        return self.by_reset and not self.had_served
