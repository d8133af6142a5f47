"""Since when the bytes of a client's command may have been in the socket's buffer: decisions without I/O.

A client counts its deadline from the first byte that it sends. The proxy may read that byte later: the
connection was not read or not accepted for a while, or the command comes slowly, in several reads.
"""

from __future__ import annotations

# What a request keeps of its time at the least if its connection waited to be accepted, however long that
# may have been. A node may be told 0.15 s too much. What the kernel knows of the bytes' age takes more off.
MIN_REMAINING_MS = 100.0


class CommandArrival:
    """When the current command of one connection came; all times in ms on the caller's clock."""

    __slots__ = (
        "_bytes_queued",
        "_bytes_since_ms",
        "_command_since_ms",
        "_read_ms",
        "_unread_queued",
        "_unread_since_ms",
        "first_byte_read_ms",
        "waited_for_accept",
    )

    def __init__(self) -> None:
        """Start with nothing read, and nothing unread."""
        self._read_ms = 0.0  # when bytes were read last
        self.first_byte_read_ms = 0.0  # when the first byte of the current command was read
        # Since when these may have been in the socket's buffer:
        self._command_since_ms = 0.0  # the first byte of the current command,
        self._bytes_since_ms = 0.0  # the bytes that were read last,
        self._unread_since_ms: float | None = None  # and what is read next, if reading was paused.
        # Whether that time includes waiting to be accepted.
        self.waited_for_accept = False
        self._bytes_queued = False
        self._unread_queued = False

    @property
    def may_have_waited(self) -> bool:
        """Whether what is read next may have been in the buffer before."""
        return self._unread_since_ms is not None

    def record_accepted(self, since_ms: float) -> None:
        """Record that the connection waited to be accepted, since then at the earliest."""
        self._unread_since_ms = since_ms
        self._unread_queued = True

    def record_reading_paused(self, now: float) -> None:
        """Record that the connection is not read from now on."""
        if self._unread_since_ms is None:
            self._unread_since_ms = now

    def record_buffer_empty(self) -> None:
        """Record that no byte is unread: what comes from now on is read when it comes."""
        self._unread_since_ms = None
        self._unread_queued = False

    def record_read(self, now: float, begins_command: bool, unread_delay_ms: float = 0.0) -> None:
        """Record that bytes have been read.

        Args:
            now: the time in ms.
            begins_command: no part of a command came before them.
            unread_delay_ms: the event loop was stalled for so long, and they may have been there as long.
        """
        self._read_ms = now
        since_ms = now - unread_delay_ms
        if self._unread_since_ms is not None:
            since_ms = min(since_ms, self._unread_since_ms)
        self._bytes_since_ms = since_ms
        self._bytes_queued = self._unread_queued
        if begins_command:
            self.record_command_complete()

    def record_command_complete(self) -> None:
        """Record that the current command is complete: the next one came with the last bytes."""
        self._command_since_ms = self._bytes_since_ms
        self.waited_for_accept = self._bytes_queued
        self.first_byte_read_ms = self._read_ms

    def remaining_ms(self, now: float, timeout_ms: float) -> float:
        """Return what is left at the least of the client's timeout for the current command."""
        remaining_ms = timeout_ms - max(0.0, now - self._command_since_ms)
        if not self.waited_for_accept:
            return remaining_ms
        return max(remaining_ms, min(timeout_ms, MIN_REMAINING_MS))
