"""Estimates since when the bytes of a client's command may have been in the socket's buffer. No I/O.

A client counts its deadline from the first byte that it sends. The proxy may read that byte later: the
connection was not read or not accepted for a while, or the command comes slowly, in several reads.
"""

from __future__ import annotations

# The least time that a request keeps if its connection waited to be accepted. Of that wait only an upper
# bound is known, and a node may be told a deadline that is 0.15 s too long. The caller also subtracts the age
# of the bytes as far as the kernel knows it.
MIN_REMAINING_MS = 100.0


class CommandArrival:
    """Tracks when the current command of one connection came; all times in ms on the caller's clock."""

    __slots__ = (
        "_bytes_since_ms",
        "_bytes_waited_for_accept",
        "_command_since_ms",
        "_read_ms",
        "_unread_since_ms",
        "_unread_waited_for_accept",
        "first_byte_read_ms",
        "waited_for_accept",
    )

    def __init__(self) -> None:
        """Start with nothing read, and nothing unread."""
        self._read_ms = 0.0  # when bytes were read last
        self.first_byte_read_ms = 0.0  # when the first byte of the current command was read
        # The earliest times since which bytes may have been in the socket's buffer.
        self._command_since_ms = 0.0  # for the first byte of the current command
        self._bytes_since_ms = 0.0  # for the bytes that were read last
        # For the bytes that are read next; None if they are read as soon as they come.
        self._unread_since_ms: float | None = None
        # Whether each of these times includes a wait to be accepted, in the same order.
        self.waited_for_accept = False
        self._bytes_waited_for_accept = False
        self._unread_waited_for_accept = False

    @property
    def may_have_waited(self) -> bool:
        """Return whether the bytes that are read next may have been in the buffer for a while."""
        return self._unread_since_ms is not None

    def record_accepted(self, since_ms: float) -> None:
        """Record that the connection may have waited to be accepted since `since_ms`."""
        self._unread_since_ms = since_ms
        self._unread_waited_for_accept = True

    def record_reading_paused(self, now: float) -> None:
        """Record that the connection is not read from now on."""
        if self._unread_since_ms is None:
            self._unread_since_ms = now

    def record_buffer_empty(self) -> None:
        """Record that no byte is unread: what comes from now on is read when it comes."""
        self._unread_since_ms = None
        self._unread_waited_for_accept = False

    def record_read(self, now: float, begins_command: bool, unread_delay_ms: float = 0.0) -> None:
        """Record that bytes have been read.

        Args:
            now: the time in ms.
            begins_command: whether the bytes begin a command; False if a part of it was read before them.
            unread_delay_ms: how long the event loop was stalled; the bytes may have waited that long.
        """
        self._read_ms = now
        since_ms = now - unread_delay_ms
        if self._unread_since_ms is not None:
            since_ms = min(since_ms, self._unread_since_ms)
        self._bytes_since_ms = since_ms
        self._bytes_waited_for_accept = self._unread_waited_for_accept
        if begins_command:
            self.record_command_complete()

    def record_command_complete(self) -> None:
        """Record that the current command is complete; the next one began in the bytes read last."""
        self._command_since_ms = self._bytes_since_ms
        self.waited_for_accept = self._bytes_waited_for_accept
        self.first_byte_read_ms = self._read_ms

    def remaining_ms(self, now: float, timeout_ms: float) -> float:
        """Return the least time that is left of the client's timeout for the current command."""
        remaining_ms = timeout_ms - max(0.0, now - self._command_since_ms)
        if not self.waited_for_accept:
            return remaining_ms
        return max(remaining_ms, min(timeout_ms, MIN_REMAINING_MS))
