"""Serves the operators' calls over HTTP/1.1, one call per connection.

Calls are carried out by an `OperatorService`; this module keeps no state of the process.
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

MAX_OPERATOR_CONNECTIONS = 8  # When one more connection is accepted, the oldest is closed.
CALL_TIMEOUT_MS = 5000.0  # from the accept to the end of the connection
MAX_HEAD_BYTES = 4096  # of the request line and the headers together
MAX_BODY_BYTES = 4096  # No call needs a body; a shorter one is discarded, a longer one is an error.


class OperatorService(Protocol):
    """The calls that operators may make; each bool result says whether the state is now as requested."""

    def ready(self) -> bool:
        """Return whether this process can serve."""

    def drain(self) -> bool:
        """Start to drain this process."""

    def undrain(self) -> bool:
        """End the drain."""

    def configuration(self) -> str | None:
        """Return a line on the active configuration; None without a control log."""


@dataclass(slots=True, frozen=True)
class OperatorCall:
    """A call without arguments: its HTTP method, and the function that carries it out."""

    method: str
    run: Callable[[], bool]


class OperatorResponse(NamedTuple):
    """The response to a call."""

    status: HTTPStatus
    text: str
    headers: list[tuple[str, str]]  # in addition to the headers of every response


class OperatorHttpFactory(BoundedFactory):
    """Creates the operators' connections, and carries out their calls."""

    def __init__(self, service: OperatorService, timer_wheel: TimerWheel, log: Log) -> None:
        """Set up a factory whose calls `service` carries out; calls that change the state are logged."""
        self._service = service
        self._log = log
        self.timer_wheel = timer_wheel
        self.connections: dict[OperatorConnection, None] = {}  # in the order in which they were accepted
        self._calls = {
            "/ready": OperatorCall("GET", service.ready),
            "/drain": OperatorCall("PUT", service.drain),
            "/undrain": OperatorCall("PUT", service.undrain),
        }

    # Accepting ----------------------------------------------------------------------------------

    def accept_limit(self) -> int:
        """Return how many connections may be accepted now; the oldest open ones are closed for them."""
        return MAX_OPERATOR_CONNECTIONS

    def accept_failed(self, reason: str) -> None:
        """Log that accepting fails; it is tried again."""
        self._log.warn("operator", f"cannot accept operator connections, will retry: {reason}")

    def buildProtocol(self, _addr: IAddress | None) -> OperatorConnection:
        """Make the protocol of a new connection, and close the oldest connection if there are too many."""
        while len(self.connections) >= MAX_OPERATOR_CONNECTIONS:
            next(iter(self.connections)).close("replaced by a newer connection")
        connection = OperatorConnection(self)
        self.connections[connection] = None
        return connection

    def log_incomplete_call(self, reason: str) -> None:
        """Log that a connection was closed before its call was complete."""
        self._log.info("operator", f"a connection ended before a call was complete: {reason}")

    # Calls --------------------------------------------------------------------------------------

    def answer(self, method: str, path: str) -> OperatorResponse:
        """Carry out a call and return its response."""
        if path == "/configuration" and (line := self._service.configuration()) is not None:
            return (
                OperatorResponse(HTTPStatus.OK, line, [])
                if method == "GET"
                else _method_not_allowed(path, "GET")
            )
        call = self._calls.get(path)
        if call is None:
            return OperatorResponse(HTTPStatus.NOT_FOUND, "there are /ready, /drain and /undrain", [])
        if method != call.method:
            return _method_not_allowed(path, call.method)
        succeeded = call.run()
        text = "yes" if succeeded else "no"
        if method == "PUT":
            self._log.info("operator", f"{method} {path}: {text}")
        return OperatorResponse(HTTPStatus.OK if succeeded else HTTPStatus.SERVICE_UNAVAILABLE, text, [])


def _method_not_allowed(path: str, method: str) -> OperatorResponse:
    return OperatorResponse(HTTPStatus.METHOD_NOT_ALLOWED, f"{path} wants {method}", [("Allow", method)])


class OperatorConnection(protocol.Protocol):
    """One operator's connection: receives a call, sends its response, and is closed."""

    transport: Any  # Twisted's TCP transport

    def __init__(self, owner: OperatorHttpFactory) -> None:
        """Set up the connection of an operator that has just been accepted."""
        self._owner = owner
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body_bytes = 0
        self._has_responded = False
        self._close_reason = "closed by the operator"
        self._timer: Timer | None = None

    def connectionMade(self) -> None:
        """Start the call's timeout."""
        install_steady_socket(self.transport)
        timer_wheel = self._owner.timer_wheel
        self._timer = timer_wheel.call_by(
            timer_wheel.now() + CALL_TIMEOUT_MS, lambda: self.close("no complete call in time")
        )

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes have come from the operator; those after the call are discarded."""
        if self._has_responded:
            return
        try:
            self._http.receive_data(data)
            response = self._handle_events()
        except h11.RemoteProtocolError as error:
            response = OperatorResponse(HTTPStatus(error.error_status_hint or 400), str(error), [])
        if response is not None:
            self._send(response)

    def _handle_events(self) -> OperatorResponse | None:
        """Return the response if the call is complete, else None; raises `h11.RemoteProtocolError`."""
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
        self._has_responded = True
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
        # A close of both sides over unread input would be a reset, and the operator might lose the response.
        self.transport.loseWriteConnection()

    def close(self, reason: str) -> None:
        """Abort the connection; `reason` stands in the log."""
        self._close_reason = reason
        self._owner.connections.pop(self, None)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended."""
        super().connectionLost(reason)
        self._owner.connections.pop(self, None)
        if not self._has_responded:
            self._owner.log_incomplete_call(self._close_reason)
        if self._timer is not None:
            self._timer.cancel()
