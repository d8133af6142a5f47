"""When a connection that this machine could not begin is tried again, for one node. No I/O.

After a pause one is tried, however many attempts wait, and only when it comes up are the others opened: a
machine that is short of something is not asked for each attempt.
"""

from cloverwell.system_calls import LocalFault

RETRY_MS = 20.0  # the pause
HOLD_MS = 35.0  # for so long an attempt waits while connections can't be begun: two tries


class ConnectRetry:
    def __init__(self) -> None:
        self.fault: LocalFault | None = None  # why the last one could not be begun
        self._pausing = False

    def not_begun(self, fault: LocalFault) -> bool:
        """Whether a pause begins here: one of those that were opening together is enough."""
        begins, self._pausing = not self._pausing, True
        self.fault = fault
        return begins

    def pause_over(self) -> None:
        """A connection may be tried."""
        self._pausing = False

    def answered(self) -> bool:
        """The node has answered a try, or let it time out; tells whether others were held back."""
        before, self.fault = self.fault, None
        return before is not None

    def may_try(self, opening: int) -> bool:
        """`opening`: connections to the node that are on their way."""
        return self.fault is None or not (opening or self._pausing)
