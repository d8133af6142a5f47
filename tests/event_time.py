"""When something came to the test's event loop: at the soonest, if the loop was held up meanwhile.

The judge compares the moments of events at clients and nodes. What lay in a socket while this process had no
turn on a core came earlier than it is read, and the proxies must not be blamed for that.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque

BEAT_S = 0.01
REMEMBERED = 16  # beats: what a hold-up has kept waiting is handled within so many


class EventTime:
    """Watches the loop by a task that should run every `BEAT_S`."""

    def __init__(self) -> None:
        self._beat_s = time.monotonic()
        self._late_s: deque[float] = deque([0.0], REMEMBERED)
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Called inside the loop."""
        self._task = asyncio.create_task(self._watch())

    async def stop(self) -> None:
        """The loop is watched no more."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def came_s(self) -> float:
        """The earliest moment at which what is handled now may have come."""
        now_s = time.monotonic()
        return now_s - max(now_s - self._beat_s - BEAT_S, *self._late_s, 0.0)

    async def _watch(self) -> None:
        while True:
            before_s = self._beat_s = time.monotonic()
            await asyncio.sleep(BEAT_S)
            self._late_s.append(time.monotonic() - before_s - BEAT_S)
