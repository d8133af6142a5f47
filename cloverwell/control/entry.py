"""Entries of the control log, positions in it, the state that results from them, and snapshots of that state.

A position is an index and a digest that chains over all entries up to it (BLAKE2b, 16 bytes): two logs that
have a position in common hold the same entries up to it. Index 0 is the empty log. Payloads are opaque here.
"""

from __future__ import annotations

import hashlib
from enum import StrEnum

import msgspec

DIGEST_BYTES = 16
MAX_PAYLOAD_BYTES = 1024 * 1024
# The most purges in a snapshot, enough for five minutes at 3.4 purges a second, and their payload in bytes.
MAX_SNAPSHOT_PURGES = 1024
MAX_SNAPSHOT_PURGE_BYTES = 256 * 1024


class EntryKind(StrEnum):
    """The kinds of entry that this version knows.

    `Entry.kind` is a plain string, so that entries of newer kinds can be replicated as well.
    """

    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    PURGE = "purge"
    NOOP = "noop"  # the first entry of a leader's term; nothing is applied


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    `proposal` is the identifier that the proposer chose, by which a repeated proposal is recognised.
    """

    index: int
    term: int
    kind: str
    payload: bytes = b""
    proposal: str = ""


class Position(msgspec.Struct, frozen=True, array_like=True):
    """A place in the log: the index of the last entry, and the digest over all entries up to it."""

    index: int
    digest: bytes

    def after(self, entry: Entry) -> Position:
        """Returns the position after one more entry. Raises ValueError if the entry is not the next one."""
        if entry.index != self.index + 1:
            raise ValueError(f"entry {entry.index} does not follow position {self.index}")
        digest = hashlib.blake2b(self.digest, digest_size=DIGEST_BYTES)
        digest.update(msgspec.msgpack.encode(entry))
        return Position(entry.index, digest.digest())


START_POSITION = Position(0, bytes(DIGEST_BYTES))


class LogState(msgspec.Struct, frozen=True, array_like=True):
    """The state that the entries up to a position result in: the latest of each kind, and the latest purges.

    Purges add up instead of replacing each other. Only the latest `MAX_SNAPSHOT_PURGES` are listed. A proxy
    whose position is before `purges_complete_from` has missed purges that are not listed, and must drop
    everything it has cached.
    """

    latest: dict[str, Entry] = {}
    purges: tuple[Entry, ...] = ()
    purges_complete_from: int = 0

    def after(self, entry: Entry) -> LogState:
        """Returns the state after one more entry."""
        if entry.kind == EntryKind.NOOP:
            return self
        if entry.kind == EntryKind.PURGE:
            return self._after_purge(entry)
        return msgspec.structs.replace(self, latest={**self.latest, entry.kind: entry})

    def _after_purge(self, entry: Entry) -> LogState:
        """Returns the state with one more purge, and without the oldest ones that exceed the bounds."""
        purges = (*self.purges, entry)
        surplus_count = max(0, len(purges) - MAX_SNAPSHOT_PURGES)
        size_bytes = sum(len(purge.payload) for purge in purges[surplus_count:])
        while size_bytes > MAX_SNAPSHOT_PURGE_BYTES:
            size_bytes -= len(purges[surplus_count].payload)
            surplus_count += 1
        complete_from = purges[surplus_count - 1].index if surplus_count else self.purges_complete_from
        return msgspec.structs.replace(
            self, purges=purges[surplus_count:], purges_complete_from=complete_from
        )


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The log's state at a position.

    `term` is that of the entry at the position; `checksum` covers all other fields.
    """

    position: Position
    term: int
    state: LogState
    checksum: bytes

    @classmethod
    def of(cls, position: Position, term: int, state: LogState) -> Snapshot:
        """Returns a snapshot with its checksum."""
        return cls(position, term, state, _checksum(position, term, state))

    @property
    def is_intact(self) -> bool:
        """True if the checksum matches the content."""
        return self.checksum == _checksum(self.position, self.term, self.state)


def _checksum(position: Position, term: int, state: LogState) -> bytes:
    content = msgspec.msgpack.Encoder(order="sorted").encode((position, term, state))
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


EMPTY_SNAPSHOT = Snapshot.of(START_POSITION, 0, LogState())
