"""Wraps a connection's socket so that a transient error of the kernel does not close the connection.

Twisted closes a connection after any error of `recv` except EAGAIN, and after any of `send` except EAGAIN and
ENOBUFS. A shortage of memory is over a moment later, and must not lose the answers that are due on the
connection. So transient errors are reported to Twisted as EAGAIN.
"""

from __future__ import annotations

import errno
from typing import Any, Protocol

from cloverwell.system_calls import TRANSIENT_ERRORS


class TryAgainError(BlockingIOError):
    """A system call failed with a transient error, so whether there was data to read is not known."""


class ConnectedSocket(Protocol):
    """The methods of a connected socket that are used here; it may be a real or a simulated one."""

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Receives at most `size` bytes."""

    def send(self, data: bytes | memoryview, flags: int = 0, /) -> int:
        """Sends the first bytes of `data`, and returns how many it sent."""


class SteadySocket:
    """A socket whose `recv` and `send` raise `TryAgainError` where the same call may succeed later.

    Attributes:
        sent_bytes: how many bytes the kernel has taken, however they were written.

    """

    __slots__ = ("_socket", "sent_bytes")

    def __init__(self, connected: ConnectedSocket) -> None:
        """Wraps a connected socket."""
        self._socket = connected
        self.sent_bytes = 0

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Receives at most `size` bytes. Raises `TryAgainError` if the same call may succeed later."""
        try:
            return self._socket.recv(size, flags)
        except OSError as error:
            raise _translated(error) from None

    def send(self, data: bytes | memoryview, flags: int = 0) -> int:
        """Sends the first bytes of `data`, and returns how many it sent.

        Raises `TryAgainError` if the same call may succeed later.
        """
        try:
            sent_count = self._socket.send(data, flags)
        except OSError as error:
            raise _translated(error) from None
        self.sent_bytes += sent_count
        return sent_count

    def __getattr__(self, name: str) -> object:
        """Returns any other attribute of the wrapped socket."""
        return getattr(self._socket, name)


def _translated(error: OSError) -> OSError:
    if error.errno not in TRANSIENT_ERRORS:
        return error
    return TryAgainError(errno.EAGAIN, error.strerror)


def install_steady_socket(transport: Any) -> Any:
    """Wraps the socket of a transport in a `SteadySocket`, and returns the socket that the transport uses.

    A transport whose handle is not its `socket` attribute, such as one that writes to memory, is not changed,
    since it would not use a socket that is set there. The argument has no type, since real and simulated
    transports have no type in common.
    """
    handle = transport.getHandle()
    if getattr(transport, "socket", None) is not handle:
        return handle
    transport.socket = SteadySocket(transport.socket)
    return transport.socket
