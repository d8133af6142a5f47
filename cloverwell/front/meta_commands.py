"""Parses the lines of a client's memcache meta commands; no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from cloverwell.codec.lines import MAX_WRITE_BYTES
from cloverwell.codec.meta import CommandError, CommandFields, read_fields

# The value of a command that is rejected is read and thrown away up to this size; for a longer one the
# connection is closed.
MAX_DISCARDED_BYTES = 1024 * 1024
MAX_LENGTH_DIGITS = 9


class LostFramingError(CommandError):
    """Where the next command begins is not known, or too far away: the connection can't be used any more."""


def parse_get(words: list[str], classes: Mapping[str, int], tenants: Mapping[str, int]) -> CommandFields:
    """Parse `mg KEY v FLAGS`; raises `CommandError`."""
    if len(words) < 3 or words[2] != "v":
        raise CommandError("mg needs a key and v")
    return read_fields(words[1], words[3:], classes, tenants)


def parse_value_length(words: list[str]) -> int:
    """Return the value's length of `ms KEY LENGTH FLAGS`; raises `LostFramingError`."""
    length = words[2] if len(words) > 2 else ""
    if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
        raise LostFramingError("ms needs a key and a length")
    length_bytes = int(length)
    if length_bytes > MAX_DISCARDED_BYTES:
        raise LostFramingError("value too large")
    return length_bytes


def parse_set(
    words: list[str], length_bytes: int, classes: Mapping[str, int], tenants: Mapping[str, int]
) -> CommandFields:
    """Parse `ms KEY LENGTH FLAGS`, whose length is known; raises `CommandError`."""
    if length_bytes > MAX_WRITE_BYTES:
        raise CommandError("value too large")
    return read_fields(words[1], words[3:], classes, tenants)
