"""The closing steps of a process that drains or stops, against any behaviour of a client.

A small model stands for the connection. What its client and its node do is drawn at random; what the proxy
does follows `ClientConnection`. From any state and whatever happens later, the connection is closed by its
instant, and no request that was read goes unanswered.
"""

import math
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwell.connections.closing import (
    FIRST_REQUEST_WAIT_MS,
    LATE_FIRST_REQUEST_WAIT_MS,
    RECENT_COMMAND_MS,
    STALLED_MS,
    STALLED_STREAM_MS,
    ClosingState,
    ClosingStep,
    closing_step,
)
from cloverwell.serving import DRAIN_SCHEDULE, NO_DRAIN, Serving, drain_times_from, shutdown_schedule

TICK_MS = 20.0
DRAIN_BOUND_MS = 4000.0  # The specification: by this time after a drain begins, no connection is held.
# The specification: a process is killed this long after the longest deadline, which counts as 3 s at most.
KILL_DELAY_MS = 700.0

EVENTS = [
    "request", "part", "rest", "malformed", "read", "stop_reading", "fall_behind", "node_answers", "value",
    "nothing",
]  # fmt: skip


@dataclass
class ModelConnection:
    """A model of one connection and of its client."""

    accepted_ms: float
    nothing_read: bool = True
    unread: list[str] = field(default_factory=list)  # what the client has sent and the proxy has not read
    open_requests: int = 0
    has_partial_command: bool = False
    is_paused: bool = False
    client_reads: bool = True
    has_unsent_response: bool = False
    is_behind: bool = False  # whether the kernel holds what the client does not take
    is_steady: bool = False  # whether the client takes responses as long as there are some
    value_left_ms: float = 15_000.0  # for how long a steady client reads one long value
    last_taken_ms: float = -math.inf
    command_ms: float = -math.inf
    discards_commands: bool = False
    streaming: bool = False
    half_closed_ms: float | None = None
    closed_ms: float | None = None
    unanswered: int = 0  # the requests that were read, and were open when the connection was closed

    now: float = 0.0

    def closing_state(self):
        pending = self.open_requests > 0 or self.has_unsent_response or self.streaming
        return ClosingState(
            accepted_ms=self.accepted_ms,
            nothing_read=self.nothing_read,
            responses_pending=pending,
            streaming=self.streaming,
            behind=self.is_behind and not pending,
            partial_command=self.has_partial_command and not pending,
            reading_paused=self.is_paused,
            half_closed_ms=self.half_closed_ms,
            closing_after_responses=self.discards_commands,
            stalled_ms=self.now - self.last_taken_ms if self.has_responses else math.inf,
            command_ms=self.command_ms,
        )

    @property
    def has_responses(self):
        return self.has_unsent_response or self.streaming or self.is_behind

    def take_responses(self, now):
        """Has a steady client take some of its responses, a long value until it has all of it."""
        self.now = now
        if not (self.is_steady and self.has_responses):
            return
        self.last_taken_ms = now
        if self.streaming:
            self.value_left_ms -= TICK_MS
            self.streaming = self.value_left_ms > 0.0

    def apply(self, event):
        """Applies an event of the client or of its node."""
        if event in ("request", "part", "rest", "malformed"):
            self.unread.append(event)
        elif event == "read":
            self.client_reads, self.has_unsent_response, self.is_behind = True, False, False
        elif event == "stop_reading":
            self.client_reads = False
        elif event == "fall_behind":
            self.client_reads, self.is_behind = False, True
        elif event == "node_answers":
            self._answer_all()
        elif event == "value" and self.open_requests:
            self.open_requests -= 1
            self.streaming = True

    def _answer_all(self):
        if self.open_requests or self.streaming:
            self.open_requests, self.streaming = 0, False
            self.has_unsent_response = not self.client_reads

    def read_all(self, rejects_requests):
        """Reads what has come in one iteration of the loop, and discards it if the proxy's side is closed."""
        if self.half_closed_ms is not None or self.discards_commands:
            self.unread.clear()
            return
        self.is_paused = False
        for command in self.unread:
            self.nothing_read, self.command_ms = False, self.now
            if command == "part":
                self.has_partial_command = True
            elif command == "malformed":
                self.is_paused = True
                self.has_unsent_response = not self.client_reads
            elif command == "request" or self.has_partial_command:
                self.has_partial_command = False
                if rejects_requests:
                    self.has_unsent_response = not self.client_reads
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
            self.half_closed_ms, self.has_partial_command = now, False
        elif step is ClosingStep.CLOSE_AFTER_RESPONSES:
            assert not self.discards_commands
            self.discards_commands = True
        elif step is ClosingStep.CLOSE:
            self.unanswered = self.open_requests
            self.closed_ms = now


def simulate(connection, instants, events, until_ms, start_ms):
    """Runs ticks until the time, after a group of events each; the last group is repeated to the end."""
    now, index = start_ms, 0
    while now < until_ms and connection.closed_ms is None:
        for event in events[min(index, len(events) - 1)]:
            connection.apply(event)
        index += 1
        connection.take_responses(now)
        connection.read_all(now >= instants.reject_ms)
        if now >= instants.answer_deadline_ms and connection.open_requests:
            connection._answer_all()
        connection.carry_out(closing_step(connection.closing_state(), instants, now), now)
        now += TICK_MS


EVENT_GROUPS = st.lists(st.lists(st.sampled_from(EVENTS), max_size=3), min_size=1, max_size=40)


@given(
    events=EVENT_GROUPS,
    start_ms=st.floats(0.0, 200.0),
    has_values=st.booleans(),
    accepted_before_ms=st.floats(0.0, 5000.0),
)
def test_a_drained_process_holds_no_connection_at_its_bound(events, start_ms, has_values, accepted_before_ms):
    # Only a long value whose client goes on reading may be sent beyond the bound; it has a bound of its own.
    if not has_values:
        events = [[event for event in group if event != "value"] for group in events]
    connection = ModelConnection(accepted_ms=start_ms - accepted_before_ms)
    instants = drain_times_from(DRAIN_SCHEDULE, start_ms)
    simulate(connection, instants, events, start_ms + 60_000.0, start_ms)
    assert connection.closed_ms is not None
    bound_ms = DRAIN_SCHEDULE.close_stream_ms + TICK_MS if has_values else DRAIN_BOUND_MS
    assert connection.closed_ms <= start_ms + bound_ms
    assert not connection.unanswered


@given(events=EVENT_GROUPS, value_ms=st.floats(0.0, 30_000.0))
def test_a_client_that_takes_responses_in_a_drain_is_kept_until_it_has_them_or_stops(events, value_ms):
    connection = ModelConnection(accepted_ms=-1000.0, is_steady=True, value_left_ms=value_ms)
    instants = drain_times_from(DRAIN_SCHEDULE, 0.0)
    simulate(connection, instants, events, DRAIN_SCHEDULE.close_ms, 0.0)
    simulate(connection, instants, [["nothing"]], DRAIN_SCHEDULE.close_stream_ms + value_ms, connection.now)
    connection.is_steady = False
    simulate(connection, instants, [["nothing"]], math.inf, connection.now)
    assert not connection.unanswered
    stopped_ms = DRAIN_SCHEDULE.close_stream_ms + value_ms
    assert connection.closed_ms <= stopped_ms + STALLED_STREAM_MS + TICK_MS
    is_quiet = connection.closed_ms - connection.command_ms >= RECENT_COMMAND_MS
    if connection.has_responses and is_quiet and connection.closed_ms >= DRAIN_SCHEDULE.close_ms:
        assert connection.closed_ms - connection.last_taken_ms >= STALLED_MS


@given(
    events=EVENT_GROUPS,
    longest_ms=st.floats(100.0, 10_000.0),
    handed_over=st.booleans(),
    is_steady=st.booleans(),
    drained_before_ms=st.one_of(st.none(), st.floats(0.0, 4000.0)),
)
def test_a_stopping_process_has_closed_all_connections_before_the_kill(
    events, longest_ms, handed_over, is_steady, drained_before_ms
):
    serving = Serving()
    serving.serve()
    if drained_before_ms is not None:
        serving.drain(-drained_before_ms)
    serving.stop(0.0, longest_ms, handed_over)
    connection = ModelConnection(accepted_ms=-100.0, is_steady=is_steady)
    simulate(connection, serving.drain_times, events, 60_000.0, 0.0)
    assert connection.closed_ms is not None
    assert connection.closed_ms < min(longest_ms, 3000.0) + KILL_DELAY_MS - TICK_MS
    assert not connection.unanswered
    if (
        drained_before_ms is not None
        and not is_steady
        and "value" not in {event for group in events for event in group}
    ):
        assert connection.closed_ms + drained_before_ms <= max(DRAIN_BOUND_MS, drained_before_ms + TICK_MS)


@given(accepted_ms=st.floats(0.0, 100_000.0), events=EVENT_GROUPS)
def test_a_connection_accepted_late_in_a_drain_is_closed_as_soon(accepted_ms, events):
    events = [[event for event in group if event != "value"] for group in events]
    instants = drain_times_from(DRAIN_SCHEDULE, 0.0)
    connection = ModelConnection(accepted_ms=accepted_ms)
    simulate(connection, instants, events, accepted_ms + 60_000.0, accepted_ms)
    late_connection_ms = accepted_ms + DRAIN_SCHEDULE.late_connection_ms + TICK_MS
    assert connection.closed_ms <= max(DRAIN_BOUND_MS, late_connection_ms)


@pytest.mark.parametrize("state", [ClosingState(0.0), ClosingState(0.0, half_closed_ms=1.0)])
@pytest.mark.parametrize("now", [0.0, 1e9])
def test_a_process_that_goes_on_serving_closes_no_connection(state, now):
    assert closing_step(state, NO_DRAIN, now) is ClosingStep.KEEP


@pytest.mark.parametrize(
    ("now", "wait_ms"), [(500.0, FIRST_REQUEST_WAIT_MS), (1500.0, LATE_FIRST_REQUEST_WAIT_MS)]
)
def test_a_new_connection_is_kept_for_its_first_request_for_a_while(now, wait_ms):
    instants = drain_times_from(DRAIN_SCHEDULE, 0.0)
    for age_ms, step in ((wait_ms - 1.0, ClosingStep.KEEP), (wait_ms, ClosingStep.HALF_CLOSE_IF_ALL_READ)):
        state = ClosingState(now - age_ms, nothing_read=True)
        assert closing_step(state, instants, now) is step
    assert closing_step(ClosingState(now), instants, now) is ClosingStep.HALF_CLOSE_IF_ALL_READ


@pytest.mark.parametrize("partial_command", [False, True])
@pytest.mark.parametrize("schedule", [DRAIN_SCHEDULE, shutdown_schedule(2000.0, False)])
def test_a_client_that_is_behind_is_not_closed_between_requests(schedule, partial_command):
    instants = drain_times_from(schedule, 0.0)
    state = ClosingState(-1000.0, behind=True, partial_command=partial_command)
    for now in (schedule.close_idle_ms, schedule.close_mid_command_ms, schedule.half_close_ms - 1.0):
        assert closing_step(state, instants, now) is ClosingStep.KEEP
    assert closing_step(state, instants, schedule.half_close_ms) is ClosingStep.HALF_CLOSE
    assert closing_step(state, instants, schedule.close_ms) is ClosingStep.CLOSE


@given(st.floats(0.0, 20_000.0), st.booleans(), st.booleans(), st.booleans())
def test_after_a_stall_no_connection_is_closed_before_its_bytes_are_read(now, pending, partial, paused):
    instants = drain_times_from(DRAIN_SCHEDULE, 0.0)
    state = ClosingState(0.0, responses_pending=pending, partial_command=partial, reading_paused=paused)
    step = closing_step(state, instants, now, after_stall=True)
    assert step not in (ClosingStep.HALF_CLOSE, ClosingStep.CLOSE)


@given(st.floats(100.0, 10_000.0), st.booleans())
def test_the_instants_of_a_schedule_are_in_order(longest_ms, handed_over):
    for schedule in (DRAIN_SCHEDULE, shutdown_schedule(longest_ms, handed_over)):
        assert schedule.close_idle_ms < schedule.reject_ms <= schedule.close_mid_command_ms
        assert (
            schedule.close_mid_command_ms
            < schedule.answer_deadline_ms
            <= schedule.half_close_ms
            <= schedule.close_ms
        )
        assert schedule.close_ms <= schedule.close_stream_ms < math.inf
