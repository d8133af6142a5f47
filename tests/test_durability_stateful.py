"""Acknowledged writes and the state loaded at a start survive any order of failures, kills and power cuts."""

from pathlib import PurePosixPath
from unittest.mock import patch

import pytest
from failing_files import Disk, Effect, Fault, Killed
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from cloverwell.control.entry import EMPTY_SNAPSHOT, Entry, LogState, Snapshot
from cloverwell.control.server import durable_files
from cloverwell.control.server.file_storage import FileStorage
from cloverwell.control.storage import StorageError, StoredState, Write

FOLDER = PurePosixPath("/machine/data")
ERRORS = st.sampled_from([5, 28, 30])
EFFECTS = st.sampled_from(list(Effect))


class StorageOnAFailingDisk(RuleBasedStateMachine):
    """A storage on a simulated disk.

    `states[n]` is the state after n writes. The first `durable_count` writes must survive; the next one may.
    """

    def __init__(self):
        super().__init__()
        self.disk = Disk()
        self.patches = [patch.object(durable_files, name, self.disk) for name in ("os", "fcntl")]
        for one in self.patches:
            one.start()
        self.states, self.durable_count, self.storage = [StoredState()], 0, None
        self.failed = False  # whether the storage has raised an error

    def teardown(self):
        for one in self.patches:
            one.stop()

    @initialize()
    def make_folder(self):
        self.disk.mkdir("/machine")
        self.disk.root.sync()
        self.disk.restart()

    @precondition(lambda self: self.storage is None)
    @rule()
    def start(self):
        self.disk.restart()
        self._start()

    @precondition(lambda self: self.storage is None)
    @rule(call=st.integers(0, 16), error=ERRORS | st.none(), effect=EFFECTS)
    def start_on_a_failing_disk(self, call, error, effect):
        self.disk.restart(Fault(call, error, effect))
        try:
            self._start()
        except (StorageError, Killed):
            self.storage = None
        self.disk.fault = None

    @precondition(lambda self: self.storage is not None and not self.failed)
    @rule(size=st.integers(0, 1500), snapshot=st.booleans(), truncate=st.booleans())
    def write(self, size, snapshot, truncate):
        self._write(size, snapshot, truncate)
        self.durable_count += 1

    @precondition(lambda self: self.storage is not None and not self.failed)
    @rule(
        size=st.integers(0, 1500),
        snapshot=st.booleans(),
        truncate=st.booleans(),
        call=st.integers(0, 9),
        error=ERRORS | st.none(),
        effect=EFFECTS,
        written_bytes=st.none() | st.integers(0, 1500),
    )
    def write_on_a_failing_disk(self, size, snapshot, truncate, call, error, effect, written_bytes):
        self.disk.fault = Fault(len(self.disk.calls) + call, error, effect, written_bytes=written_bytes)
        try:
            self._write(size, snapshot, truncate)
            self.durable_count += 1
        except StorageError:
            self.failed = True
        except Killed:
            self._end()
        self.disk.fault = None

    @precondition(lambda self: self.failed)
    @rule()
    def write_after_a_failure(self):
        with pytest.raises(StorageError, match="nothing is written after a failure"):
            self.storage.write(Write(10_000, "z"))

    @precondition(lambda self: self.storage is not None)
    @rule()
    def kill(self):
        self._end()

    @rule()
    def evict(self):
        """Drops clean pages from the page cache, as the kernel may at any time."""
        self.disk.root.evict()

    @rule(data=st.data())
    def cut_power(self, data):
        self._end()
        self.disk.cut_power(lambda: data.draw(st.booleans()))

    @invariant()
    def the_loaded_state_is_the_durable_one(self):
        if self.storage is not None:
            assert self.storage.load() == self.states[self.durable_count]

    def _end(self):
        self.storage, self.failed = None, False

    def _start(self):
        storage = FileStorage(FOLDER)
        state = storage.load()
        assert state in self.states[self.durable_count : self.durable_count + 2]
        # The node acts on the state that it loads, so this state must survive from here on. A later state was
        # not written.
        self.durable_count = self.states.index(state, self.durable_count)
        del self.states[self.durable_count + 1 :]
        self.storage = storage

    def _write(self, size, snapshot, truncate):
        state = self.states[self.durable_count]
        term = state.term + 1
        last = state.entries[-1].index if state.entries else state.snapshot.position.index
        if snapshot and state.entries:
            write = Write(term, "", snapshot=snapshot_of(state))
        elif truncate and state.entries:
            write = Write(term, "a", last, (Entry(last, term, "configuration", bytes(size), "t"),))
        else:
            payload = bytes(number % 251 + 1 for number in range(size))
            write = Write(term, "b", entries=(Entry(last + 1, term, "configuration", payload, "p"),))
        attempted = state.after(write)
        self.states.append(attempted)
        self.storage.write(write)


def snapshot_of(state):
    """Returns a snapshot of the log after the entries of a state."""
    position, log = state.snapshot.position, LogState()
    for entry in state.entries:
        position, log = position.after(entry), log.after(entry)
    assert position != EMPTY_SNAPSHOT.position
    return Snapshot.of(position, state.entries[-1].term, log)


TestStorageOnAFailingDisk = StorageOnAFailingDisk.TestCase
TestStorageOnAFailingDisk.settings = settings(deadline=None, max_examples=150, stateful_step_count=25)
