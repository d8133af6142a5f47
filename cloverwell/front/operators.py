"""The operators' port: HTTP/1.1, one call to a connection.

It has no state of its own and asks an `OperatorService`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol

import h11
from twisted.internet import protocol
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.codec.steady_socket import install_steady_socket
from cloverwell.front.port import BoundedFactory
from cloverwell.log import Log
from cloverwell.timer_wheel import Timer, TimerWheel

MAX_OPERATOR_CONNECTIONS = 8  # connections at once; for one more, the oldest is closed
CALL_TIMEOUT_MS = 5000.0
MAX_HEAD_BYTES = 4096
MAX_BODY_BYTES = 4096  # no call has a body, and one that comes all the same is discarded


class OperatorService(Protocol):
    """What operators may call; a call that is done at once returns whether the state is now as wanted."""

    def ready(self) -> bool:
        """Return whether this process can serve."""

    def drain(self) -> bool:
        """Start to drain this process."""

    def undrain(self) -> bool:
        """End the drain."""

    def configuration(self) -> str | None:
        """Return one line on the active configuration; None where no control log has one."""


@dataclass(slots=True, frozen=True)
class OperatorCall:
    """A call without arguments, by its HTTP method."""

    method: str
    run: Callable[[], bool]


class OperatorResponse(NamedTuple):
    """The response to a call."""

    status: HTTPStatus
    text: str
    headers: list[tuple[str, str]]  # beside those that each response has


class OperatorHttpFactory(BoundedFactory):
    """Accepts operators' connections, and answers their calls."""

    def __init__(self, service: OperatorService, timer_wheel: TimerWheel, log: Log) -> None:
        """Answer calls by what `service` returns, and log those that change something."""
        self._service = service
        self._log = log
        self.timer_wheel = timer_wheel
        self.connections: dict[OperatorConnection, None] = {}  # the oldest first
        self._calls = {
            "/ready": OperatorCall("GET", service.ready),
            "/drain": OperatorCall("PUT", service.drain),
            "/undrain": OperatorCall("PUT", service.undrain),
        }

    # Accepting ----------------------------------------------------------------------------------

    def accept_limit(self) -> int:
        """Return the most connections there may be: older ones make room for new ones."""
        return MAX_OPERATOR_CONNECTIONS

    def accept_failed(self, reason: str) -> None:
        """Log that this machine can't accept for a moment."""
        self._log.warn("operator", f"no caller could be let in for a moment: {reason}")

    def buildProtocol(self, _addr: IAddress | None) -> OperatorConnection:
        """Make a connection, and close the oldest where there are too many."""
        while len(self.connections) >= MAX_OPERATOR_CONNECTIONS:
            next(iter(self.connections)).close("for a newer one")
        connection = OperatorConnection(self)
        self.connections[connection] = None
        return connection

    def closed_without_call(self, reason: str) -> None:
        """Log that a connection was closed before its call was complete."""
        self._log.info("operator", f"a connection was closed without a call: {reason}")

    # Calls --------------------------------------------------------------------------------------

    def answer(self, method: str, path: str) -> OperatorResponse:
        """Carry out a call and return its response."""
        if path == "/configuration" and (line := self._service.configuration()) is not None:
            return (
                OperatorResponse(HTTPStatus.OK, line, []) if method == "GET" else _wrong_method(path, "GET")
            )
        call = self._calls.get(path)
        if call is None:
            return OperatorResponse(HTTPStatus.NOT_FOUND, "there are /ready, /drain and /undrain", [])
        if method != call.method:
            return _wrong_method(path, call.method)
        done = call.run()
        text = "yes" if done else "no"
        if method == "PUT":
            self._log.info("operator", f"{method} {path}: {text}")
        return OperatorResponse(HTTPStatus.OK if done else HTTPStatus.SERVICE_UNAVAILABLE, text, [])


def _wrong_method(path: str, method: str) -> OperatorResponse:
    return OperatorResponse(HTTPStatus.METHOD_NOT_ALLOWED, f"{path} wants {method}", [("Allow", method)])


class OperatorConnection(protocol.Protocol):
    """One operator's connection: a call comes, its response leaves, and the connection is closed."""

    transport: Any  # Twisted's TCP transport

    def __init__(self, owner: OperatorHttpFactory) -> None:
        """Create the connection of an operator that has just been accepted."""
        self._owner = owner
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body_bytes = 0
        self._answered = False
        self._close_reason = "by the caller"
        self._timer: Timer | None = None

    def connectionMade(self) -> None:
        """Start the call's timeout."""
        install_steady_socket(self.transport)
        timer_wheel = self._owner.timer_wheel
        self._timer = timer_wheel.call_by(
            timer_wheel.now() + CALL_TIMEOUT_MS, lambda: self.close("it took too long")
        )

    def dataReceived(self, data: bytes) -> None:
        """Handle bytes from the operator; what comes after the call is discarded."""
        if self._answered:
            return
        try:
            self._http.receive_data(data)
            response = self._handle_events()
        except h11.RemoteProtocolError as error:
            response = OperatorResponse(HTTPStatus(error.error_status_hint or 400), str(error), [])
        if response is not None:
            self._send(response)

    def _handle_events(self) -> OperatorResponse | None:
        """Return the response once the call is complete; raises `h11.RemoteProtocolError`."""
        while True:
            match event := self._http.next_event():
                case h11.Request():
                    self._request = event
                    self._send_continue()
                case h11.Data():
                    self._body_bytes += len(event.data)
                    if self._body_bytes > MAX_BODY_BYTES:
                        return OperatorResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "no call has a body", [])
                case h11.EndOfMessage():
                    assert self._request is not None
                    path = self._request.target.decode("latin-1").partition("?")[0]
                    return self._owner.answer(self._request.method.decode("latin-1"), path)
                case _:  # More bytes are needed, or the operator has closed the connection.
                    return None

    def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self._http.send(response))

    def _send(self, response: OperatorResponse) -> None:
        self._answered = True
        body = f"{response.text}\n".encode()
        headers = [
            *response.headers,
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        status = response.status
        head = h11.Response(status_code=status.value, headers=headers, reason=status.phrase)
        data = self._http.send(head) or b""
        if self._request is None or self._request.method != b"HEAD":
            data += self._http.send(h11.Data(data=body)) or b""
        self.transport.write(data)
        # A close of both sides with bytes unread would be a reset, and the response might not be read.
        self.transport.loseWriteConnection()

    def close(self, reason: str) -> None:
        """Abort the connection; `reason` is for the log."""
        self._close_reason = reason
        self._owner.connections.pop(self, None)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Handle the end of the connection."""
        super().connectionLost(reason)
        self._owner.connections.pop(self, None)
        if not self._answered:
            self._owner.closed_without_call(self._close_reason)
        if self._timer is not None:
            self._timer.cancel()
