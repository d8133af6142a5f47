"""The queue of attempts that wait for a connection to one node, in the order of their arrival."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cloverwell.request import Attempt
from cloverwell.timer_wheel import TimerWheel

MAX_WAITING = 256  # the most attempts that may wait for a connection to one node


class WaitingAttempts:
    """A bounded queue of attempts; one that can no longer be written in time is given up."""

    def __init__(self, timer_wheel: TimerWheel, give_up: Callable[[Attempt], None]) -> None:
        """Starts empty; `give_up` is called with an attempt that has waited too long."""
        self._wheel = timer_wheel
        self._give_up = give_up
        self.attempts: deque[Attempt] = deque()

    def add(self, attempt: Attempt) -> bool:
        """Adds an attempt. Returns False, and does nothing, if the queue is full."""
        if len(self.attempts) >= MAX_WAITING:
            return False
        self.attempts.append(attempt)
        self._wheel.call_by(attempt.write_by_ms, lambda: self._check_overdue(attempt))
        return True

    def _check_overdue(self, attempt: Attempt) -> None:
        if attempt in self.attempts:
            self._give_up(attempt)

    def take_first(self) -> Attempt:
        """Removes and returns the attempt that has waited longest."""
        return self.attempts.popleft()

    def remove(self, attempt: Attempt) -> bool:
        """Removes an attempt. Returns False if it is not in the queue."""
        if attempt not in self.attempts:
            return False
        self.attempts.remove(attempt)
        return True

    def older_than(self, age_ms: float, now: float) -> list[Attempt]:
        """Returns the attempts that were started at least `age_ms` ago."""
        return [attempt for attempt in self.attempts if now - attempt.created_ms >= age_ms]
