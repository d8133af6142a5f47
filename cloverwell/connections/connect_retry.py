"""When a connection that this machine could not begin is tried again, for one node. No I/O.

After a pause one connection is tried, however many attempts wait, and the others are opened only when that
one comes up: a machine that is short of descriptors or memory is not asked once for each attempt.
"""

from __future__ import annotations

from cloverwell.system_calls import LocalFault

CONNECT_RETRY_MS = 20.0  # the pause
MAX_CONNECT_WAIT_MS = 35.0  # an attempt waits so long while connections can't be begun, which is two tries


class ConnectRetry:
    """Whether connections to one node can be begun, and when the next one is tried."""

    def __init__(self) -> None:
        """Starts without a fault."""
        self.fault: LocalFault | None = None  # why the last connection could not be begun
        self._pausing = False

    def record_fault(self, fault: LocalFault) -> bool:
        """Records that one could not be begun.

        Returns whether a pause begins here: one pause is enough for all that were being opened together.
        """
        begins, self._pausing = not self._pausing, True
        self.fault = fault
        return begins

    def end_pause(self) -> None:
        """Allows one try."""
        self._pausing = False

    def record_reply(self) -> bool:
        """Records that a try reached the network: it came up, was refused or timed out.

        Returns whether other connections were waiting for that.
        """
        before, self.fault = self.fault, None
        return before is not None

    def may_try(self, opening: int) -> bool:
        """Tells whether a connection may be begun beside `opening` that are on their way."""
        return self.fault is None or not (opening or self._pausing)
