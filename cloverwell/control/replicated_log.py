"""A control node's copy of the log: a snapshot, the entries after it, and how far they are committed."""

from __future__ import annotations

from typing import Protocol

from cloverwell.control.entry import Entry, LogState, Position, Snapshot
from cloverwell.control.storage import StoredState


class CommittedLog(Protocol):
    """What the fan-out needs of the log: only what is committed."""

    @property
    def committed(self) -> Position: ...

    @property
    def first_index(self) -> int:
        """The oldest index whose position is still known."""

    def holds(self, position: Position) -> bool:
        """Whether the committed log has this very position, and all entries after it."""

    def tail(self, after: int, most: int, most_bytes: int) -> tuple[Entry, ...]:
        """Committed entries after an index that the log holds; at least one if there is one."""

    def position_at(self, index: int) -> Position:
        """The position at an index that the log holds."""

    def committed_snapshot(self) -> Snapshot:
        """The state at the commit position."""


class ReplicatedLog:
    """Indexes run from `base.position.index + 1` to `last_index`; `commit_index` lies between."""

    def __init__(self, stored: StoredState, keep_entries: int, keep_bytes: int) -> None:
        """A compaction comes when twice as much as is kept has gathered, in entries or in bytes of
        payload."""
        self._keep_entries = keep_entries
        self._keep_bytes = keep_bytes
        self.base = stored.snapshot
        self.entries = list(stored.entries)
        self._positions = [self.base.position]  # after the base, then after each entry
        for entry in self.entries:
            self._positions.append(self._positions[-1].after(entry))
        self._bytes = sum(len(entry.payload) for entry in self.entries)
        self.commit_index = self.base.position.index
        self._state = self.base.state  # at the commit index

    @property
    def base_index(self) -> int:
        return self.base.position.index

    @property
    def last_index(self) -> int:
        return self._positions[-1].index

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base.term

    @property
    def committed(self) -> Position:
        return self._positions[self.commit_index - self.base_index]

    @property
    def state(self) -> LogState:
        """At the commit index."""
        return self._state

    def term_at(self, index: int) -> int | None:
        """The term of the entry at an index, None where the log doesn't reach (any more)."""
        if index == self.base_index:
            return self.base.term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def after(self, index: int, most: int, most_bytes: int) -> tuple[Entry, ...]:
        """Entries after an index, committed or not; at least one if there is one."""
        first = index - self.base_index
        chosen: list[Entry] = []
        size = 0
        for entry in self.entries[first : first + most]:
            size += len(entry.payload)
            if chosen and size > most_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(self, entry: Entry) -> None:
        self._positions.append(self._positions[-1].after(entry))
        self.entries.append(entry)
        self._bytes += len(entry.payload)

    def truncate_from(self, index: int) -> None:
        """Drops the entries from an index on. Raises ValueError if one of them is committed."""
        if index <= self.commit_index:
            raise ValueError(f"entry {index} is committed")
        keep = index - self.base_index - 1
        self._bytes -= sum(len(entry.payload) for entry in self.entries[keep:])
        del self.entries[keep:]
        del self._positions[keep + 1 :]

    def commit(self, index: int) -> tuple[Entry, ...]:
        """Commits up to an index that the log holds; the entries that were not committed before."""
        if index <= self.commit_index:
            return ()
        first = self.commit_index - self.base_index
        entries = tuple(self.entries[first : index - self.base_index])
        for entry in entries:
            self._state = self._state.after(entry)
        self.commit_index = index
        return entries

    def install(self, snapshot: Snapshot) -> None:
        """Puts a snapshot past the commit index in place; entries after it stay if they belong to it."""
        index = snapshot.position.index
        keep = self.term_at(index) == snapshot.term and index > self.base_index
        entries = self.entries[index - self.base_index :] if keep else []
        self.base, self.entries, self._positions = snapshot, [], [snapshot.position]
        self.commit_index, self._state, self._bytes = index, snapshot.state, 0
        for entry in entries:
            self.append(entry)

    def compact(self) -> Snapshot | None:
        """Folds the oldest committed entries into the base once there are enough; the new base then."""
        if len(self.entries) < 2 * self._keep_entries and self._bytes < 2 * self._keep_bytes:
            return None
        surplus = self._surplus()
        if not surplus:
            return None
        state = self.base.state
        for entry in self.entries[:surplus]:
            state = state.after(entry)
            self._bytes -= len(entry.payload)
        self.base = Snapshot.of(self._positions[surplus], self.entries[surplus - 1].term, state)
        del self.entries[:surplus]
        del self._positions[:surplus]
        return self.base

    def _surplus(self) -> int:
        """How many of the oldest committed entries go, for the rest to be what is kept."""
        surplus, size = 0, self._bytes
        for entry in self.entries[: self.commit_index - self.base_index]:
            if len(self.entries) - surplus <= self._keep_entries and size <= self._keep_bytes:
                break
            surplus += 1
            size -= len(entry.payload)
        return surplus

    # What the fan-out sees

    @property
    def first_index(self) -> int:
        return self.base_index

    def holds(self, position: Position) -> bool:
        if not self.base_index <= position.index <= self.commit_index:
            return False
        return self._positions[position.index - self.base_index] == position

    def position_at(self, index: int) -> Position:
        return self._positions[index - self.base_index]

    def tail(self, after: int, most: int, most_bytes: int) -> tuple[Entry, ...]:
        return self.after(after, max(0, min(most, self.commit_index - after)), most_bytes)

    def committed_snapshot(self) -> Snapshot:
        term = self.term_at(self.commit_index)
        assert term is not None
        return Snapshot.of(self.committed, term, self._state)
