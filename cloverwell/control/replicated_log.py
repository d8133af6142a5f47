"""A control node's copy of the log: a snapshot, the entries after it, and the commit index.

The snapshot is called the base; the log is compacted by folding its oldest committed entries into the base
(section 7 of the Raft paper).
"""

from __future__ import annotations

from typing import Protocol

from cloverwell.control.entry import Entry, Position, Snapshot
from cloverwell.control.errors import ControlError
from cloverwell.control.storage import StoredState


class CommittedEntryError(ControlError):
    """A committed entry would have been dropped from the log."""

    def __init__(self, index: int) -> None:
        """Makes the message from the index of the first entry that would have been dropped."""
        super().__init__(f"entry {index} is committed")
        self.index = index


class CommittedLog(Protocol):
    """The committed part of a log, as the fan-out to subscribers reads it."""

    @property
    def committed(self) -> Position:
        """The position of the last committed entry."""

    @property
    def base_index(self) -> int:
        """The oldest index whose position is still known."""

    def contains(self, position: Position) -> bool:
        """Returns whether the committed log has this position and all entries after it."""

    def committed_after(self, index: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Returns committed entries after an index that the log contains; at least one if there is one."""

    def position_at(self, index: int) -> Position:
        """Returns the position at an index that the log contains."""

    def committed_snapshot(self) -> Snapshot:
        """Returns a snapshot of the state at the commit index."""


class ReplicatedLog:
    """The log of one node. Entries have the indexes from `base_index + 1` to `last_index`.

    `commit_index` lies between the two.
    """

    def __init__(self, stored: StoredState, keep_entries: int, keep_bytes: int) -> None:
        """Starts from what is stored.

        Compaction keeps `keep_entries` entries and `keep_bytes` bytes of payload. It takes place once the log
        holds twice as much of either.
        """
        self._keep_entries = keep_entries
        self._keep_bytes = keep_bytes
        self.base = stored.snapshot
        self.entries = list(stored.entries)
        self._positions = [self.base.position]  # after the base, then after each entry
        for entry in self.entries:
            self._positions.append(self._positions[-1].after(entry))
        self._payload_bytes = sum(len(entry.payload) for entry in self.entries)
        self.commit_index = self.base.position.index
        self._committed_state = self.base.state

    # What is in the log

    @property
    def base_index(self) -> int:
        """The index of the last entry that was folded into the base."""
        return self.base.position.index

    @property
    def last_index(self) -> int:
        """The index of the last entry, committed or not."""
        return self._positions[-1].index

    @property
    def last_term(self) -> int:
        """The term of the last entry, committed or not."""
        return self.entries[-1].term if self.entries else self.base.term

    @property
    def committed(self) -> Position:
        """The position of the last committed entry."""
        return self._positions[self.commit_index - self.base_index]

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at an index, or None if the log does not have it (any more)."""
        if index == self.base_index:
            return self.base.term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def position_at(self, index: int) -> Position:
        """Returns the position at an index that the log contains."""
        return self._positions[index - self.base_index]

    def contains(self, position: Position) -> bool:
        """Returns whether the committed log has this position and all entries after it."""
        if not self.base_index <= position.index <= self.commit_index:
            return False
        return self._positions[position.index - self.base_index] == position

    def entries_after(self, index: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Returns entries after an index, committed or not; at least one if there is one."""
        start = index - self.base_index
        selected: list[Entry] = []
        size_bytes = 0
        for entry in self.entries[start : start + max_entries]:
            size_bytes += len(entry.payload)
            if selected and size_bytes > max_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    def committed_after(self, index: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Returns committed entries after an index; at least one if there is one."""
        committed_count = max(0, self.commit_index - index)
        return self.entries_after(index, min(max_entries, committed_count), max_bytes)

    def committed_snapshot(self) -> Snapshot:
        """Returns a snapshot of the state at the commit index."""
        term = self.term_at(self.commit_index)
        assert term is not None
        return Snapshot.of(self.committed, term, self._committed_state)

    # The consistency check of AppendEntries (section 5.3)

    def find_mismatch(self, previous_index: int, previous_term: int) -> int | None:
        """Returns None if the log has the entry that precedes new ones, else an index to try next.

        Up to the returned index the two logs may match. The search skips a whole term at once, so that a
        follower rejects at most once in each term and not once for each entry.
        """
        if previous_index < self.base_index:
            return None  # The base is committed, so the leader has all of it as well.
        term = self.term_at(previous_index)
        if term == previous_term:
            return None
        if term is None:
            return self.last_index
        index = previous_index
        while index > self.commit_index and self.term_at(index) == term:
            index -= 1
        return index

    def select_new(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Returns those of a leader's entries that the log lacks, or has with another term."""
        return tuple(
            entry
            for entry in entries
            if entry.index > self.base_index and self.term_at(entry.index) != entry.term
        )

    # Changes

    def append(self, entry: Entry) -> None:
        """Appends the next entry. Raises ValueError if its index is not the next one."""
        self._positions.append(self._positions[-1].after(entry))
        self.entries.append(entry)
        self._payload_bytes += len(entry.payload)

    def truncate_from(self, index: int) -> None:
        """Drops the entries from an index on. Raises CommittedEntryError if one of them is committed."""
        if index <= self.commit_index:
            raise CommittedEntryError(index)
        retained_count = index - self.base_index - 1
        self._payload_bytes -= sum(len(entry.payload) for entry in self.entries[retained_count:])
        del self.entries[retained_count:]
        del self._positions[retained_count + 1 :]

    def commit(self, index: int) -> tuple[Entry, ...]:
        """Commits up to an index that the log contains; returns the entries that this has committed."""
        if index <= self.commit_index:
            return ()
        start = self.commit_index - self.base_index
        entries = tuple(self.entries[start : index - self.base_index])
        for entry in entries:
            self._committed_state = self._committed_state.after(entry)
        self.commit_index = index
        return entries

    def install(self, snapshot: Snapshot) -> None:
        """Replaces the base by a snapshot past the commit index.

        Entries after the snapshot are retained if the log has the snapshot's last entry (section 7).
        """
        index = snapshot.position.index
        has_last_entry = index > self.base_index and self.term_at(index) == snapshot.term
        retained_entries = self.entries[index - self.base_index :] if has_last_entry else []
        self.base = snapshot
        self.entries = []
        self._positions = [snapshot.position]
        self._payload_bytes = 0
        self.commit_index = index
        self._committed_state = snapshot.state
        for entry in retained_entries:
            self.append(entry)

    def compact(self) -> Snapshot | None:
        """Folds the oldest committed entries into the base, if due; returns the new base, else None."""
        if len(self.entries) < 2 * self._keep_entries and self._payload_bytes < 2 * self._keep_bytes:
            return None
        surplus_count = self._count_surplus()
        if not surplus_count:
            return None
        state = self.base.state
        for entry in self.entries[:surplus_count]:
            state = state.after(entry)
            self._payload_bytes -= len(entry.payload)
        self.base = Snapshot.of(self._positions[surplus_count], self.entries[surplus_count - 1].term, state)
        del self.entries[:surplus_count]
        del self._positions[:surplus_count]
        return self.base

    def _count_surplus(self) -> int:
        """Returns how many of the oldest committed entries exceed the bounds of what is kept."""
        surplus_count = 0
        size_bytes = self._payload_bytes
        for entry in self.entries[: self.commit_index - self.base_index]:
            if len(self.entries) - surplus_count <= self._keep_entries and size_bytes <= self._keep_bytes:
                break
            surplus_count += 1
            size_bytes -= len(entry.payload)
        return surplus_count
