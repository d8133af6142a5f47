"""Parses the lines of memcache meta commands; no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from cloverwell.codec.lines import MAX_WRITE_BYTES
from cloverwell.codec.meta import CommandError, CommandFields, read_fields

# The value of a rejected command is read and discarded up to this size. For a longer one the connection is
# closed.
MAX_DISCARDED_BYTES = 1024 * 1024
MAX_LENGTH_DIGITS = 9  # digits of a value's length


class LostFramingError(CommandError):
    """The next command can't be found or begins after too long a value, so the connection must be closed."""


def parse_get(words: list[str], classes: Mapping[str, int], tenants: Mapping[str, int]) -> CommandFields:
    """Parse `mg KEY v FLAGS`; raises `CommandError`."""
    if len(words) < 3 or words[2] != "v":
        raise CommandError("mg needs a key and v")
    return read_fields(words[1], words[3:], classes, tenants)


def parse_value_length(words: list[str]) -> int:
    """Return the length in bytes from `ms KEY LENGTH FLAGS`; raises `LostFramingError`."""
    length_text = words[2] if len(words) > 2 else ""
    if not length_text.isdigit() or len(length_text) > MAX_LENGTH_DIGITS:
        raise LostFramingError("ms needs a key and a length")
    length_bytes = int(length_text)
    if length_bytes > MAX_DISCARDED_BYTES:
        raise LostFramingError("value too large")
    return length_bytes


def parse_set(
    words: list[str], length_bytes: int, classes: Mapping[str, int], tenants: Mapping[str, int]
) -> CommandFields:
    """Parse `ms KEY LENGTH FLAGS`, of which LENGTH is parsed already; raises `CommandError`."""
    if length_bytes > MAX_WRITE_BYTES:
        raise CommandError("value too large")
    return read_fields(words[1], words[3:], classes, tenants)
