"""Since when the bytes of a client's connection may have been there: decisions without I/O.

A client counts its time from the first byte that it sends. The proxy reads that byte later: behind a time in
which it did not read the connection, or had not accepted it, and as the first of a command that comes slowly.
"""

from __future__ import annotations

# Left to a request whose connection waited to be accepted, however long that may have been. A node may be
# told 0.15 s too much, and a client whose time is over has closed its new connection, which is seen first.
LEAST_LEFT_MS = 100.0


class Arrival:
    """Of one connection; all times in ms on the caller's clock."""

    __slots__ = (
        "_command_ms",
        "_command_queued",
        "_looked_ms",
        "_queued",
        "_read_ms",
        "_read_queued",
        "_unread_since_ms",
        "seen_ms",
    )

    def __init__(self) -> None:
        self._looked_ms = 0.0  # when bytes were read last, however long they had been there
        self.seen_ms = 0.0  # when the first byte of the command in hand was
        self._command_ms = 0.0  # the first byte of the command in hand
        self._read_ms = 0.0  # the bytes that were read last
        self._unread_since_ms: float | None = None  # nobody has looked since
        # Whether that is since it waited to be accepted; the same of the bytes read last, and of the command.
        self._queued = self._read_queued = self._command_queued = False

    @property
    def behind(self) -> bool:
        """What is read next may have lain unread."""
        return self._unread_since_ms is not None

    def accepted(self, since_ms: float) -> None:
        """It has waited to be accepted, since then at the earliest."""
        self._unread_since_ms, self._queued = since_ms, True

    def not_read(self, now: float) -> None:
        """The connection is not read from now on."""
        if self._unread_since_ms is None:
            self._unread_since_ms = now

    def nothing_there(self) -> None:
        """A look has shown that no byte waits: what comes from now on comes when it is read."""
        self._unread_since_ms, self._queued = None, False

    def read(self, now: float, begins: bool, unread_delay_ms: float = 0.0) -> None:
        """Bytes have been read; `begins`: they begin a command, no part of one was in hand.

        `unread_delay_ms`: the loop was stalled for so long, and they may have been there as long."""
        self._looked_ms = now
        since_ms = now - unread_delay_ms
        if self._unread_since_ms is not None:
            since_ms = min(since_ms, self._unread_since_ms)
        self._read_ms = since_ms
        self._read_queued = self._queued
        if begins:
            self.ended()

    def ended(self) -> None:
        """The command in hand is whole: what stands behind it came with the last bytes."""
        self._command_ms, self._command_queued = self._read_ms, self._read_queued
        self.seen_ms = self._looked_ms

    def left_ms(self, now: float, wait_ms: float) -> float:
        """What is left at the least of the time for which the client of the command in hand waits."""
        left_ms = wait_ms - max(0.0, now - self._command_ms)
        return max(left_ms, min(wait_ms, LEAST_LEFT_MS)) if self._command_queued else left_ms
