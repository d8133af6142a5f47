"""The record format of the control node's storage file: a sequence of records with checksums. No I/O.

    length           4 bytes, unsigned, big-endian: the size of the body in bytes
    body checksum    4 bytes, CRC-32 of the body
    header checksum  4 bytes, CRC-32 of the 8 bytes before it
    body             any bytes

Each record is made durable before the next one is appended, so after a crash at most the last record is torn:
it is cut short, or has sectors that were never written and read as zeros. A crash causes no other damage. The
header has a checksum of its own, because with a damaged length all that follows would look like one torn
record.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

import msgspec

from cloverwell.control.server.errors import DamagedRecordError

HEADER = struct.Struct(">III")
CHECKED_FIELDS = struct.Struct(">II")  # the length and the body checksum, which the header checksum covers
CHECKSUM = struct.Struct(">I")
SECTOR_BYTES = 512  # the unit that a disk writes completely or not at all


class FileRecord(msgspec.Struct, frozen=True):
    """A valid record: its body, and the offsets in the file at which it starts and ends."""

    start: int
    end: int
    body: bytes


def encode_record(body: bytes) -> bytes:
    """Returns the bytes of a record with this body, header first."""
    checked_fields = CHECKED_FIELDS.pack(len(body), zlib.crc32(body))
    return checked_fields + CHECKSUM.pack(zlib.crc32(checked_fields)) + body


def read_records(content: bytes) -> Iterator[FileRecord]:
    """Yields the records of a file up to its end, or up to a torn record.

    Raises `DamagedRecordError` at a record with damage that a crash can't explain.
    """
    start = 0
    while (body := _read_body(content, start)) is not None:
        end = start + HEADER.size + len(body)
        yield FileRecord(start, end, body)
        start = end


def _read_body(content: bytes, start: int) -> bytes | None:
    """Returns the body of the record at `start`; None if the record is torn, or the file ends there."""
    if len(content) - start < HEADER.size:
        return None
    if not _is_header(content, start):
        if _was_never_written(content, start):
            return None
        raise DamagedRecordError(start)
    length, checksum, _ = HEADER.unpack_from(content, start)
    end = start + HEADER.size + length
    body = content[start + HEADER.size : end]
    if len(body) < length:
        return None
    if zlib.crc32(body) != checksum:
        is_last = end >= len(content)
        if is_last:
            return None
        raise DamagedRecordError(start)
    return body


def _is_header(content: bytes, start: int) -> bool:
    """Returns whether a header with a valid checksum begins at `start`."""
    checked_fields = content[start : start + CHECKED_FIELDS.size]
    (checksum,) = CHECKSUM.unpack_from(content, start + CHECKED_FIELDS.size)
    return bool(checksum == zlib.crc32(checked_fields))


def _was_never_written(content: bytes, start: int) -> bool:
    """Returns whether a power cut explains the invalid header at `start`.

    It does if one of the sectors that hold the header reads as zeros and no other record follows.
    """
    if not any(content[start:]):
        return True
    first_sector = start - start % SECTOR_BYTES
    sectors = range(first_sector, start + HEADER.size, SECTOR_BYTES)
    if all(any(content[max(start, sector) : sector + SECTOR_BYTES]) for sector in sectors):
        return False
    last_header = len(content) - HEADER.size
    return not any(_is_header(content, offset) for offset in range(start + 1, last_header + 1))
