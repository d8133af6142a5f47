"""What must hold of the control log in every play: checked by the virtual world and by the model check."""

from __future__ import annotations

from bisect import bisect_right

from cloverwell.control.effects import ApplyEntry, ApplySnapshot
from cloverwell.control.entry import START, Entry, EntryKind, LogState, Position, Snapshot
from cloverwell.control.timing import LEASE_MS


class RuleBroken(AssertionError):
    """One of the rules; the text says which, and by what."""


class Rules:
    """What all processes together have shown so far. Each method raises RuleBroken."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}  # by term
        self.log: list[Entry] = []  # committed, by whoever said so first
        self.positions: list[Position] = [START]
        self.committed_at: list[float] = []
        self.loaded_to: dict[str, int] = {}  # by proxy: the index that it was given last in this run
        self.started_with: dict[str, Snapshot] = {}  # until it is loaded
        self.strays: set[str] = set()  # proxies that began with what the committed log never was

    def leads(self, node: str, term: int) -> None:
        """At most one leader a term."""
        first = self.leaders.setdefault(term, node)
        if first != node:
            raise RuleBroken(f"two leaders in term {term}: {first} and {node}")

    def committed(self, entries: tuple[Entry, ...], now: float = 0.0) -> None:
        """What is committed is never lost or changed."""
        for entry in entries:
            if entry.index <= len(self.log):
                if self.log[entry.index - 1] != entry:
                    raise RuleBroken(f"entry {entry.index} was committed as another")
            elif entry.index != len(self.log) + 1:
                raise RuleBroken(f"entry {entry.index} committed before {len(self.log) + 1}")
            else:
                self.log.append(entry)
                self.positions.append(self.positions[-1].after(entry))
                self.committed_at.append(now)

    def snapshot(self, snapshot: Snapshot) -> None:
        """A snapshot is what the committed log amounts to at its position."""
        index = snapshot.position.index
        if index > len(self.log) or self.positions[index] != snapshot.position:
            raise RuleBroken(f"a snapshot of {index} that the committed log doesn't have")
        state = LogState()
        for entry in self.log[:index]:
            state = state.after(entry)
        if state != snapshot.state:
            raise RuleBroken(f"the snapshot of {index} isn't what the log amounts to")

    def proxy_started(self, proxy: str, saved: Snapshot | None = None) -> None:
        """A proxy's run begins with what one before it has left, which may be anything."""
        position = START if saved is None else saved.position
        self.loaded_to[proxy] = position.index
        self.strays.discard(proxy)
        self.started_with.pop(proxy, None)
        if saved is not None:
            self.started_with[proxy] = saved
        if position not in self.positions:
            self.strays.add(proxy)

    def load(self, proxy: str, effect: ApplyEntry | ApplySnapshot) -> None:
        """What a proxy is given is the committed log: nothing skipped, nothing twice, all in order."""
        given = self.loaded_to[proxy]
        if isinstance(effect, ApplySnapshot) and self._is_start(proxy, effect.snapshot):
            return
        if isinstance(effect, ApplySnapshot):
            self.snapshot(effect.snapshot)
            index = effect.snapshot.position.index
            if index <= given and proxy not in self.strays:
                raise RuleBroken(f"{proxy} went from {given} back to a snapshot of {index}")
        else:
            index = effect.entry.index
            if index > len(self.log) or self.log[index - 1] != effect.entry:
                raise RuleBroken(f"{proxy} was given entry {index}, which is not committed")
            if proxy in self.strays:
                raise RuleBroken(f"{proxy} was given entry {index} on top of what the log never was")
            if index <= given:
                raise RuleBroken(f"{proxy} was given entry {index} after {given}")
            skipped = [entry for entry in self.log[given : index - 1] if entry.kind != EntryKind.NOOP]
            if skipped:
                raise RuleBroken(f"{proxy} was given entry {index} after {given}: {skipped[0].index} skipped")
        self.loaded_to[proxy] = index
        self.strays.discard(proxy)

    def _is_start(self, proxy: str, snapshot: Snapshot) -> bool:
        """Whether this is what the proxy was started with, given out once."""
        return self.started_with.pop(proxy, None) == snapshot

    def lease(self, proxy: str, current: bool, position: Position, now: float) -> None:
        """Who says that it is current has all that was committed LEASE_MS ago."""
        due = bisect_right(self.committed_at, now - LEASE_MS)
        if current and position not in self.positions[due:]:
            raise RuleBroken(f"{proxy} is current at {position}; {due} was committed {LEASE_MS:.0f} ms ago")
