"""Whether this process serves, and when its connections are closed. No I/O, times in ms.

The answers to `mn` and `GET /ready`, the listening port and the closing of clients' connections follow from
this one state. A drain and a graceful shutdown close connections in the same way and differ in their
schedules alone:

- for a while connections are still accepted, since those who send clients here have not been told yet;
- then each connection is closed between requests, and one with half a command some time later.
"""

import math
from dataclasses import dataclass
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

    `accept_ms`: until then connections are accepted; `close_idle_ms`: from then on they are closed between
    requests; `close_mid_command_ms`: from then on also with half a command; `answer_ms`: by then all requests
    must have been answered.
    """

    accept_ms: float
    close_idle_ms: float
    close_mid_command_ms: float
    answer_ms: float = math.inf


# The front layer is told within 0.1 s, sends clients for a further 0.2 s, and asks on new connections whether
# the drain is over.
DRAIN_SCHEDULE = DrainSchedule(accept_ms=math.inf, close_idle_ms=400.0, close_mid_command_ms=2500.0)
# After SIGTERM clients may not have been told yet: new connections are accepted for so long, and what comes
# on open ones is answered for a little longer.
SHUTDOWN_ACCEPT_MS = 500.0
SHUTDOWN_MID_COMMAND_MS = 250.0
# The platform sends SIGKILL so long after the longest deadline, which it counts as no more than the maximum.
MAX_COUNTED_DEADLINE_MS = 3000.0
KILL_DELAY_MS = 700.0
KILL_MARGIN_MS = 200.0  # all is answered so long before SIGKILL


def shutdown_schedule(longest_deadline_ms: float, handed_over: bool) -> DrainSchedule:
    """The schedule of a graceful shutdown.

    `longest_deadline_ms`: the longest deadline that clients have; `handed_over`: another process has the
    port, so that clients whose connections are closed find it there at once.
    """
    accept_ms = 0.0 if handed_over else SHUTDOWN_ACCEPT_MS
    kill_ms = min(longest_deadline_ms, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS
    return DrainSchedule(
        accept_ms=accept_ms,
        close_idle_ms=accept_ms,
        close_mid_command_ms=accept_ms + SHUTDOWN_MID_COMMAND_MS,
        answer_ms=kill_ms - KILL_MARGIN_MS,
    )


class Serving:
    """The serving state of one process, its changes, and what follows from it at a given time."""

    def __init__(self) -> None:
        """A process that is starting."""
        self.state = ServingState.STARTING
        self._schedule: DrainSchedule | None = None
        self._handed_over = False
        self.since_ms = 0.0  # when the drain or shutdown began

    # Changes: each returns whether the state is now the one asked for ---------------------------------

    def serve(self) -> None:
        """The endpoint list is usable and the port listens."""
        if self.state is ServingState.STARTING:
            self.state = ServingState.READY

    def drain(self, now: float) -> bool:
        """Drains a ready process; a repeated call does not begin the schedule again."""
        if self.state is ServingState.READY:
            self.state = ServingState.DRAINED
            self._schedule = DRAIN_SCHEDULE
            self.since_ms = now
        return self.state is ServingState.DRAINED

    def undrain(self) -> bool:
        """Takes a drain back."""
        if self.state is ServingState.DRAINED:
            self.state = ServingState.READY
            self._schedule = None
        return self.state is ServingState.READY

    def stop(self, now: float, longest_deadline_ms: float, handed_over: bool = False) -> bool:
        """Begins a graceful shutdown, which no other call takes back; False if it has begun before.

        Arguments as those of `shutdown_schedule`.
        """
        if self.state is ServingState.STOPPING:
            return False
        self.state = ServingState.STOPPING
        self._schedule = shutdown_schedule(longest_deadline_ms, handed_over)
        self._handed_over = handed_over
        self.since_ms = now
        return True

    # What follows from the state ----------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """This process can serve; drained, it still can, but no clients are sent to it."""
        return self.state in (ServingState.READY, ServingState.DRAINED)

    @property
    def wanted(self) -> bool:
        """The answer to `mn`. The question is put to an address, which a successor may serve by now."""
        return self.state is ServingState.READY or self._handed_over

    @property
    def draining(self) -> bool:
        """The process is drained or stopping."""
        return self._schedule is not None

    def accepts(self, now: float) -> bool:
        """New connections are accepted."""
        return self._schedule is None or now - self.since_ms < self._schedule.accept_ms

    def closes_idle_connections(self, now: float) -> bool:
        """Connections are closed between requests."""
        return self._schedule is not None and now - self.since_ms >= self._schedule.close_idle_ms

    def closes_mid_command(self, now: float) -> bool:
        """Connections are closed also where half a command has come."""
        return self._schedule is not None and now - self.since_ms >= self._schedule.close_mid_command_ms

    def answer_by_ms(self) -> float:
        """The time by which all requests must have been answered; infinite while there is none."""
        return math.inf if self._schedule is None else self.since_ms + self._schedule.answer_ms
