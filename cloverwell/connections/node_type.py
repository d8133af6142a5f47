"""What nodes of one type (`cache` or `origin`) have in common in how their connections end. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

RESET_WEIGHT = 0.03  # of one attempt in the recent share of resets
LONG_WEIGHT = 0.005  # of one attempt in the share over a longer time
STALE_WEIGHT = 0.001  # of one attempt in the share of stale connections
RESET_TIME_WEIGHT = 0.05  # of one reset in the time that resets take, while that sinks
SUSPECT_SHARE = 0.004  # recent resets per attempt from which even fresh connections are validated
COMMON_SHARE = 0.02  # resets per attempt from which one more reset tells nothing new of its node
STALE_SHARE = 0.0005  # stale attempts under which idle connections of every age are trusted
SILENT_SHARE = 0.5  # losses without a reset from which dead connections of the type are taken to be silent


@dataclass(slots=True)
class NodeTypeStatistics:
    """Running shares of how attempts end, per attempt at any node of the type."""

    reset_share: float = 0.0  # of late
    long_reset_share: float = 0.0  # over a longer time
    stale_share: float = 0.0  # attempts lost on a connection that had stood idle, over a long time
    silent_share: float = 0.0  # of the losses on idle connections, those without a reset
    reset_ms: float = 0.0  # the longest that a reset took to arrive, sinking slowly

    @property
    def suspect(self) -> bool:
        """Whether resets are so frequent that fresh connections are validated for costly attempts."""
        return self.reset_share > SUSPECT_SHARE

    @property
    def resets_are_rare(self) -> bool:
        """Whether one more reset says something of its node."""
        return self.long_reset_share < COMMON_SHARE

    @property
    def stale_are_rare(self) -> bool:
        """Whether so few idle connections turn out to be closed that their age need not be proven."""
        return self.stale_share < STALE_SHARE

    @property
    def losses_are_silent(self) -> bool:
        """Whether dead connections stay silent instead of sending a reset: then validation finds none."""
        return self.silent_share > SILENT_SHARE

    def record_answer(self) -> None:
        """Records an attempt that was answered."""
        self.reset_share *= 1.0 - RESET_WEIGHT
        self.long_reset_share *= 1.0 - LONG_WEIGHT
        self.stale_share *= 1.0 - STALE_WEIGHT

    def record_loss(self, after_ms: float, by_reset: bool) -> None:
        """Records a connection that ended `after_ms` after the last bytes of an attempt."""
        self.reset_share += RESET_WEIGHT * (1.0 - self.reset_share)
        self.long_reset_share += LONG_WEIGHT * (1.0 - self.long_reset_share)
        if by_reset:
            decayed_ms = (1.0 - RESET_TIME_WEIGHT) * self.reset_ms + RESET_TIME_WEIGHT * after_ms
            self.reset_ms = max(after_ms, decayed_ms)

    def record_stale(self) -> None:
        """Records that the connection just lost had stood idle, and that its end was noticed at once."""
        self.stale_share += STALE_WEIGHT * (1.0 - self.stale_share)
        self.silent_share *= 0.5

    def record_silent(self) -> None:
        """Records an attempt on an idle connection that was given up without any answer or reset."""
        self.silent_share = 1.0
        self.long_reset_share += LONG_WEIGHT * (1.0 - self.long_reset_share)
