"""A client's connection to a proxy: it sends one request at a time and reads the answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from lab.invariant_checker import InvariantChecker
from lab.line_connection import LineConnection
from lab.net import Net
from lab.scenario import Traffic, TrafficClass
from lab.simulated_proxy import SimulatedProxy

SHORTEST_PAUSE_S = 0.0005  # a client whose line is faster reads on without a pause


class RequestEnd(StrEnum):
    """How a request ended; the values stand in summaries and in the trace."""

    PENDING = ""
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"  # its client closed the connection: nothing is owed for it
    UNANSWERED = "unanswered"
    LOST = "lost"  # its connection ended without an answer
    GAVE_UP = "gave up"
    CONNECT_REFUSED = "connect_refused"


@dataclass(slots=True)
class PlannedRequest:
    """What a client wants, over all its attempts."""

    traffic_class: TrafficClass
    tenant: str
    key: str
    work_s: float
    asked_s: float
    number: int
    attempts: int = 0
    first_sent_s: float | None = None  # when an attempt was first sent that may have run
    earned: float = 0.0  # the share of its weight that its answer was in time for
    end: RequestEnd = RequestEnd.PENDING

    def left_s(self, now: float) -> float:
        """The time until the request's deadline."""
        return self.asked_s + self.traffic_class.deadline_ms / 1000.0 - now


@dataclass(frozen=True, slots=True)
class ClientAttempt:
    """One sending of a request, by an id of its own."""

    id: str
    request: PlannedRequest


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer: its value or receipt, or the time to wait in ms, or the line of an error."""

    end: RequestEnd
    text: str
    first_byte_s: float | None = None  # of a value


class ClientOwner(Protocol):
    """The population that a client belongs to."""

    net: Net
    traffic: Traffic
    checker: InvariantChecker

    def connected(self, client: SimulatedClient, request: PlannedRequest) -> None:
        """The connection is up; the request that it was opened for can be sent."""

    def answered(self, client: SimulatedClient, attempt: ClientAttempt, answer: Answer) -> None:
        """The attempt has got its answer, and the client is idle."""

    def abandoned(self, attempt: ClientAttempt) -> None:
        """The client does not wait for the attempt any more."""

    def disconnected(self, client: SimulatedClient, attempt: ClientAttempt | None) -> None:
        """The connection has ended, with this attempt open if any."""


class SimulatedClient(LineConnection):
    """A client's connection, which reads values no faster than the scenario's `read_kb_s`."""

    def __init__(self, owner: ClientOwner, proxy: SimulatedProxy, first_request: PlannedRequest) -> None:
        """`first_request`: it is sent when the connection is up."""
        self._owner = owner
        self.proxy = proxy
        self.attempt: ClientAttempt | None = None
        self.first_byte_s: float | None = None  # when the value of the answer began to come
        self.last_byte_s = 0.0  # when the last piece of it came
        self._first_request = first_request
        self._value = bytearray()
        self._value_left = 0  # bytes of the value that are still to come
        self._closed = False  # it has closed the connection, and reads no more

    def connectionMade(self) -> None:
        """Sends the request that the connection was opened for."""
        self._owner.connected(self, self._first_request)

    def dataReceived(self, data: bytes) -> None:
        """Drops what comes after the client has closed."""
        if not self._closed:
            self.receive(data)

    def lineReceived(self, line: bytes) -> None:
        """Reads the head of a value, a receipt, a refusal or an error."""
        text = line.decode()
        words = text.split()
        if text.startswith("VA "):
            self._value_left, self.first_byte_s = int(words[1]) + 2, self._owner.net.seconds()
            self.expect_value()
        elif text.startswith("HD "):
            self._end(RequestEnd.SERVED, words[-1][1:])
        elif text.startswith("SERVER_ERROR busy"):
            self._end(RequestEnd.REFUSED, words[2] if len(words) > 2 else "0")
        else:
            self._end(RequestEnd.FAILED, text)

    def rawDataReceived(self, data: bytes) -> None:
        """Reads a part of a value."""
        taken, rest = data[: self._value_left], data[self._value_left :]
        self._value_left -= len(taken)
        self._value += taken
        self.last_byte_s = self._owner.net.seconds()
        if self._value_left:
            self._pause_reading(len(taken))
            return
        value, self._value = bytes(self._value), bytearray()
        self._end(RequestEnd.SERVED, value[:-2].decode() if value.endswith(b"\r\n") else "malformed")
        self.expect_lines(rest)

    def _pause_reading(self, number: int) -> None:
        """Reads nothing for as long as the client's line takes for so many bytes."""
        wait_s = number / 1024.0 / self._owner.traffic.read_kb_s
        if wait_s >= SHORTEST_PAUSE_S:
            self.transport.pauseProducing()
            self._owner.net.callLater(wait_s, self.transport.resumeProducing)

    def _end(self, end: RequestEnd, text: str) -> None:
        first_byte_s, self.first_byte_s = self.first_byte_s, None
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            now = self._owner.net.seconds()
            self._owner.checker.breach("answered", now, "", "an answer that nobody waits for")
            return
        self._owner.answered(self, attempt, Answer(end, text, first_byte_s))

    def waits_for(self, attempt: ClientAttempt) -> bool:
        """Whether this attempt is still open."""
        return self.attempt is not None and self.attempt.id == attempt.id

    def leave(self, attempt: ClientAttempt) -> None:
        """Closes the connection, unless the attempt has ended or its value has begun to come."""
        if not self.waits_for(attempt) or self.first_byte_s is not None:
            return
        self._abandon()
        self.transport.loseConnection()

    def cut_off(self) -> None:
        """The connection has broken."""
        self._abandon()
        self.transport.abortConnection()

    def abort(self) -> None:
        """Resets the connection; the attempt has been dealt with."""
        self.attempt = None
        self.transport.abortConnection()

    def _abandon(self) -> None:
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self._closed = True
            self._owner.abandoned(attempt)

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Tells the population, with the attempt that is still open."""
        attempt, self.attempt = self.attempt, None
        self._owner.disconnected(self, attempt)


class ClientConnector(ClientFactory):
    """Opens one connection, for the request that waits for it."""

    noisy = False

    def __init__(
        self,
        owner: ClientOwner,
        proxy: SimulatedProxy,
        request: PlannedRequest,
        refused: Callable[[SimulatedProxy, PlannedRequest], None],
    ) -> None:
        """`refused`: it is called where no connection comes up."""
        self._owner, self._proxy, self._request, self._refused = owner, proxy, request, refused

    def buildProtocol(self, _addr: IAddress | None) -> SimulatedClient:
        """The connection is up."""
        return SimulatedClient(self._owner, self._proxy, self._request)

    def clientConnectionFailed(self, _connector: IConnector, _reason: Failure) -> None:
        """The proxy refused the connection, or did not answer in time."""
        self._refused(self._proxy, self._request)
