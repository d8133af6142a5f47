"""File operations whose results survive a power cut, both the content of files and their names.

If a system call fails, the function raises `OSError` and leaves no descriptor open.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path

NEW_SUFFIX = ".new"
FILE_MODE = 0o600
READ_BYTES = 1 << 20  # the most bytes that one read call returns


def make_folder(folder: Path) -> None:
    """Makes a folder and its parents durably. A folder that can't be made durable is removed again."""
    try:
        os.mkdir(folder)
    except FileExistsError:
        # An earlier process may have been killed after making the folder and before syncing its parent. If
        # this process may not read the parent, that process didn't make the folder either.
        with contextlib.suppress(PermissionError):
            _sync_folder(folder.parent)
        return
    except FileNotFoundError:
        make_folder(folder.parent)
        os.mkdir(folder)
    try:
        _sync_folder(folder.parent)
    except OSError:
        # If the folder stayed, the next start would assume that it is durable.
        with contextlib.suppress(OSError):
            os.rmdir(folder)
        raise


def lock_file(path: Path) -> int:
    """Takes an exclusive lock on a file, which is held until the returned descriptor is closed.

    Raises `BlockingIOError` if another process holds the lock.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        close_file(descriptor)
        raise
    return descriptor


def read_file(path: Path) -> bytes:
    """Returns the whole content of a file, or b"" if there is no file."""
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
    """Replaces a file durably by a new one with this content, and returns a descriptor to append to it.

    Until the rename the old file is untouched. A power cut after the rename leaves either the old or the new
    file under the name, and both are complete.
    """
    new_path = path.with_name(path.name + NEW_SUFFIX)
    # A file left by an earlier attempt must not be reused: if its sync failed, the kernel has marked its
    # pages as clean, and no later sync would write them.
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
        # On a full disk, the unfinished file would take space that is needed.
        with contextlib.suppress(OSError):
            os.unlink(new_path)
        raise
    return descriptor


def append(descriptor: int, data: bytes) -> None:
    """Appends data to a file, and returns when the data is durable."""
    _write_all(descriptor, data)
    os.fdatasync(descriptor)


def close_file(descriptor: int) -> None:
    """Closes a descriptor and ignores an error.

    Data that must last was synced before, and the kernel frees the descriptor whatever close returns.
    """
    with contextlib.suppress(OSError):
        os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    """Writes all the data, in as many write calls as it takes."""
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        if not written:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        remaining = remaining[written:]


def _sync_folder(folder: Path) -> None:
    """Makes the names in a folder durable: those of files made, renamed or removed in it."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        close_file(descriptor)
