"""Since when the bytes of a client's connection may have been there: decisions without I/O.

A client counts its time from the first byte that it sends. The proxy reads that byte later: behind a time in
which it did not read the connection, and as the first of a command that comes slowly.
"""

from __future__ import annotations


class Arrival:
    """Of one connection; all times in ms on the caller's clock."""

    __slots__ = ("_command_ms", "_read_ms", "_unread_since_ms")

    def __init__(self) -> None:
        self._command_ms = 0.0  # the first byte of the command in hand
        self._read_ms = 0.0  # the bytes that were read last
        self._unread_since_ms: float | None = None  # nobody has looked since

    def not_read(self, now: float) -> None:
        """The connection is not read from now on."""
        if self._unread_since_ms is None:
            self._unread_since_ms = now

    def nothing_there(self) -> None:
        """A look has shown that no byte waits: what comes from now on comes when it is read."""
        self._unread_since_ms = None

    def read(self, now: float, begins: bool, behind_ms: float = 0.0) -> None:
        """Bytes have been read; `begins`: they begin a command, no part of one was in hand; `behind_ms`: the
        loop was held up for so long, and they may have been there as long."""
        since_ms = now - behind_ms
        if self._unread_since_ms is not None:
            since_ms = min(since_ms, self._unread_since_ms)
        self._read_ms = since_ms
        if begins:
            self._command_ms = self._read_ms

    def ended(self) -> None:
        """The command in hand is whole: what stands behind it came with the last bytes."""
        self._command_ms = self._read_ms

    def age_ms(self, now: float) -> float:
        """How long the command in hand may have been on its way, at the most."""
        return max(0.0, now - self._command_ms)
