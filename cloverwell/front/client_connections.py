"""All clients' connections: accepts them, and carries out what `connections.client_policy` decides."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.interfaces import IAddress

from balancer.api import Settings
from cloverwell.codec.lines import unacknowledged_bytes
from cloverwell.connections.accept_queue import AcceptQueue
from cloverwell.connections.budget import DescriptorBudget, DescriptorSide
from cloverwell.connections.client_policy import MAX_ACCEPTS_PER_ITERATION, ClientConnectionPolicy
from cloverwell.connections.close_reason import CloseReason
from cloverwell.connections.metrics import ConnectionEvent, ConnectionMetrics
from cloverwell.dispatcher import Dispatcher
from cloverwell.front.client_closer import ClientCloser
from cloverwell.front.client_connection import ClientConnection
from cloverwell.front.connection_closing import ConnectionDrainer
from cloverwell.front.connection_report import describe_open_connections
from cloverwell.front.disconnect_detector import DisconnectDetector
from cloverwell.front.port import BoundedFactory
from cloverwell.front.unread_responses import UnreadResponses
from cloverwell.log import Log
from cloverwell.request import Request
from cloverwell.serving import Serving
from cloverwell.streamed_value import read_ahead_bytes
from cloverwell.timer_wheel import TimerWheel

BACKLOG = 512  # connections that the kernel lets wait to be accepted
POLICY_CHECK_INTERVAL_MS = 50.0
# Between two checks of the connections that are not read. With a tick that is late by up to `STALL_MS`, a
# client's close is known within half of the 100 ms after which no attempt may begin for it.
DISCONNECT_CHECK_INTERVAL_MS = 25.0
# How long a client should not use a proxy that is short of descriptors, unless the settings have a lower
# maximum. Where that is 0, clients are sent no time.
RETRY_AFTER_MS = 1000.0


class ListeningPort(Protocol):
    """The port that clients connect to."""

    @property
    def is_accepting(self) -> bool:
        """Whether it is read now."""

    def has_waiting_connections(self) -> bool:
        """Return whether a connection waits in the kernel's queue."""

    def pauseProducing(self) -> None:
        """Accept no connections."""

    def resumeProducing(self) -> None:
        """Accept connections again."""


class ClientConnections(BoundedFactory):
    """Accepts clients within the budget, and owns their connections (`ConnectionOwner`)."""

    def __init__(
        self,
        settings: Settings,
        dispatcher: Dispatcher,
        timer_wheel: TimerWheel,
        log: Log,
        budget: DescriptorBudget,
        metrics: ConnectionMetrics,
        max_requesting: int,
        serving: Serving,
        stream_bytes: int,
    ) -> None:
        """Start the periodic checks.

        Args:
            settings: the balancer's.
            dispatcher: carries out requests.
            timer_wheel: the clock and timers.
            log: for failed accepts.
            budget: descriptors of both sides.
            metrics: counts what connections do.
            max_requesting: connections that clients open to send requests, at the most.
            serving: whether this process is ready, or draining.
            stream_bytes: what may be buffered of all streamed values together.
        """
        self.stream_count = 0
        self._stream_bytes = stream_bytes
        self.port: ListeningPort | None = None
        self.dispatcher = dispatcher
        self.serving = serving
        self.timer_wheel = timer_wheel
        self.classes = {request_class.name: number for number, request_class in enumerate(settings.classes)}
        self.tenants = {tenant.name: number for number, tenant in enumerate(settings.tenants)}
        self.retry_after_ms = min(RETRY_AFTER_MS, settings.max_retry_after_ms)
        self.connections: dict[ClientConnection, None] = {}  # in the order in which they were accepted
        self._detector = DisconnectDetector(self.connections, timer_wheel)
        self.paused_connections = self._detector.paused_connections
        self.policy: ClientConnectionPolicy[ClientConnection] = ClientConnectionPolicy(
            budget.max_held(DescriptorSide.CLIENTS), max_requesting, timer_wheel.now()
        )
        self._closer = ClientCloser(self.policy, metrics, timer_wheel)
        self._log = log
        self._budget = budget
        self._metrics = metrics
        self._full = False
        self._unread_responses: UnreadResponses[ClientConnection] = UnreadResponses()
        self.drainer = ConnectionDrainer(self.connections, serving, dispatcher, timer_wheel)
        self._queue = AcceptQueue(BACKLOG + 1)  # Linux lets one more connection wait than the backlog.
        self.request_descriptor: Callable[[], object] = lambda: None  # of the nodes' side
        timer_wheel.on_stall = self._check_after_stall
        self._check_policy()
        self._check_disconnected_periodically()

    # Accepting ----------------------------------------------------------------------------------

    def accept_limit(self) -> int:
        """Return how many connections may be accepted in this iteration of the event loop."""
        return min(MAX_ACCEPTS_PER_ITERATION, self._budget.available(DescriptorSide.CLIENTS))

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:
        """Make the connection of a client; None, which closes it, where there is no descriptor for it."""
        # A `BoundedPort` asks `accept_limit` before; a listener that does not is held to the budget here.
        if not self._budget.available(DescriptorSide.CLIENTS):
            return None
        host = getattr(addr, "host", "")
        connection = ClientConnection(self, f"{host}:{getattr(addr, 'port', 0)}")
        if (since_ms := self._queue.record_accepted()) is not None:
            connection.waited_in_accept_queue(since_ms)
            if not self._connection_waits():
                self._queue.record_empty()
        self._budget.acquire(DescriptorSide.CLIENTS)
        self.connections[connection] = None
        self._metrics.add(ConnectionEvent.ACCEPTED)
        self.policy.record_opened(connection, self.timer_wheel.now(), host)
        self._keep_room()
        return connection

    def accept_failed(self, reason: str) -> None:
        """Log that this machine can't accept for a moment; who connects waits in the kernel's queue."""
        self._log.warn("accept", f"failed for a moment: {reason}")
        self._metrics.add(ConnectionEvent.ACCEPT_PAUSED)

    def accept_paused(self) -> None:
        """Record that from now on new connections wait in the kernel's queue, with their requests."""
        self._queue.record_reading_paused(self.timer_wheel.now())

    def _connection_waits(self) -> bool:
        """Return whether a connection may wait to be accepted."""
        return self.port is None or self.port.has_waiting_connections()

    def _check_accept_queue(self) -> None:
        if not self._queue.may_hold_connections or self.port is None:
            return
        if self._connection_waits():
            self._queue.record_connections_waiting(self.timer_wheel.now())
            return
        self._queue.record_empty()
        if not self.port.is_accepting:
            self.accept_paused()

    def _pause_accepting(self) -> None:
        self._metrics.add(ConnectionEvent.ACCEPT_PAUSED)
        self.accept_paused()
        self._full = True
        if self.port is not None:
            self.port.pauseProducing()

    def _resume_accepting(self) -> None:
        if self._full and self._budget.available(DescriptorSide.CLIENTS):
            self._full = False
            self._log.info("accept", "connections are accepted again")
            if self.port is not None:
                self.port.resumeProducing()

    # Events and questions of the connections ----------------------------------------------------

    def request_started(self, connection: ClientConnection) -> None:
        """Record that the connection has an open request."""
        self.policy.record_request_started(connection, self.timer_wheel.now())

    def no_open_request(self, connection: ClientConnection) -> None:
        """Record that the connection has no open request, and perhaps a partial command."""
        self.policy.record_no_open_request(
            connection, self.timer_wheel.now(), connection.has_partial_command, connection.command_begun_ms
        )

    def partial_command_grew(self, connection: ClientConnection) -> None:
        """Record that more bytes of a partial command have come."""
        self.policy.record_partial_command_bytes(connection, self.timer_wheel.now())

    def blocked_by_client(self, connection: ClientConnection) -> None:
        """Record that a response is known, and that the connection takes no more."""
        self._unread_responses.blocked(
            connection, unacknowledged_bytes(connection.fileno()), self.timer_wheel.now()
        )

    def client_has_read(self, connection: ClientConnection) -> None:
        """Record that the connection takes more again."""
        self._unread_responses.progressed(connection)

    def closing(self, connection: ClientConnection) -> None:
        """Record that our side is closed: the descriptor must become free though the client never closes."""
        connection.write_closed_ms = self.timer_wheel.now()
        self.policy.record_closing(connection, connection.write_closed_ms)

    def closed(self, connection: ClientConnection) -> None:
        """Record that the connection is closed on both sides."""
        if connection not in self.connections:
            return
        self.connections.pop(connection)
        self._note_close(connection)
        self.paused_connections.pop(connection, None)
        self._unread_responses.progressed(connection)
        self._budget.release(DescriptorSide.CLIENTS)
        self.policy.record_closed(connection)
        self._resume_accepting()

    def _note_close(self, connection: ClientConnection) -> None:
        reason = connection.close_reason or CloseReason.BY_CLIENT
        self._metrics.add(ConnectionEvent.CLIENT_CONNECTION_CLOSED, reason.value)
        self._log.info("close", f"{connection.peer}: {reason.value}, open for {connection.age_ms:.0f} ms")

    def should_reject(self, request: Request) -> bool:
        """Return whether this new request is rejected: its connection should be closed, or too many are used.

        Without the second, descriptors would run out: an accept that fails would lose requests.
        """
        if self.drainer.rejects_requests:
            self.dispatcher.record_rejection(request, "ending")
            return True
        if self.policy.states.active_count <= self._budget.max_active_clients:
            return False
        self._metrics.add(ConnectionEvent.REQUEST_REFUSED)
        self.dispatcher.record_rejection(request, "descriptors")
        return True

    def stream_buffer_bytes(self) -> int:
        """Return how many bytes of a streamed value may wait for a client that reads slowly."""
        return read_ahead_bytes(self._stream_bytes, self.stream_count)

    # Clients that have disconnected ---------------------------------------------------------------

    def clients_disconnected(self, connections: list[ClientConnection]) -> None:
        """End all that is open for clients that have closed their connections, at once.

        A descriptor or place that comes free must not go to another request of a client that has
        disconnected too, but whose close is not read yet.
        """
        self._abandon(self._detector.with_others(connections))

    def check_paused_connections(self) -> None:
        """Check the connections that are not read: nothing else tells that their clients have closed."""
        self._abandon(self._detector.among_not_read())

    def _check_disconnected_periodically(self) -> None:
        now = self.timer_wheel.now()
        self.timer_wheel.call_by(now + DISCONNECT_CHECK_INTERVAL_MS, self._check_disconnected_periodically)
        self.check_paused_connections()

    def _check_after_stall(self) -> None:
        """Check before anything is sent: the event loop has not read for a while."""
        self._abandon(self._detector.after_stall())

    def _abandon(self, connections: list[ClientConnection]) -> None:
        for connection in connections:
            self.paused_connections.pop(connection, None)
        self.dispatcher.client_disconnected(
            [request for connection in connections for request in connection.abandon()]
        )

    # Closing ------------------------------------------------------------------------------------

    def _check_policy(self) -> None:
        now = self.timer_wheel.now()
        if self.timer_wheel.just_stalled:
            # What has come or could leave meanwhile is handled before anything counts as expired.
            self.timer_wheel.call_by(now, self._check_policy)
            return
        self.timer_wheel.call_by(now + POLICY_CHECK_INTERVAL_MS, self._check_policy)
        expired = self.policy.choose_expired(now)
        self._closer.close(expired, len(expired))
        for connection in self._unread_responses.to_check(now):
            if self._unread_responses.has_expired(connection, unacknowledged_bytes(connection.fileno()), now):
                self.drainer.close_now(connection, CloseReason.NOT_READING)
        self._keep_room()
        self._resume_accepting()
        self._check_accept_queue()

    def _keep_room(self) -> None:
        """Keep some descriptors free for the next clients that connect."""
        now = self.timer_wheel.now()
        if choices := self.policy.choose_to_admit_requests(now):
            self._closer.close(choices, len(choices))
        room = self._budget.available(DescriptorSide.CLIENTS)
        wanted = self.policy.reserve_count(now) - room
        if wanted > 0:
            self._closer.close(self.policy.choose_to_make_room(now, wanted, room), wanted)
        if not self._budget.available(DescriptorSide.CLIENTS) and self._budget.other_can_release(
            DescriptorSide.CLIENTS
        ):
            self.request_descriptor()
        if not self._full and not self._budget.available(DescriptorSide.CLIENTS):
            self._log.warn("accept", f"{len(self.connections)} connections of clients fill their part")
            self._pause_accepting()

    def release_descriptor(self) -> None:
        """Close a connection for the nodes' side, if clients hold descriptors beyond their floor."""
        if self._budget.other_can_release(DescriptorSide.NODES):
            self._closer.close(self.policy.choose_to_make_room(self.timer_wheel.now(), 1, 0), 1)

    def describe_open_connections(self) -> str:
        """Return one line on the connections that are open now."""
        return describe_open_connections(self.connections)
