"""The invariants of the control log, checked by the simulation in virtual time and by the model check."""

from __future__ import annotations

from bisect import bisect_right

from cloverwell.control.effects import ApplyEntry, ApplySnapshot
from cloverwell.control.entry import START_POSITION, Entry, EntryKind, LogState, Position, Snapshot
from cloverwell.control.timing import LEASE_MS


class InvariantViolationError(AssertionError):
    """An invariant does not hold; the message says which, and what violates it."""


class ControlInvariants:
    """What all processes together have shown so far.

    Each method records an observation, and raises InvariantViolationError if that violates an invariant.
    """

    def __init__(self) -> None:
        """Starts with nothing observed."""
        self.leaders: dict[int, str] = {}  # by term
        self.log: list[Entry] = []  # the committed log, as the first node to commit an entry has reported it
        self.positions: list[Position] = [START_POSITION]
        self.committed_at_ms: list[float] = []
        self.applied_index: dict[str, int] = {}  # by proxy: the index that it was given last in this run
        self.unapplied_saved: dict[str, Snapshot] = {}  # by proxy: what it started with, until it is applied
        self.diverged: set[str] = set()  # proxies that started with what the committed log never was

    def observe_leader(self, node: str, term: int) -> None:
        """At most one node leads in a term (Raft's election safety)."""
        first = self.leaders.setdefault(term, node)
        if first != node:
            raise InvariantViolationError(f"two leaders in term {term}: {first} and {node}")

    def observe_committed(self, entries: tuple[Entry, ...], now: float = 0.0) -> None:
        """What is committed is never lost or changed (Raft's state machine safety)."""
        for entry in entries:
            if entry.index <= len(self.log):
                if self.log[entry.index - 1] != entry:
                    raise InvariantViolationError(f"entry {entry.index} was committed as another")
            elif entry.index != len(self.log) + 1:
                raise InvariantViolationError(f"entry {entry.index} committed before {len(self.log) + 1}")
            else:
                self.log.append(entry)
                self.positions.append(self.positions[-1].after(entry))
                self.committed_at_ms.append(now)

    def observe_snapshot(self, snapshot: Snapshot) -> None:
        """A snapshot is what the committed log amounts to at its position."""
        index = snapshot.position.index
        if index > len(self.log) or self.positions[index] != snapshot.position:
            raise InvariantViolationError(f"a snapshot of {index} that the committed log doesn't have")
        state = LogState()
        for entry in self.log[:index]:
            state = state.after(entry)
        if state != snapshot.state:
            raise InvariantViolationError(f"the snapshot of {index} isn't what the log amounts to")

    def observe_proxy_start(self, proxy: str, saved: Snapshot | None = None) -> None:
        """Records that a proxy's run begins, with `saved` from an earlier run, which may be anything."""
        position = START_POSITION if saved is None else saved.position
        self.applied_index[proxy] = position.index
        self.diverged.discard(proxy)
        self.unapplied_saved.pop(proxy, None)
        if saved is not None:
            self.unapplied_saved[proxy] = saved
        if position not in self.positions:
            self.diverged.add(proxy)

    def observe_apply(self, proxy: str, effect: ApplyEntry | ApplySnapshot) -> None:
        """A proxy is given the committed log: nothing skipped, nothing twice, everything in order."""
        if isinstance(effect, ApplyEntry):
            index = effect.entry.index
            self._check_entry(proxy, effect.entry)
        elif self.unapplied_saved.pop(proxy, None) == effect.snapshot:
            return  # This is what the proxy was started with.
        else:
            index = effect.snapshot.position.index
            self._check_snapshot(proxy, effect.snapshot)
        self.applied_index[proxy] = index
        self.diverged.discard(proxy)

    def observe_lease(self, proxy: str, current: bool, position: Position, now: float) -> None:
        """A proxy that says that it is current has all that was committed LEASE_MS ago."""
        due = bisect_right(self.committed_at_ms, now - LEASE_MS)
        if current and position not in self.positions[due:]:
            raise InvariantViolationError(
                f"{proxy} is current at {position}; {due} was committed {LEASE_MS:.0f} ms ago"
            )

    def _check_snapshot(self, proxy: str, snapshot: Snapshot) -> None:
        self.observe_snapshot(snapshot)
        index, applied = snapshot.position.index, self.applied_index[proxy]
        if index <= applied and proxy not in self.diverged:
            raise InvariantViolationError(f"{proxy} went from {applied} back to a snapshot of {index}")

    def _check_entry(self, proxy: str, entry: Entry) -> None:
        index, applied = entry.index, self.applied_index[proxy]
        given = f"{proxy} was given entry {index}"
        if index > len(self.log) or self.log[index - 1] != entry:
            raise InvariantViolationError(f"{given}, which is not committed")
        if proxy in self.diverged:
            raise InvariantViolationError(f"{given} on top of what the log never was")
        if index <= applied:
            raise InvariantViolationError(f"{given} after {applied}")
        skipped = [between for between in self.log[applied : index - 1] if between.kind != EntryKind.NOOP]
        if skipped:
            raise InvariantViolationError(f"{given} after {applied}: {skipped[0].index} skipped")
