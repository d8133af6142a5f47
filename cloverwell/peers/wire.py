"""The datagrams between proxies: bytes to messages and back, without I/O.

A head of 13 bytes, then rumours of 8 each; all numbers big-endian.

    version 1 | kind 1 | sender 1 | sender's incarnation 6 | sequence 2 | whom 1 | rumours 1
    rumour: proxy 1 | incarnation 6 | state 1

The platform takes 256 bytes at the most, so a datagram carries up to 30 rumours.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

VERSION = 1
MOST_BYTES = 256
HEAD, RUMOUR = 13, 8
MOST_RUMOURS = (MOST_BYTES - HEAD) // RUMOUR
MOST_PROXIES = 255  # a number has one byte, and the last one names nobody
NOBODY = 255
MOST_INCARNATION = 2**48 - 1


class WireError(Exception):
    """A datagram that is no message of ours; the text is one of few words, for the counts."""


class Kind(IntEnum):
    PING = 0  # answer me
    ACK = 1  # the answer, to whom the ping came from
    ASK = 2  # ping `whom` for me, and tell me if it answers


class State(IntEnum):
    """At one incarnation the higher one stands."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True, frozen=True)
class Rumour:
    proxy: int
    incarnation: int
    state: State


@dataclass(slots=True, frozen=True)
class Message:
    """`sequence` is the asker's; `whom`: the proxy that an ASK is about, or whose life an ACK tells."""

    kind: Kind
    sender: int
    incarnation: int
    sequence: int
    whom: int = NOBODY
    rumours: tuple[Rumour, ...] = ()


def encode(message: Message) -> bytes:
    rumours = message.rumours[:MOST_RUMOURS]
    head = bytes((VERSION, message.kind, message.sender)) + message.incarnation.to_bytes(6, "big")
    head += message.sequence.to_bytes(2, "big") + bytes((message.whom, len(rumours)))
    told = (bytes((r.proxy,)) + r.incarnation.to_bytes(6, "big") + bytes((r.state,)) for r in rumours)
    return head + b"".join(told)


def decode(data: bytes) -> Message:
    """Raises `WireError`: `long`, `short`, `version`, `kind`, `state` or `length`."""
    if len(data) > MOST_BYTES:
        raise WireError("long")
    if len(data) < HEAD:
        raise WireError("short")
    if data[0] != VERSION:
        raise WireError("version")
    if data[1] not in iter(Kind):
        raise WireError("kind")
    if len(data) != HEAD + RUMOUR * data[12]:
        raise WireError("length")
    rumours = []
    for start in range(HEAD, len(data), RUMOUR):
        proxy, state = data[start], data[start + 7]
        if state not in iter(State):
            raise WireError("state")
        rumours.append(Rumour(proxy, int.from_bytes(data[start + 1 : start + 7], "big"), State(state)))
    return Message(
        Kind(data[1]),
        data[2],
        int.from_bytes(data[3:9], "big"),
        int.from_bytes(data[9:11], "big"),
        data[11],
        tuple(rumours),
    )
