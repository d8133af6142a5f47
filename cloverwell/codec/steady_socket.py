"""A connection's socket, on which an error that passes reads as `not now`.

Twisted ends a connection at any error of `recv` but EAGAIN, and at any of `send` but EAGAIN and ENOBUFS. For
want of memory, which is over a moment later, that would lose what is owed on it.
"""

from __future__ import annotations

import errno
from typing import Any, Protocol

from cloverwell.system_calls import MOMENTARY


class TryAgainError(BlockingIOError):
    """The call could not be made; what it would have found is not known."""


class ConnectedSocket(Protocol):
    """What is called of the socket under a transport; the machine's, or one that stands for it."""

    def recv(self, size: int, flags: int = 0, /) -> bytes: ...

    def send(self, data: bytes | memoryview, flags: int = 0, /) -> int: ...


class SteadySocket:
    """A socket whose `recv` and `send` raise `TryAgainError` where the same call may succeed later."""

    __slots__ = ("_socket",)

    def __init__(self, connected: ConnectedSocket) -> None:
        self._socket = connected

    def recv(self, size: int, flags: int = 0) -> bytes:
        try:
            return self._socket.recv(size, flags)
        except OSError as error:
            raise _read_as(error) from None

    def send(self, data: bytes | memoryview, flags: int = 0) -> int:
        try:
            return self._socket.send(data, flags)
        except OSError as error:
            raise _read_as(error) from None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)


def _read_as(error: OSError) -> OSError:
    if error.errno not in MOMENTARY:
        return error
    return TryAgainError(errno.EAGAIN, error.strerror)


def steady(transport: Any) -> Any:
    """Has the transport use its socket so, and gives the handle.

    A transport whose handle is not its `socket` attribute, such as one that keeps what is written in memory,
    stays as it is: what is put there would not be used."""
    handle = transport.getHandle()
    if getattr(transport, "socket", None) is handle:
        handle = transport.socket = SteadySocket(handle)
    return handle
