"""Any order of writes, failures, kills and power cuts: what was acknowledged or found at a start is there."""

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
    """`states[n]`: after n writes. All up to `promised` must last; the one after it may have lasted."""

    def __init__(self):
        super().__init__()
        self.disk = Disk()
        self.patches = [patch.object(durable_files, name, self.disk) for name in ("os", "fcntl")]
        for one in self.patches:
            one.start()
        self.states, self.promised, self.storage = [StoredState()], 0, None
        self.failed = False  # the storage has raised an error

    def teardown(self):
        for one in self.patches:
            one.stop()

    @initialize()
    def machine(self):
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
        self.promised += 1

    @precondition(lambda self: self.storage is not None and not self.failed)
    @rule(
        size=st.integers(0, 1500),
        snapshot=st.booleans(),
        truncate=st.booleans(),
        call=st.integers(0, 9),
        error=ERRORS | st.none(),
        effect=EFFECTS,
        written=st.none() | st.integers(0, 1500),
    )
    def write_on_a_failing_disk(self, size, snapshot, truncate, call, error, effect, written):
        self.disk.fault = Fault(len(self.disk.calls) + call, error, effect, written=written)
        try:
            self._write(size, snapshot, truncate)
            self.promised += 1
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
        """The kernel forgets clean pages, as it may at any time."""
        self.disk.root.evict()

    @rule(data=st.data())
    def cut_power(self, data):
        self._end()
        self.disk.cut_power(lambda: data.draw(st.booleans()))

    @invariant()
    def what_is_loaded_is_what_was_promised(self):
        if self.storage is not None:
            assert self.storage.load() == self.states[self.promised]

    def _end(self):
        self.storage, self.failed = None, False

    def _start(self):
        storage = FileStorage(FOLDER)
        state = storage.load()
        assert state in self.states[self.promised : self.promised + 2]
        # The node acts by what it has found: from here on that is promised, and nothing more was written.
        self.promised = self.states.index(state, self.promised)
        del self.states[self.promised + 1 :]
        self.storage = storage

    def _write(self, size, snapshot, truncate):
        state = self.states[self.promised]
        term = state.term + 1
        last = state.entries[-1].index if state.entries else state.snapshot.position.index
        if snapshot and state.entries:
            write = Write(term, "", snapshot=folded(state))
        elif truncate and state.entries:
            write = Write(term, "a", last, (Entry(last, term, "configuration", bytes(size), "t"),))
        else:
            payload = bytes(number % 251 + 1 for number in range(size))
            write = Write(term, "b", entries=(Entry(last + 1, term, "configuration", payload, "p"),))
        attempted = state.after(write)
        self.states.append(attempted)
        self.storage.write(write)


def folded(state):
    position, log = state.snapshot.position, LogState()
    for entry in state.entries:
        position, log = position.after(entry), log.after(entry)
    assert position != EMPTY_SNAPSHOT.position
    return Snapshot.of(position, state.entries[-1].term, log)


TestStorageOnAFailingDisk = StorageOnAFailingDisk.TestCase
TestStorageOnAFailingDisk.settings = settings(deadline=None, max_examples=150, stateful_step_count=25)
