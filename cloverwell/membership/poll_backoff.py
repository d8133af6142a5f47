"""When discovery is asked again after a call that failed. No I/O: time is an argument, in milliseconds.

A change counts as told `TOLD_MS` after discovery had it and could be reached, whatever call failed before.
A call may fail in the very moment before discovery can be reached; so a pause and the call behind it have to
fit into that time together:

    TOLD_MS = the longest pause + the longest wait for an answer + MARGIN_MS

One that hangs across that moment is given up and made again after a short pause, which is less than that sum.
A pause counts from the beginning of the call that failed, so that slow failures do not add to it.

Discovery is one service for all proxies: pauses are drawn over a range, which is wide from the first on where
there are many proxies, as they all lose their watch at once. Where lists are pushed an agent beside the proxy
is asked, and what it gets counts at once: the pause is short there, and within the drain time.
"""

from __future__ import annotations

from random import Random

from balancer.api import Settings

TOLD_MS = 6000.0  # the page's
MARGIN_MS = 400.0  # an answer's way here, and its list's taking effect
LONGEST_MS = TOLD_MS / 3.0  # pause from the beginning of the call that failed
SHORTEST = 0.5  # of the longest pause: where the range begins from which pauses are drawn
FIRST_MS = 600.0  # longest first pause of few proxies; it doubles with each failure
EACH_MS = 20.0  # and of many, so much for each of them
BEHIND_MS = (100.0, 300.0)  # pause after the end of a call that took longer than its pause
ANSWER_MS = TOLD_MS - LONGEST_MS - MARGIN_MS  # what the call after a failed one may take
PUSHED_MS = (20.0, 200.0)  # where lists are pushed: pause at least, at most
PUSHED_DRAIN_SHARE = 0.5  # of the drain time, between them


class ListRetry:
    """The pauses of one proxy."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """`seed`: each proxy's own, so that they do not ask in step."""
        self._settings = settings
        self._rng = Random(seed)
        self._failures = 0  # since the last answer

    @property
    def failing(self) -> bool:
        """No answer has come since the last failure."""
        return self._failures > 0

    def answered(self) -> None:
        self._failures = 0

    def failed(self, took_ms: float) -> float:
        """A call has failed after so long: the pause from now to the next one."""
        failures, self._failures = self._failures, self._failures + 1
        if self._settings.list_pushed:
            least_ms, most_ms = PUSHED_MS
            return min(max(least_ms, PUSHED_DRAIN_SHARE * self._settings.drain_grace_ms), most_ms)
        # The shift is bounded: after hours of failures the number would not fit.
        first_ms = max(FIRST_MS, EACH_MS * self._settings.peers_total)
        longest_ms = min(first_ms * 2 ** min(failures, 8), LONGEST_MS)
        pause_ms = self._rng.uniform(SHORTEST * longest_ms, longest_ms)
        return max(pause_ms - took_ms, self._rng.uniform(*BEHIND_MS))
