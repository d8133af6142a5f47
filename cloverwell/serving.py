"""The serving state of a process, and when it closes its clients' connections. No I/O; all times in ms.

The answers to `mn` and `GET /ready`, the listening port and the closing of clients' connections follow from
this one state. A drain and a graceful shutdown close connections in the same way and differ only in their
schedules. At first connections are still accepted, because the front layer may not know yet that it must not
send clients here. Then each connection is closed between requests, and the remaining ones are closed step by
step, whatever clients and nodes do. docs/design/ends.md gives the reasons for the steps.
"""

import math
from dataclasses import dataclass, fields
from enum import Enum


class ServingState(Enum):
    """The states of a proxy process, from its start to its shutdown."""

    STARTING = "starting"
    READY = "ready"
    DRAINED = "drained"
    STOPPING = "stopping"


@dataclass(slots=True, frozen=True)
class DrainSchedule:
    """The steps of a drain or a shutdown, as times in ms after its beginning, and two durations in ms.

    Attributes:
        stop_accepting_ms: new connections are accepted until then.
        close_idle_ms: connections are closed between requests from then on.
        reject_ms: new requests are rejected from then on, so that their connections can be closed.
        close_mid_command_ms: connections on which a partial command has arrived are closed from then on.
        answer_deadline_ms: all requests have been answered by then.
        half_close_ms: our side of each connection is closed by then, even if data on it is unread.
        close_ms: each connection is closed on both sides by then, unless its client still takes responses.
        close_stream_ms: the same for a connection on which a long value is being sent.
        close_all_ms: all connections are closed by then, whatever their clients do.
        late_connection_ms: how long a connection may stay open after it was accepted, even past `close_ms`.
        linger_ms: how long a client may take to close its side after our side is closed.

    """

    stop_accepting_ms: float
    close_idle_ms: float
    reject_ms: float
    close_mid_command_ms: float
    answer_deadline_ms: float
    half_close_ms: float
    close_ms: float
    close_stream_ms: float
    close_all_ms: float = math.inf
    late_connection_ms: float = 0.0
    linger_ms: float = math.inf


LATE_CONNECTION_MS = 250.0  # the time for the first request of a connection that is accepted late

# The front layer learns of a drain within 0.1 s, sends clients for a further 0.2 s, and asks on new
# connections whether the drain is over. After 4 s no connection may be open that is idle or has had a request
# in the last 2 s; the steps are over a little earlier, so that a stall of the event loop does no harm.
DRAIN_SCHEDULE = DrainSchedule(
    stop_accepting_ms=math.inf,
    close_idle_ms=400.0,
    reject_ms=1000.0,
    close_mid_command_ms=2500.0,
    answer_deadline_ms=3200.0,
    half_close_ms=3450.0,
    close_ms=3700.0,
    # A long value may pause for so long, at its source or its reader.
    close_stream_ms=10_000.0,
    late_connection_ms=LATE_CONNECTION_MS,
)
# After SIGTERM clients may still be sent here, so new connections are accepted for `SHUTDOWN_ACCEPT_MS`.
# Requests on open connections are served for `SHUTDOWN_MID_COMMAND_MS` longer.
SHUTDOWN_ACCEPT_MS = 500.0
SHUTDOWN_MID_COMMAND_MS = 250.0
# A partial command is answered as busy at least this long before all requests must be answered.
MIN_CUTOFF_LEAD_MS = 50.0
# A client that does not close its side must not delay the end of the process for longer than this.
SHUTDOWN_LINGER_MS = 500.0
# The platform sends SIGKILL `KILL_DELAY_MS` after the longest deadline, or after this maximum if it is less.
MAX_COUNTED_DEADLINE_MS = 3000.0
KILL_DELAY_MS = 700.0
KILL_MARGIN_MS = 200.0  # All requests are answered this long before SIGKILL.
RELEASE_MARGIN_MS = 150.0  # All connections are closed this long before it; a stall as long does no harm.


def shutdown_schedule(longest_deadline_ms: float, handed_over: bool) -> DrainSchedule:
    """Returns the schedule of a graceful shutdown.

    `longest_deadline_ms`: the longest deadline of any request; `handed_over`: a successor accepts connections
    on the port, so clients whose connections are closed reach it at once.
    """
    stop_accepting_ms = 0.0 if handed_over else SHUTDOWN_ACCEPT_MS
    kill_ms = min(longest_deadline_ms, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS
    answer_deadline_ms, close_ms = kill_ms - KILL_MARGIN_MS, kill_ms - RELEASE_MARGIN_MS
    cutoff_ms = min(stop_accepting_ms + SHUTDOWN_MID_COMMAND_MS, answer_deadline_ms - MIN_CUTOFF_LEAD_MS)
    return DrainSchedule(
        stop_accepting_ms=stop_accepting_ms,
        close_idle_ms=stop_accepting_ms,
        reject_ms=cutoff_ms,
        close_mid_command_ms=cutoff_ms,
        answer_deadline_ms=answer_deadline_ms,
        half_close_ms=(answer_deadline_ms + close_ms) / 2.0,
        close_ms=close_ms,
        close_stream_ms=close_ms,
        close_all_ms=close_ms,
        late_connection_ms=LATE_CONNECTION_MS,
        linger_ms=SHUTDOWN_LINGER_MS,
    )


@dataclass(slots=True, frozen=True)
class DrainTimes:
    """The steps of a drain or a shutdown, as times of the process's clock in ms, and two durations in ms.

    The attributes are those of `DrainSchedule`.
    """

    stop_accepting_ms: float = math.inf
    close_idle_ms: float = math.inf
    reject_ms: float = math.inf
    close_mid_command_ms: float = math.inf
    answer_deadline_ms: float = math.inf
    half_close_ms: float = math.inf
    close_ms: float = math.inf
    close_stream_ms: float = math.inf
    close_all_ms: float = math.inf
    late_connection_ms: float = math.inf
    linger_ms: float = math.inf

    def earlier(self, other: "DrainTimes") -> "DrainTimes":
        """Returns the earlier of the two times, or the shorter of the two durations, for each attribute."""
        pairs = ((getattr(self, field.name), getattr(other, field.name)) for field in fields(self))
        return DrainTimes(*(min(pair) for pair in pairs))


NO_DRAIN = DrainTimes()  # The times of a process that neither drains nor stops: all are infinite.


def drain_times_from(schedule: DrainSchedule, began_ms: float) -> DrainTimes:
    """Returns the times of a schedule that began at `began_ms`."""
    return DrainTimes(
        stop_accepting_ms=began_ms + schedule.stop_accepting_ms,
        close_idle_ms=began_ms + schedule.close_idle_ms,
        reject_ms=began_ms + schedule.reject_ms,
        close_mid_command_ms=began_ms + schedule.close_mid_command_ms,
        answer_deadline_ms=began_ms + schedule.answer_deadline_ms,
        half_close_ms=began_ms + schedule.half_close_ms,
        close_ms=began_ms + schedule.close_ms,
        close_stream_ms=began_ms + schedule.close_stream_ms,
        close_all_ms=began_ms + schedule.close_all_ms,
        late_connection_ms=schedule.late_connection_ms,
        linger_ms=schedule.linger_ms,
    )


class Serving:
    """The serving state of one process, its changes, and what follows from it at a given time."""

    def __init__(self) -> None:
        """Sets up the state of a process that is starting."""
        self.state = ServingState.STARTING
        self.drain_times = NO_DRAIN
        self._handed_over = False
        self.drain_began_ms = 0.0  # the beginning of the last drain or shutdown

    # Changes of the state -----------------------------------------------------------------------------

    def serve(self) -> None:
        """Makes a starting process ready: it has an endpoint list, and its port listens."""
        if self.state is ServingState.STARTING:
            self.state = ServingState.READY

    def drain(self, now: float) -> bool:
        """Drains a ready process; returns whether it is drained. A repeated call changes no schedule."""
        if self.state is ServingState.READY:
            self.state = ServingState.DRAINED
            self.drain_times = drain_times_from(DRAIN_SCHEDULE, now)
            self.drain_began_ms = now
        return self.state is ServingState.DRAINED

    def undrain(self) -> bool:
        """Ends a drain; returns whether the process is ready now."""
        if self.state is ServingState.DRAINED:
            self.state = ServingState.READY
            self.drain_times = NO_DRAIN
        return self.state is ServingState.READY

    def stop(self, now: float, longest_deadline_ms: float, handed_over: bool = False) -> bool:
        """Begins a graceful shutdown, which no other call can undo; returns False if it had begun already.

        Steps that are due earlier by a drain stay that early. For the arguments see `shutdown_schedule`.
        """
        if self.state is ServingState.STOPPING:
            return False
        self.state = ServingState.STOPPING
        shutdown = drain_times_from(shutdown_schedule(longest_deadline_ms, handed_over), now)
        self.drain_times = self.drain_times.earlier(shutdown)
        self._handed_over = handed_over
        self.drain_began_ms = now
        return True

    # What follows from the state ----------------------------------------------------------------------

    @property
    def can_serve(self) -> bool:
        """True if this process can serve. It still can while drained, but no clients are sent to it."""
        return self.state in (ServingState.READY, ServingState.DRAINED)

    @property
    def is_in_rotation(self) -> bool:
        """True if clients may be sent to this address, also if a successor serves it: the answer to `mn`."""
        return self.state is ServingState.READY or self._handed_over

    @property
    def is_draining(self) -> bool:
        """True if the process is drained or stopping."""
        return self.drain_times is not NO_DRAIN

    def accepts_connections(self, now: float) -> bool:
        """Returns whether new connections are accepted."""
        return now < self.drain_times.stop_accepting_ms

    def closes_idle_connections(self, now: float) -> bool:
        """Returns whether connections are closed between requests."""
        return now >= self.drain_times.close_idle_ms

    def rejects_requests(self, now: float) -> bool:
        """Returns whether new requests are rejected."""
        return now >= self.drain_times.reject_ms

    def closes_mid_command(self, now: float) -> bool:
        """Returns whether connections are closed even if a partial command has arrived."""
        return now >= self.drain_times.close_mid_command_ms

    def answer_by_ms(self) -> float:
        """Returns the time by which all requests must be answered; infinite without a drain or a shutdown."""
        return self.drain_times.answer_deadline_ms
