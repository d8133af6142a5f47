"""Handles queued items in bounded numbers, so that no turn of the event loop takes long."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from cloverwell.timer_wheel import TimerWheel

ItemT = TypeVar("ItemT")


class TurnQueue(Generic[ItemT]):
    """A queue of which each turn of the event loop handles a limited number of items, however they come."""

    def __init__(
        self, timer_wheel: TimerWheel, max_per_turn: int, handle: Callable[[Iterable[ItemT]], None]
    ) -> None:
        """Set up an empty queue; `handle` is called with the next items, `max_per_turn` a turn in all."""
        self._timer_wheel = timer_wheel
        self._max_per_turn = max_per_turn
        self._left = max_per_turn  # how many more items this turn may handle
        self._handle = handle
        self._waiting: deque[ItemT] = deque()

    def extend(self, items: Iterable[ItemT]) -> None:
        """Add items, and handle as many as this turn may."""
        self._waiting.extend(items)
        self._handle_some()

    def _handle_some(self) -> None:
        count = min(self._left, len(self._waiting))
        if not count:
            return
        if self._left == self._max_per_turn:
            self._timer_wheel.call_in_next_turn(self._begin_turn)
        self._left -= count
        self._handle([self._waiting.popleft() for _ in range(count)])

    def _begin_turn(self) -> None:
        self._left = self._max_per_turn
        self._handle_some()
