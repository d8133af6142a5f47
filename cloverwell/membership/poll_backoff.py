"""The backoff between a failed poll of discovery and the next one. No I/O; all times are in milliseconds.

A proxy has to know of a change within `MAX_CHANGE_DELAY_MS` after discovery has it and can be reached,
whichever polls failed before. A poll may fail just before discovery can be reached again, so a backoff and
the next poll have to fit into that time together:

    MAX_CHANGE_DELAY_MS = MAX_BACKOFF_MS + RETRY_TIMEOUT_MS + APPLY_MARGIN_MS

A poll that is unanswered at that moment times out and is retried after a short backoff, which takes less than
that sum. The backoff counts from the start of the failed poll, so that slow failures do not add to it.

All proxies share one discovery service, and all lose their watch when it fails. The backoff is therefore
drawn at random, and where there are many proxies the range is wide from the first failure on. In the pushed
mode an agent beside each proxy is polled instead, and the proxy counts as knowing what its agent has: there
the backoff is short, and shorter than the time in which a node drains.
"""

from __future__ import annotations

from random import Random

from balancer.api import Settings

MAX_CHANGE_DELAY_MS = 6000.0  # the time within which a proxy must know of a change
APPLY_MARGIN_MS = 400.0  # for the answer to arrive and the list to be applied
MAX_BACKOFF_MS = MAX_CHANGE_DELAY_MS / 3.0  # counted from the start of the failed poll
RETRY_TIMEOUT_MS = MAX_CHANGE_DELAY_MS - MAX_BACKOFF_MS - APPLY_MARGIN_MS  # for a poll after a failed one

MIN_BACKOFF_SHARE = 0.5  # the backoff is drawn from this share of its current maximum up to the maximum
INITIAL_BACKOFF_MS = 600.0  # the maximum after the first failure; it doubles with each further one
INITIAL_BACKOFF_PER_PROXY_MS = 20.0  # the same for each proxy of the fleet; the larger maximum counts
MAX_DOUBLINGS = 8  # after hours of failures the power would be too large for a float

# The backoff after a poll that took longer to fail than the backoff, counted from the end of that poll.
MIN_SLOW_FAILURE_BACKOFF_MS = 100.0
MAX_SLOW_FAILURE_BACKOFF_MS = 300.0

MIN_PUSHED_BACKOFF_MS = 20.0
MAX_PUSHED_BACKOFF_MS = 200.0
PUSHED_BACKOFF_DRAIN_SHARE = 0.5  # the backoff as a share of the drain time, within the two bounds


class PollBackoff:
    """The backoff of one proxy after its failed polls."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without failures. Each proxy has a `seed` of its own, so that they do not poll in step."""
        self._settings = settings
        self._random = Random(seed)
        self._failures = 0

    @property
    def is_failing(self) -> bool:
        """True if the last poll that ended has failed."""
        return self._failures > 0

    def reset(self) -> None:
        """Record that a poll was answered."""
        self._failures = 0

    def record_failure(self, elapsed_ms: float) -> float:
        """Record that a poll failed `elapsed_ms` after its start; return the delay in ms of the next one."""
        previous_failures = self._failures
        self._failures += 1
        if self._settings.is_list_pushed:
            return self._pushed_backoff_ms()
        max_backoff_ms = self._max_backoff_ms(previous_failures)
        backoff_ms = self._random.uniform(MIN_BACKOFF_SHARE * max_backoff_ms, max_backoff_ms)
        slow_failure_backoff_ms = self._random.uniform(
            MIN_SLOW_FAILURE_BACKOFF_MS, MAX_SLOW_FAILURE_BACKOFF_MS
        )
        return max(backoff_ms - elapsed_ms, slow_failure_backoff_ms)

    def _pushed_backoff_ms(self) -> float:
        backoff_ms = PUSHED_BACKOFF_DRAIN_SHARE * self._settings.drain_grace_ms
        return min(max(MIN_PUSHED_BACKOFF_MS, backoff_ms), MAX_PUSHED_BACKOFF_MS)

    def _max_backoff_ms(self, previous_failures: int) -> float:
        initial_ms = max(INITIAL_BACKOFF_MS, INITIAL_BACKOFF_PER_PROXY_MS * self._settings.peers_total)
        doublings = min(previous_failures, MAX_DOUBLINGS)
        return float(min(initial_ms * 2**doublings, MAX_BACKOFF_MS))
