"""The wall clocks of a scenario's machines: Unix time beside the virtual time, which is monotonic.

A fault steps the wall clocks of some machines or of all. What a program reads from its wall clock shows the
step; its timers and its monotonic clock do not.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

EPOCH_S = 1_000_000.0  # Unix time when the virtual clock shows 0
STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)  # one of these is drawn where a fault names no step


class WallClock:
    """The wall clock of one machine."""

    def __init__(self, monotonic_s: Callable[[], float]) -> None:
        """`monotonic_s`: the virtual time in seconds."""
        self._monotonic_s = monotonic_s
        self.ahead_s = EPOCH_S  # of the monotonic clock

    def seconds(self) -> float:
        """Unix time, as `time.time` gives it on this machine."""
        return self._monotonic_s() + self.ahead_s

    def step(self, by_s: float) -> None:
        """Steps the clock, forwards where `by_s` is positive."""
        self.ahead_s += by_s

    def epoch_ms(self) -> float:
        """What the monotonic clock showed, in ms, when Unix time was 0: what a program that starts now
        computes from both clocks."""
        return -1000.0 * self.ahead_s


class WallClocks:
    """The wall clocks of all machines, by name. They agree until one is stepped alone."""

    def __init__(self, monotonic_s: Callable[[], float], seed: int) -> None:
        """`seed`: draws the steps that a fault does not name."""
        self._monotonic_s = monotonic_s
        self._rng = Random(f"clock steps {seed}")
        self._clocks: dict[str, WallClock] = {}

    def of(self, machine: str) -> WallClock:
        """The clock of the machine of this name."""
        if machine not in self._clocks:
            self._clocks[machine] = WallClock(self._monotonic_s)
        return self._clocks[machine]

    def step(self, machines: Sequence[str], by_s: float | None) -> float:
        """Steps the clocks of these machines together, by a drawn step if none is given; returns the step."""
        step_s = self._rng.choice(STEPS_S) if by_s is None else by_s
        for machine in machines:
            self.of(machine).step(step_s)
        return step_s
