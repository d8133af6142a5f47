"""A control node's state in a file: one record with checksums per write, durable before `write` returns.

The file is a sequence of records (`records.py`); the body of each is a `Write` in MessagePack. A torn record
at the end was never acknowledged, and is dropped at the next start. After any other damage the state can't
be trusted, so the node must not take part in votes.

The file is rewritten at each write that has a snapshot, and at each start: a new file with the whole content
replaces the old one once it is durable. A start rewrites the file because the content that it reads may never
have reached the disk. When an fsync fails, the kernel may mark the pages as clean: they can be read, but a
later fsync succeeds without writing them (Rebello et al., "Can Applications Recover from fsync Failures?",
USENIX ATC 2020). For the same reason nothing more is written after a failure: the node ends, and the next
start reads what the file holds.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from cloverwell.control.server.durable_files import (
    append,
    close_file,
    lock_file,
    make_folder,
    read_file,
    replace_file,
)
from cloverwell.control.server.errors import DamagedRecordError, FileStorageError
from cloverwell.control.server.records import FileRecord, encode_record, read_records
from cloverwell.control.storage import StoredState, Write

FILE_NAME = "control.log"
LOCK_NAME = "lock"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Write)


class FileStorage:
    """Storage in a folder of its own, which no other process may use at the same time.

    `dropped_bytes` is the size of the torn record that was dropped at the start, 0 if there was none.
    """

    def __init__(self, folder: Path) -> None:
        """Opens the storage, and makes the folder if it doesn't exist. Raises `FileStorageError`."""
        self._path = folder / FILE_NAME
        self._state = StoredState()
        self._lock_descriptor: int | None = None
        self._descriptor: int | None = None
        self._failure = ""  # why the first failed write failed, "" before any failure
        self.dropped_bytes = 0
        try:
            self._open(folder)
        except OSError as error:
            self.close()
            raise FileStorageError(folder, _reason(error)) from None
        except FileStorageError:
            self.close()
            raise

    def load(self) -> StoredState:
        """Returns the state that is stored durably."""
        return self._state

    def write(self, write: Write) -> None:
        """Makes a change durable, and returns when it would survive a crash.

        Raises `FileStorageError`. The node must stop then, since each later write is refused.
        """
        if self._failure:
            raise FileStorageError(self._path, f"nothing is written after a failure: {self._failure}")
        state = self._state.after(write)
        try:
            if write.snapshot is None:
                self._append(write)
            else:
                self._rewrite(state)
        except OSError as error:
            self._failure = _reason(error)
            raise FileStorageError(self._path, self._failure) from None
        self._state = state

    def close(self) -> None:
        """Closes the file, and releases the lock on the folder."""
        for descriptor in (self._descriptor, self._lock_descriptor):
            if descriptor is not None:
                close_file(descriptor)
        self._descriptor = None
        self._lock_descriptor = None

    def _open(self, folder: Path) -> None:
        """Locks the folder, recovers the state, and rewrites the file without a torn record."""
        make_folder(folder)
        try:
            self._lock_descriptor = lock_file(folder / LOCK_NAME)
        except BlockingIOError:
            raise FileStorageError(folder, "another process uses it") from None
        content = read_file(self._path)
        valid_bytes = self._recover(content)
        self.dropped_bytes = len(content) - valid_bytes
        self._descriptor = replace_file(self._path, content[:valid_bytes])

    def _recover(self, content: bytes) -> int:
        """Sets the state to the one after all valid records. Returns the offset where they end."""
        end = 0
        try:
            for record in read_records(content):
                self._state = self._state.after(self._decode(record))
                end = record.end
        except DamagedRecordError as error:
            raise FileStorageError(self._path, str(error)) from None
        return end

    def _decode(self, record: FileRecord) -> Write:
        """Returns the write that a record holds. Raises `FileStorageError`."""
        try:
            return _decoder.decode(record.body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            reason = f"the record at byte {record.start} is malformed: {error}"
            raise FileStorageError(self._path, reason) from None

    def _append(self, write: Write) -> None:
        """Appends a write to the file."""
        assert self._descriptor is not None
        append(self._descriptor, encode_write(write))

    def _rewrite(self, state: StoredState) -> None:
        """Replaces the file by one that holds the whole state in a single record."""
        write = Write(state.term, state.vote, None, state.entries, state.snapshot)
        old_descriptor = self._descriptor
        assert old_descriptor is not None
        self._descriptor = replace_file(self._path, encode_write(write))
        close_file(old_descriptor)


def encode_write(write: Write) -> bytes:
    """Returns the bytes of a write's record in the file."""
    return encode_record(_encoder.encode(write))


def _reason(error: OSError) -> str:
    """Returns the system's text for an error."""
    return error.strerror or str(error)
