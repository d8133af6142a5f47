"""HTTP/1.1 for the stand-ins, through h11: a request at a time on each connection."""

from __future__ import annotations

from collections.abc import Callable

import h11
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

Handler = Callable[["HttpConnection", str, str], None]  # the connection, the method, the target


class HttpConnection(Protocol):
    """Calls `handler` with each request; that answers by `answer`, now or later."""

    def __init__(self, handler: Handler, count_bytes: Callable[[int, int], None]) -> None:
        """`count_bytes` is told of bytes that came in and went out."""
        self._handler = handler
        self._count_bytes = count_bytes
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self.connected_now = True

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        self._count_bytes(len(data), 0)
        try:
            self._http.receive_data(data)
            self._take()
        except h11.RemoteProtocolError:
            self.transport.loseConnection()

    def _take(self) -> None:
        while True:
            event = self._http.next_event()
            match event:
                case h11.Request():
                    self._request = event
                case h11.EndOfMessage():
                    self._handler(self, self._request.method.decode(), self._request.target.decode())
                case h11.Data():
                    continue
                case _:
                    return

    def answer(self, status: int, body: bytes) -> None:
        """Nothing where the other side has gone."""
        if not self.connected_now or self._http.our_state is not h11.SEND_RESPONSE:
            return
        headers = [("Content-Length", str(len(body)))]
        out = self._http.send(h11.Response(status_code=status, headers=headers))
        out += self._http.send(h11.Data(data=body)) + self._http.send(h11.EndOfMessage())
        self._count_bytes(0, len(out))
        self.transport.write(out)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._take()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.connected_now = False
