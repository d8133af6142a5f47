"""Limits how many lines are handled before others get their turn."""

from __future__ import annotations

import sys
from dataclasses import dataclass


@dataclass(slots=True)
class LineAllowance:
    """The number of lines that the connections which share this allowance may still handle now.

    Attributes:
        left: the lines that all of them together may still handle.
        at_once: the most lines that one of them handles without letting others have their turn.

    """

    left: int
    at_once: int


def unlimited_allowance() -> LineAllowance:
    """Return an allowance that is never used up."""
    return LineAllowance(sys.maxsize, sys.maxsize)
