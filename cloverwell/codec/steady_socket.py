"""A connection's socket on which a momentary error looks like EAGAIN.

Twisted ends a connection at any error of `recv` except EAGAIN, and at any of `send` except EAGAIN and
ENOBUFS. A want of memory is over a moment later, and must not lose the answers that are owed on the
connection.
"""

from __future__ import annotations

import errno
from typing import Any, Protocol

from cloverwell.system_calls import TRANSIENT_ERRORS


class TryAgainError(BlockingIOError):
    """The call failed for the moment; what it would have found is not known."""


class ConnectedSocket(Protocol):
    """What is called of the socket under a transport: a real one, or a simulated one."""

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Receives at most `size` bytes."""

    def send(self, data: bytes | memoryview, flags: int = 0, /) -> int:
        """Sends the first bytes of `data`, and returns how many."""


class SteadySocket:
    """A socket whose `recv` and `send` raise `TryAgainError` where the same call may succeed later."""

    __slots__ = ("_socket",)

    def __init__(self, connected: ConnectedSocket) -> None:
        """Wraps a connected socket."""
        self._socket = connected

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Receives at most `size` bytes. Raises `TryAgainError` if the same call may succeed later."""
        try:
            return self._socket.recv(size, flags)
        except OSError as error:
            raise _translated(error) from None

    def send(self, data: bytes | memoryview, flags: int = 0) -> int:
        """Sends the first bytes of `data`. Raises `TryAgainError` if the same call may succeed later."""
        try:
            return self._socket.send(data, flags)
        except OSError as error:
            raise _translated(error) from None

    def __getattr__(self, name: str) -> object:
        """Returns all else of the wrapped socket."""
        return getattr(self._socket, name)


def _translated(error: OSError) -> OSError:
    if error.errno not in TRANSIENT_ERRORS:
        return error
    return TryAgainError(errno.EAGAIN, error.strerror)


def install_steady_socket(transport: Any) -> Any:
    """Has the transport use its socket as a `SteadySocket`, and returns the handle.

    A transport whose handle is not its `socket` attribute, such as one that keeps what is written in memory,
    stays as it is: it would not use a socket that is put there. Real and simulated transports share no type.
    """
    handle = transport.getHandle()
    if getattr(transport, "socket", None) is not handle:
        return handle
    transport.socket = SteadySocket(transport.socket)
    return transport.socket
