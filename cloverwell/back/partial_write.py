"""The state of an attempt that has been written to a connection except for its last bytes."""

from __future__ import annotations

from dataclasses import dataclass

from cloverwell.request import Attempt
from cloverwell.timer_wheel import Timer


@dataclass(slots=True)
class PartialWrite:
    """An attempt whose last bytes are held back, and without which it can't run at the node."""

    attempt: Attempt
    rest: bytes  # the bytes that are held back
    timer: Timer  # the timer that writes `rest`
