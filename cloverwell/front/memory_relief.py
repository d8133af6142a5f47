"""Frees the memory of clients that make no progress, while more is held than slow clients may hold."""

from __future__ import annotations

from cloverwell.connections.client_policy import ClientConnectionPolicy, CloseClient
from cloverwell.connections.close_reason import CloseReason
from cloverwell.front.client_closer import ClientCloser
from cloverwell.front.client_connection import ClientConnection
from cloverwell.memory_budget import MemoryBudget, Urgency

STALLED_COMMAND_MS = 300.0  # A command of which nothing has come for so long is given up first.
UNREAD_STALLED_MS = 2000.0  # A client that has taken nothing for so long is closed.


class MemoryRelief:
    """Gives up partial commands and unread responses, those without progress for longest first."""

    def __init__(
        self,
        memory: MemoryBudget,
        policy: ClientConnectionPolicy[ClientConnection],
        closer: ClientCloser,
    ) -> None:
        """Set up a relief that does nothing before `check`."""
        self._memory = memory
        self._policy = policy
        self._closer = closer

    def check(self, now: float) -> None:
        """Free memory until slow clients hold no more than they may, as far as there are stalled ones."""
        if not self._memory.grants(Urgency.SLOW):
            self._give_up_commands(now)
        if not self._memory.grants(Urgency.SLOW):
            self._close_not_reading(now)

    def _give_up_commands(self, now: float) -> None:
        for client in self._policy.stalled_partial_commands(now, STALLED_COMMAND_MS):
            if client.give_up_partial_command() and self._memory.grants(Urgency.SLOW):
                return

    def _close_not_reading(self, now: float) -> None:
        for client in self._policy.delivery.stalled(now, UNREAD_STALLED_MS):
            if not client.held_bytes:
                continue
            self._closer.close([CloseClient(client, CloseReason.NOT_READING, abort=True)], 1)
            if self._memory.grants(Urgency.SLOW):
                return
