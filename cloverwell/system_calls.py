"""What the error number of a failed system call says: whose fault it is, and whether it passes. No I/O."""

from __future__ import annotations

import errno
from enum import Enum, auto

from twisted.internet.error import ConnectError

# Of a read or a write: the machine is short of memory for a moment, or a signal came; nothing has happened.
MOMENTARY = frozenset({errno.EINTR, errno.ENOBUFS, errno.ENOMEM})

# Of `accept`: the connection that was next has ended, or a signal came. The one behind it may be sound.
NEXT_CONNECTION = frozenset(
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

# Of `socket` and `connect`: no connection to any server can be begun now.
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

# Of `connect`: this machine knows no way there, or forbids it; other servers may be reached.
NO_WAY = frozenset({errno.EACCES, errno.ENETDOWN, errno.ENETUNREACH, errno.EPERM})


class LocalFault(Enum):
    """Why this machine could not begin a connection. The server has not been asked, and is not to blame."""

    SHORTAGE = auto()  # of descriptors, ports, buffers or memory
    NO_WAY = auto()


def connect_fault(error: BaseException | None) -> LocalFault | None:
    """This machine's own fault in a connection that did not come up; None where the server is to blame."""
    number = getattr(error, "osError", None) or getattr(error, "errno", None)
    if number is None:
        # Twisted takes EAGAIN for a connection on its way; the socket then ends without an error number.
        # A time-out and a call that was given up have types of their own.
        return LocalFault.SHORTAGE if type(error) is ConnectError else None
    if number in SHORTAGE:
        return LocalFault.SHORTAGE
    return LocalFault.NO_WAY if number in NO_WAY else None
