"""Decides when a connection to one node that this machine could not begin is tried again. No I/O.

After a pause a single connection is tried, however many attempts wait. The others are opened only once that
try has reached the network, so that a machine that is short of descriptors or memory is not asked for a
connection by each attempt.
"""

from __future__ import annotations

from cloverwell.system_calls import LocalFault

CONNECT_RETRY_MS = 20.0  # the pause after which a connection is tried again
MAX_CONNECT_WAIT_MS = 35.0  # the longest wait of an attempt while none can be begun: time for two tries


class ConnectRetry:
    """Tracks whether connections to one node can be begun, and when the next one may be tried."""

    def __init__(self) -> None:
        """Starts without a fault or a pause."""
        self.fault: LocalFault | None = None  # why the last connection could not be begun
        self._pausing = False

    def record_fault(self, fault: LocalFault) -> bool:
        """Records that a connection could not be begun.

        Returns whether a pause begins now. During a pause further faults begin none, since one pause is
        enough for all connections that were being opened together.
        """
        pause_begins, self._pausing = not self._pausing, True
        self.fault = fault
        return pause_begins

    def end_pause(self) -> None:
        """Ends the pause, so that one connection may be tried."""
        self._pausing = False

    def record_reply(self) -> bool:
        """Records that a try reached the network: it was established, refused, or timed out.

        Returns whether a fault had limited the connections to that one try, so that others may be waiting.
        """
        previous_fault, self.fault = self.fault, None
        return previous_fault is not None

    def may_try(self, opening: int) -> bool:
        """Tells whether a connection may be begun while `opening` others are being opened."""
        return self.fault is None or not (opening or self._pausing)
