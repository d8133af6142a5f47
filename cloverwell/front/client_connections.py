"""Accepts and owns the clients' connections, and carries out what `connections.client_policy` decides."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.interfaces import IAddress

from balancer.api import Settings
from cloverwell.connections.accept_queue import AcceptQueue
from cloverwell.connections.budget import DescriptorBudget, DescriptorSide
from cloverwell.connections.client_policy import (
    MAX_ACCEPTS_PER_ITERATION,
    RESPONSE_DELIVERY_MS,
    ClientConnectionPolicy,
)
from cloverwell.connections.close_reason import CloseReason
from cloverwell.connections.metrics import ConnectionEvent, ConnectionMetrics
from cloverwell.dispatcher import Dispatcher
from cloverwell.front.client_closer import ClientCloser
from cloverwell.front.client_connection import ClientConnection
from cloverwell.front.command_scheduler import CommandScheduler
from cloverwell.front.connection_closing import ConnectionDrainer
from cloverwell.front.connection_report import describe_open_connections
from cloverwell.front.delivery_monitor import DeliveryMonitor
from cloverwell.front.disconnect_detector import DisconnectDetector
from cloverwell.front.memory_relief import MemoryRelief
from cloverwell.front.port import BoundedFactory, ClientTransport
from cloverwell.log import Log
from cloverwell.memory_budget import CONNECTION_BYTES, MemoryBudget, Urgency
from cloverwell.request import Request
from cloverwell.serving import Serving
from cloverwell.streamed_value import read_ahead_bytes
from cloverwell.timer_wheel import TimerWheel

BACKLOG = 512  # the length of the kernel's accept queue, in connections
POLICY_CHECK_INTERVAL_MS = 50.0
# The time between two checks of the paused connections for disconnected clients. Together with a tick that is
# late by up to `STALL_MS`, a disconnect is detected within 50 ms; 100 ms after it no attempt may begin.
DISCONNECT_CHECK_INTERVAL_MS = 25.0
# The retry delay that is sent with a rejection, unless the settings have a lower maximum. Where that maximum
# is 0, no delay is sent.
RETRY_AFTER_MS = 1000.0
# The share of the budget of memory for buffers of streamed values, whose clients may read more slowly than
# the values arrive.
STREAMS_SHARE = 0.2


class ListeningPort(Protocol):
    """The listening port that clients connect to."""

    @property
    def is_accepting(self) -> bool:
        """Return whether connections are accepted now."""

    def has_waiting_connections(self) -> bool:
        """Return whether a connection waits in the kernel's accept queue."""

    def pauseProducing(self) -> None:
        """Stop accepting connections."""

    def resumeProducing(self) -> None:
        """Resume accepting connections."""


class ClientConnections(BoundedFactory):
    """Accepts clients within both budgets, and owns their connections (see `ConnectionOwner`)."""

    transport_class = ClientTransport

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
        memory: MemoryBudget,
    ) -> None:
        """Set up without connections, and start the periodic checks.

        Args:
            settings: the settings of the balancer.
            dispatcher: carries out requests.
            timer_wheel: the clock and timers.
            log: receives failed accepts and closed connections.
            budget: the descriptors of the clients' and the nodes' side.
            metrics: counts what connections do.
            max_requesting: the most connections on which clients may send requests.
            serving: the serving state of this process.
            memory: the process's budget of memory.
        """
        self.stream_count = 0
        self.memory = memory
        self.port: ListeningPort | None = None
        self.dispatcher = dispatcher
        self.serving = serving
        self.timer_wheel = timer_wheel
        self.classes = {request_class.name: number for number, request_class in enumerate(settings.classes)}
        self.tenants = {tenant.name: number for number, tenant in enumerate(settings.tenants)}
        self.retry_after_ms = min(RETRY_AFTER_MS, settings.max_retry_after_ms)
        self.connections: dict[ClientConnection, None] = {}  # in the order in which they were accepted
        self.command_scheduler = CommandScheduler(timer_wheel)
        self._detector = DisconnectDetector(self.connections, timer_wheel)
        self.paused_connections = self._detector.paused_connections
        self.policy: ClientConnectionPolicy[ClientConnection] = ClientConnectionPolicy(
            budget.max_held(DescriptorSide.CLIENTS), max_requesting, timer_wheel.now()
        )
        self._log = log
        self._budget = budget
        self._metrics = metrics
        self._accepting_paused = False  # for want of descriptors
        self._delivery_monitor = DeliveryMonitor(self.policy, log)
        self.drainer = ConnectionDrainer(self.connections, serving, dispatcher, timer_wheel)
        self._closer = ClientCloser(self.policy, metrics, timer_wheel, self.drainer)
        self._relief = MemoryRelief(memory, self.policy, self._closer)
        self._queue = AcceptQueue(BACKLOG + 1)  # Linux lets one more connection wait than the backlog.
        self.request_descriptor: Callable[[], object] = lambda: None  # asks the nodes' side to free one
        timer_wheel.on_stall = self._check_after_stall
        self._check_policy()
        self._check_disconnected_periodically()

    # Accepting ----------------------------------------------------------------------------------

    def accept_limit(self) -> int:
        """Return how many connections may be accepted in this iteration of the event loop."""
        return min(MAX_ACCEPTS_PER_ITERATION, self._available())

    def _available(self) -> int:
        """Return for how many more connections there are descriptors and memory."""
        by_memory = self.memory.room(Urgency.PROMPT) / CONNECTION_BYTES
        return int(max(0, min(self._budget.available(DescriptorSide.CLIENTS), by_memory)))

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:
        """Make the protocol of a new connection; None, which closes it, if the budget has no descriptor."""
        # A `BoundedPort` asks `accept_limit` first. For a listener that does not, the budget is checked here.
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
        self.timer_wheel.work.accepted += 1
        self.policy.record_opened(connection, self.timer_wheel.now(), host)
        self._reserve_descriptors()
        return connection

    def accept_failed(self, reason: str) -> None:
        """Log that accepting fails; meanwhile new connections wait in the kernel's accept queue."""
        self._log.warn("accept", f"cannot accept client connections, will retry: {reason}")
        self._metrics.add(ConnectionEvent.ACCEPT_PAUSED)

    def accept_paused(self) -> None:
        """Record that from now on new connections wait in the accept queue, with their requests."""
        self._queue.record_reading_paused(self.timer_wheel.now())

    def _connection_waits(self) -> bool:
        """Return whether a connection may be in the accept queue."""
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
        self._accepting_paused = True
        if self.port is not None:
            self.port.pauseProducing()

    def _resume_accepting(self) -> None:
        if self._accepting_paused and self._available():
            self._accepting_paused = False
            self._log.info("accept", "accepting client connections again")
            if self.port is not None:
                self.port.resumeProducing()

    # Called by the connections ------------------------------------------------------------------

    def request_started(self, connection: ClientConnection) -> None:
        """Record that the connection has an open request."""
        self.policy.record_request_started(connection, self.timer_wheel.now())

    def no_open_request(self, connection: ClientConnection) -> None:
        """Record that the connection has no open request; it may have a partial command."""
        self.policy.record_no_open_request(
            connection, self.timer_wheel.now(), connection.has_partial_command, connection.command_begun_ms
        )

    def partial_command_grew(self, connection: ClientConnection) -> None:
        """Record that more bytes of a partial command have come."""
        self.policy.record_partial_command_bytes(connection, self.timer_wheel.now())

    def responses_blocked(self, connection: ClientConnection) -> None:
        """Record that the kernel has not taken all bytes of the responses."""
        self._delivery_monitor.observe(connection, self.timer_wheel.now())

    def stalled_ms(self, connection: ClientConnection) -> float:
        """Return for how long in ms the client has taken no response; infinite if none is left to take."""
        return self.policy.delivery.stalled_ms(connection, self.timer_wheel.now())

    def write_side_closed(self, connection: ClientConnection) -> None:
        """Record the close of the sending side; a client that never closes its side is then disconnected."""
        connection.write_closed_ms = self.timer_wheel.now()
        self.policy.record_closing(connection, connection.write_closed_ms)
        self._delivery_monitor.observe(connection, connection.write_closed_ms)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Record that the connection is closed on both sides."""
        if connection not in self.connections:
            return
        self.connections.pop(connection)
        self.timer_wheel.work.closed += 1
        self._report_close(connection)
        self.paused_connections.pop(connection, None)
        self.command_scheduler.forget(connection)
        self._budget.release(DescriptorSide.CLIENTS)
        self.policy.record_closed(connection)
        self._resume_accepting()

    def _report_close(self, connection: ClientConnection) -> None:
        reason = connection.close_reason or CloseReason.BY_CLIENT
        self._metrics.add(ConnectionEvent.CLIENT_CONNECTION_CLOSED, reason.value)
        text = f"{connection.peer}: {reason.value}, open for {connection.age_ms:.0f} ms"
        if connection.undelivered_at_close:
            text += f", {connection.undelivered_at_close}"
        self._log.info("close", text)

    def should_reject(self, request: Request) -> bool:
        """Return whether a new request is rejected, in a drain or because too many connections have one.

        Without the second limit descriptors would run out, and accepts that fail would lose requests.
        """
        if self.drainer.rejects_requests:
            self.dispatcher.record_rejection(request.id, "ending")
            return True
        if self.policy.states.active_count <= self._budget.max_active_clients:
            return False
        self._metrics.add(ConnectionEvent.REQUEST_REFUSED)
        self.dispatcher.record_rejection(request.id, "descriptors")
        return True

    def stream_buffer_bytes(self) -> int:
        """Return how many bytes of one streamed value may be buffered for a client that reads slowly."""
        return read_ahead_bytes(STREAMS_SHARE * self.memory.total_bytes, self.stream_count)

    # Disconnected clients -------------------------------------------------------------------------

    def clients_disconnected(self, connections: list[ClientConnection]) -> None:
        """Abort the connections of clients that have disconnected, and cancel their open requests.

        All disconnected clients are handled at once, also those whose close has not been read yet. Otherwise
        a descriptor or a place at a node that becomes free could go to a request of another one of them.
        """
        self._abandon(self._detector.with_other_disconnected(connections))

    def check_paused_connections(self) -> None:
        """Check the paused connections, since nothing else reports that their clients have disconnected."""
        self._abandon(self._detector.find_among_paused())

    def _check_disconnected_periodically(self) -> None:
        now = self.timer_wheel.now()
        self.timer_wheel.call_by(now + DISCONNECT_CHECK_INTERVAL_MS, self._check_disconnected_periodically)
        self.check_paused_connections()

    def _check_after_stall(self) -> None:
        """Check for disconnected clients after a stall, before anything is sent for them."""
        self._abandon(self._detector.find_after_stall())

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
            # Input that came during the stall is handled before any connection counts as expired.
            self.timer_wheel.call_by(now, self._check_policy)
            return
        self.timer_wheel.call_by(now + POLICY_CHECK_INTERVAL_MS, self._check_policy)
        self._delivery_monitor.check(now)
        expired = self.policy.choose_expired(now)
        self._closer.close(expired, len(expired))
        self._relief.check(now)
        self._reserve_descriptors()
        self._resume_accepting()
        self._check_accept_queue()

    def _reserve_descriptors(self) -> None:
        """Close connections and pause accepting as needed to keep descriptors free for new clients."""
        now = self.timer_wheel.now()
        if self.policy.choose_to_admit_requests(now):
            self._delivery_monitor.observe_idle(now, RESPONSE_DELIVERY_MS)
            connections_to_close = self.policy.choose_to_admit_requests(now)
            self._closer.close(connections_to_close, len(connections_to_close))
        available = self._available()
        wanted = self.policy.reserve_count(now) - available
        if wanted > 0:
            self._make_room(now, wanted, available)
        if not self._budget.available(DescriptorSide.CLIENTS) and self._budget.other_can_release(
            DescriptorSide.CLIENTS
        ):
            self.request_descriptor()
        if not self._accepting_paused and not self._available():
            lacking = "memory" if self._budget.available(DescriptorSide.CLIENTS) else "descriptor"
            self._log.warn(
                "accept",
                f"{len(self.connections)} client connections are open, no {lacking} is left for more",
            )
            self._pause_accepting()

    def release_descriptor(self) -> None:
        """Close a connection for the nodes' side, if clients hold more descriptors than their floor."""
        if self._budget.other_can_release(DescriptorSide.NODES):
            self._make_room(self.timer_wheel.now(), wanted=1, available=0)

    def _make_room(self, now: float, wanted: int, available: int) -> None:
        """Close up to `wanted` connections; a client that still takes bytes is not idle."""
        self._delivery_monitor.observe_idle(now, RESPONSE_DELIVERY_MS)
        self._closer.close(self.policy.choose_to_make_room(now, wanted, available), wanted)

    def describe_open_connections(self) -> str:
        """Return a line that describes the open connections, for the log."""
        return describe_open_connections(self.connections)
