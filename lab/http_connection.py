"""HTTP/1.1 on a simulated node, through h11: one request at a time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol

import h11
from twisted.internet.protocol import Protocol as ConnectionProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.streamed_value import STREAMING_THRESHOLD_BYTES
from lab.node_answers import write_in_pieces
from lab.node_environment import NodeEnvironment


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request; the names of its headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]


class HttpNode(Protocol):
    """The node that answers what comes on its connections."""

    connections: dict[Any, None]

    def handle(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Answers the request on the connection, now or later."""


class HttpConnection(ConnectionProtocol):
    """A proxy's connection to the origin or to discovery."""

    transport: Any  # an `End` of the simulated network, which has more than `ITransport`

    def __init__(self, node: HttpNode, environment: NodeEnvironment) -> None:
        """`node`: it handles the requests."""
        self._node = node
        self._environment = environment
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._open = True
        self.used = False  # whether a request has come on it before
        self.request_id: str | None = None  # of the client's request that it holds, for the checker

    def connectionMade(self) -> None:
        """The connection is up."""
        self._node.connections[self] = None

    def dataReceived(self, data: bytes) -> None:
        """Reads what has come; bytes that are no HTTP end the connection."""
        try:
            self._http.receive_data(data)
            self._take_events()
        except h11.RemoteProtocolError:
            self.transport.loseConnection()

    def _take_events(self) -> None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._request = event
            elif isinstance(event, h11.EndOfMessage):
                self._handle_request()
            elif not isinstance(event, h11.Data):
                return

    def _handle_request(self) -> None:
        if self._request is None:
            return
        headers = {name.decode(): value.decode() for name, value in self._request.headers}
        method, target = self._request.method.decode(), self._request.target.decode()
        self._node.handle(self, HttpRequest(method, target, headers))

    def answer(self, status: int, body: str, headers: Iterable[tuple[str, str]] = ()) -> None:
        """Sends the response, unless the connection has ended or has no open request."""
        if not self._open or self._http.our_state is not h11.SEND_RESPONSE:
            return
        self._settle()
        data = self._response(status, body.encode(), headers)
        if len(data) > STREAMING_THRESHOLD_BYTES:
            settings = self._environment.scenario.nodes
            write_in_pieces(self._environment.net, settings, self.transport, data, self._next_request)
        else:
            self.transport.write(data)
            self._next_request()

    def _response(self, status: int, body: bytes, headers: Iterable[tuple[str, str]]) -> bytes:
        lines = [("Content-Length", str(len(body))), *headers]
        events = (h11.Response(status_code=status, headers=lines), h11.Data(data=body), h11.EndOfMessage())
        return b"".join(self._http.send(event) or b"" for event in events)

    def _next_request(self) -> None:
        if not self._open:
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._take_events()

    def _settle(self) -> None:
        if self.request_id is not None:
            self._environment.checker.settled(self.request_id)
            self.request_id = None

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """The connection has ended; its open request gets no answer."""
        self._open = False
        self._settle()
        self._node.connections.pop(self, None)
