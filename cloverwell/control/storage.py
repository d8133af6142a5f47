"""The persistent state of a control node, and the protocol of its storage.

Raft is safe only if a node's term, vote and log are durable before another node is told of them (figure 2 of
the paper). So a node lists a `Write` among its effects ahead of each message that depends on it.
`Storage.write` returns only when the content would survive a crash, and the caller sends the messages after
that.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from cloverwell.control.entry import EMPTY_SNAPSHOT, Entry, Snapshot
from cloverwell.control.errors import ControlError


class StorageError(ControlError):
    """The storage can't be read or written.

    A node without storage must not vote, so it must not run.
    """


class Write(msgspec.Struct, frozen=True):
    """One atomic change of the stored state.

    `snapshot`, if given, replaces the stored one, and entries up to its index are dropped. `truncate_from`,
    if given, drops the entries from that index on. Then `entries` are appended. `term` and `vote` ("" for
    none) always replace the stored ones.
    """

    term: int
    vote: str
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


class StoredState(msgspec.Struct, frozen=True):
    """The state that a node starts from. `entries` follow the snapshot without a gap."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: tuple[Entry, ...] = ()

    def after(self, write: Write) -> StoredState:
        """Returns the stored state after a write."""
        entries = list(self.entries)
        snapshot = write.snapshot or self.snapshot
        if write.truncate_from is not None:
            entries = [entry for entry in entries if entry.index < write.truncate_from]
        entries = [entry for entry in entries if entry.index > snapshot.position.index]
        return StoredState(write.term, write.vote, snapshot, (*entries, *write.entries))


class Storage(Protocol):
    """Where one control node keeps its persistent state."""

    def load(self) -> StoredState:
        """Returns what is stored; the empty state for a new node.

        Raises StorageError for content that can't be trusted.
        """

    def write(self, write: Write) -> None:
        """Makes the change durable: on return it survives a crash.

        Raises StorageError, after which the node must stop.
        """


class MemoryStorage:
    """A storage for tests, which lasts as long as the object."""

    def __init__(self, state: StoredState | None = None) -> None:
        """Starts with `state`, or empty."""
        self.state = state or StoredState()

    def load(self) -> StoredState:
        """Returns what is stored."""
        return self.state

    def write(self, write: Write) -> None:
        """Applies the change."""
        self.state = self.state.after(write)
