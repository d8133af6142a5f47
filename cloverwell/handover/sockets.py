"""Unix sockets at paths of any length, and the user of the process at their other end."""

import contextlib
import os
import socket
import struct
from collections.abc import Iterator

MAX_SOCKET_PATH_BYTES = 100  # A Unix socket's address has 108 bytes; a few of them stay unused.
_PEER_CREDENTIALS = struct.Struct("3i")  # Process, user and group, as in `struct ucred` of unix(7).


@contextlib.contextmanager
def short_path(path: str) -> Iterator[str]:
    """Yield a path to the same socket that fits an address; it is valid only within the context.

    A path that is too long is replaced by one through a descriptor of its folder.
    """
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield path
        return
    folder, name = os.path.split(path)
    folder_descriptor = os.open(folder, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder_descriptor}/{name}"
    finally:
        os.close(folder_descriptor)


def remove_stale_socket(path: str) -> None:
    """Remove a socket at which no process listens, because the process that made it was killed."""
    with short_path(path) as name, socket.socket(socket.AF_UNIX) as probe, contextlib.suppress(OSError):
        try:
            probe.connect(name)
        except ConnectionRefusedError:
            os.unlink(name)


def is_same_user(connection: socket.socket) -> bool:
    """Return whether the process at the other end runs as the same user as this one."""
    credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size)
    _, user, _ = _PEER_CREDENTIALS.unpack(credentials)
    return bool(user == os.geteuid())
