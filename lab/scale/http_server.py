"""An HTTP/1.1 server connection for the stand-ins, through h11: one request at a time on each connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

# A handler is called with the connection, the method and the target of a request.
Handler = Callable[["HttpServerConnection", str, str], None]


class HttpServerConnection(Protocol):
    """Calls `handler` with each request, which answers it by `answer` at once or later."""

    transport: Any  # Twisted sets an `ITCPTransport` before `connectionMade`.

    def __init__(self, handler: Handler, count_bytes: Callable[[int, int], None]) -> None:
        """`count_bytes` is called with the numbers of bytes that came in and went out."""
        self._handler = handler
        self._count_bytes = count_bytes
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self.is_connected = True

    def connectionMade(self) -> None:
        """Sends each answer without waiting for more data."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Passes bytes to the parser; a malformed request ends the connection."""
        self._count_bytes(len(data), 0)
        try:
            self._http.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError:
            self.transport.loseConnection()

    def _handle_events(self) -> None:
        while True:
            event = self._http.next_event()
            match event:
                case h11.Request():
                    self._request = event
                case h11.EndOfMessage() if self._request is not None:
                    self._handler(self, self._request.method.decode(), self._request.target.decode())
                case h11.Data():
                    continue
                case _:
                    return

    def answer(self, status: int, body: bytes) -> None:
        """Sends the answer to the open request; does nothing if the client has disconnected."""
        if not self.is_connected or self._http.our_state is not h11.SEND_RESPONSE:
            return
        headers = [("Content-Length", str(len(body)))]
        response = self._send(h11.Response(status_code=status, headers=headers))
        response += self._send(h11.Data(data=body)) + self._send(h11.EndOfMessage())
        self._count_bytes(0, len(response))
        self.transport.write(response)
        if self._is_exchange_done():
            self._http.start_next_cycle()
            self._handle_events()

    def _is_exchange_done(self) -> bool:
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    def _send(self, event: h11.Event) -> bytes:
        return self._http.send(event) or b""

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Notes the end, after which answers are dropped."""
        self.is_connected = False
