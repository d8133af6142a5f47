"""Files and folders that survive a power cut: system calls in the order that makes content and names last.

Every function raises `OSError` where a call fails, and leaves no descriptor open then.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path

NEW_SUFFIX = ".new"
FILE_MODE = 0o600
READ_BYTES = 1 << 20  # of one read call


def make_folder(folder: Path) -> None:
    """Makes a folder and its parents durably. One that can't be made durable is removed again."""
    try:
        os.mkdir(folder)
    except FileExistsError:
        # An earlier process may have been killed between making the folder and syncing its parent. A parent
        # that this process may not read is not one in which it has made the folder.
        with contextlib.suppress(PermissionError):
            _sync_folder(folder.parent)
        return
    except FileNotFoundError:
        make_folder(folder.parent)
        os.mkdir(folder)
    try:
        _sync_folder(folder.parent)
    except OSError:
        # The next start would take a folder that exists for a durable one.
        with contextlib.suppress(OSError):
            os.rmdir(folder)
        raise


def lock_file(path: Path) -> int:
    """Takes an exclusive lock that lasts as long as the returned descriptor.

    Raises `BlockingIOError` where another process holds the lock.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        close_file(descriptor)
        raise
    return descriptor


def read_file(path: Path) -> bytes:
    """Returns the whole content of a file, b"" where there is none."""
    try:
        descriptor = os.open(path, os.O_RDONLY)
    except FileNotFoundError:
        return b""
    pieces = []
    try:
        while piece := os.read(descriptor, READ_BYTES):
            pieces.append(piece)
    finally:
        close_file(descriptor)
    return b"".join(pieces)


def replace_file(path: Path, content: bytes) -> int:
    """Puts a file with this content in the place of the old one, durably.

    Until the rename the old file is untouched. After it a power cut leaves either the old file under the name
    or the new one, both of which are whole. Returns a descriptor of the new file that appends.
    """
    new_path = path.with_name(path.name + NEW_SUFFIX)
    # A file of an earlier attempt must not be written again: a sync of it that failed has marked its pages as
    # clean, and no later sync would write them.
    with contextlib.suppress(FileNotFoundError):
        os.unlink(new_path)
    descriptor = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_APPEND, FILE_MODE)
    try:
        _write_all(descriptor, content)
        os.fsync(descriptor)
        os.rename(new_path, path)
        _sync_folder(path.parent)
    except OSError:
        close_file(descriptor)
        # Where the disk is full, the unfinished file takes space that is needed.
        with contextlib.suppress(OSError):
            os.unlink(new_path)
        raise
    return descriptor


def append(descriptor: int, data: bytes) -> None:
    """Appends to a file, and returns when the data is durable."""
    _write_all(descriptor, data)
    os.fdatasync(descriptor)


def close_file(descriptor: int) -> None:
    """Closes a descriptor; an error is ignored.

    All that must last has been synced before, and the descriptor is free whatever close returns.
    """
    with contextlib.suppress(OSError):
        os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    """Writes all the data, in as many calls as the system takes for it."""
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        if not written:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        remaining = remaining[written:]


def _sync_folder(folder: Path) -> None:
    """Makes the names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        close_file(descriptor)
