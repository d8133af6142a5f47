"""Whether this process serves, and how it is emptied: one state that all ask. No I/O, times in ms.

`mn`, `GET /ready`, the listening port and the ends of clients' connections go by it. A drain and a planned
end empty the process in the same way and differ in their times alone:

- for a while connections are still taken, since who sends them has not heard yet;
- then each connection is closed between requests, one with half a command only when it is cut.
"""

import math
from dataclasses import dataclass
from enum import Enum


class ServingState(Enum):
    STARTING = "starting"
    READY = "ready"
    DRAINED = "drained"
    STOPPING = "stopping"


@dataclass(slots=True, frozen=True)
class Plan:
    """Since the call, in ms: until when connections are taken, from when they are closed, and cut, and by
    when all must have been answered."""

    accept_ms: float
    let_go_ms: float
    cut_ms: float
    answer_ms: float = math.inf


# Told within 0.1 s, the front goes on for 0.2 s, and asks on new connections whether the drain is over.
DRAIN = Plan(accept_ms=math.inf, let_go_ms=400.0, cut_ms=2500.0)
# After SIGTERM clients may not have heard yet: new connections are taken for so long, and what comes on open
# ones is answered for a little longer.
HEARD_MS, CUT_MS = 500.0, 250.0
MOST_MS, KILL_MS = 3000.0, 700.0  # SIGKILL: so long after the longest deadline, which counts as no more
MARGIN_MS = 200.0  # before it


def stop_plan(longest_ms: float, handed_over: bool) -> Plan:
    """`longest_ms`: the longest deadline that clients have; `handed_over`: another process has the port, and
    who is let go finds it there at once."""
    heard_ms = 0.0 if handed_over else HEARD_MS
    return Plan(heard_ms, heard_ms, heard_ms + CUT_MS, min(longest_ms, MOST_MS) + KILL_MS - MARGIN_MS)


class Serving:
    def __init__(self) -> None:
        self.state = ServingState.STARTING
        self._plan: Plan | None = None
        self._handed_over = False
        self._since_ms = 0.0

    # What happens: each tells whether it is so now --------------------------------------------------

    def serve(self) -> None:
        """The table is usable and the port listens."""
        if self.state is ServingState.STARTING:
            self.state = ServingState.READY

    def drain(self, now: float) -> bool:
        if self.state is ServingState.READY:
            self.state, self._plan, self._since_ms = ServingState.DRAINED, DRAIN, now
        return self.state is ServingState.DRAINED

    def undrain(self) -> bool:
        if self.state is ServingState.DRAINED:
            self.state, self._plan = ServingState.READY, None
        return self.state is ServingState.READY

    def stop(self, now: float, longest_ms: float, handed_over: bool = False) -> bool:
        """It wins over all else, and is never taken back; False if it has been called before."""
        if self.state is ServingState.STOPPING:
            return False
        self._plan, self._handed_over = stop_plan(longest_ms, handed_over), handed_over
        self.state, self._since_ms = ServingState.STOPPING, now
        return True

    # What follows from it ---------------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """This process can serve; drained, it is not sent anything."""
        return self.state in (ServingState.READY, ServingState.DRAINED)

    @property
    def wanted(self) -> bool:
        """The answer to `mn`, which is asked of an address: another process may serve it by now."""
        return self.state is ServingState.READY or self._handed_over

    @property
    def emptying(self) -> bool:
        return self._plan is not None

    def accepts(self, now: float) -> bool:
        return self._plan is None or now - self._since_ms < self._plan.accept_ms

    def lets_go(self, now: float) -> bool:
        """Connections are closed between requests."""
        return self._plan is not None and now - self._since_ms >= self._plan.let_go_ms

    def answers_by_ms(self) -> float:
        """When all must have been answered."""
        return math.inf if self._plan is None else self._since_ms + self._plan.answer_ms

    def cuts(self, now: float) -> bool:
        """So are those with half a command."""
        return self._plan is not None and now - self._since_ms >= self._plan.cut_ms
