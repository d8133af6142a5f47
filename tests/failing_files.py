"""A disk in memory under the file calls of a storage: it fails, is cut off and forgets where a test says so.

`Disk` takes the place of a module's `os` and `fcntl`. It keeps apart what processes read (the page cache)
and what a power cut leaves: content lasts from an fsync on, names from a sync of their folder on. A power
cut may leave any of the sectors and the first few of the names that were written since. Where a sync fails,
its pages count as clean ones from then on: they can be read, and no later sync writes them.
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

Choice = Callable[[], bool]


class Killed(BaseException):
    """The process ends within a call: nothing that it does later has an effect."""


class Effect(Enum):
    """What a call has done when it fails."""

    NONE = "none"
    HALF = "half"  # of the bytes of a write; of any other call nothing
    WHOLE = "whole"


@dataclass(frozen=True)
class Fault:
    """At a call, counted from 0. `error`: None kills the process. `lasting`: all later calls fail too.
    `written`: bytes of a write that are in, in place of half of them."""

    call: int
    error: int | None
    effect: Effect = Effect.NONE
    lasting: bool = False
    written: int | None = None

    def strikes(self, call: int) -> bool:
        return call == self.call or (self.lasting and call > self.call)


@dataclass(eq=False)
class File:
    """`dirty`: the sectors that the next sync writes."""

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
        self._keep(self.dirty, len(self.content))
        self.dirty.clear()

    def sync_failed(self) -> None:
        self.dirty.clear()

    def evict(self) -> None:
        """Clean sectors are read from the disk again."""
        for sector in range(len(self.content) // SECTOR + 1):
            if sector not in self.dirty:
                start, end = sector * SECTOR, min((sector + 1) * SECTOR, len(self.content))
                self.content[start:end] = bytes(self.durable[start:end]).ljust(end - start, b"\0")

    def cut_power(self, chosen: Choice) -> None:
        kept = {sector for sector in sorted(self.dirty) if chosen()}
        grown = bool(kept) or chosen()
        self._keep(kept, len(self.content) if grown else len(self.durable))
        self.content = bytearray(self.durable)
        self.dirty.clear()

    def _keep(self, sectors: set[int], size: int) -> None:
        del self.durable[size:]
        self.durable.extend(bytes(size - len(self.durable)))
        for sector in sectors:
            part = self.content[sector * SECTOR : (sector + 1) * SECTOR]
            self.durable[sector * SECTOR : sector * SECTOR + len(part)] = part


Names = dict[str, Any]  # of files and folders


@dataclass(eq=False)
class Folder:
    """`pending`: the changes of names that the next sync makes durable, in order."""

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

    def cut_power(self, chosen: Choice) -> None:
        while self.pending and chosen():
            self.pending.pop(0)(self.durable)
        self.pending.clear()
        self.names = dict(self.durable)
        for node in self.names.values():
            node.cut_power(chosen)


@dataclass
class Opened:
    node: File | Folder
    place: int = 0


class Disk:
    """`calls`: what was called since the process began, a name each."""

    def __init__(self) -> None:
        self.root = Folder()
        self.calls: list[str] = []
        self.fault: Fault | None = None
        self.most_written = 1 << 30  # bytes of one write
        self._killed = False
        self.opened: dict[int, Opened] = {}  # by descriptor
        self._next_descriptor = FIRST_DESCRIPTOR
        self._locks: dict[int, int] = {}  # by the id of a file, which descriptor has it

    def __getattr__(self, name: str) -> Any:
        """Constants of both modules, and `strerror`."""
        if name.startswith("LOCK_"):
            return getattr(fcntl, name)
        if name.startswith("O_") or name == "strerror":
            return getattr(os, name)
        raise AttributeError(name)

    # What happens to the process and the machine

    def restart(self, fault: Fault | None = None) -> None:
        """The process has ended, and another begins."""
        self.opened.clear()
        self._locks.clear()
        self._killed = False
        self.calls, self.fault = [], fault

    def cut_power(self, chosen: Choice) -> None:
        self.root.cut_power(chosen)
        self.restart()

    def file(self, path: object) -> File:
        return self._find(path)

    def names(self, folder: object) -> list[str]:
        """Of the files in a folder."""
        return sorted(self._find(folder).names)

    # The calls

    def open(self, path: object, flags: int, mode: int = 0o777) -> int:
        return self._call("open", lambda: self._open(path, flags))

    def mkdir(self, path: object) -> None:
        def make() -> None:
            folder, name = self._parent(path)
            if name in folder.names:
                raise _error(errno.EEXIST)
            made = Folder()
            folder.change(lambda names: names.update({name: made}))

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
            opened = self.opened[descriptor]
            data = bytes(opened.node.content[opened.place : opened.place + size])
            opened.place += len(data)
            return data

        return self._call("read", read)

    def write(self, descriptor: int, data: bytes) -> int:
        node = self.opened[descriptor].node if not self._killed else File()
        data = bytes(data)[: self.most_written]

        def write() -> int:
            node.append(data)
            return len(data)

        def write_half() -> None:
            written = self.fault.written
            node.append(data[: len(data) // 2 if written is None else written])

        return self._call("write", write, write_half)

    def fsync(self, descriptor: int) -> None:
        self._sync(descriptor, "fsync")

    def fdatasync(self, descriptor: int) -> None:
        self._sync(descriptor, "fdatasync")

    def ftruncate(self, descriptor: int, size: int) -> None:
        self._call("ftruncate", lambda: self.opened[descriptor].node.truncate(size))

    def close(self, descriptor: int) -> None:
        def close() -> None:
            del self.opened[descriptor]
            self._locks = {file: held for file, held in self._locks.items() if held != descriptor}

        self._call("close", close, failed=close)  # the descriptor is free, whatever close says

    def flock(self, descriptor: int, operation: int) -> None:
        def lock() -> None:
            if self._locks.setdefault(id(self.opened[descriptor].node), descriptor) != descriptor:
                raise _error(errno.EAGAIN)

        self._call("flock", lock)

    # Steps

    def _sync(self, descriptor: int, name: str) -> None:
        if self._killed:
            raise Killed
        node = self.opened[descriptor].node
        self._call("folder sync" if isinstance(node, Folder) else name, node.sync, failed=node.sync_failed)

    def _call(
        self,
        name: str,
        work: Callable[[], Any],
        half: Callable[[], Any] = lambda: None,
        failed: Callable[[], Any] = lambda: None,
    ) -> Any:
        """`failed`: what an error without effect leaves."""
        if self._killed:
            raise Killed
        number, fault = len(self.calls), self.fault
        self.calls.append(name)
        if fault is None or not fault.strikes(number):
            return work()
        if fault.effect is Effect.WHOLE and name != "open":
            work()
        elif fault.effect is Effect.HALF:
            half()
        elif fault.error is not None:
            failed()
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
                made = File()
                folder.change(lambda names: names.update({name: made}))
            elif flags & os.O_EXCL:
                raise _error(errno.EEXIST)
            node = folder.names[name]
            if flags & os.O_TRUNC:
                node.truncate(0)
        self._next_descriptor += 1
        self.opened[self._next_descriptor] = Opened(node)
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
