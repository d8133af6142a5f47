"""Every state of a client's connection against every way in which a process ends; see docs/design/ends.md.

One run for each way has a client of each state, on real sockets, one iteration of the loop at a time. Each
connection is closed by its instant, each request that was read is answered, and no client that reads gets a
reset.
"""

import time

import pytest
from closing_record import Record
from closing_states import (
    LONG_VALUE,
    STATES,
    Crowding,
    Hanging,
    Malformed,
    NodeDriver,
    NoReader,
    OverlappingAHang,
    PipelineCap,
    SlowReader,
)
from rig import WAIT_TIMEOUT_S, Rig

from cloverwell import serving
from cloverwell.connections.close_reason import CloseReason
from cloverwell.serving import KILL_MARGIN_MS
from lab.proxy_testbed import SETTINGS

STEP_MS = 20
TICK_MS = 25.0  # one tick of the timer wheel, and a step of the run
DRAIN_BOUND_MS = 4000.0  # The specification: by this time after a drain begins, no connection is held.
LONGEST_MS = 2000.0  # the longest deadline, unless a run has another one
# The specification: a process is killed `KILL_DELAY_MS` after its longest deadline, which counts as at most
# `MAX_COUNTED_MS`.
MAX_COUNTED_MS, KILL_DELAY_MS = 3000.0, 700.0
STREAMS = (SlowReader, NoReader)
# In a drain a long value may go on until then, and for a client that still reads until it has all of it.
STREAM_BOUND_MS = 10_000.0
READ_SLACK_MS = 500.0  # for the close of a client that has read all, at last at full speed


class EndRun:
    """One proxy with a client of each state, and the end of the process and of each connection."""

    def __init__(self, monkeypatch, states=STATES, sockets=256, longest_ms=LONGEST_MS):
        classes = [
            cls | {"deadline": longest_ms, "objective": min(500.0, longest_ms)} for cls in SETTINGS["classes"]
        ]
        self.kill_ms = min(longest_ms, MAX_COUNTED_MS) + KILL_DELAY_MS  # after SIGTERM
        self.rig = Rig(sockets=sockets, settings=SETTINGS | {"classes": classes})
        self.record = Record(self.rig, monkeypatch)
        self.driver = NodeDriver(self.rig)
        self.clients = {}
        # The others take all places at the node, so that the read of a long value would be rejected.
        self._add([state for state in states if state in STREAMS])
        self._add([state for state in states if state not in STREAMS])
        self.drained_ms = self.stopped_ms = None
        self.ended_ms = None
        self._record_reactor_stop()

    def _add(self, states):
        """Adds a client of each state, and lets their first requests be answered."""
        for state in states:
            self.clients[state] = state(self.rig)
        self.run_for(200)

    def run_for(self, ms):
        """Lets time pass, while the node answers and clients go on with their behaviour."""
        end_ms = self.rig.now() + ms
        while self.rig.now() < end_ms:
            self.rig.advance_clock(STEP_MS)
            self.driver.step()
            for client in self.clients.values():
                client.advance(self.rig.now())

    def _record_reactor_stop(self):
        """Has the end recorded when the program stops the reactor, not when the test notices it."""
        stop = self.rig.reactor.stop

        def stopped():
            self.ended_ms = self.rig.now()
            stop()

        self.rig.reactor.stop = stopped

    def drain(self):
        self.drained_ms = self.rig.now()
        self.rig.service.drain()

    def stop(self):
        self.stopped_ms = self.stopped_ms or self.rig.now()
        self.rig.service.stop()

    def finish(self):
        """Lets the bounds pass, and has the clients read what the kernel still holds for them."""
        bounds = []
        if self.drained_ms is not None:
            bounds.append(self.drained_ms + DRAIN_BOUND_MS)
        if self.stopped_ms is not None:
            bounds.append(self.stopped_ms + self.kill_ms)
        self.bound_ms = min(bounds)
        self.run_for(max(bounds) - self.rig.now() + 100)
        if self.stopped_ms is None:
            self.run_for(self.drained_ms + STREAM_BOUND_MS + TICK_MS - self.rig.now())
        for client in self.clients.values():
            self._read_to_the_end(client)
        self.all_read_ms = self.rig.now()
        self.run_for(READ_SLACK_MS)

    def bound_of(self, state):
        """Returns the time by which the client's connection has to be closed."""
        if state not in STREAMS:
            return self.bound_ms
        if self.stopped_ms is not None:
            return self.stopped_ms + self.kill_ms
        if state is SlowReader:
            return self.all_read_ms + READ_SLACK_MS
        return self.drained_ms + STREAM_BOUND_MS

    def _read_to_the_end(self, client):
        """Reads all that the kernel holds for a client, which comes piece by piece as its buffer is read."""
        progress_s = time.monotonic()
        while not (client.eof or client.was_reset) and time.monotonic() < progress_s + WAIT_TIMEOUT_S:
            received_bytes = len(client.received)
            client.read_some()
            self.driver.step()
            self.rig.run_iterations(1)
            if len(client.received) > received_bytes:
                progress_s = time.monotonic()
            else:
                time.sleep(0.001)


def drain(run):
    run.drain()


def drain_undrain_drain(run):
    run.drain()
    run.run_for(1500)
    run.rig.service.undrain()
    run.run_for(300)
    run.drain()


def reload_in_a_drain(run):
    run.drain()
    run.run_for(1000)
    run.rig.service.activate(run.rig.discovery.address, 3)


def stop(run):
    run.stop()


def repeated_stop(run):
    run.stop()
    run.run_for(300)
    run.stop()


def stop_behind_a_reload(run):
    run.rig.service.activate(run.rig.discovery.address, 3)
    run.stop()


def stop_in_a_drain(run):
    run.drain()
    run.run_for(2500)
    run.stop()


def replaced(run):
    run.rig.service.successor_started()
    run.stop()


ENDS = [
    drain,
    drain_undrain_drain,
    reload_in_a_drain,
    stop,
    repeated_stop,
    stop_behind_a_reload,
    stop_in_a_drain,
    replaced,
]


RUNS = [(end, LONGEST_MS) for end in ENDS] + [(stop, ms) for ms in (300.0, 400.0, 1000.0, 2500.0, 5000.0)]


@pytest.fixture(scope="module", params=RUNS, ids=lambda run: f"{run[0].__name__}-{run[1]:g}")
def run(request):
    end, longest_ms = request.param
    with pytest.MonkeyPatch.context() as monkeypatch:
        end_run = EndRun(monkeypatch, longest_ms=longest_ms)
        try:
            end(end_run)
            end_run.finish()
            yield end_run
        finally:
            end_run.rig.close()


@pytest.mark.parametrize("state", STATES, ids=lambda state: state.__name__)
def test_a_connection_is_closed_by_its_instant(run, state):
    bound_ms = run.bound_of(state)
    assert run.record.closed_ms.get(run.clients[state].peer, bound_ms + 1e9) <= bound_ms + TICK_MS


@pytest.mark.parametrize("state", STATES, ids=lambda state: state.__name__)
def test_each_request_that_was_read_is_answered(run, state):
    client = run.clients[state]
    read_count = len(run.record.read_ids.get(client.peer, []))
    assert client.answer_count() <= read_count
    if not state.may_lose:
        assert client.answer_count() == read_count


def test_a_slow_reader_has_its_whole_value_in_a_drain(run):
    client = run.clients[SlowReader]
    value = client.received.partition(b"\r\n")[2]
    assert LONG_VALUE.startswith(value.removesuffix(b"\r\n"))
    assert run.stopped_ms is not None or value == LONG_VALUE + b"\r\n"


def test_commands_that_were_unread_at_the_pipeline_cap_are_answered_too(run):
    client = run.clients[PipelineCap]
    assert client.answer_count() == client.command_count


@pytest.mark.parametrize("state", STATES, ids=lambda state: state.__name__)
def test_no_connection_ends_with_a_reset(run, state):
    client = run.clients[state]
    # One that has taken nothing for 10 s is reset, in a drain as in a process that goes on.
    may_reset = state.may_reset or run.record.close_reasons.get(client.peer) is CloseReason.NOT_READING
    assert may_reset or not client.was_reset


def test_a_process_that_stops_has_ended_before_the_kill(run):
    if run.stopped_ms is None:
        assert not run.rig.reactor.stopped  # A process that is drained stays up.
    else:
        assert run.ended_ms is not None
        assert run.ended_ms < run.stopped_ms + run.kill_ms


def test_long_values_are_being_sent_when_an_end_begins(monkeypatch):
    # The failure: the reads of both states were rejected as busy, so that nothing of them was tested.
    run = EndRun(monkeypatch)
    try:
        assert run.rig.service.client_connections.stream_count == len(STREAMS)
    finally:
        run.rig.close()


# Instants that come in one tick ------------------------------------------------------------------


@pytest.mark.parametrize("margin_ms", [KILL_MARGIN_MS, KILL_MARGIN_MS - 20.0])
def test_if_a_late_tick_brings_all_instants_at_once_readable_commands_are_answered(monkeypatch, margin_ms):
    # The fault: one late tick both failed the open requests and closed the connections, so that commands that
    # were unread because of the pipeline cap got no answer.
    monkeypatch.setattr(serving, "RELEASE_MARGIN_MS", margin_ms)
    states = [PipelineCap, OverlappingAHang, Hanging, Malformed]
    run = EndRun(monkeypatch, states)
    try:
        run.stop()
        run.finish()
        for state in states:
            client = run.clients[state]
            assert client.answer_count() == len(run.record.read_ids.get(client.peer, []))
        assert run.clients[PipelineCap].answer_count() == PipelineCap.command_count
        test_a_process_that_stops_has_ended_before_the_kill(run)
    finally:
        run.rig.close()


# Connections that wait to be accepted -------------------------------------------------------------


@pytest.mark.parametrize("end", [drain, stop, stop_in_a_drain], ids=lambda end: end.__name__)
def test_connections_that_wait_to_be_accepted_are_closed_too(monkeypatch, end):
    # Idle clients that never close their side hold all descriptors; others wait in the kernel's accept queue.
    run = EndRun(monkeypatch, states=[], sockets=64)
    try:
        for number in range(90):
            run.clients[number] = Crowding(run.rig)
        run.rig.run_iterations()
        assert run.rig.service.client_connections._accepting_paused
        end(run)
        run.finish()
        assert all(client.eof or client.was_reset for client in run.clients.values())
        assert all(closed_ms <= run.bound_ms + TICK_MS for closed_ms in run.record.closed_ms.values())
        test_a_process_that_stops_has_ended_before_the_kill(run)
    finally:
        run.rig.close()
