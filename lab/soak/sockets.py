"""Which connections of clients a process holds, by what the kernel says of its descriptors."""

from __future__ import annotations

import contextlib
import os
import re
from pathlib import Path

SOCKET = re.compile(r"socket:\[(\d+)\]")
LISTENING = "0A"  # the state in /proc/net/tcp


def held_peers(pid: int, port: int) -> set[int]:
    """Return the ports of the clients whose connections to a local port the process has a descriptor of.

    A process that has ended holds none.
    """
    inodes = _socket_inodes(pid)
    found = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        local, remote, state, inode = fields[1], fields[2], fields[3], fields[9]
        if state != LISTENING and inode in inodes and _port(local) == port:
            found.add(_port(remote))
    return found


def _port(address: str) -> int:
    return int(address.partition(":")[2], 16)


def _socket_inodes(pid: int) -> set[str]:
    inodes = set()
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(FileNotFoundError, ProcessLookupError):
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                if match := SOCKET.fullmatch(os.readlink(f"{folder}/{name}")):
                    inodes.add(match[1])
    return inodes
