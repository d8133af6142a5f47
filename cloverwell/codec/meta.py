"""Reads the flags of a client's memcache meta command into typed fields. No I/O.

    mg KEY v O<id> P<name=value,...>
    ms KEY LENGTH O<id> P<name=value,...>

`P` names the class (`c`), the tenant (`t`) and the time in ms for which the client waits (`d`); whatever else
it holds is passed on unchanged.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cloverwell.codec.errors import CodecError

MAX_KEY = 250  # characters
MAX_ID = 64  # characters
MAX_WAIT_MS = 3_600_000


class CommandError(CodecError):
    """A command is wrong; the message says how, in words for the client."""


@dataclass(slots=True, frozen=True)
class CommandFields:
    """The fields of a read or a write, except its value."""

    id: str
    key: str
    class_number: int  # the place of its class in the settings
    tenant: int  # the place of its tenant in the settings, 0 where none is named
    wait_ms: float  # counted from the client's first byte
    info: str  # all names and values, as they came


def read_fields(
    key: str, flags: list[str], classes: Mapping[str, int], tenants: Mapping[str, int]
) -> CommandFields:
    """Reads the fields of a command.

    `classes` and `tenants` map the names in the settings to their places. Raises `CommandError`.
    """
    if not 0 < len(key) <= MAX_KEY or not key.isprintable():
        raise CommandError("bad key")
    named = {flag[:1]: flag[1:] for flag in flags if flag}
    name, info = named.get("O", ""), named.get("P", "")
    if len(flags) != 2 or set(named) != {"O", "P"}:
        raise CommandError("needs the flags O and P")
    if not 0 < len(name) <= MAX_ID or not name.isprintable():
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
    return CommandFields(name, key, classes[values["c"]], tenant, float(wait), info)
