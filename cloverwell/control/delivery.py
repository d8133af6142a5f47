"""What a proxy has received of the log, what it is loading, and how far it has come."""

from __future__ import annotations

from collections import deque

import msgspec

from cloverwell.control.effects import ApplyEntry, ApplySnapshot
from cloverwell.control.entry import START, Entry, EntryKind, Position, Snapshot
from cloverwell.control.messages import MAX_REASON_CHARS

MAX_PENDING_ENTRIES = 1024  # more than any window: a control node that sends more is not one of ours


class DeliveryError(Exception):
    """What was received doesn't follow what is here; the text says why. The connection has to go."""


class RefusedEntry(msgspec.Struct, frozen=True):
    """An entry that could not be loaded, and why."""

    index: int
    reason: str


class Delivery:
    """Entries in their order, one at a time. `position`: all up to it is loaded, or refused and passed
    over."""

    def __init__(self) -> None:
        self.position = START
        self.received = START  # loaded, being loaded, or waiting for it
        self._loading: ApplyEntry | ApplySnapshot | None = None
        self._loading_to = START
        self._pending: deque[Entry | Snapshot] = deque()
        self._refused: dict[str, RefusedEntry] = {}  # by kind, until one of the kind is loaded

    @property
    def refused(self) -> RefusedEntry | None:
        """The latest of those that are refused and not replaced."""
        return max(self._refused.values(), key=lambda refused: refused.index, default=None)

    def take_entries(self, previous: Position, entries: tuple[Entry, ...]) -> None:
        """Raises DeliveryError for entries that don't follow what was received."""
        if previous != self.received:
            raise DeliveryError(f"entries after {previous.index} at {self.received.index}")
        if len(self._pending) + len(entries) > MAX_PENDING_ENTRIES:
            raise DeliveryError("more entries than any window")
        received = previous
        try:
            for entry in entries:
                received = received.after(entry)
        except ValueError as error:
            raise DeliveryError(str(error)) from None
        self._pending.extend(entries)
        self.received = received

    def take_snapshot(self, snapshot: Snapshot) -> None:
        """A snapshot takes the place of all that waits. Raises DeliveryError for one that can't be
        trusted, or that is older than what is loaded or being loaded: a proxy never goes back."""
        if not snapshot.intact:
            raise DeliveryError("snapshot: checksum")
        self.drop_pending()
        if snapshot.position.index < self.received.index:
            raise DeliveryError(f"snapshot of {snapshot.position.index} at {self.received.index}")
        if snapshot.position != self.received:
            self._pending.append(snapshot)
            self.received = snapshot.position

    def next_load(self) -> ApplyEntry | ApplySnapshot | None:
        """What is to be loaded next, None while something is, or where nothing waits. No-ops need no
        loading."""
        while self._loading is None and self._pending:
            item = self._pending.popleft()
            if isinstance(item, Snapshot):
                self._loading, self._loading_to = ApplySnapshot(item, self.position), item.position
            elif item.kind == EntryKind.NOOP:
                self.position = self.position.after(item)
            else:
                self._loading, self._loading_to = ApplyEntry(item), self.position.after(item)
            if self._loading is not None:
                return self._loading
        return None

    def loaded(self, index: int) -> bool:
        """The caller has loaded what was given; False if that isn't what it was given last."""
        if not self._is_loading(index):
            return False
        if isinstance(self._loading, ApplyEntry):
            self._refused.pop(self._loading.entry.kind, None)
        else:
            self._refused.clear()
        self._finish()
        return True

    def refuse(self, index: int, reason: str, kind: str) -> bool:
        """The caller could not load what was given and goes on by what it had; False as with `loaded`.

        `kind`: for a snapshot, of the entry in it that could not be loaded.
        """
        if not self._is_loading(index):
            return False
        if isinstance(self._loading, ApplyEntry):
            kind = self._loading.entry.kind
        else:
            self._refused.clear()
        self._refused[kind] = RefusedEntry(index, reason[:MAX_REASON_CHARS])
        self._finish()
        return True

    def drop_pending(self) -> None:
        """Forgets what waits to be loaded, as after the connection's end; what is being loaded stands."""
        self._pending.clear()
        self.received = self.position if self._loading is None else self._loading_to

    def _is_loading(self, index: int) -> bool:
        return self._loading is not None and self._loading_to.index == index

    def _finish(self) -> None:
        self.position = self._loading_to
        self._loading = None
