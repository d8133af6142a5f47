"""Whether this process serves, and when its connections are closed. No I/O, times in ms.

The answers to `mn` and `GET /ready`, the listening port and the closing of clients' connections follow from
this one state. A drain and a graceful shutdown close connections in the same way and differ in their
schedules alone: for a while connections are still accepted, since those who send clients here have not been
told yet; then each connection is closed between requests, and what is left is brought to its end step by
step, whatever clients and nodes do. docs/design/ends.md argues the steps.
"""

import math
from dataclasses import dataclass, fields
from enum import Enum


class ServingState(Enum):
    """The life of a proxy process, from its start to its shutdown."""

    STARTING = "starting"
    READY = "ready"
    DRAINED = "drained"
    STOPPING = "stopping"


@dataclass(slots=True, frozen=True)
class DrainSchedule:
    """What happens to connections and requests how long after a drain or a shutdown began.

    Attributes:
        stop_accepting_ms: until then connections are accepted.
        close_idle_ms: from then on connections are closed between requests.
        reject_ms: from then on new requests are rejected, so that their connections come to an end.
        close_mid_command_ms: from then on connections are closed also with half a command.
        answer_deadline_ms: by then all requests have been answered.
        half_close_ms: by then our side of each connection is closed, also where something is unread.
        close_ms: by then each connection is closed on both sides.
        close_stream_ms: by then also one on which a long value is sent.
        late_connection_ms: what a connection has that is accepted when it should be closed already.
        linger_ms: what a client has to close its side after ours.

    """

    stop_accepting_ms: float
    close_idle_ms: float
    reject_ms: float
    close_mid_command_ms: float
    answer_deadline_ms: float
    half_close_ms: float
    close_ms: float
    close_stream_ms: float
    late_connection_ms: float = 0.0
    linger_ms: float = math.inf


# The front layer is told within 0.1 s, sends clients for a further 0.2 s, and asks on new connections whether
# the drain is over. At 4 s no connection may be held that is idle or has had a request in the last 2 s; what
# is left before then covers a stall of the event loop.
DRAIN_SCHEDULE = DrainSchedule(
    stop_accepting_ms=math.inf,
    close_idle_ms=400.0,
    reject_ms=1000.0,
    close_mid_command_ms=2500.0,
    answer_deadline_ms=3200.0,
    half_close_ms=3450.0,
    close_ms=3700.0,
    # A value that has begun is passed on as long as its client reads it, but not without end.
    close_stream_ms=10_000.0,
    late_connection_ms=250.0,
)
# After SIGTERM clients may not have been told yet: new connections are accepted for so long, and what comes
# on open ones is served for a little longer.
SHUTDOWN_ACCEPT_MS = 500.0
SHUTDOWN_MID_COMMAND_MS = 250.0
MIN_CUT_LEAD_MS = 50.0  # half a command is answered as busy so long before all must be answered
# A client that does not close its side must not keep the process from its end.
SHUTDOWN_LINGER_MS = 500.0
# The platform sends SIGKILL so long after the longest deadline, which it counts as no more than the maximum.
MAX_COUNTED_DEADLINE_MS = 3000.0
KILL_DELAY_MS = 700.0
KILL_MARGIN_MS = 200.0  # all is answered so long before SIGKILL
RELEASE_MARGIN_MS = 150.0  # and all is closed, so that a stall of this length does no harm


def shutdown_schedule(longest_deadline_ms: float, handed_over: bool) -> DrainSchedule:
    """The schedule of a graceful shutdown.

    `longest_deadline_ms`: the longest deadline that clients have; `handed_over`: another process has the
    port, so that clients whose connections are closed find it there at once.
    """
    stop_accepting_ms = 0.0 if handed_over else SHUTDOWN_ACCEPT_MS
    kill_ms = min(longest_deadline_ms, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS
    answer_deadline_ms, close_ms = kill_ms - KILL_MARGIN_MS, kill_ms - RELEASE_MARGIN_MS
    cut_ms = min(stop_accepting_ms + SHUTDOWN_MID_COMMAND_MS, answer_deadline_ms - MIN_CUT_LEAD_MS)
    return DrainSchedule(
        stop_accepting_ms=stop_accepting_ms,
        close_idle_ms=stop_accepting_ms,
        reject_ms=cut_ms,
        close_mid_command_ms=cut_ms,
        answer_deadline_ms=answer_deadline_ms,
        half_close_ms=(answer_deadline_ms + close_ms) / 2.0,
        close_ms=close_ms,
        close_stream_ms=close_ms,
        linger_ms=SHUTDOWN_LINGER_MS,
    )


@dataclass(slots=True, frozen=True)
class DrainTimes:
    """The instants of a schedule, in ms of the process's clock, and its two durations.

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
    late_connection_ms: float = math.inf
    linger_ms: float = math.inf

    def earlier(self, other: "DrainTimes") -> "DrainTimes":
        """Of each instant and duration the earlier one."""
        pairs = ((getattr(self, field.name), getattr(other, field.name)) for field in fields(self))
        return DrainTimes(*(min(pair) for pair in pairs))


NO_DRAIN = DrainTimes()  # of a process that goes on


def drain_times_from(schedule: DrainSchedule, began_ms: float) -> DrainTimes:
    """The instants of a schedule that began at `began_ms`."""
    return DrainTimes(
        stop_accepting_ms=began_ms + schedule.stop_accepting_ms,
        close_idle_ms=began_ms + schedule.close_idle_ms,
        reject_ms=began_ms + schedule.reject_ms,
        close_mid_command_ms=began_ms + schedule.close_mid_command_ms,
        answer_deadline_ms=began_ms + schedule.answer_deadline_ms,
        half_close_ms=began_ms + schedule.half_close_ms,
        close_ms=began_ms + schedule.close_ms,
        close_stream_ms=began_ms + schedule.close_stream_ms,
        late_connection_ms=schedule.late_connection_ms,
        linger_ms=schedule.linger_ms,
    )


class Serving:
    """The serving state of one process, its changes, and what follows from it at a given time."""

    def __init__(self) -> None:
        """A process that is starting."""
        self.state = ServingState.STARTING
        self.drain_times = NO_DRAIN
        self._handed_over = False
        self.drain_began_ms = 0.0  # when the drain or shutdown began

    # Changes: each returns whether the state is now the one asked for ---------------------------------

    def serve(self) -> None:
        """The endpoint list is usable and the port listens."""
        if self.state is ServingState.STARTING:
            self.state = ServingState.READY

    def drain(self, now: float) -> bool:
        """Drains a ready process; a repeated call does not begin the schedule again."""
        if self.state is ServingState.READY:
            self.state = ServingState.DRAINED
            self.drain_times = drain_times_from(DRAIN_SCHEDULE, now)
            self.drain_began_ms = now
        return self.state is ServingState.DRAINED

    def undrain(self) -> bool:
        """Takes a drain back."""
        if self.state is ServingState.DRAINED:
            self.state = ServingState.READY
            self.drain_times = NO_DRAIN
        return self.state is ServingState.READY

    def stop(self, now: float, longest_deadline_ms: float, handed_over: bool = False) -> bool:
        """Begins a graceful shutdown, which no other call takes back; False if it has begun before.

        What a drain would have ended earlier ends then all the same. Arguments as those of
        `shutdown_schedule`.
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
        """This process can serve; drained, it still can, but no clients are sent to it."""
        return self.state in (ServingState.READY, ServingState.DRAINED)

    @property
    def is_in_rotation(self) -> bool:
        """The answer to `mn`. The question is put to an address, which a successor may serve by now."""
        return self.state is ServingState.READY or self._handed_over

    @property
    def is_draining(self) -> bool:
        """The process is drained or stopping."""
        return self.drain_times is not NO_DRAIN

    def accepts_connections(self, now: float) -> bool:
        """New connections are accepted."""
        return now < self.drain_times.stop_accepting_ms

    def closes_idle_connections(self, now: float) -> bool:
        """Connections are closed between requests."""
        return now >= self.drain_times.close_idle_ms

    def rejects_requests(self, now: float) -> bool:
        """New requests are rejected."""
        return now >= self.drain_times.reject_ms

    def closes_mid_command(self, now: float) -> bool:
        """Connections are closed also where half a command has come."""
        return now >= self.drain_times.close_mid_command_ms

    def answer_by_ms(self) -> float:
        """The time by which all requests must have been answered; infinite while there is none."""
        return self.drain_times.answer_deadline_ms
