"""Whether this process serves, and how it is emptied: one state that all ask. No I/O, times in ms.

`mn`, `GET /ready`, the listening port and the ends of clients' connections go by it. A drain and a planned
end empty the process in the same way and differ in their times alone:

- for a while connections are still taken, since who sends them has not heard yet;
- then each connection is closed between requests, one with half a command only when it is cut.
"""

import math
from dataclasses import dataclass
from enum import Enum


class State(Enum):
    STARTING = "starting"
    READY = "ready"
    DRAINED = "drained"
    STOPPING = "stopping"


@dataclass(slots=True, frozen=True)
class Plan:
    """Since the call, in ms: until when connections are taken, and from when they are closed, and cut."""

    accept_ms: float
    let_go_ms: float
    cut_ms: float


# Told within 0.1 s, the front goes on for 0.2 s, and asks on new connections whether the drain is over.
DRAIN = Plan(accept_ms=math.inf, let_go_ms=400.0, cut_ms=2500.0)
# After SIGTERM clients may not have heard yet; what comes on open ones is answered for longer than they may
# still be used.
STOP = Plan(accept_ms=500.0, let_go_ms=500.0, cut_ms=750.0)
# Another process has the port: who is let go finds it there at once.
HANDED_OVER = Plan(accept_ms=0.0, let_go_ms=0.0, cut_ms=750.0)


class Serving:
    def __init__(self) -> None:
        self.state = State.STARTING
        self._plan: Plan | None = None
        self._since_ms = 0.0

    # What happens: each tells whether it is so now --------------------------------------------------

    def serve(self) -> None:
        """The table is usable and the port listens."""
        if self.state is State.STARTING:
            self.state = State.READY

    def drain(self, now: float) -> bool:
        if self.state is State.READY:
            self.state, self._plan, self._since_ms = State.DRAINED, DRAIN, now
        return self.state is State.DRAINED

    def undrain(self) -> bool:
        if self.state is State.DRAINED:
            self.state, self._plan = State.READY, None
        return self.state is State.READY

    def stop(self, now: float, plan: Plan = STOP) -> bool:
        """It wins over all else, and is never taken back; False if it has been called before."""
        if self.state is State.STOPPING:
            return False
        self.state, self._plan, self._since_ms = State.STOPPING, plan, now
        return True

    # What follows from it ---------------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """This process can serve; drained, it is not sent anything."""
        return self.state in (State.READY, State.DRAINED)

    @property
    def wanted(self) -> bool:
        """The answer to `mn`, which is asked of an address: another process may serve it by now."""
        return self.state is State.READY or self._plan is HANDED_OVER

    @property
    def emptying(self) -> bool:
        return self._plan is not None

    def accepts(self, now: float) -> bool:
        return self._plan is None or now - self._since_ms < self._plan.accept_ms

    def lets_go(self, now: float) -> bool:
        """Connections are closed between requests."""
        return self._plan is not None and now - self._since_ms >= self._plan.let_go_ms

    def cuts(self, now: float) -> bool:
        """So are those with half a command."""
        return self._plan is not None and now - self._since_ms >= self._plan.cut_ms
