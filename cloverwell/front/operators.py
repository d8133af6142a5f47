"""The operators' port: HTTP/1.1, one call to a connection.

It has no state of its own and asks `OperatorService`.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

import h11
from twisted.internet.address import IPv4Address
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure

from cloverwell.codec.steady_socket import steady
from cloverwell.log import Log
from cloverwell.timer_wheel import Timer, TimerWheel

CALLERS = 8  # at once; one more, and the one that has stood longest is closed
CALL_MS = 5000.0  # what a caller may take
MAX_HEAD = 4096
MAX_BODY = 4096  # no call has one; what comes all the same is thrown away


class OperatorService(Protocol):
    """What may be asked: each call answers yes or no, but for `configuration`."""

    def ready(self) -> bool: ...

    def drain(self) -> bool: ...

    def undrain(self) -> bool: ...

    def configuration(self) -> str | None:
        """One line on what is in force; None where no control log tells it."""


class Operators(Factory):
    noisy = False

    def __init__(self, desk: OperatorService, timer_wheel: TimerWheel, log: Log) -> None:
        self._log = log
        self.timer_wheel = timer_wheel
        self.callers: dict[OperatorConnection, None] = {}  # the first has stood longest
        self._calls = {"/ready": ("GET", desk.ready), "/drain": ("PUT", desk.drain)}
        self._calls["/undrain"] = ("PUT", desk.undrain)
        self._desk = desk

    # As the port has it -------------------------------------------------------------------------

    def may_accept(self) -> int:
        return CALLERS

    def accept_failed(self, reason: str) -> None:
        self._log.warn("operator", f"no caller could be let in for a moment: {reason}")

    def accepts_no_more(self) -> None:
        """How long a caller waits to be let in does not count."""

    def buildProtocol(self, addr: IPv4Address) -> OperatorConnection:
        while len(self.callers) >= CALLERS:
            next(iter(self.callers)).close()
        caller = OperatorConnection(self)
        self.callers[caller] = None
        return caller

    # Calls --------------------------------------------------------------------------------------

    def answer(self, method: str, path: str) -> tuple[int, str, list[tuple[str, str]]]:
        """Status, body and further headers."""
        if path == "/configuration" and (told := self._desk.configuration()) is not None:
            return (200, told, []) if method == "GET" else (405, f"{path} wants GET", [("Allow", "GET")])
        if path not in self._calls:
            return 404, "there are /ready, /drain and /undrain", []
        wanted, call = self._calls[path]
        if method != wanted:
            return 405, f"{path} wants {wanted}", [("Allow", wanted)]
        yes = call()
        if method == "PUT":
            self._log.info("operator", f"{method} {path}: {'yes' if yes else 'no'}")
        return (200, "yes", []) if yes else (503, "no", [])


class OperatorConnection(Connection):
    """One caller's connection: a call comes, its answer leaves, and that was all."""

    def __init__(self, side: Operators) -> None:
        self._side = side
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self._call: h11.Request | None = None
        self._body = 0
        self._answered = False
        self._timer: Timer | None = None

    def connectionMade(self) -> None:
        steady(self.transport)
        timer_wheel = self._side.timer_wheel
        self._timer = timer_wheel.at(timer_wheel.now() + CALL_MS, self.close)

    def dataReceived(self, data: bytes) -> None:
        if self._answered:
            return None  # whatever else it says
        try:
            self._http.receive_data(data)
            while True:
                match event := self._http.next_event():
                    case h11.Request():
                        self._call = event
                        if self._http.they_are_waiting_for_100_continue:
                            go_on = h11.InformationalResponse(status_code=100, headers=[])
                            self.transport.write(self._http.send(go_on))
                    case h11.Data():
                        self._body += len(event.data)
                        if self._body > MAX_BODY:
                            return self._answer(413, "no call has a body", [])
                    case h11.EndOfMessage():
                        path = self._call.target.decode("latin-1").partition("?")[0]
                        return self._answer(*self._side.answer(self._call.method.decode("latin-1"), path))
                    case _:  # more is needed, or it closed
                        return None
        except h11.RemoteProtocolError as error:
            self._answer(error.error_status_hint or 400, str(error), [])
        return None

    def _answer(self, status: int, text: str, headers: list[tuple[str, str]]) -> None:
        self._answered = True
        body = f"{text}\n".encode()
        headers += [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        headers.append(("Connection", "close"))
        head = h11.Response(status_code=status, headers=headers, reason=HTTPStatus(status).phrase)
        out = self._http.send(head)
        if self._call is None or self._call.method != b"HEAD":
            out += self._http.send(h11.Data(data=body))
        self.transport.write(out)
        # To close both sides with bytes unread would be a reset, and the caller might not read the answer.
        self.transport.loseWriteConnection()

    def close(self) -> None:
        self._side.callers.pop(self, None)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._side.callers.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()
