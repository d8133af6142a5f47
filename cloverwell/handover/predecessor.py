"""The predecessor's side of a handover: waits for a successor, and gives it this process's state and port."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterator
from enum import Enum
from typing import Protocol

from twisted.internet import tcp, unix
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress, IReactorUNIX
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from cloverwell.front.port import BackoffPort, BoundedFactory
from cloverwell.handover import messages
from cloverwell.handover.messages import HandoverError, HandoverState, Hello, SuccessorMessage
from cloverwell.handover.sockets import is_same_user, remove_stale_socket, short_path
from cloverwell.id_claims import ClaimLink, ClaimMessage
from cloverwell.log import Log
from cloverwell.timer_wheel import Timer, TimerWheel

HELLO_TIMEOUT_MS = 1000.0
MAX_CONNECTIONS = 2  # Open at once: a connection that sends nothing must not keep the successor out.
MAX_LOGGED_ADDRESS_CHARS = 60  # The longest quotation of an address that another process has sent.
SOCKET_MODE = 0o600
SOCKET_UMASK = 0o177


class Refusal(Enum):
    """The reasons why another process can't be the successor; the values are written to the log."""

    SILENT = "it sent no hello in time"
    OTHER_USER = "it runs as another user"
    HELLO_TOO_LONG = "its message is too long"
    SUCCESSOR_EXISTS = "another process is the successor already"


class HandoverRefusedError(HandoverError):
    """The other process is refused for the reason `refusal`."""

    def __init__(self, refusal: Refusal) -> None:
        """The error's text is the value of `refusal`."""
        super().__init__(refusal.value)
        self.refusal = refusal


class OtherAddressError(HandoverError):
    """The other process serves at another address, `listen`, than this one."""

    def __init__(self, listen: str) -> None:
        """`listen` is the address as the other process has sent it."""
        super().__init__(f"it serves at another address: {listen[:MAX_LOGGED_ADDRESS_CHARS]!r}")
        self.listen = listen


class ServingProxy(Protocol):
    """The proxy that a successor takes over from."""

    def hand_over(self) -> tuple[HandoverState, int]:
        """Return the state for the successor, and the listening socket's descriptor.

        Raises `HandoverError` if there is nothing to hand over.
        """

    def connect_successor(self, link: ClaimLink) -> dict[str, float]:
        """Tell the successor of each id that is held from now on; return those that are, with their ms."""

    def claim_received(self, message: ClaimMessage) -> None:
        """Handle a message of the successor on the claim of an id."""

    def successor_started(self) -> None:
        """Stop accepting connections: the successor accepts them now."""

    def successor_exited(self) -> None:
        """Take back what was handed over: the successor has exited."""


class _UnixPort(BackoffPort, unix.Port):
    def connectionLost(self, reason: Failure) -> None:
        """Close the port, but leave its path, which `unix.Port` would remove.

        This is called one turn of the loop after the port was closed, when the path may be the successor's.
        """
        tcp.Port.connectionLost(self, reason)


class SuccessorListener(BoundedFactory):
    """Listens on a Unix socket, and accepts one successor at a time."""

    def __init__(
        self,
        reactor: IReactorUNIX,
        path: str,
        listen: tuple[str, int],
        proxy: ServingProxy,
        timer_wheel: TimerWheel,
        log: Log,
    ) -> None:
        """`path` is the path of the Unix socket; `listen` is the address at which `proxy` serves clients."""
        self._reactor = reactor
        self._path = path
        self._listen = f"{listen[0]}:{listen[1]}"
        self._port: _UnixPort | None = None
        self._connection_count = 0
        self.proxy = proxy
        self.timer_wheel = timer_wheel
        self.log = log
        self.successor: SuccessorConnection | None = None

    def open(self) -> None:
        """Listen for a successor.

        If that fails, a line is logged, and a successor shares the address by SO_REUSEPORT instead.
        """
        try:
            with _umask(SOCKET_UMASK):
                remove_stale_socket(self._path)
                self._port = self._start_port()
        except (CannotListenError, OSError) as error:
            self.log.warn("handover", f"can't listen for a successor: {error}".replace("\n", " "))

    def _start_port(self) -> _UnixPort:
        with short_path(self._path) as name:
            # Twisted declares bytes, but takes text as well, which reads better in the text of its errors.
            port = _UnixPort(name, self, MAX_CONNECTIONS, SOCKET_MODE, self._reactor)  # type: ignore[arg-type]
            port.startListening()  # type: ignore[no-untyped-call]
            port.guard()
        return port

    def close(self) -> None:
        """Stop listening; the path is free at once."""
        if self._port is None:
            return
        with contextlib.suppress(OSError):
            os.unlink(self._path)
        self._port.stopListening()
        self._port = None

    def accept_failed(self, reason: str) -> None:
        """Log that a connection could not be accepted; see `BackoffPort`."""
        self.log.warn("handover", f"a successor's connection can't be accepted for a moment: {reason}")

    def buildProtocol(self, _address: IAddress | None) -> SuccessorConnection | None:
        """Return the protocol of a new connection; None closes it, since too many are open."""
        if self._connection_count >= MAX_CONNECTIONS:
            return None
        self._connection_count += 1
        return SuccessorConnection(self)

    def hello_received(self, connection: SuccessorConnection, hello: Hello) -> None:
        """Hand over to the process that has sent `hello`; raise `HandoverError` if it can't be the
        successor."""
        if self.successor is not None:
            raise HandoverRefusedError(Refusal.SUCCESSOR_EXISTS)
        if hello.listen != self._listen:
            raise OtherAddressError(hello.listen)
        self.successor = connection
        self.close()  # From now on the path is the successor's.
        handover_state, listening_descriptor = self.proxy.hand_over()
        if hello.claims is True:
            handover_state.held_ids = self.proxy.connect_successor(connection)
        connection.send_state(handover_state, listening_descriptor)
        self.log.info(
            "handover",
            f"a successor got the port, {handover_state.sockets} descriptors and the endpoint list",
        )

    def connection_closed(self, connection: SuccessorConnection) -> None:
        """Count the connection as closed; if it was the successor's, the proxy serves alone again."""
        self._connection_count -= 1
        if self.successor is connection:
            self.successor = None
            self.proxy.successor_exited()


class SuccessorConnection(LineReceiver):
    """A connection from another process, which becomes the successor by a valid hello."""

    delimiter = messages.MESSAGE_END
    MAX_LENGTH = messages.MAX_HELLO_BYTES
    transport: unix.Server  # type: ignore[assignment]  # Twisted declares only its smallest interface.
    _hello_timer: Timer

    def __init__(self, successor_listener: SuccessorListener) -> None:
        """`successor_listener` is the listener that has accepted the connection."""
        self._successor_listener = successor_listener

    def connectionMade(self) -> None:
        """Wait for the hello, and refuse a process of another user."""
        timer_wheel = self._successor_listener.timer_wheel
        deadline_ms = timer_wheel.now() + HELLO_TIMEOUT_MS
        self._hello_timer = timer_wheel.call_by(deadline_ms, lambda: self._refuse(Refusal.SILENT.value))
        if not is_same_user(self.transport.getHandle()):
            self._refuse(Refusal.OTHER_USER.value)

    def lineReceived(self, line: bytes) -> None:
        """Process the hello, or a later message of the successor."""
        try:
            if self._successor_listener.successor is self:
                self._successor_line_received(line)
            else:
                hello = messages.decode(line, Hello)
                self._hello_timer.cancel()
                self._successor_listener.hello_received(self, hello)
        except HandoverError as error:
            self._refuse(str(error))

    def _successor_line_received(self, line: bytes) -> None:
        message = messages.decode(line, SuccessorMessage)
        if message.serves:
            self._successor_listener.proxy.successor_started()
        else:
            self._successor_listener.proxy.claim_received(message)

    def send_claim(self, message: ClaimMessage) -> None:
        """Send a message on the claim of an id."""
        self.transport.write(messages.encode(message))

    def lineLengthExceeded(self, _line: bytes) -> None:
        """Refuse a process that sends more than a hello."""
        self._refuse(Refusal.HELLO_TOO_LONG.value)

    def send_state(self, handover_state: HandoverState, listening_descriptor: int) -> None:
        """Send this process's state, with the listening socket's descriptor."""
        self.transport.sendFileDescriptor(listening_descriptor)
        self.transport.write(messages.encode(handover_state))

    def _refuse(self, reason: str) -> None:
        self._successor_listener.log.warn(
            "handover", f"a process can't become the successor: {reason}".replace("\n", " ")
        )
        self.transport.abortConnection()

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Report to the listener that the other process has exited, or was refused."""
        self._hello_timer.cancel()
        self._successor_listener.connection_closed(self)


@contextlib.contextmanager
def _umask(mask: int) -> Iterator[None]:
    previous = os.umask(mask)
    try:
        yield
    finally:
        os.umask(previous)
