"""The decision on each connection of a process that drains or stops, against any behaviour of its client.

A small model stands for the connection: what its client sends, reads or leaves is drawn, what the proxy does
is as in `ClientConnection`. From any state and whatever comes later, the end comes by its instant, and no
request that was read goes unanswered.
"""

import math
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwell.connections.closing import (
    FIRST_REQUEST_WAIT_MS,
    LATE_FIRST_REQUEST_WAIT_MS,
    ClosingState,
    ClosingStep,
    closing_step,
)
from cloverwell.serving import DRAIN_SCHEDULE, NO_DRAIN, Serving, drain_times_from, shutdown_schedule

TICK_MS = 20.0
DRAIN_BOUND_MS = 4000.0  # the page's: at that time no connection is held
PAGE_KILL_MS = 700.0  # the page's: behind the longest deadline, counted as 3 s at most

EVENTS = ["request", "part", "rest", "malformed", "read", "stop_reading", "node_answers", "value", "nothing"]


@dataclass
class Connection:
    """One connection, and the client behind it."""

    accepted_ms: float
    nothing_read: bool = True
    unread: list[str] = field(default_factory=list)  # what the client has sent
    open_requests: int = 0
    partial: bool = False
    paused: bool = False
    reads: bool = True
    unsent: bool = False
    streaming: bool = False
    half_closed_ms: float | None = None
    closed_ms: float | None = None
    unanswered: int = 0  # requests that were read and whose connection was closed before an answer

    def state(self):
        pending = self.open_requests > 0 or self.unsent or self.streaming
        return ClosingState(
            accepted_ms=self.accepted_ms,
            nothing_read=self.nothing_read,
            responses_pending=pending,
            streaming=self.streaming,
            partial_command=self.partial and not pending,
            reading_paused=self.paused,
            half_closed_ms=self.half_closed_ms,
        )

    def client(self, event):
        """What the client, or its node, does."""
        if event in ("request", "part", "rest", "malformed"):
            self.unread.append(event)
        elif event == "read":
            self.reads, self.unsent = True, False
        elif event == "stop_reading":
            self.reads = False
        elif event == "node_answers":
            self._answer_all()
        elif event == "value" and self.open_requests:
            self.open_requests -= 1
            self.streaming = True

    def _answer_all(self):
        if self.open_requests or self.streaming:
            self.open_requests, self.streaming = 0, False
            self.unsent = not self.reads

    def read_all(self, rejects):
        """The loop's turn: what has come is read, unless our side is closed: then it is discarded."""
        if self.half_closed_ms is not None:
            self.unread.clear()
            return
        self.paused = False
        for command in self.unread:
            self.nothing_read = False
            if command == "part":
                self.partial = True
            elif command == "malformed":
                self.paused = True
                self.unsent = not self.reads
            elif command == "request" or self.partial:
                self.partial = False
                if rejects:
                    self.unsent = not self.reads
                else:
                    self.open_requests += 1
        self.unread.clear()

    def carry_out(self, step, now):
        if step is ClosingStep.HALF_CLOSE_IF_ALL_READ and self.unread:
            return
        if step is ClosingStep.REJECT_PARTIAL_COMMAND_IF_ALL_READ and self.unread:
            return
        if step in (
            ClosingStep.HALF_CLOSE_IF_ALL_READ,
            ClosingStep.REJECT_PARTIAL_COMMAND_IF_ALL_READ,
            ClosingStep.HALF_CLOSE,
        ):
            assert not self.open_requests
            self.half_closed_ms, self.partial = now, False
        elif step is ClosingStep.CLOSE:
            self.unanswered = self.open_requests
            self.closed_ms = now


def play(connection, instants, events, until_ms, start_ms):
    """Ticks until the time, one event before each; the last event goes on to the end."""
    now, place = start_ms, 0
    while now < until_ms and connection.closed_ms is None:
        for event in events[min(place, len(events) - 1)]:
            connection.client(event)
        place += 1
        connection.read_all(now >= instants.reject_ms)
        if now >= instants.answer_deadline_ms and connection.open_requests:
            connection._answer_all()
        connection.carry_out(closing_step(connection.state(), instants, now), now)
        now += TICK_MS


STEPS = st.lists(st.lists(st.sampled_from(EVENTS), max_size=3), min_size=1, max_size=40)


@given(
    events=STEPS,
    start_ms=st.floats(0.0, 200.0),
    values=st.booleans(),
    accepted_before_ms=st.floats(0.0, 5000.0),
)
def test_a_drained_process_holds_no_connection_at_its_bound(events, start_ms, values, accepted_before_ms):
    # A long value whose client goes on reading it is the one thing that may go on, and has a bound too.
    if not values:
        events = [[event for event in group if event != "value"] for group in events]
    connection = Connection(accepted_ms=start_ms - accepted_before_ms)
    instants = drain_times_from(DRAIN_SCHEDULE, start_ms)
    play(connection, instants, events, start_ms + 60_000.0, start_ms)
    assert connection.closed_ms is not None
    bound_ms = DRAIN_SCHEDULE.close_stream_ms + TICK_MS if values else DRAIN_BOUND_MS
    assert connection.closed_ms <= start_ms + bound_ms
    assert not connection.unanswered


@given(
    events=STEPS,
    longest_ms=st.floats(100.0, 10_000.0),
    handed_over=st.booleans(),
    drained_before_ms=st.one_of(st.none(), st.floats(0.0, 4000.0)),
)
def test_a_stopping_process_has_closed_all_before_the_kill(
    events, longest_ms, handed_over, drained_before_ms
):
    serving = Serving()
    serving.serve()
    if drained_before_ms is not None:
        serving.drain(-drained_before_ms)
    serving.stop(0.0, longest_ms, handed_over)
    connection = Connection(accepted_ms=-100.0)
    play(connection, serving.drain_times, events, 60_000.0, 0.0)
    assert connection.closed_ms is not None
    assert connection.closed_ms < min(longest_ms, 3000.0) + PAGE_KILL_MS - TICK_MS
    assert not connection.unanswered
    if drained_before_ms is not None and "value" not in {event for group in events for event in group}:
        assert connection.closed_ms + drained_before_ms <= max(DRAIN_BOUND_MS, drained_before_ms + TICK_MS)


@given(accepted_ms=st.floats(0.0, 100_000.0), events=STEPS)
def test_who_connects_late_in_a_drain_is_let_go_as_soon(accepted_ms, events):
    events = [[event for event in group if event != "value"] for group in events]
    instants = drain_times_from(DRAIN_SCHEDULE, 0.0)
    connection = Connection(accepted_ms=accepted_ms)
    play(connection, instants, events, accepted_ms + 60_000.0, accepted_ms)
    late_connection_ms = accepted_ms + DRAIN_SCHEDULE.late_connection_ms + TICK_MS
    assert connection.closed_ms <= max(DRAIN_BOUND_MS, late_connection_ms)


@pytest.mark.parametrize("state", [ClosingState(0.0), ClosingState(0.0, half_closed_ms=1.0)])
@pytest.mark.parametrize("now", [0.0, 1e9])
def test_in_a_process_that_goes_on_nothing_is_closed(state, now):
    assert closing_step(state, NO_DRAIN, now) is ClosingStep.KEEP


@pytest.mark.parametrize(
    ("now", "wait_ms"), [(500.0, FIRST_REQUEST_WAIT_MS), (1500.0, LATE_FIRST_REQUEST_WAIT_MS)]
)
def test_a_new_connection_has_a_while_for_its_first_request(now, wait_ms):
    instants = drain_times_from(DRAIN_SCHEDULE, 0.0)
    for age_ms, step in ((wait_ms - 1.0, ClosingStep.KEEP), (wait_ms, ClosingStep.HALF_CLOSE_IF_ALL_READ)):
        state = ClosingState(now - age_ms, nothing_read=True)
        assert closing_step(state, instants, now) is step
    assert closing_step(ClosingState(now), instants, now) is ClosingStep.HALF_CLOSE_IF_ALL_READ


@given(st.floats(0.0, 20_000.0), st.booleans(), st.booleans(), st.booleans())
def test_behind_a_stall_nothing_is_closed_whatever_is_unread(now, pending, partial, paused):
    instants = drain_times_from(DRAIN_SCHEDULE, 0.0)
    state = ClosingState(0.0, False, pending, False, partial, paused)
    step = closing_step(state, instants, now, after_stall=True)
    assert step not in (ClosingStep.HALF_CLOSE, ClosingStep.CLOSE)


@given(st.floats(100.0, 10_000.0), st.booleans())
def test_the_instants_of_a_schedule_come_in_their_order(longest_ms, handed_over):
    for schedule in (DRAIN_SCHEDULE, shutdown_schedule(longest_ms, handed_over)):
        assert schedule.close_idle_ms < schedule.reject_ms <= schedule.close_mid_command_ms
        assert (
            schedule.close_mid_command_ms
            < schedule.answer_deadline_ms
            <= schedule.half_close_ms
            <= schedule.close_ms
        )
        assert schedule.close_ms <= schedule.close_stream_ms < math.inf
