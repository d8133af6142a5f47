"""When each cache node started last, by this machine's monotonic clock: decisions without I/O.

Discovery tells a start as Unix time, and a wall clock may have been stepped: this machine's before the
process began, or the one that all machines read before or after the node's start. So the Unix time is only
believed where it agrees with what the order of the lists says; otherwise the start counts as one just now.
That is the cold side, and it ends: no start is ever later than the moment at which it was first known, so a
slow start is over one warm-up after that moment at the latest. docs/design.md has the table of all uses of
Unix time.

Times are milliseconds of the monotonic clock; `up_since_ms` alone is Unix time, and is used as a name for
one start of a node more than as a time.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import msgspec

LONG_AGO = -math.inf
# How long before the list before it a start may be told and still be believed: a node registers some time
# after its start. What that may err by is as much of the way from cold to warm: a second, or a fifth of it.
REGISTRATION_MS = 1000.0
REGISTRATION_SHARE = 0.2  # of the warm-up
MAX_GONE = 1024  # starts of nodes that are listed no more, kept in case one comes back without a restart


class NodeStart(msgspec.Struct, frozen=True):
    """One start of a node: as discovery tells it, and what it was judged to be by the monotonic clock."""

    up_since_ms: float
    started_ms: float


class KnownStarts(msgspec.Struct, frozen=True):
    """What one process knows of the nodes' starts, for its successor, which reads the same clock.

    `clock_ms`: what the clock showed as this was written; `listed_ms`: when the last list came, None before
    the first.
    """

    clock_ms: float
    listed_ms: float | None
    starts: dict[str, NodeStart]


class NodeStarts:
    """The starts of all nodes that have been listed. `epoch_ms`: what the monotonic clock showed when Unix
    time was 0, by the wall clock at the process's start; `warm_up_ms`: of the settings."""

    def __init__(self, epoch_ms: float, warm_up_ms: float) -> None:
        self._epoch_ms = epoch_ms
        self._registration_ms = min(REGISTRATION_MS, REGISTRATION_SHARE * warm_up_ms)
        self._listed_ms: float | None = None  # discovery's last list; a held list has no date
        self._starts: dict[str, NodeStart] = {}

    def take(
        self, up_since_ms: Mapping[str, float], now: float, epoch_ms: float, held: bool
    ) -> dict[str, float]:
        """The start of each node that a list names, `LONG_AGO` where discovery tells none.

        `epoch_ms`: by the wall clock now. It is another than at the process's start where that clock was
        stepped since, and then either may fit a start. `held`: the list as it was known before the process
        began, which may be of any age.
        """
        started = {
            node: self._take_one(node, told, now, epoch_ms, held) for node, told in up_since_ms.items()
        }
        if not held:
            self._listed_ms = now
        return started

    def forget_gone(self, listed: Collection[str]) -> None:
        """Bounds what is kept of nodes that are listed no more; `listed`: those that are."""
        if len(self._starts) <= len(listed) + MAX_GONE:
            return
        gone = [node for node in self._starts if node not in listed]
        for node in gone[: len(gone) - MAX_GONE // 2]:
            del self._starts[node]

    def snapshot(self, now: float) -> KnownStarts:
        """What a successor of this process should know."""
        return KnownStarts(now, self._listed_ms, dict(self._starts))

    def inherit(self, known: KnownStarts, now: float) -> None:
        """Takes a predecessor's knowledge in place of the wall clock's; its clock must be this one's."""
        self._listed_ms = None if known.listed_ms is None else min(known.listed_ms, now)
        self._starts = {
            node: NodeStart(start.up_since_ms, min(start.started_ms, now))
            for node, start in known.starts.items()
        }

    def _take_one(self, node: str, up_since_ms: float, now: float, epoch_ms: float, held: bool) -> float:
        known = self._starts.get(node)
        if up_since_ms == 0.0:  # discovery's word for long ago; what is known of a later start stands
            return LONG_AGO if known is None else known.started_ms
        if known is not None and known.up_since_ms == up_since_ms:
            return known.started_ms
        if known is not None and held and up_since_ms < known.up_since_ms:
            return known.started_ms  # the held list is older than what the predecessor knew
        started_ms = self._judge(up_since_ms, known, now, epoch_ms)
        if known is not None:  # a restart is later than the start before it, or nobody would notice it
            started_ms = max(started_ms, math.nextafter(known.started_ms, math.inf))
        # Exactly 0 means long ago to the decisions.
        started_ms = started_ms or math.ulp(0.0)
        self._starts[node] = NodeStart(up_since_ms, started_ms)
        return started_ms

    def _judge(self, up_since_ms: float, known: NodeStart | None, now: float, epoch_ms: float) -> float:
        """The told time, where nothing speaks against it; else `now`, the latest that it can be."""
        readings = (up_since_ms + self._epoch_ms, up_since_ms + epoch_ms)
        told_ms = max((reading for reading in readings if reading <= now), default=math.inf)
        in_future = told_ms > now
        impossible = up_since_ms < 0.0
        before_last_list = self._listed_ms is not None and told_ms < self._listed_ms - self._registration_ms
        before_last_start = known is not None and up_since_ms < known.up_since_ms
        if in_future or impossible or before_last_list or before_last_start:
            return now
        return told_ms
