"""Keeps statistics of how connections to the nodes of one type (`cache` or `origin`) end. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

RESET_WEIGHT = 0.03  # the weight of one attempt in the recent share of resets
LONG_RESET_WEIGHT = 0.005  # the weight of one attempt in the share of resets over a longer time
STALE_WEIGHT = 0.001  # the weight of one attempt in the share of stale connections
RESET_TIME_WEIGHT = 0.05  # the weight of one reset in the time that resets take, while that time falls
FREQUENT_RESET_SHARE = 0.004  # the resets per attempt above which even fresh connections are validated
COMMON_RESET_SHARE = 0.02  # the resets per attempt from which one more reset is no evidence about its node
STALE_SHARE = 0.0005  # the stale connections per attempt below which idle connections of any age are trusted
# The share of losses without a reset above which dead connections of the type count as silent.
SILENT_SHARE = 0.5


@dataclass(slots=True)
class NodeTypeStatistics:
    """Running shares of how attempts end, per attempt at any node of the type."""

    reset_share: float = 0.0  # the recent share of attempts that were lost to a reset or a close
    long_reset_share: float = 0.0  # the same share over a longer time, with attempts lost in silence
    stale_share: float = 0.0  # the share of attempts lost on idle connections, over a long time
    silent_share: float = 0.0  # the share of the losses on idle connections that came without a reset
    reset_ms: float = 0.0  # the longest time that a reset took to arrive; it falls slowly

    @property
    def resets_are_frequent(self) -> bool:
        """Tells whether resets are so frequent that fresh connections are validated for costly attempts."""
        return self.reset_share > FREQUENT_RESET_SHARE

    @property
    def resets_are_rare(self) -> bool:
        """Tells whether resets are so rare that one more is evidence about its node."""
        return self.long_reset_share < COMMON_RESET_SHARE

    @property
    def stale_are_rare(self) -> bool:
        """Tells whether so few idle connections turn out to be closed that their age need not be proven."""
        return self.stale_share < STALE_SHARE

    @property
    def losses_are_silent(self) -> bool:
        """Tells whether dead connections mostly send no reset, so that validation can't find them."""
        return self.silent_share > SILENT_SHARE

    def record_answer(self) -> None:
        """Records an attempt that was answered."""
        self.reset_share *= 1.0 - RESET_WEIGHT
        self.long_reset_share *= 1.0 - LONG_RESET_WEIGHT
        self.stale_share *= 1.0 - STALE_WEIGHT

    def record_loss(self, since_write_ms: float, by_reset: bool) -> None:
        """Records a connection that ended `since_write_ms` after the last bytes of an attempt."""
        self.reset_share += RESET_WEIGHT * (1.0 - self.reset_share)
        self.long_reset_share += LONG_RESET_WEIGHT * (1.0 - self.long_reset_share)
        if by_reset:
            decayed_ms = (1.0 - RESET_TIME_WEIGHT) * self.reset_ms + RESET_TIME_WEIGHT * since_write_ms
            self.reset_ms = max(since_write_ms, decayed_ms)

    def record_stale(self) -> None:
        """Records that the connection of the last `record_loss` had been idle before its attempt."""
        self.stale_share += STALE_WEIGHT * (1.0 - self.stale_share)
        self.silent_share *= 0.5

    def record_silent_loss(self) -> None:
        """Records an attempt on an idle connection that was abandoned without any answer or reset."""
        self.silent_share = 1.0
        self.long_reset_share += LONG_RESET_WEIGHT * (1.0 - self.long_reset_share)
