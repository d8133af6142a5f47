"""The last start of each cache node, by this machine's monotonic clock. No I/O.

Discovery gives a start as Unix time, and a wall clock may have been stepped: that of this machine before the
process began, or those of all machines before or after the node's start. The Unix time is therefore believed
only if it agrees with the order in which the lists arrived; otherwise the node counts as started at this
moment. The node is then warming up for longer than needed, but not for long: no start is ever
later than the moment at which it was first known, so slow start ends at most one warm-up after that moment.
docs/design/overview.md has the table of all uses of Unix time.

Times are milliseconds of the monotonic clock. Only `up_since_ms` is Unix time, and it serves to identify a
start of a node more than as a time.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import msgspec

LONG_AGO = -math.inf
"""The start of a node of which discovery says only that it started long ago."""

# A node registers with discovery some time after its start, so a start is believed if it is at most this long
# before the previous list. If the start is wrong, slow start is ahead by as much: a second, or a fifth of the
# warm-up.
MAX_REGISTRATION_DELAY_MS = 1000.0
REGISTRATION_DELAY_SHARE = 0.2  # the same as a share of the warm-up; the shorter time counts

# The largest number of unlisted nodes whose starts are kept, in case one is listed again without a restart.
MAX_UNLISTED_NODES = 1024


class NodeStart(msgspec.Struct, frozen=True):
    """One start of a node: the Unix time that discovery gave, and the monotonic time used for it."""

    up_since_ms: float
    started_ms: float


class KnownStarts(msgspec.Struct, frozen=True):
    """The starts that one process knows, for its successor, which reads the same clock.

    `clock_ms` is the clock's reading when this was written, `listed_ms` the time of the last list from
    discovery, None before the first.
    """

    clock_ms: float
    listed_ms: float | None
    starts: dict[str, NodeStart]


class NodeStarts:
    """The starts of all nodes that have been listed."""

    def __init__(self, epoch_ms: float, warm_up_ms: float) -> None:
        """Set up without the start of any node.

        Args:
            epoch_ms: reading of the monotonic clock at Unix time 0, by the wall clock at the process's start.
            warm_up_ms: how long a node warms up, from the settings.

        """
        self._epoch_ms = epoch_ms
        self._max_registration_delay_ms = min(
            MAX_REGISTRATION_DELAY_MS, REGISTRATION_DELAY_SHARE * warm_up_ms
        )
        self._last_list_ms: float | None = None
        self._starts: dict[str, NodeStart] = {}

    def record_list(
        self, up_since_ms: Mapping[str, float], now_ms: float, epoch_ms: float, predates_process: bool
    ) -> dict[str, float]:
        """Record the starts in a list, and return when each of its nodes started.

        Args:
            up_since_ms: the Unix time of each node's start, 0 for `LONG_AGO`.
            now_ms: the monotonic clock's reading.
            epoch_ms: reading of the monotonic clock at Unix time 0, by the wall clock at this moment. It
                differs from the one at the process's start if that clock was stepped; a start may fit either.
            predates_process: whether the list was known before the process began. Such a list may be of
                any age.

        """
        started_ms = {
            node: self._record_start(node, node_up_since_ms, now_ms, epoch_ms, predates_process)
            for node, node_up_since_ms in up_since_ms.items()
        }
        if not predates_process:
            self._last_list_ms = now_ms
        return started_ms

    def forget_unlisted(self, listed: Collection[str]) -> None:
        """Forget the oldest starts of nodes that are not `listed` any more, if there are too many of them."""
        if len(self._starts) <= len(listed) + MAX_UNLISTED_NODES:
            return
        unlisted_nodes = [node for node in self._starts if node not in listed]
        # Only half of the limit is kept, so that not every list has to search for the oldest starts.
        for node in unlisted_nodes[: len(unlisted_nodes) - MAX_UNLISTED_NODES // 2]:
            del self._starts[node]

    def snapshot(self, now_ms: float) -> KnownStarts:
        """Return all starts, for a successor of this process."""
        return KnownStarts(now_ms, self._last_list_ms, dict(self._starts))

    def inherit(self, known: KnownStarts, now_ms: float) -> None:
        """Use a predecessor's starts in place of the wall clock. Both must read the same monotonic clock."""
        self._last_list_ms = None if known.listed_ms is None else min(known.listed_ms, now_ms)
        self._starts = {
            node: NodeStart(start.up_since_ms, min(start.started_ms, now_ms))
            for node, start in known.starts.items()
        }

    def _record_start(
        self, node: str, up_since_ms: float, now_ms: float, epoch_ms: float, predates_process: bool
    ) -> float:
        known = self._starts.get(node)
        if up_since_ms == 0.0:
            # The node started long ago, unless a later start of it is known already.
            return LONG_AGO if known is None else known.started_ms
        if known is not None and _is_known_start(up_since_ms, known, predates_process):
            return known.started_ms
        started_ms = self._started_ms(up_since_ms, known, now_ms, epoch_ms)
        if known is not None:
            # A restart has to be later than the start before it, or it would not be noticed.
            started_ms = max(started_ms, math.nextafter(known.started_ms, math.inf))
        # To the balancer a start at exactly 0 means a start long ago.
        started_ms = started_ms or math.ulp(0.0)
        self._starts[node] = NodeStart(up_since_ms, started_ms)
        return started_ms

    def _started_ms(
        self, up_since_ms: float, known: NodeStart | None, now_ms: float, epoch_ms: float
    ) -> float:
        """Return the start by the Unix time if nothing contradicts it, else `now_ms`, the latest possible."""
        readings_ms = (up_since_ms + self._epoch_ms, up_since_ms + epoch_ms)
        reading_ms = max((reading for reading in readings_ms if reading <= now_ms), default=math.inf)
        is_in_future = reading_ms > now_ms
        is_negative = up_since_ms < 0.0
        is_before_last_list = (
            self._last_list_ms is not None
            and reading_ms < self._last_list_ms - self._max_registration_delay_ms
        )
        is_before_last_start = known is not None and up_since_ms < known.up_since_ms
        if is_in_future or is_negative or is_before_last_list or is_before_last_start:
            return now_ms
        return reading_ms


def _is_known_start(up_since_ms: float, known: NodeStart, predates_process: bool) -> bool:
    """Return whether a list reports no restart: it has the known start, or is older than the known start."""
    is_older_list = predates_process and up_since_ms < known.up_since_ms
    return up_since_ms == known.up_since_ms or is_older_list
