"""Unix sockets in a folder of any length, and who stands at the other end."""

import contextlib
import os
import socket
import struct
from collections.abc import Iterator

LONGEST = 100  # bytes of a path that a Unix socket's address holds


@contextlib.contextmanager
def short(path: str) -> Iterator[str]:
    """The path by another name, where it is too long for an address; good for as long as the context."""
    if len(os.fsencode(path)) <= LONGEST:
        yield path
        return
    folder, name = os.path.split(path)
    held = os.open(folder, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{held}/{name}"
    finally:
        os.close(held)


def clear(path: str) -> None:
    """Removes a socket that nobody listens at: who made it was killed."""
    with short(path) as name, socket.socket(socket.AF_UNIX) as probe, contextlib.suppress(OSError):
        try:
            probe.connect(name)
        except ConnectionRefusedError:
            os.unlink(name)


def is_ours(connection: socket.socket) -> bool:
    """The other end is a process of the same user."""
    told = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return struct.unpack("3i", told)[1] == os.geteuid()
