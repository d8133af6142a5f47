"""The interface through which a client's connection reports to the owner of all clients' connections."""

from __future__ import annotations

from typing import Protocol, TypeVar

from cloverwell.codec.line_allowance import LineAllowance
from cloverwell.dispatcher import Dispatcher
from cloverwell.front.command_scheduler import CommandScheduler
from cloverwell.memory_budget import MemoryBudget
from cloverwell.request import Request
from cloverwell.serving import Serving
from cloverwell.timer_wheel import TimerWheel

ConnectionT = TypeVar("ConnectionT")
DrainedT = TypeVar("DrainedT", contravariant=True)


class Drainer(Protocol[DrainedT]):
    """Closes the clients' connections while the process is drained or stops."""

    is_closing: bool  # whether connections are now closed between requests
    rejects_requests: bool  # whether new requests are rejected
    final_allowance: LineAllowance  # limits the commands handled just before forced closes

    def advance(self, connection: DrainedT) -> None:
        """Take the closing step that is due for the connection now, if any."""


class ConnectionOwner(Protocol[ConnectionT]):
    """The owner of all clients' connections, which records their events and answers their questions.

    Attributes:
        dispatcher: carries out requests.
        serving: the serving state of this process: ready, drained or stopping.
        timer_wheel: the clock and the timers.
        classes: the number of each request class by its name.
        tenants: the number of each tenant by its name.
        paused_connections: the connections that are not read at the moment.
        retry_after_ms: the retry delay that is sent with a rejection; 0 sends none.
        memory: the process's budget of memory.
        stream_count: the number of streamed values that are being sent.
        command_scheduler: gives the connections whose commands wait their turns.
        drainer: closes the connections while this process is drained or stops.
    """

    dispatcher: Dispatcher
    serving: Serving
    timer_wheel: TimerWheel
    classes: dict[str, int]
    tenants: dict[str, int]
    paused_connections: dict[ConnectionT, None]
    retry_after_ms: float
    memory: MemoryBudget
    stream_count: int
    command_scheduler: CommandScheduler

    def request_started(self, connection: ConnectionT) -> None:
        """Record that the connection has an open request."""

    def no_open_request(self, connection: ConnectionT) -> None:
        """Record that the connection has no open request; it may have a partial command."""

    def partial_command_grew(self, connection: ConnectionT) -> None:
        """Record that more bytes of a partial command have come."""

    def responses_blocked(self, connection: ConnectionT) -> None:
        """Record that the kernel has not taken all bytes of the responses."""

    def stalled_ms(self, connection: ConnectionT) -> float:
        """Return for how long in ms the client has taken no response; infinite if none is left to take."""

    def write_side_closed(self, connection: ConnectionT) -> None:
        """Record that the proxy has closed its sending side of the connection."""

    def connection_closed(self, connection: ConnectionT) -> None:
        """Record that the connection is closed on both sides."""

    def clients_disconnected(self, connections: list[ConnectionT]) -> None:
        """Abort the connections of clients that have disconnected, and cancel their open requests."""

    def should_reject(self, request: Request) -> bool:
        """Return whether a new request is rejected, in a drain or because too many clients have open ones."""

    @property
    def drainer(self) -> Drainer[ConnectionT]:
        """Return what closes the connections while this process is drained or stops."""

    def stream_buffer_bytes(self) -> int:
        """Return how many bytes of one streamed value may be buffered for a client that reads slowly."""
