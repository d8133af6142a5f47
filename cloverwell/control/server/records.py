"""Checked records in a file, one behind the other. No I/O.

    length           4 bytes, unsigned, big-endian: bytes of the body
    body checksum    4 bytes, CRC-32 of the body
    header checksum  4 bytes, CRC-32 of the 8 bytes before
    body             any bytes

Whoever appends a record makes it durable before the next one, so a crash leaves at most the last record torn:
cut short, or with sectors that were never written and read as zeros. Any other damage is no crash's work. The
header has a checksum of its own, or a damaged length would make all that follows look like one torn record.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

import msgspec

HEADER = struct.Struct(">III")
CHECKED = struct.Struct(">II")  # what the header's own checksum covers
CHECKSUM = struct.Struct(">I")
SECTOR = 512  # bytes that a disk writes whole or not at all


class DamagedRecordError(Exception):
    """A record is damaged in a way that a crash can't explain."""

    def __init__(self, start: int) -> None:
        super().__init__(f"the record at byte {start} is damaged")


class Record(msgspec.Struct, frozen=True):
    """A sound record: its body, and the bytes of the file that it takes."""

    start: int
    end: int
    body: bytes


def encode_record(body: bytes) -> bytes:
    """The record's bytes in the file."""
    checked = CHECKED.pack(len(body), zlib.crc32(body))
    return checked + CHECKSUM.pack(zlib.crc32(checked)) + body


def sound_records(content: bytes) -> Iterator[Record]:
    """All records up to the end, or to a torn one. Raises `DamagedRecordError`."""
    start = 0
    while (body := _body(content, start)) is not None:
        end = start + HEADER.size + len(body)
        yield Record(start, end, body)
        start = end


def _body(content: bytes, start: int) -> bytes | None:
    """Of the record that begins at `start`; None where it is torn, or there is none."""
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
        if end < len(content):
            raise DamagedRecordError(start)
        return None
    return body


def _is_header(content: bytes, start: int) -> bool:
    checked = content[start : start + CHECKED.size]
    return CHECKSUM.unpack_from(content, start + CHECKED.size)[0] == zlib.crc32(checked)


def _was_never_written(content: bytes, start: int) -> bool:
    """Whether a power cut explains a bad header: a sector under it is empty, and no other record follows."""
    if not any(content[start:]):
        return True
    first_sector = start - start % SECTOR
    sectors = range(first_sector, start + HEADER.size, SECTOR)
    if all(any(content[max(start, sector) : sector + SECTOR]) for sector in sectors):
        return False
    last_header = len(content) - HEADER.size
    return not any(_is_header(content, place) for place in range(start + 1, last_header + 1))
