"""The record format of the control node's file: records with checksums, one after the other. No I/O.

    length           4 bytes, unsigned, big-endian: bytes of the body
    body checksum    4 bytes, CRC-32 of the body
    header checksum  4 bytes, CRC-32 of the 8 bytes before
    body             any bytes

Each record is made durable before the next one is appended, so a crash leaves at most the last record torn:
cut short, or with sectors that were never written and read as zeros. No crash causes any other damage. The
header has a checksum of its own because a damaged length would otherwise make all that follows look like one
torn record.
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
SECTOR_BYTES = 512  # the unit that a disk writes whole or not at all


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

    Raises `DamagedRecordError` at a record whose damage a crash can't explain.
    """
    start = 0
    while (body := _read_body(content, start)) is not None:
        end = start + HEADER.size + len(body)
        yield FileRecord(start, end, body)
        start = end


def _read_body(content: bytes, start: int) -> bytes | None:
    """Returns the body of the record at `start`; None where the record is torn, or the file ends."""
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

    It does where a sector under the header reads as zeros and no other record follows.
    """
    if not any(content[start:]):
        return True
    first_sector = start - start % SECTOR_BYTES
    sectors = range(first_sector, start + HEADER.size, SECTOR_BYTES)
    if all(any(content[max(start, sector) : sector + SECTOR_BYTES]) for sector in sectors):
        return False
    last_header = len(content) - HEADER.size
    return not any(_is_header(content, offset) for offset in range(start + 1, last_header + 1))
