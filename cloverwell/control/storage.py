"""What a control node must find again after a restart, and the small protocol by which it is kept.

Raft is safe only if a node's term, vote and log are durable before anybody is told of them. So a node lists a
`Write` among its effects, ahead of each message that depends on it; whoever carries effects out returns from
`Storage.write` only when the content would survive a crash, and sends the messages after that.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from cloverwell.control.entry import EMPTY_SNAPSHOT, Entry, Snapshot


class Write(msgspec.Struct, frozen=True):
    """One change of what is stored, to be made whole or not at all.

    `snapshot`, where given, replaces the stored one, and entries up to its index go. `truncate_from`,
    where given, drops the entries from that index on. Then `entries` are appended. `term` and `vote` (""
    for none) always stand.
    """

    term: int
    vote: str
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


class StoredState(msgspec.Struct, frozen=True):
    """What a node starts from. `entries` follow the snapshot without a gap."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: tuple[Entry, ...] = ()

    def after(self, write: Write) -> StoredState:
        """What is stored after a write."""
        entries = list(self.entries)
        snapshot = write.snapshot or self.snapshot
        if write.truncate_from is not None:
            entries = [entry for entry in entries if entry.index < write.truncate_from]
        entries = [entry for entry in entries if entry.index > snapshot.position.index]
        return StoredState(write.term, write.vote, snapshot, (*entries, *write.entries))


class Storage(Protocol):
    """Where a control node's state is kept. One node, one storage."""

    def load(self) -> StoredState:
        """What is stored; the empty state for a new node. Raises StorageError for content that can't be
        trusted."""

    def write(self, write: Write) -> None:
        """Makes the change durable; on return it survives a crash. Raises StorageError: the node must
        stop then."""


class StorageError(Exception):
    """The storage can't be read or written. A node without storage must not vote, so it must not run."""


class MemoryStorage:
    """Storage for tests: durable as long as the object."""

    def __init__(self, state: StoredState | None = None) -> None:
        self.state = state or StoredState()

    def load(self) -> StoredState:
        return self.state

    def write(self, write: Write) -> None:
        self.state = self.state.after(write)
