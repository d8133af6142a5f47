"""A control node's state in a file: one checked record a write, durable before `write` returns.

The file is a sequence of records (`records.py`), the body of each a `Write` in MessagePack. A torn record
at the end was never acknowledged, and is dropped at the next start. With any other damage the state can't
be trusted, and the node must not vote by it.

A file is begun anew under another name, which takes the place of the old one only when it is whole and
durable. This happens at a write with a snapshot, and at each start. At a start because what is read may
never have reached the disk: where an fsync fails, the kernel may keep the pages as clean ones, so that they
can be read, and a later fsync has nothing to write and returns. For the same reason nothing is written any
more after a failure: the node ends, and what the file amounts to is found out at the next start.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path

import msgspec

from cloverwell.control.server.records import DamagedRecordError, Record, encode_record, sound_records
from cloverwell.control.storage import StorageError, StoredState, Write

FILE_NAME = "control.log"
NEW_SUFFIX = ".new"
LOCK_NAME = "lock"
FILE_MODE = 0o600
READ_BYTES = 1 << 20  # at a time

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Write)


class FileStorage:
    """Storage in a folder of its own, which no other process may use at the same time."""

    def __init__(self, folder: Path) -> None:
        """Makes the folder where there is none. Raises `StorageError`."""
        self._path = folder / FILE_NAME
        self._lock: int | None = None
        self._file: int | None = None
        self._failure = ""  # the first; nothing is written after it
        self.dropped_bytes = 0  # of a record that a crash had torn
        try:
            _make_folder(folder)
            self._lock = _lock(folder / LOCK_NAME)
            content = _read(self._path)
            self._state, sound = self._recover(content)
            self._file = _replace(self._path, content[:sound])
        except OSError as error:
            self.close()
            raise StorageError(f"{folder}: {error.strerror}") from None
        except StorageError:
            self.close()
            raise

    def load(self) -> StoredState:
        """What is stored, and durable."""
        return self._state

    def write(self, write: Write) -> None:
        """Returns when the change would survive a crash. Raises `StorageError`: the node must stop then, and
        each later write is refused."""
        if self._failure:
            raise StorageError(f"{self._path}: nothing is written after a failure: {self._failure}")
        state = self._state.after(write)
        try:
            if write.snapshot is None:
                self._append(write)
            else:
                self._begin_anew(state)
        except OSError as error:
            self._failure = error.strerror or str(error)
            raise StorageError(f"{self._path}: {self._failure}") from None
        self._state = state

    def close(self) -> None:
        """Gives the folder back. What is durable stays so, whatever the disk says to it."""
        for descriptor in (self._file, self._lock):
            if descriptor is not None:
                _close(descriptor)
        self._file = self._lock = None

    def _recover(self, content: bytes) -> tuple[StoredState, int]:
        """The state after all sound records, and where they end."""
        state, end = StoredState(), 0
        try:
            for record in sound_records(content):
                state = state.after(self._decode(record))
                end = record.end
        except DamagedRecordError as error:
            raise StorageError(f"{self._path}: {error}") from None
        self.dropped_bytes = len(content) - end
        return state, end

    def _decode(self, record: Record) -> Write:
        try:
            return _decoder.decode(record.body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            text = f"the record at byte {record.start} is malformed: {error}"
            raise StorageError(f"{self._path}: {text}") from None

    def _append(self, write: Write) -> None:
        assert self._file is not None
        _write_all(self._file, _record(write))
        os.fdatasync(self._file)

    def _begin_anew(self, state: StoredState) -> None:
        """A new file with the whole state as its one record."""
        whole = Write(state.term, state.vote, None, state.entries, state.snapshot)
        old, self._file = self._file, _replace(self._path, _record(whole))
        assert old is not None
        _close(old)


def _record(write: Write) -> bytes:
    return encode_record(_encoder.encode(write))


def _make_folder(folder: Path) -> None:
    """Makes it durable with all above it; one that can't be made durable is taken back."""
    try:
        os.mkdir(folder)
    except FileExistsError:
        with contextlib.suppress(PermissionError):  # who may not read the parent has not made a name there
            _sync_folder(folder.parent)  # a kill may have come before
        return
    except FileNotFoundError:
        _make_folder(folder.parent)
        os.mkdir(folder)
    try:
        _sync_folder(folder.parent)
    except OSError:
        with contextlib.suppress(OSError):
            os.rmdir(folder)  # or the next start would take it for durable
        raise


def _read(path: Path) -> bytes:
    """The whole file; nothing where there is none."""
    try:
        file = os.open(path, os.O_RDONLY)
    except FileNotFoundError:
        return b""
    pieces = []
    try:
        while piece := os.read(file, READ_BYTES):
            pieces.append(piece)
    finally:
        _close(file)
    return b"".join(pieces)


def _replace(path: Path, content: bytes) -> int:
    """Puts a file with this content in the place of the old one, durably; its descriptor, to append to.

    Before the rename the old file stands untouched; after it both names that a power cut may leave are sound.
    """
    new_path = path.with_name(path.name + NEW_SUFFIX)
    with contextlib.suppress(FileNotFoundError):
        os.unlink(new_path)  # a file of its own: pages of an earlier one may have failed
    file = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_APPEND, FILE_MODE)
    try:
        _write_all(file, content)
        os.fsync(file)
        os.rename(new_path, path)
        _sync_folder(path.parent)
    except OSError:
        _close(file)
        with contextlib.suppress(OSError):
            os.unlink(new_path)  # its space may be what is missing
        raise
    return file


def _write_all(file: int, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        written = os.write(file, rest)
        if not written:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        rest = rest[written:]


def _sync_folder(folder: Path) -> None:
    """Makes new names in the folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        _close(descriptor)


def _lock(path: Path) -> int:
    """An exclusive lock, held as long as the descriptor. Raises `StorageError` if another process has it."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        _close(descriptor)
        raise StorageError(f"{path.parent}: another process uses it") from None
    except OSError:
        _close(descriptor)
        raise
    return descriptor


def _close(descriptor: int) -> None:
    """All that must last has been synced before: an error says nothing more, and the descriptor is free."""
    with contextlib.suppress(OSError):
        os.close(descriptor)
