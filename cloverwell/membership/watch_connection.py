"""The connection to discovery: polls as HTTP requests, and their answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, assert_never, cast

from twisted.internet.address import IPv4Address, IPv6Address
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from cloverwell.codec.errors import MalformedMessageError
from cloverwell.codec.http import HttpReceiver, encode_request
from cloverwell.codec.http_head import ResponseHead
from cloverwell.codec.write_result import WriteResult
from cloverwell.membership.endpoint_list import MAX_LIST_BYTES
from cloverwell.memory_budget import MemoryBudget, MemoryUse
from cloverwell.system_calls import connect_fault


class TcpReactor(Protocol):
    """The part of `twisted.internet.interfaces.IReactorTCP` that opens connections.

    The interface itself declares its methods without `self`, which type checkers do not accept.
    """

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> object:
        """Begin to connect; the factory learns the result."""


class PollObserver(Protocol):
    """The receiver of a connection's reports, which begins the polls; `memory` is the process's budget."""

    memory: MemoryBudget

    def call_in_next_turn(self, call: Callable[[], None]) -> None:
        """Make the call in the next turn of the event loop."""

    def is_current(self, source: WatchConnection | WatchConnector) -> bool:
        """Return whether the source is the one in use; reports of an abandoned one must be ignored."""

    def connection_opened(self, connection: WatchConnection) -> None:
        """Use the connection that has been established; it sends the first poll itself."""

    def connect_not_started(self, connector: WatchConnector) -> None:
        """Handle a shortage on this machine that prevented the connection; discovery has not failed."""

    def connection_closed_idle(self, target: str) -> None:
        """Handle the end of a reused connection before any byte of the answer to the poll of `target`."""

    def poll_answered(self, status: int, body: bytes) -> None:
        """Handle the answer to the poll."""

    def poll_failed(self, reason: str) -> None:
        """Handle a poll that got no answer, or a malformed one."""


class WatchConnection(HttpReceiver):
    """A connection to discovery that is kept from one poll to the next."""

    max_body_bytes = MAX_LIST_BYTES
    incoming_use = MemoryUse.ENDPOINT_LIST

    def __init__(self, observer: PollObserver, target: str, host: str) -> None:
        """Poll `target`, an HTTP request target, once connected; `host` is for the Host header."""
        super().__init__(observer.memory)
        self._observer = observer
        self._target = target
        self._host = host
        self._reused = False  # True once an answer has arrived on this connection
        self._answer_begun = False
        self._awaits_room = False  # whether the poll could not be written yet

    def call_in_next_turn(self, call: Callable[[], None]) -> None:
        """Have the next turn of the event loop make the call."""
        self._observer.call_in_next_turn(call)

    def memory_refused(self) -> None:
        """Read on: without the endpoint list no request can be served."""

    def connectionMade(self) -> None:
        """Send the first poll."""
        super().connectionMade()
        self._observer.connection_opened(self)
        self.poll(self._target)

    def dataReceived(self, data: bytes) -> None:
        """Note that the answer has begun, and parse it."""
        self._answer_begun = True
        super().dataReceived(data)

    def poll(self, target: str) -> None:
        """Send a poll. The one before it must have been answered."""
        self._target = target
        self._answer_begun = False
        self._send_poll()

    def _send_poll(self) -> None:
        result = self.try_write(encode_request("GET", self._target, self._host, {}))
        self._awaits_room = result is WriteResult.NO_ROOM
        match result:
            case WriteResult.ACCEPTED | WriteResult.NO_ROOM:
                return
            case WriteResult.CLOSED:
                self.end(abort=True)
                self._report_lost_poll()
            case _:
                assert_never(result)

    def roomMade(self) -> None:
        """Send a poll that had to wait for room."""
        if self._awaits_room:
            self._send_poll()

    def answer_received(self, head: ResponseHead, body: bytes, closes: bool) -> None:
        """Report an answer, after closing the connection if discovery closes it too."""
        if closes:
            self.end()
        self._reused = True
        if self._observer.is_current(self):
            self._observer.poll_answered(head.status, body)

    def framingLost(self, error: MalformedMessageError) -> None:
        """Close the connection, as nothing that follows a malformed answer can be parsed."""
        self.end(abort=True)
        if self._observer.is_current(self):
            self._observer.poll_failed(f"malformed: {error}")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the end of the connection if a poll was pending on it."""
        was_expected = self.ended or self.ends_body(reason)
        super().connectionLost(reason)
        if not was_expected and self._observer.is_current(self):
            self._report_lost_poll()

    def _report_lost_poll(self) -> None:
        if self._reused and not self._answer_begun:
            # Discovery closed the idle connection while this poll was on its way. This must not count as a
            # failure, whose backoff would delay changes by up to half a second.
            self._observer.connection_closed_idle(self._target)
        else:
            self._observer.poll_failed("connection lost")


class WatchConnector(ClientFactory):
    """One attempt to connect to discovery, for one poll."""

    noisy = False

    def __init__(self, observer: PollObserver, target: str) -> None:
        """Poll `target`, an HTTP request target, once connected."""
        self.target = target
        self._observer = observer

    def buildProtocol(self, addr: IAddress | None) -> WatchConnection | None:
        """Return the protocol of the new connection, or None to close it if the attempt was abandoned."""
        if not self._observer.is_current(self):
            return None
        peer = cast(IPv4Address | IPv6Address, addr)
        return WatchConnection(self._observer, self.target, f"{peer.host}:{peer.port}")

    def clientConnectionFailed(self, _connector: object, reason: Failure) -> None:
        """Report that the attempt failed, by the fault of this machine or of discovery."""
        if not self._observer.is_current(self):
            return
        if connect_fault(reason.value) is not None:
            self._observer.connect_not_started(self)
        else:
            self._observer.poll_failed(f"not connected: {reason.getErrorMessage()}")
