"""Counts what the event loop does between two ticks of the timer wheel, to explain a stall in the log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cloverwell.log import Log


@dataclass(slots=True)
class LoopWork:
    """The work of the event loop since the last tick of the timer wheel.

    Attributes:
        commands: commands of clients that were handled, well-formed or not.
        attempts_ended: attempts that ended: answered, timed out, cancelled or reset.
        accepted: client connections that were accepted.
        closed: client connections that have ended.
        timers: calls that the timer wheel made at the last tick.
        busiest_client: the address of the client with the most commands handled after one another.
        busiest_commands: the number of those commands.

    """

    commands: int = 0
    attempts_ended: int = 0
    accepted: int = 0
    closed: int = 0
    timers: int = 0
    busiest_client: str = ""
    busiest_commands: int = 0

    def describe(self) -> str:
        """Return the counts as text for the log."""
        text = (
            f"{self.commands} commands, {self.attempts_ended} attempts ended, {self.accepted} connections "
            f"accepted, {self.closed} closed, {self.timers} timers"
        )
        if self.busiest_commands:
            text += f"; most commands in a row: {self.busiest_commands} of {self.busiest_client}"
        return text

    def reset(self) -> None:
        """Set all counts back to zero."""
        self.commands = self.attempts_ended = self.accepted = self.closed = self.timers = 0
        self.busiest_client, self.busiest_commands = "", 0


def stall_reporter(log: Log) -> Callable[[float, LoopWork], None]:
    """Return a function that logs a stall of so many ms, with the work that was done before and during it."""

    def report(delay_ms: float, work: LoopWork) -> None:
        log.warn("stall", f"a tick came {delay_ms:.0f} ms late: {work.describe()}")

    return report
