"""Decodes the flags of a client's memcache meta commands, which have two forms. No I/O.

    mg KEY v O<id> P<name=value,...>
    ms KEY LENGTH O<id> P<name=value,...>

The flag `P` gives the class (`c`), the tenant (`t`) and the time in ms for which the client waits (`d`). Any
other value in it is passed on unchanged.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cloverwell.codec.errors import CodecError

MAX_KEY_LENGTH = 250  # the longest key, in characters
MAX_ID_LENGTH = 64  # the longest id of a request, in characters
MAX_WAIT_MS = 3_600_000  # the longest time that a client may say it waits


class CommandError(CodecError):
    """A client's command is invalid; the message is the reason that is sent to the client."""


@dataclass(slots=True, frozen=True)
class CommandFields:
    """The fields of a read or a write command, except its value."""

    id: str
    key: str
    class_number: int  # the index of its class in the settings
    tenant: int  # the index of its tenant in the settings, or 0 if the command names none
    wait_ms: float  # the time for which the client waits, from the first byte of the command
    info: str  # all names and values of the flag `P`, as they were received


def read_fields(
    key: str, flags: list[str], classes: Mapping[str, int], tenants: Mapping[str, int]
) -> CommandFields:
    """Returns the fields of a command, or raises `CommandError`.

    `classes` and `tenants` map the names in the settings to their indexes.
    """
    if not 0 < len(key) <= MAX_KEY_LENGTH or not key.isprintable():
        raise CommandError("bad key")
    value_by_flag = {flag[:1]: flag[1:] for flag in flags if flag}
    request_id, info = value_by_flag.get("O", ""), value_by_flag.get("P", "")
    if len(flags) != 2 or set(value_by_flag) != {"O", "P"}:
        raise CommandError("needs the flags O and P")
    if not 0 < len(request_id) <= MAX_ID_LENGTH or not request_id.isprintable():
        raise CommandError("bad id")
    if not info.isprintable():
        raise CommandError("bad P")
    values = dict(part.partition("=")[::2] for part in info.split(","))
    if values.get("c") not in classes:
        raise CommandError("unknown class")
    if tenants and values.get("t") not in tenants:
        raise CommandError("unknown tenant")
    wait = values.get("d", "")
    if not wait.isdigit() or not 0 < len(wait) <= 9 or not 0 < int(wait) <= MAX_WAIT_MS:
        raise CommandError("missing or bad d")
    tenant = tenants.get(values.get("t", ""), 0)
    return CommandFields(request_id, key, classes[values["c"]], tenant, float(wait), info)
