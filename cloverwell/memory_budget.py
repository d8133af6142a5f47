"""One budget of memory for the whole process, from which everything is drawn that is held for peers. No I/O.

What is held is charged to an account when it arrives, by the bytes that its buffers take and never by a
length that a peer announces. Nothing is held back from a peer that its kernel buffer could hold instead: who
is refused memory stops reading, or rejects a request at once.

The budget has watermarks. Up to the lowest one it grants what is held for slow peers, up to the next one what
is needed for a moment, and the rest is for what can't be refused any more. So peers that stop in the middle
leave memory for those whose bytes come at once.
"""

from __future__ import annotations

import math
from enum import Enum, IntEnum, auto

BYTES_PER_MB = 1024 * 1024
# The share of the memory above that of the process at rest. The rest of it is for what lies between two
# accounts: bytes that were just read, the overhead of the allocator, and objects of the event loop.
BUDGET_SHARE = 0.6
MIN_BUDGET_BYTES = 1024 * 1024  # granted however little is told, since nothing could be served without it
# The most that is taken off the budget for what no account knows, so that a process that needs more at rest
# than it was told still serves usual requests.
MAX_UNACCOUNTED_SHARE = 0.5
# What each open connection and each open request takes besides its bytes.
CONNECTION_BYTES = 4608
REQUEST_BYTES = 4 * 1024


LARGEST_READ_BYTES = 64 * 1024  # the most bytes that are read from a peer, or granted, at once
READ_SHARE = 1.0 / 32.0  # of the memory that is left for peers of its urgency, read from one at once


class MemoryUse(IntEnum):
    """What memory is held for; the names are words of the log."""

    CONNECTIONS = 0
    REQUESTS = auto()
    COMMANDS = auto()
    RESPONSES = auto()
    NODE_ANSWERS = auto()
    ATTEMPTS = auto()
    ENDPOINT_LIST = auto()


class Urgency(float, Enum):
    """Who needs the memory; the values are shares of the budget up to which it is granted."""

    SLOW = 0.5  # a peer that has stopped, or takes what it is sent slowly
    PROMPT = 0.8  # a request or an answer that comes at once
    ESSENTIAL = 1.0  # what has been read already and can't be refused any more


class MemoryBudget:
    """Counts the bytes that are held, and tells whether more may be.

    Attributes:
        total_bytes: the most bytes that are granted.
        held_bytes: the bytes that are held.
        highest_held_bytes: the most that have been held at once.
        held_by_use: the bytes that are held, indexed by `MemoryUse`.
        ample_bytes: while no more than this is held, whatever is asked for is granted.

    """

    def __init__(self, total_bytes: float) -> None:
        """Start with nothing held; `total_bytes` may be infinite."""
        self.held_bytes = 0
        self.highest_held_bytes = 0
        self.held_by_use = [0] * len(MemoryUse)
        self._unaccounted_bytes = 0.0  # taken by the process beyond what is expected
        self.set_total(total_bytes)

    def set_total(self, total_bytes: float) -> None:
        """Set the most bytes that are granted."""
        self.total_bytes = total_bytes
        self._update_ample()

    def _update_ample(self) -> None:
        slow_bytes = Urgency.SLOW * self.total_bytes - self._unaccounted_bytes
        self.ample_bytes = slow_bytes - LARGEST_READ_BYTES / READ_SHARE

    def resize(self, limit_bytes: float, rest_bytes: float) -> None:
        """Set the budget of a process that takes `rest_bytes` at rest and may take `limit_bytes`."""
        self.set_total(max(MIN_BUDGET_BYTES, BUDGET_SHARE * (limit_bytes - rest_bytes)))

    def observe(self, resident_bytes: float, rest_bytes: float) -> None:
        """Record how much the process takes, at rest and now.

        What it takes beyond the accounts, and beyond the share that is kept for that, can't be granted.
        """
        allowed_bytes = self.total_bytes * (1.0 / BUDGET_SHARE - 1.0)
        unaccounted_bytes = resident_bytes - rest_bytes - self.held_bytes
        most_bytes = MAX_UNACCOUNTED_SHARE * self.total_bytes
        self._unaccounted_bytes = max(0.0, min(most_bytes, unaccounted_bytes - allowed_bytes))
        self._update_ample()

    @property
    def is_exceeded(self) -> bool:
        """Whether the process takes so much that less than the whole budget can be granted."""
        return self._unaccounted_bytes > 0.0

    def room(self, urgency: Urgency) -> float:
        """Return how many more bytes are granted now; 0 or less if none are."""
        return urgency * self.total_bytes - self.held_bytes - self._unaccounted_bytes

    def read_bytes(self, urgency: Urgency, least_bytes: int, most_bytes: int) -> int:
        """Return how many bytes are read from a peer at once; the fewer, the less memory is left."""
        if self.held_bytes <= self.ample_bytes:
            return most_bytes
        return int(max(least_bytes, min(most_bytes, READ_SHARE * self.room(urgency))))

    def grants(self, urgency: Urgency, size_bytes: int = 0) -> bool:
        """Return whether so many more bytes may be held."""
        return self.held_bytes <= self.ample_bytes or self.room(urgency) >= size_bytes

    def change(self, use: MemoryUse, difference_bytes: int) -> None:
        """Record that so many more bytes are held, or fewer if the number is negative."""
        self.held_bytes += difference_bytes
        self.held_by_use[use] += difference_bytes
        if self.held_bytes > self.highest_held_bytes:
            self.highest_held_bytes = self.held_bytes


class MemoryAccount:
    """What one holder holds for one use."""

    __slots__ = ("_budget", "_use", "held_bytes")

    def __init__(self, budget: MemoryBudget, use: MemoryUse) -> None:
        """Set up an account that holds nothing."""
        self._budget = budget
        self._use = use
        self.held_bytes = 0

    def hold(self, size_bytes: int) -> None:
        """Record that the holder holds `size_bytes` in all from now on."""
        if size_bytes != self.held_bytes:
            self._budget.change(self._use, size_bytes - self.held_bytes)
            self.held_bytes = size_bytes


def unlimited_memory() -> MemoryBudget:
    """Return a budget that grants everything, for programs and tests without a limit."""
    return MemoryBudget(math.inf)
