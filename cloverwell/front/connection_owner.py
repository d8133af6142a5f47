"""What a client's connection needs of the owner of all clients' connections."""

from __future__ import annotations

from typing import Protocol, TypeVar

from cloverwell.dispatcher import Dispatcher
from cloverwell.request import Request
from cloverwell.serving import Serving
from cloverwell.timer_wheel import TimerWheel

ConnectionT = TypeVar("ConnectionT")
ClosedT = TypeVar("ClosedT", contravariant=True)


class Drainer(Protocol[ClosedT]):
    """What closes the connections of a process that is drained or stops."""

    is_closing: bool  # connections are closed between requests

    def advance(self, connection: ClosedT) -> None:
        """Close the connection as far as it is due."""


class ConnectionOwner(Protocol[ConnectionT]):
    """The owner of clients' connections: each reports what it does, and asks what it may do.

    Attributes:
        dispatcher: carries out requests.
        serving: whether this process is ready, or draining.
        timer_wheel: the clock and the timers.
        classes: the number of each request class by its name.
        tenants: the number of each tenant by its name.
        not_read: connections whose reading is paused.
        retry_after_ms: for clients whose requests are rejected; 0 to send none.
        stream_count: streamed values that are being sent.
        drainer: closes connections while this process is drained or stops.
    """

    dispatcher: Dispatcher
    serving: Serving
    timer_wheel: TimerWheel
    classes: dict[str, int]
    tenants: dict[str, int]
    paused_connections: dict[ConnectionT, None]
    retry_after_ms: float
    stream_count: int

    def request_started(self, connection: ConnectionT) -> None:
        """Record that the connection has an open request."""

    def no_open_request(self, connection: ConnectionT) -> None:
        """Record that the connection has no open request, and perhaps a partial command."""

    def partial_command_grew(self, connection: ConnectionT) -> None:
        """Record that more bytes of a partial command have come."""

    def blocked_by_client(self, connection: ConnectionT) -> None:
        """Record that a response is known, and that the connection takes no more."""

    def client_has_read(self, connection: ConnectionT) -> None:
        """Record that the connection takes more again."""

    def closing(self, connection: ConnectionT) -> None:
        """Record that our side of the connection is closed."""

    def closed(self, connection: ConnectionT) -> None:
        """Record that the connection is closed on both sides."""

    def clients_disconnected(self, connections: list[ConnectionT]) -> None:
        """End all that is open for clients that have closed their connections, at once."""

    def should_reject(self, request: Request) -> bool:
        """Return whether a new request is rejected because too many clients have open ones."""

    @property
    def drainer(self) -> Drainer[ConnectionT]:
        """Return what closes connections while this process is drained or stops."""

    def stream_buffer_bytes(self) -> int:
        """Return how many bytes of a streamed value may wait for a client that reads slowly."""
