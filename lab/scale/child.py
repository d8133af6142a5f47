"""A child process of a scale run (`python -m lab.scale.child NAME PARENT`); the first message sets its role.

It ends when it is asked to, and together with its parent: by `lab.scale.tether`, and when its standard input
closes.
"""

from __future__ import annotations

import os
import resource
import signal
import sys
from typing import Any, cast

import msgspec
from twisted.internet.protocol import connectionDone
from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent, globalLogBeginner
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from cloverwell.monotonic_reactor import install_reactor
from lab.scale import messages
from lab.scale.reactor import ProcessRole, Report, ScaleReactor
from lab.scale.tether import tether

MAX_LINE_BYTES = 64 * 1024 * 1024
DESCRIPTORS = 8192
ABANDONED_EXIT_CODE = 3  # the parent has gone before it asked for the end


class FaultCounter:
    """A log observer that counts unexpected exceptions and prints them to standard error."""

    def __init__(self) -> None:
        """Begins at zero."""
        self.faults = 0

    def __call__(self, event: LogEvent) -> None:
        """Counts the event if it is an error (`twisted.logger.ILogObserver`)."""
        if event["log_level"] < LogLevel.error:
            return
        self.faults += 1
        failure = event.get("log_failure")
        print(failure.getTraceback() if failure else formatEvent(event), file=sys.stderr, flush=True)


def make_role(reactor: ScaleReactor, start: messages.Command, report: Report) -> ProcessRole:
    """Returns the role that the first message asks for. Raises ValueError for a message that starts no role.

    Only the modules of that role are imported, so that a process's memory is its role's alone.
    """
    match start:
        case messages.StartDiscovery():
            from lab.scale.discovery import DiscoveryProcess

            return DiscoveryProcess(reactor, start, report)
        case messages.StartHollow():
            from lab.scale.hollow import HollowProcess

            return HollowProcess(reactor, start, report)
        case messages.StartRelay():
            from lab.scale.relay import RelayProcess

            return RelayProcess(reactor, start, report)
        case messages.StartNodes():
            from lab.scale.nodes import NodesProcess

            return NodesProcess(reactor, start, report)
        case messages.StartLoad():
            from lab.scale.load import LoadProcess

            return LoadProcess(reactor, start, report)
        case _:
            raise ValueError(f"no role begins with {type(start).__name__}")


class ParentPipe(LineReceiver):
    """The pipe to the parent: commands come in, reports go out."""

    transport: Any  # Twisted sets an `ITransport` before `connectionMade`.
    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, reactor: ScaleReactor, fault_counter: FaultCounter) -> None:
        """Waits for the first message."""
        self._reactor = reactor
        self._fault_counter = fault_counter
        self._role: ProcessRole | None = None
        self._is_finished = False

    def lineReceived(self, line: bytes) -> None:
        """Handles a command; the first one makes the role."""
        command = messages.decode_command(line)
        if self._role is None:
            self._role = make_role(self._reactor, command, self._report)
        elif isinstance(command, messages.Finish):
            self._finish(self._role)
        else:
            self._role.command(command)

    def _report(self, report: messages.Report) -> None:
        self.transport.write(messages.encode(report))

    def _finish(self, role: ProcessRole) -> None:
        totals = role.finish()
        if isinstance(totals, messages.HollowTotals):
            totals = msgspec.structs.replace(totals, faults=self._fault_counter.faults)
        self._report(totals)
        self._is_finished = True
        self.transport.loseConnection()

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Ends the process at once, since nothing that still runs here is of use without the parent."""
        os._exit(0 if self._is_finished else ABANDONED_EXIT_CODE)


def _raise_descriptor_limit() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DESCRIPTORS if hard == resource.RLIM_INFINITY else min(DESCRIPTORS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))


def main() -> None:
    """Runs the process until its end."""
    tether(int(sys.argv[2]))
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent decides which processes Ctrl-C ends
    _raise_descriptor_limit()
    fault_counter = FaultCounter()
    globalLogBeginner.beginLoggingTo([cast(ILogObserver, fault_counter)], redirectStandardIO=False)
    reactor = install_reactor()
    from twisted.internet import stdio  # it imports the reactor, which has to be the one installed here

    stdio.StandardIO(ParentPipe(reactor, fault_counter))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
