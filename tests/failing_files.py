"""A simulated disk for tests of storage, which can fail at any call and lose data in a power cut.

`Disk` replaces a module's `os` and `fcntl`. It distinguishes what processes read (the page cache) from what
survives a power cut: content is durable after an fsync, and names after a sync of their folder. Of later
changes, a power cut may leave any of the sectors and the first few of the names. If a sync fails, its pages
count as clean from then on: they can be read, but no later sync writes them.
"""

from __future__ import annotations

import errno
import fcntl
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

SECTOR = 512
FIRST_DESCRIPTOR = 1000
ROOT = "/"

Choice = Callable[[], bool]  # returns whether the next change survives a power cut


class Killed(BaseException):
    """The process is killed during a call. No later call of it has an effect."""


class Effect(Enum):
    """The part of its work that a failing call has done."""

    NONE = "none"
    HALF = "half"  # A write has written half of its bytes, any other call has done nothing.
    WHOLE = "whole"


@dataclass(frozen=True)
class Fault:
    """A failure at the call of this number, counted from 0.

    An `error` of None kills the process. If `permanent` is set, all later calls fail too. `written_bytes` are
    the bytes that a failing write has written, instead of half of them.
    """

    call: int
    error: int | None
    effect: Effect = Effect.NONE
    permanent: bool = False
    written_bytes: int | None = None

    def applies_to(self, call: int) -> bool:
        """Returns whether the call of this number fails."""
        return call == self.call or (self.permanent and call > self.call)


@dataclass(eq=False)
class File:
    """A file. `content` is what processes read, `durable` what is on the disk.

    `dirty` are the sectors that the next sync writes.
    """

    content: bytearray = field(default_factory=bytearray)
    durable: bytearray = field(default_factory=bytearray)
    dirty: set[int] = field(default_factory=set)

    def append(self, data: bytes) -> None:
        start = len(self.content)
        self.content += data
        if data:
            self.dirty.update(range(start // SECTOR, (len(self.content) - 1) // SECTOR + 1))

    def truncate(self, size: int) -> None:
        del self.content[size:]
        self.dirty = {sector for sector in self.dirty if sector * SECTOR < size}

    def sync(self) -> None:
        self._make_durable(self.dirty, len(self.content))
        self.dirty.clear()

    def sync_failed(self) -> None:
        self.dirty.clear()

    def evict(self) -> None:
        """Drops the clean sectors from the page cache, so that they are read from the disk again."""
        for sector in range(len(self.content) // SECTOR + 1):
            if sector not in self.dirty:
                start, end = sector * SECTOR, min((sector + 1) * SECTOR, len(self.content))
                self.content[start:end] = bytes(self.durable[start:end]).ljust(end - start, b"\0")

    def cut_power(self, choose: Choice) -> None:
        kept_sectors = {sector for sector in sorted(self.dirty) if choose()}
        size_kept = bool(kept_sectors) or choose()
        self._make_durable(kept_sectors, len(self.content) if size_kept else len(self.durable))
        self.content = bytearray(self.durable)
        self.dirty.clear()

    def _make_durable(self, sectors: set[int], size: int) -> None:
        del self.durable[size:]
        self.durable.extend(bytes(size - len(self.durable)))
        for sector in sectors:
            part = self.content[sector * SECTOR : (sector + 1) * SECTOR]
            self.durable[sector * SECTOR : sector * SECTOR + len(part)] = part


Names = dict[str, Any]  # the files and folders in a folder, by name


@dataclass(eq=False)
class Folder:
    """A folder. `names` is what processes see, `durable` what is on the disk.

    `pending` are the changes of names that the next sync makes durable, in order.
    """

    names: Names = field(default_factory=dict)
    durable: Names = field(default_factory=dict)
    pending: list[Callable[[Names], None]] = field(default_factory=list)

    def change(self, change: Callable[[Names], None]) -> None:
        change(self.names)
        self.pending.append(change)

    def sync(self) -> None:
        while self.pending:
            self.pending.pop(0)(self.durable)

    def sync_failed(self) -> None:
        self.pending.clear()

    def evict(self) -> None:
        for node in self.names.values():
            node.evict()

    def cut_power(self, choose: Choice) -> None:
        while self.pending and choose():
            self.pending.pop(0)(self.durable)
        self.pending.clear()
        self.names = dict(self.durable)
        for node in self.names.values():
            node.cut_power(choose)


@dataclass
class OpenFile:
    """An open file or folder, and the offset of the next read."""

    node: File | Folder
    offset: int = 0


class Disk:
    """A disk with the calls of `os` and `fcntl`. `calls` names the calls since the last restart."""

    def __init__(self) -> None:
        self.root = Folder()
        self.calls: list[str] = []
        self.fault: Fault | None = None
        self.max_write_bytes = 1 << 30  # the most bytes that one write call takes
        self._killed = False
        self.open_files: dict[int, OpenFile] = {}  # by descriptor
        self._next_descriptor = FIRST_DESCRIPTOR
        self._locks: dict[int, int] = {}  # the descriptor that holds the lock, by the id of the file

    def __getattr__(self, name: str) -> Any:
        """Returns a constant of either module, or `strerror`."""
        if name.startswith("LOCK_"):
            return getattr(fcntl, name)
        if name.startswith("O_") or name == "strerror":
            return getattr(os, name)
        raise AttributeError(name)

    # Events of the process and the machine

    def restart(self, fault: Fault | None = None) -> None:
        """Ends the process, and starts another one whose calls meet this fault."""
        self.open_files.clear()
        self._locks.clear()
        self._killed = False
        self.calls, self.fault = [], fault

    def cut_power(self, choose: Choice) -> None:
        self.root.cut_power(choose)
        self.restart()

    def file(self, path: object) -> File:
        return self._find(path)

    def names(self, folder: object) -> list[str]:
        """Returns the sorted names of the files in a folder."""
        return sorted(self._find(folder).names)

    # The calls of `os` and `fcntl`

    def open(self, path: object, flags: int, mode: int = 0o777) -> int:
        return self._call("open", lambda: self._open(path, flags))

    def mkdir(self, path: object) -> None:
        def make() -> None:
            folder, name = self._parent(path)
            if name in folder.names:
                raise _error(errno.EEXIST)
            new_folder = Folder()
            folder.change(lambda names: names.update({name: new_folder}))

        self._call("mkdir", make)

    def rmdir(self, path: object) -> None:
        self.unlink(path)

    def unlink(self, path: object) -> None:
        def remove() -> None:
            folder, name = self._parent(path)
            if name not in folder.names:
                raise _error(errno.ENOENT)
            folder.change(lambda names: names.pop(name, None))

        self._call("unlink", remove)

    def rename(self, path: object, new_path: object) -> None:
        def rename() -> None:
            (folder, name), (_, new_name) = self._parent(path), self._parent(new_path)
            node = folder.names[name]

            def change(names: Names) -> None:
                names.pop(name, None)
                names[new_name] = node

            folder.change(change)

        self._call("rename", rename)

    def read(self, descriptor: int, size: int) -> bytes:
        def read() -> bytes:
            open_file = self.open_files[descriptor]
            data = bytes(open_file.node.content[open_file.offset : open_file.offset + size])
            open_file.offset += len(data)
            return data

        return self._call("read", read)

    def write(self, descriptor: int, data: bytes) -> int:
        node = self.open_files[descriptor].node if not self._killed else File()
        data = bytes(data)[: self.max_write_bytes]

        def write() -> int:
            node.append(data)
            return len(data)

        def write_half() -> None:
            written_bytes = self.fault.written_bytes
            node.append(data[: len(data) // 2 if written_bytes is None else written_bytes])

        return self._call("write", write, write_half)

    def fsync(self, descriptor: int) -> None:
        self._sync(descriptor, "fsync")

    def fdatasync(self, descriptor: int) -> None:
        self._sync(descriptor, "fdatasync")

    def ftruncate(self, descriptor: int, size: int) -> None:
        self._call("ftruncate", lambda: self.open_files[descriptor].node.truncate(size))

    def close(self, descriptor: int) -> None:
        def close() -> None:
            del self.open_files[descriptor]
            self._locks = {file: holder for file, holder in self._locks.items() if holder != descriptor}

        self._call("close", close, failed_action=close)  # A failed close frees the descriptor too.

    def flock(self, descriptor: int, operation: int) -> None:
        def lock() -> None:
            if self._locks.setdefault(id(self.open_files[descriptor].node), descriptor) != descriptor:
                raise _error(errno.EAGAIN)

        self._call("flock", lock)

    # Internals

    def _sync(self, descriptor: int, name: str) -> None:
        if self._killed:
            raise Killed
        node = self.open_files[descriptor].node
        self._call(
            "folder sync" if isinstance(node, Folder) else name, node.sync, failed_action=node.sync_failed
        )

    def _call(
        self,
        name: str,
        action: Callable[[], Any],
        half_action: Callable[[], Any] = lambda: None,
        failed_action: Callable[[], Any] = lambda: None,
    ) -> Any:
        """Records a call and does its action, unless the fault applies to it.

        `half_action` is done for a fault with half an effect, `failed_action` for an error without effect.
        """
        if self._killed:
            raise Killed
        number, fault = len(self.calls), self.fault
        self.calls.append(name)
        if fault is None or not fault.applies_to(number):
            return action()
        if fault.effect is Effect.WHOLE and name != "open":
            action()
        elif fault.effect is Effect.HALF:
            half_action()
        elif fault.error is not None:
            failed_action()
        if fault.error is None:
            self._killed = True
            raise Killed
        raise _error(fault.error)

    def _open(self, path: object, flags: int) -> int:
        if str(path) == ROOT:
            node = self.root
        else:
            folder, name = self._parent(path)
            if name not in folder.names:
                if not flags & os.O_CREAT:
                    raise _error(errno.ENOENT)
                new_file = File()
                folder.change(lambda names: names.update({name: new_file}))
            elif flags & os.O_EXCL:
                raise _error(errno.EEXIST)
            node = folder.names[name]
            if flags & os.O_TRUNC:
                node.truncate(0)
        self._next_descriptor += 1
        self.open_files[self._next_descriptor] = OpenFile(node)
        return self._next_descriptor

    def _parent(self, path: object) -> tuple[Folder, str]:
        folder_path, _, name = str(path).rpartition("/")
        folder = self._find(folder_path or ROOT)
        if not isinstance(folder, Folder):
            raise _error(errno.ENOTDIR)
        return folder, name

    def _find(self, path: object) -> Any:
        node: Any = self.root
        for name in filter(None, str(path).split("/")):
            if name not in node.names:
                raise _error(errno.ENOENT)
            node = node.names[name]
        return node


def _error(number: int) -> OSError:
    return OSError(number, os.strerror(number))
