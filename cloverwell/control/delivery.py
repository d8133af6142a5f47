"""Tracks what a proxy has received of the log, what it is applying, and what it has applied."""

from __future__ import annotations

from collections import deque

import msgspec

from cloverwell.control.effects import ApplyEntry, ApplySnapshot
from cloverwell.control.entry import START_POSITION, Entry, EntryKind, Position, Snapshot
from cloverwell.control.errors import ControlError
from cloverwell.control.messages import MAX_REASON_CHARS

MAX_PENDING_ENTRIES = 1024  # more than any window; a control node that sends more is faulty


class DeliveryError(ControlError):
    """A message does not follow what was received before, so its connection has to be closed."""

    def __init__(self, reason: str) -> None:
        """Uses the reason as the message."""
        super().__init__(reason)
        self.reason = reason


class RefusedEntry(msgspec.Struct, frozen=True):
    """An entry that could not be applied, and why."""

    index: int
    reason: str


class Delivery:
    """The entries that a proxy has received; they are applied in order and one at a time.

    Everything up to `position` is applied, or refused and skipped. `received` is the position after the last
    entry that is applied, being applied or pending.
    """

    def __init__(self) -> None:
        """Starts at the beginning of the log."""
        self.position = START_POSITION
        self.received = START_POSITION
        self._applying: ApplyEntry | ApplySnapshot | None = None
        self._position_when_applied = START_POSITION  # the position once that is applied
        self._pending: deque[Entry | Snapshot] = deque()
        self._refused: dict[str, RefusedEntry] = {}  # by kind; removed when an entry of the kind is applied

    @property
    def refused(self) -> RefusedEntry | None:
        """The latest entry that was refused and not replaced by a later one of its kind."""
        return max(self._refused.values(), key=lambda refused: refused.index, default=None)

    def receive_entries(self, previous: Position, entries: tuple[Entry, ...]) -> None:
        """Adds entries. Raises DeliveryError if they don't follow what was received."""
        if previous != self.received:
            raise DeliveryError(f"entries that follow index {previous.index}, not {self.received.index}")
        if len(self._pending) + len(entries) > MAX_PENDING_ENTRIES:
            raise DeliveryError("more pending entries than any window")
        received = previous
        try:
            for entry in entries:
                received = received.after(entry)
        except ValueError as error:
            raise DeliveryError(str(error)) from None
        self._pending.extend(entries)
        self.received = received

    def receive_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces all that is pending by a snapshot.

        Raises DeliveryError for one that is damaged, and for one that is older than what is applied or being
        applied: a proxy never goes back.
        """
        if not snapshot.is_intact:
            raise DeliveryError("snapshot with a wrong checksum")
        self.drop_pending()
        if snapshot.position.index < self.received.index:
            raise DeliveryError(
                f"snapshot at index {snapshot.position.index}, older than index {self.received.index}"
            )
        if snapshot.position != self.received:
            self._pending.append(snapshot)
            self.received = snapshot.position

    def next_to_apply(self) -> ApplyEntry | ApplySnapshot | None:
        """Returns what is to be applied next; None while something is being applied or nothing is pending."""
        while self._applying is None and self._pending:
            self._begin(self._pending.popleft())
            if self._applying is not None:
                return self._applying
        return None

    def record_applied(self, index: int) -> bool:
        """Records that the entry or snapshot given out is applied; returns False if `index` isn't its own."""
        if not self._is_applying(index):
            return False
        if isinstance(self._applying, ApplyEntry):
            self._refused.pop(self._applying.entry.kind, None)
        else:
            self._refused.clear()
        self._finish()
        return True

    def record_refused(self, index: int, reason: str, kind: str) -> bool:
        """Records that the entry or snapshot given out could not be applied; what was applied before stays.

        `kind` is, for a snapshot, that of the entry in it that could not be applied. Returns False if
        `index` is not that of the entry or snapshot given out.
        """
        if not self._is_applying(index):
            return False
        if isinstance(self._applying, ApplyEntry):
            kind = self._applying.entry.kind
        else:
            self._refused.clear()
        self._refused[kind] = RefusedEntry(index, reason[:MAX_REASON_CHARS])
        self._finish()
        return True

    def drop_pending(self) -> None:
        """Drops what is pending, for example when a connection ends; what is being applied stays."""
        self._pending.clear()
        self.received = self.position if self._applying is None else self._position_when_applied

    def _begin(self, item: Entry | Snapshot) -> None:
        """Begins to apply an item, or skips a no-op."""
        if isinstance(item, Snapshot):
            self._applying = ApplySnapshot(item, self.position)
            self._position_when_applied = item.position
        elif item.kind == EntryKind.NOOP:
            self.position = self.position.after(item)
        else:
            self._applying = ApplyEntry(item)
            self._position_when_applied = self.position.after(item)

    def _is_applying(self, index: int) -> bool:
        return self._applying is not None and self._position_when_applied.index == index

    def _finish(self) -> None:
        self.position = self._position_when_applied
        self._applying = None
