"""Encodes and decodes the datagrams between proxies. No I/O.

A header of 15 bytes is followed by membership updates of 9 bytes each. All numbers are big-endian; the
figures are lengths in bytes.

    header: version 1 | kind 1 | sender 2 | sender's incarnation 6 | sequence 2 | subject 2 | updates 1
    update: proxy 2 | incarnation 6 | status 1

The platform carries at most 256 bytes in a datagram, which is room for 26 updates. Version 1 had one byte for
a proxy's number; it is rejected like any other version that is not the current one.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum, IntEnum

VERSION = 2
MAX_DATAGRAM_BYTES = 256
INCARNATION_BYTES = 6
_HEADER = struct.Struct(f">BBH{INCARNATION_BYTES}sHHB")
_UPDATE = struct.Struct(f">H{INCARNATION_BYTES}sB")
HEADER_BYTES = _HEADER.size
UPDATE_BYTES = _UPDATE.size
MAX_UPDATES = (MAX_DATAGRAM_BYTES - HEADER_BYTES) // UPDATE_BYTES
NO_PROXY = 2**16 - 1
MAX_PROXIES = NO_PROXY  # A proxy's number has two bytes, and the last value is reserved for "no proxy".
MAX_INCARNATION = 2 ** (8 * INCARNATION_BYTES) - 1


class DatagramFault(Enum):
    """The reason for which a datagram is rejected. Each value is the label of its counter."""

    TOO_LONG = "long"
    TRUNCATED = "short"
    UNKNOWN_VERSION = "version"
    UNKNOWN_KIND = "kind"
    UNKNOWN_STATUS = "state"
    WRONG_LENGTH = "length"


class DatagramError(Exception):
    """The received bytes are not a datagram of this protocol; `fault` says why."""

    def __init__(self, fault: DatagramFault) -> None:
        """Use the value of `fault` as the message."""
        super().__init__(fault.value)
        self.fault = fault


class DatagramKind(IntEnum):
    """The message types of SWIM (section 3.1), by their number on the wire."""

    PING = 0  # Asks the receiver for an ack.
    ACK = 1  # Answers a ping; a relayed ack answers the ping-req that caused the ping.
    PING_REQ = 2  # Asks the receiver to ping `subject` and to relay its ack.


class MemberStatus(IntEnum):
    """The state of a member. At the same incarnation a higher status overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True, frozen=True)
class MembershipUpdate:
    """The status of one proxy at one incarnation, as one proxy reports it to another."""

    proxy: int
    incarnation: int
    status: MemberStatus


@dataclass(slots=True, frozen=True)
class Datagram:
    """One message between two proxies, with the membership updates that are piggybacked on it.

    `incarnation` is the sender's. `sequence` is chosen by the proxy that started the probe and repeated in
    the ack. `subject` is the proxy that a ping-req is about, or whose liveness an ack reports.
    """

    kind: DatagramKind
    sender: int
    incarnation: int
    sequence: int
    subject: int = NO_PROXY
    updates: tuple[MembershipUpdate, ...] = ()


def encode(datagram: Datagram) -> bytes:
    """Return the datagram's bytes, with as many of its membership updates as fit."""
    updates = datagram.updates[:MAX_UPDATES]
    header = _HEADER.pack(
        VERSION,
        datagram.kind,
        datagram.sender,
        datagram.incarnation.to_bytes(INCARNATION_BYTES, "big"),
        datagram.sequence,
        datagram.subject,
        len(updates),
    )
    return header + b"".join(_encode_update(update) for update in updates)


def decode(data: bytes) -> Datagram:
    """Return the datagram that `data` holds; raise `DatagramError` if it is malformed."""
    _check_header(data)
    _, kind, sender, incarnation, sequence, subject, update_count = _HEADER.unpack_from(data)
    try:
        known_kind = DatagramKind(kind)
    except ValueError:
        raise DatagramError(DatagramFault.UNKNOWN_KIND) from None
    if len(data) != HEADER_BYTES + UPDATE_BYTES * update_count:
        raise DatagramError(DatagramFault.WRONG_LENGTH)
    updates = tuple(_decode_update(*fields) for fields in _UPDATE.iter_unpack(data[HEADER_BYTES:]))
    return Datagram(known_kind, sender, int.from_bytes(incarnation, "big"), sequence, subject, updates)


def _check_header(data: bytes) -> None:
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError(DatagramFault.TOO_LONG)
    if not data:
        raise DatagramError(DatagramFault.TRUNCATED)
    # The version is checked before the length, since the header of another version may be shorter.
    if data[0] != VERSION:
        raise DatagramError(DatagramFault.UNKNOWN_VERSION)
    if len(data) < HEADER_BYTES:
        raise DatagramError(DatagramFault.TRUNCATED)


def _encode_update(update: MembershipUpdate) -> bytes:
    incarnation = update.incarnation.to_bytes(INCARNATION_BYTES, "big")
    return _UPDATE.pack(update.proxy, incarnation, update.status)


def _decode_update(proxy: int, incarnation: bytes, status: int) -> MembershipUpdate:
    try:
        known_status = MemberStatus(status)
    except ValueError:
        raise DatagramError(DatagramFault.UNKNOWN_STATUS) from None
    return MembershipUpdate(proxy, int.from_bytes(incarnation, "big"), known_status)
