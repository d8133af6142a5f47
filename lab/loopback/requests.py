"""Requests that name themselves, so that the one right answer to each is known."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

EFFECTS = {"page": "retryable", "adjust": "dedup", "order": "fragile"}  # of the testbed's classes
LONG_VALUE_BYTES = 400_000  # more than is kept before it is passed on
LARGE_VALUE_BYTES = 60_000  # nearly the most that is kept

_numbers = itertools.count(1)


def new_name() -> str:
    """Return an id that no other request of this process has."""
    return f"r{next(_numbers)}"


def value_for(name: str) -> bytes:
    """Return the one right value of a read."""
    return b"value-of-" + name.encode()


def value_of(key: str, name: str) -> bytes:
    """Return the one right value of a read of that key."""
    value = value_for(name)
    if key.startswith("long"):
        return value * (LONG_VALUE_BYTES // len(value))
    if key.startswith("large"):
        return value * (LARGE_VALUE_BYTES // len(value))
    return value


def receipt_for(name: str) -> bytes:
    """Return the one right receipt of a write."""
    return b"receipt-of-" + name.encode()


@dataclass(frozen=True)
class Request:
    """One request as it is sent; `kind` is what its key begins with, see `lab.loopback.nodes`."""

    name: str
    kind: str
    class_name: str
    wait_ms: int

    def encode(self) -> bytes:
        """Return the command."""
        info = f"c={self.class_name},t=acme,d={self.wait_ms}"
        key = f"{self.kind}-{self.name}"
        if self.class_name == "page":
            return f"mg {key} v O{self.name} P{info}\r\n".encode()
        return f"ms {key} 2 O{self.name} P{info},k=0123456789abcdef\r\nab\r\n".encode()

    @property
    def right(self) -> bytes:
        """The one answer that serves it."""
        name = self.name.encode()
        if self.class_name != "page":
            return b"HD O%s c%s\r\n" % (name, receipt_for(self.name))
        value = value_of(self.kind, self.name)
        return b"VA %d O%s\r\n%s\r\n" % (len(value), name, value)
