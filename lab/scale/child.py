"""A process of a scale run: `python -m lab.scale.child NAME PARENT`, told by its parent what it is to be.

It ends with its parent (`lab.scale.tether`, and when its standard input closes), and when it is told to.
"""

from __future__ import annotations

import os
import resource
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from twisted.internet.protocol import connectionDone
from twisted.logger import LogEvent, LogLevel, formatEvent, globalLogBeginner
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from cloverwell.monotonic_reactor import install_reactor
from lab.scale import messages
from lab.scale.tether import tether

MOST_LINE = 64 * 1024 * 1024
DESCRIPTORS = 8192
ABANDONED = 3  # exit code where the parent has gone, or was never understood

faults = 0  # exceptions that nothing expected


class Role(Protocol):
    """What a process does; its constructor takes the reactor, the start message and the way to report."""

    def command(self, command: messages.Command) -> None:
        """Any message but the first and `Finish`."""

    def finish(self) -> messages.Totals:
        """The last report."""


def make_role(reactor: Any, start: messages.Command, report: Callable[[messages.Report], None]) -> Role:
    """The role that the first message asks for; only its own modules are imported."""
    match start:
        case messages.StartDiscovery():
            from lab.scale.discovery import Discovery as RoleType
        case messages.StartHollow():
            from lab.scale.hollow import HollowProcess as RoleType
        case messages.StartRelay():
            from lab.scale.relay import Relay as RoleType
        case messages.StartNodes():
            from lab.scale.nodes import Nodes as RoleType
        case messages.StartLoad():
            from lab.scale.load import Load as RoleType
        case _:
            raise ValueError(f"no role begins with {type(start).__name__}")
    return RoleType(reactor, start, report)


class ParentPipe(LineReceiver):
    """Commands come in, reports go out."""

    delimiter = b"\n"
    MAX_LENGTH = MOST_LINE

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._role: Role | None = None
        self._finished = False

    def lineReceived(self, line: bytes) -> None:
        command = messages.decode_command(line)
        if isinstance(command, messages.Finish):
            self._finish()
        elif self._role is None:
            self._role = make_role(self._reactor, command, self._report)
        else:
            self._role.command(command)

    def _report(self, report: messages.Report) -> None:
        self.transport.write(messages.encode(report))

    def _finish(self) -> None:
        totals = self._role.finish()
        if isinstance(totals, messages.HollowTotals):
            totals = msgspec.structs.replace(totals, faults=faults)
        self._report(totals)
        self._finished = True
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        # At once: whatever runs here has nobody to run for.
        os._exit(0 if self._finished else ABANDONED)


def note_fault(event: LogEvent) -> None:
    """Twisted's observer: what nothing expected is counted, and goes to standard error."""
    global faults
    if event["log_level"] < LogLevel.error:
        return
    faults += 1
    failure = event.get("log_failure")
    print(failure.getTraceback() if failure else formatEvent(event), file=sys.stderr, flush=True)


def main() -> None:
    tether(int(sys.argv[2]))
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent decides what Ctrl-C ends
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DESCRIPTORS if hard == resource.RLIM_INFINITY else min(DESCRIPTORS, hard)
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    globalLogBeginner.beginLoggingTo([note_fault], redirectStandardIO=False)
    reactor = install_reactor()
    from twisted.internet import stdio  # it imports the reactor, which has to be the one installed here

    stdio.StandardIO(ParentPipe(reactor))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
