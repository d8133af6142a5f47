"""Spreads the commands of all clients over the turns of the event loop."""

from __future__ import annotations

from typing import Protocol

from twisted.logger import Logger

from cloverwell.codec.line_allowance import LineAllowance
from cloverwell.connections.fair_queue import FairQueue
from cloverwell.timer_wheel import TimerWheel

# The most commands that one turn of the event loop handles. Each takes up to 0.3 ms, and a turn must be over
# before it counts as a stall (`timer_wheel.STALL_MS`).
MAX_COMMANDS_PER_TURN = 64
MAX_COMMANDS_AT_ONCE = 16  # of one connection, before others have their turn
# The part of a turn's commands that is kept for what is read in that turn, so that a client which sends one
# command seldom waits for the backlog of others.
RESERVED_FOR_ARRIVALS = MAX_COMMANDS_PER_TURN // 2


class SchedulableConnection(Protocol):
    """The interface of a connection that waits for its turn."""

    def __hash__(self) -> int:
        """Return the hash of its identity."""

    def take_turn(self) -> None:
        """Handle some of the commands that wait, and ask for another turn if further ones do."""

    def end(self, abort: bool = False) -> None:
        """Close the connection."""


class CommandScheduler:
    """Gives the connections whose commands wait their turns; `allowance` limits what they handle.

    Commands are handled as they are read until the turn's allowance is used up, or the connection's share of
    it. What is left waits, its connection is not read meanwhile, and it is handled in the next turns of the
    event loop.
    """

    def __init__(self, timer_wheel: TimerWheel) -> None:
        """Set up a scheduler without waiting connections, which renews its allowance at each tick."""
        self.allowance = LineAllowance(MAX_COMMANDS_PER_TURN, MAX_COMMANDS_AT_ONCE)
        self._waiting: FairQueue[SchedulableConnection] = FairQueue()
        self._timer_wheel = timer_wheel
        self._is_scheduled = False
        self._logger = Logger(namespace="commands")
        timer_wheel.before_timers = self._renew_unless_scheduled

    def wait(self, connection: SchedulableConnection, is_new: bool) -> None:
        """Have the connection wait for its turn; `is_new`: it has handled none of its commands yet."""
        self._waiting.add(connection, is_new)
        self._schedule()

    def forget(self, connection: SchedulableConnection) -> None:
        """Remove a connection that has ended."""
        self._waiting.discard(connection)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._timer_wheel.call_in_next_turn(self._give_turns)

    def _renew_unless_scheduled(self) -> None:
        # A turn renews the allowance once: here, or in `_give_turns`.
        if not self._is_scheduled:
            self.allowance.left = MAX_COMMANDS_PER_TURN

    def _give_turns(self) -> None:
        self._is_scheduled = False
        self.allowance.left = MAX_COMMANDS_PER_TURN
        while self.allowance.left > RESERVED_FOR_ARRIVALS:
            connection = self._waiting.take()
            if connection is None:
                return
            self._give_turn(connection)
        if len(self._waiting):
            self._schedule()

    def _give_turn(self, connection: SchedulableConnection) -> None:
        try:
            connection.take_turn()
        except Exception:  # One connection that fails must not keep the others waiting.
            self._logger.failure("failed to handle a client's commands")
            connection.end(abort=True)
