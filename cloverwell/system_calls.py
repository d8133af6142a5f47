"""Classifies the error numbers of failed system calls: which side is at fault, and whether to try again."""

from __future__ import annotations

import errno
from enum import Enum, auto

from twisted.internet.error import ConnectError

# Errors of `read` and `write`: a momentary shortage of memory, or a signal. Nothing has been transferred.
TRANSIENT_ERRORS = frozenset({errno.EINTR, errno.ENOBUFS, errno.ENOMEM})

# Errors of `accept`: the next connection in the queue has ended, or a signal arrived. The one after it may be
# usable.
ABORTED_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)

# Errors of `socket` and `connect`: this machine cannot begin a connection to any server now.
SHORTAGE = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)

# Errors of `connect`: this machine has no route to the server, or forbids the connection. It may reach other
# servers.
UNREACHABLE = frozenset({errno.EACCES, errno.ENETDOWN, errno.ENETUNREACH, errno.EPERM})


class LocalFault(Enum):
    """Why this machine could not begin a connection. Nothing was sent, so the server is not at fault."""

    SHORTAGE = auto()  # descriptors, ports, buffers or memory have run out
    UNREACHABLE = auto()  # there is no route to the server, or the connection is not permitted


def connect_fault(error: BaseException | None) -> LocalFault | None:
    """Return this machine's fault if it could not open a connection, or None if the server is at fault.

    The error is an `OSError`, or one of Twisted's connection errors, which keep the number as `osError`.
    """
    number = getattr(error, "osError", None) or getattr(error, "errno", None)
    if number is None:
        # Twisted treats EAGAIN as a connection in progress; the socket then fails without an error number.
        # A timeout and a cancelled attempt have types of their own.
        return LocalFault.SHORTAGE if type(error) is ConnectError else None
    if number in SHORTAGE:
        return LocalFault.SHORTAGE
    return LocalFault.UNREACHABLE if number in UNREACHABLE else None
