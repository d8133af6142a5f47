"""The state of an attempt that has been written to a connection except for its last bytes."""

from __future__ import annotations

from dataclasses import dataclass

from cloverwell.request import Attempt
from cloverwell.timer_wheel import Timer


@dataclass(slots=True)
class PartialWrite:
    """An attempt that can't run at its node yet, since its last bytes are held back."""

    attempt: Attempt
    unwritten: bytes  # the bytes that are held back
    timer: Timer  # the timer whose call writes them
