"""The virtual time of the control log's simulation: events that are played in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class EventLoop:
    """Events in virtual time. `now` is true time in ms; events of one time keep the order of scheduling."""

    def __init__(self) -> None:
        """Starts at time 0 without events."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._sequence_numbers = count(1)

    def schedule(self, when: float, event: Callable[..., None], *arguments: object) -> None:
        """Schedules a call at a time in ms."""
        heapq.heappush(self._events, (when, next(self._sequence_numbers), event, arguments))

    def run(self, ms: float) -> None:
        """Plays for so many ms."""
        until = self.now + ms
        while self._events and self._events[0][0] <= until:
            self.step()
        self.now = until

    def run_until(self, condition: Callable[[], bool], most_ms: float) -> float:
        """Plays until the condition holds; returns how many ms that took.

        Raises AssertionError after `most_ms`.
        """
        began = self.now
        while not condition():
            assert self._events, f"not within {most_ms} ms: nothing is due"
            assert self._events[0][0] <= began + most_ms, f"not within {most_ms} ms"
            self.step()
        return self.now - began

    def step(self) -> None:
        """Plays the next event, if one is due: with all processes down there may be none."""
        if not self._events:
            return
        self.now, _, event, arguments = heapq.heappop(self._events)
        event(*arguments)
