"""The process that serves: it waits for a successor, and leaves it what it needs."""

from __future__ import annotations

import contextlib
import os
from typing import Any, Protocol

from twisted.internet import tcp, unix
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from cloverwell.front.port import RestingPort
from cloverwell.handover import messages
from cloverwell.handover.messages import HandoverError, HandoverState, Hello, Serves
from cloverwell.handover.sockets import clear, is_ours, short
from cloverwell.log import Log
from cloverwell.timer_wheel import TimerWheel

HELLO_MS = 1000.0  # what a caller may take to say what it wants
CALLERS = 2  # at once: one that says nothing does not shut the successor out


class Owner(Protocol):
    """Whose address is taken over."""

    def hand_over(self) -> tuple[HandoverState, int]:
        """What the successor gets, and the listening socket's descriptor."""

    def succeeded(self) -> None:
        """The successor serves."""

    def successor_lost(self) -> None:
        """The successor has gone: all is ours again."""


class _Port(RestingPort, unix.Port):
    def connectionLost(self, reason: Failure) -> None:
        # Twisted unlinks the path here, a turn of the loop late: a successor may have its own there by then.
        tcp.Port.connectionLost(self, reason)


class SuccessorListener(Factory):
    """Waits at `path`; one successor at a time."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        path: str,
        listen: tuple[str, int],
        owner: Owner,
        timer_wheel: TimerWheel,
        log: Log,
    ):
        self._reactor = reactor
        self._path = path
        self._listen = f"{listen[0]}:{listen[1]}"
        self._port: Any = None
        self.owner = owner
        self.timer_wheel = timer_wheel
        self.log = log
        self.successor: SuccessorConnection | None = None
        self._callers = 0

    def open(self) -> None:
        """Without it a successor takes the address by SO_REUSEPORT."""
        old = os.umask(0o177)
        try:
            clear(self._path)
            with short(self._path) as name:
                port = _Port(name, self, CALLERS, 0o600, reactor=self._reactor)
                port.startListening()
                port.guard()
            self._port = port
        except (CannotListenError, OSError) as error:
            self.log.warn("handover", f"no successor can ask: {error}".replace("\n", " "))
        finally:
            os.umask(old)

    def close(self) -> None:
        """The path is free, at once."""
        if self._port is not None:
            with contextlib.suppress(OSError):
                os.unlink(self._path)
            self._port.stopListening()
            self._port = None

    def accept_failed(self, reason: str) -> None:
        self.log.warn("handover", f"no successor could be let in for a moment: {reason}")

    def accepts_no_more(self) -> None:
        """How long a successor waits to be let in does not count."""

    def buildProtocol(self, addr: object) -> SuccessorConnection | None:
        if self._callers >= CALLERS:
            return None
        self._callers += 1
        return SuccessorConnection(self)

    def asked(self, caller: SuccessorConnection, hello: Hello) -> None:
        if self.successor is not None:
            raise HandoverError("there is a successor already")
        if hello.listen != self._listen:
            raise HandoverError(f"it serves at {hello.listen[:60]!r}")
        self.successor = caller
        self.close()  # the path is the successor's now
        handover_state, listening = self.owner.hand_over()
        caller.transport.sendFileDescriptor(listening)
        caller.transport.write(messages.encode(handover_state))
        self.log.info(
            "handover", f"a successor has the port, {handover_state.sockets} descriptors and the list"
        )

    def left(self, caller: SuccessorConnection) -> None:
        self._callers -= 1
        if self.successor is caller:
            self.successor = None
            self.owner.successor_lost()


class SuccessorConnection(LineReceiver):
    """One caller, that becomes the successor by a hello that can be read."""

    delimiter = messages.END
    MAX_LENGTH = messages.MAX_HELLO

    def __init__(self, successor_listener: SuccessorListener) -> None:
        self._successor_listener = successor_listener
        self._timer: Any = None

    def connectionMade(self) -> None:
        timer_wheel = self._successor_listener.timer_wheel
        self._timer = timer_wheel.at(timer_wheel.now() + HELLO_MS, lambda: self._refuse("it says nothing"))
        if not is_ours(self.transport.getHandle()):
            self._refuse("it is another user's")

    def lineReceived(self, line: bytes) -> None:
        try:
            if self._successor_listener.successor is self:
                if messages.decode(line, Serves).serves:
                    self._successor_listener.owner.succeeded()
                return
            hello = messages.decode(line, Hello)
            self._timer.cancel()
            self._successor_listener.asked(self, hello)
        except HandoverError as error:
            self._refuse(str(error))

    def lineLengthExceeded(self, line: bytes) -> None:
        self._refuse("it says too much")

    def _refuse(self, reason: str) -> None:
        self._successor_listener.log.warn("handover", f"a caller is refused: {reason}".replace("\n", " "))
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._timer.cancel()
        self._successor_listener.left(self)
