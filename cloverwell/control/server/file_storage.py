"""A control node's state in a file: one checked record a write, durable before `write` returns.

The file is a sequence of records, each a header and a body:

    length           4 bytes, unsigned, big-endian: bytes of the body
    body checksum    4 bytes, CRC-32 of the body
    header checksum  4 bytes, CRC-32 of the 8 bytes before
    body             a `Write` in MessagePack

One write is one record, so a crash leaves at most the last record torn; that one was never acknowledged, and
is dropped at the next start. A damaged record with others behind it is no crash's work: the state can't be
trusted, and the node must not vote by it. The header has a checksum of its own, or a damaged length would
make all that follows look like one torn record. A write with a snapshot begins the file anew under another
name, which takes the place of the old one only when it is whole.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
import zlib
from pathlib import Path

import msgspec

from cloverwell.control.storage import StorageError, StoredState, Write

HEADER = struct.Struct(">III")
CHECKED_BYTES = 8  # of the header
FILE_NAME = "control.log"
NEW_SUFFIX = ".new"
LOCK_NAME = "lock"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Write)


class FileStorage:
    """Storage in a folder of its own, which no other process may use at the same time."""

    def __init__(self, folder: Path) -> None:
        """Makes the folder where there is none. Raises `StorageError`."""
        self._path = folder / FILE_NAME
        self.dropped_bytes = 0  # of a record that a crash had torn
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = _lock(folder / LOCK_NAME)
            self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
            _sync_folder(folder)
            self._state = self._recover()
        except OSError as error:
            raise StorageError(f"{folder}: {error.strerror}") from None

    def load(self) -> StoredState:
        """What is stored."""
        return self._state

    def write(self, write: Write) -> None:
        """Returns when the change would survive a crash. Raises `StorageError`: the node must stop then."""
        self._state = self._state.after(write)
        try:
            if write.snapshot is None:
                _write_all(self._file, _record(write))
                os.fdatasync(self._file)
            else:
                self._begin_anew()
        except OSError as error:
            raise StorageError(f"{self._path}: {error.strerror}") from None

    def close(self) -> None:
        """Gives the folder back."""
        os.close(self._file)
        os.close(self._lock)

    def _recover(self) -> StoredState:
        """The state after all sound records; a torn one at the end is cut off."""
        content = self._path.read_bytes()
        state, start = StoredState(), 0
        while (body := self._body(content, start)) is not None:
            state = state.after(self._decode(body, start))
            start += HEADER.size + len(body)
        self.dropped_bytes = len(content) - start
        if self.dropped_bytes:
            os.ftruncate(self._file, start)
            os.fsync(self._file)
        return state

    def _body(self, content: bytes, start: int) -> bytes | None:
        """Of the record that begins at `start`; None where it is torn, or there is none."""
        header = content[start : start + HEADER.size]
        if len(header) < HEADER.size:
            return None
        length, body_checksum, header_checksum = HEADER.unpack(header)
        if zlib.crc32(header[:CHECKED_BYTES]) != header_checksum:
            if any(content[start:]):
                raise self._damaged(start)
            return None  # the file had grown, and nothing had been written there yet
        end = start + HEADER.size + length
        body = content[start + HEADER.size : end]
        if len(body) < length:
            return None
        if zlib.crc32(body) != body_checksum:
            if end < len(content):
                raise self._damaged(start)
            return None
        return body

    def _damaged(self, start: int) -> StorageError:
        return StorageError(f"{self._path}: the record at byte {start} is damaged")

    def _decode(self, body: bytes, start: int) -> Write:
        try:
            return _decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise StorageError(f"{self._path}: the record at byte {start} is malformed: {error}") from None

    def _begin_anew(self) -> None:
        """A new file with the whole state as its one record."""
        state = self._state
        new_path = self._path.with_name(FILE_NAME + NEW_SUFFIX)
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        new_file = os.open(new_path, flags, 0o600)
        _write_all(new_file, _record(Write(state.term, state.vote, None, state.entries, state.snapshot)))
        os.fsync(new_file)
        os.rename(new_path, self._path)
        _sync_folder(self._path.parent)
        os.close(self._file)
        self._file = new_file


def _record(write: Write) -> bytes:
    body = _encoder.encode(write)
    checked = struct.pack(">II", len(body), zlib.crc32(body))
    return checked + struct.pack(">I", zlib.crc32(checked)) + body


def _write_all(file: int, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(file, rest) :]


def _sync_folder(folder: Path) -> None:
    """Makes new names in the folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _lock(path: Path) -> int:
    """An exclusive lock, held as long as the descriptor. Raises `StorageError` if another process has it."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        with contextlib.suppress(OSError):
            os.close(descriptor)
        raise StorageError(f"{path.parent}: another process uses it") from None
    return descriptor
