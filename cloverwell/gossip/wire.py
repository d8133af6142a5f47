"""The datagrams between proxies: bytes to messages and back, without I/O.

A head of 15 bytes, then rumours of 9 each; all numbers big-endian.

    version 1 | kind 1 | sender 2 | sender's incarnation 6 | sequence 2 | whom 2 | rumours 1
    rumour: proxy 2 | incarnation 6 | state 1

The platform takes 256 bytes at the most, so a datagram carries up to 26 rumours. Version 1 had one byte for a
proxy's number, and is refused like any other that is not this one.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

VERSION = 2
MOST_BYTES = 256
_HEAD = struct.Struct(">BBH6sHHB")
_RUMOUR = struct.Struct(">H6sB")
HEAD, RUMOUR = _HEAD.size, _RUMOUR.size
MOST_RUMOURS = (MOST_BYTES - HEAD) // RUMOUR
NOBODY = 2**16 - 1
MOST_PROXIES = NOBODY  # a number has two bytes, and the last one names nobody
MOST_INCARNATION = 2**48 - 1


class WireError(Exception):
    """A datagram that is no message of ours; the text is one of few words, for the counts."""


class DatagramKind(IntEnum):
    PING = 0  # answer me
    ACK = 1  # the answer, to whom the ping came from
    ASK = 2  # ping `whom` for me, and tell me if it answers


class MemberStatus(IntEnum):
    """At one incarnation the higher one stands."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True, frozen=True)
class MembershipUpdate:
    proxy: int
    incarnation: int
    state: MemberStatus


@dataclass(slots=True, frozen=True)
class Message:
    """`sequence` is the asker's; `whom`: the proxy that an ASK is about, or whose life an ACK tells."""

    kind: DatagramKind
    sender: int
    incarnation: int
    sequence: int
    whom: int = NOBODY
    rumours: tuple[MembershipUpdate, ...] = ()


def encode(message: Message) -> bytes:
    rumours = message.rumours[:MOST_RUMOURS]
    incarnation = message.incarnation.to_bytes(6, "big")
    head = _HEAD.pack(
        VERSION,
        message.kind,
        message.sender,
        incarnation,
        message.sequence,
        message.whom,
        len(rumours),
    )
    told = (_RUMOUR.pack(r.proxy, r.incarnation.to_bytes(6, "big"), r.state) for r in rumours)
    return head + b"".join(told)


def decode(data: bytes) -> Message:
    """Raises `WireError`: `long`, `short`, `version`, `kind`, `state` or `length`."""
    if len(data) > MOST_BYTES:
        raise WireError("long")
    if not data:
        raise WireError("short")
    if data[0] != VERSION:  # its head may have another length
        raise WireError("version")
    if len(data) < HEAD:
        raise WireError("short")
    _, kind, sender, incarnation, sequence, whom, number = _HEAD.unpack_from(data)
    if kind not in iter(DatagramKind):
        raise WireError("kind")
    if len(data) != HEAD + RUMOUR * number:
        raise WireError("length")
    rumours = []
    for proxy, life, state in _RUMOUR.iter_unpack(data[HEAD:]):
        if state not in iter(MemberStatus):
            raise WireError("state")
        rumours.append(MembershipUpdate(proxy, int.from_bytes(life, "big"), MemberStatus(state)))
    return Message(
        DatagramKind(kind), sender, int.from_bytes(incarnation, "big"), sequence, whom, tuple(rumours)
    )
