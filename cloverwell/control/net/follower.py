"""The follower of the control log: it connects a proxy to one control node, and to another if that fails.

`Follower` carries out the effects of a `Subscription`. It needs nothing of a proxy but a function that
applies an entry, so a simulated proxy that has nothing else can use it as well as a real one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random, SystemRandom

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.control.effects import (
    ApplyEntry,
    ApplySnapshot,
    ConnectToNode,
    DisconnectFromNode,
    ProxyEffect,
    SendToControlNode,
)
from cloverwell.control.entry import Entry, LogState, Position
from cloverwell.control.messages import MAX_MESSAGE_BYTES, NodeMessage
from cloverwell.control.net.address import Address
from cloverwell.control.net.connection import FrameConnection
from cloverwell.control.net.connection_factory import ConnectionFactory
from cloverwell.control.net.deadline_timer import DeadlineTimer
from cloverwell.control.net.errors import EntryRefusedError
from cloverwell.control.net.reactor_types import Connector, Reactor
from cloverwell.control.net.wire import WireMessage
from cloverwell.control.subscription import Subscription, SubscriptionStatus
from cloverwell.control.timing import SubscriptionTiming
from cloverwell.log import Log
from cloverwell.timer_wheel import monotonic_ms

CONNECT_TIMEOUT_S = 30.0  # the reactor's limit; the subscription abandons an attempt long before it
RUN_BITS = 53  # the bits of a run's number; every JSON reader represents integers of this size exactly
MAX_QUEUED_BYTES = 64 * 1024  # ample, since a proxy sends only a few bytes per second
NO_ATTEMPT = 0  # the attempt number while there is no attempt


@dataclass(frozen=True, slots=True)
class ConnectionAttempt:
    """A numbered attempt to connect to a control node, or the connection that it has led to."""

    number: int
    connector: Connector


class Follower:
    """Follows the control log on behalf of one proxy, from `start` to `stop`."""

    def __init__(
        self,
        reactor: Reactor,
        regions: Sequence[Mapping[str, Address]],
        log_name: str,
        proxy: str,
        apply_entry: Callable[[Entry], None],
        log: Log | None = None,
        on_purges_missed: Callable[[], None] = lambda: None,
        on_change: Callable[[], None] = lambda: None,
        now: Callable[[], float] = monotonic_ms,
        random: Random | None = None,
        timing: SubscriptionTiming | None = None,
    ) -> None:
        """Sets up a subscription to the log, without connecting yet.

        Args:
            reactor: makes the connections and the delayed calls.
            regions: for each region a mapping from the names of its control nodes to their addresses; the
                proxy's own region comes first.
            log_name: the control log to follow.
            proxy: the proxy's name, unique in the fleet.
            apply_entry: called for each entry in the log's order, and for each entry in a snapshot's state.
                The function applies the entry or raises `EntryRefusedError`.
            log: the proxy's log, for changes of the connection; None to log nothing.
            on_purges_missed: called before a snapshot is applied that lacks purges that this proxy has not
                applied yet.
            on_change: called after each event.
            now: returns the time in ms on a monotonic clock.
            random: the random generator for jitter.
            timing: the timeouts of the subscription; None for the default ones.
        """
        self._reactor = reactor
        self._addresses = {name: address for nodes in regions for name, address in nodes.items()}
        self._apply_entry = apply_entry
        self._on_purges_missed = on_purges_missed
        self._on_change = on_change
        self._log = log
        self._now = now
        node_names = tuple(tuple(nodes) for nodes in regions if nodes)
        self.subscription = Subscription(
            proxy, _new_run(), log_name, node_names, random or SystemRandom(), now(), timing=timing
        )
        self._effects: deque[ProxyEffect] = deque()
        self._attempt: ConnectionAttempt | None = None
        self._connection: FollowerConnection | None = None
        self._timer = DeadlineTimer(reactor, now, self._tick)
        self._started = False
        self._logged_node = ""  # the followed node that was logged last, "" for none
        self._logged_failure = ""  # the failure that was logged last, "" for none

    @property
    def status(self) -> SubscriptionStatus:
        """The state of the subscription, as operators see it."""
        return self.subscription.status(self._now())

    def divide_by(self, provisioned: int) -> int:
        """Returns the number of proxies by which this proxy divides a fleet-wide bound.

        `provisioned` is the largest number of proxies that may be alive. It is the divisor while the real
        number is not known.
        """
        return self.subscription.bound_divisor(provisioned, self._now())

    @property
    def ready(self) -> bool:
        """True if a starting proxy need not wait any longer until it has caught up with the control log."""
        return self.subscription.is_ready(self._now())

    def start(self) -> None:
        """Starts the subscription and connects. Saved entries are applied before this method returns."""
        self._started = True
        self._handle(self.subscription.start)

    def stop(self) -> None:
        """Says goodbye to the control node, which otherwise counts this proxy as possibly still alive."""
        if not self._started:
            return
        self._started = False
        self._timer.cancel()
        self._effects.extend(self.subscription.stop())
        self._carry_out_all()

    # Events of connections

    def connection_opened(self, connection: FollowerConnection) -> None:
        """Handles a new connection. The connection of an earlier attempt is aborted."""
        if connection.attempt != self._attempt_number():
            connection.abort()
            return
        self._connection = connection
        self._handle(self.subscription.connected, connection.attempt)

    def message_received(self, connection: FollowerConnection, message: NodeMessage) -> None:
        """Handles a message of the control node. A message on an earlier connection is ignored."""
        if connection is self._connection:
            self._handle(self.subscription.receive, connection.attempt, message)

    def connection_lost(self, attempt: int, reason: str) -> None:
        """Handles the failure of a connection attempt, or the end of its connection."""
        if attempt != self._attempt_number():
            return
        self._attempt = None
        self._connection = None
        self._warn(reason)
        self._handle(self.subscription.disconnected, attempt)

    def log_fault(self, reason: str) -> None:
        """Logs why this proxy ends a connection: an invalid message, or too many queued bytes."""
        self._warn(f"{self._logged_node or 'a control node'}: {reason}")

    def _attempt_number(self) -> int:
        """Returns the number of the current attempt, or NO_ATTEMPT if there is none."""
        return NO_ATTEMPT if self._attempt is None else self._attempt.number

    # Events and effects

    def _handle(self, event: Callable[..., list[ProxyEffect]], *arguments: object) -> None:
        """Passes an event to the subscription, and carries out the effects that it returns."""
        if not self._started:
            return
        self._effects.extend(event(*arguments, self._now()))
        self._carry_out_all()
        self._log_changes()
        self._timer.set(self.subscription.next_deadline())
        self._on_change()

    def _tick(self) -> None:
        self._handle(self.subscription.tick)

    def _carry_out_all(self) -> None:
        while self._effects:
            self._carry_out(self._effects.popleft())

    def _carry_out(self, effect: ProxyEffect) -> None:
        match effect:
            case ConnectToNode(node, attempt):
                self._connect(node, attempt)
            case DisconnectFromNode():
                self._disconnect()
            case SendToControlNode(_, message):
                if self._connection is not None:
                    self._connection.send(message)
            case ApplyEntry(entry):
                self._apply([entry], entry.index)
            case ApplySnapshot(snapshot, previous):
                self._apply_snapshot(snapshot.state, snapshot.position, previous)

    def _connect(self, node: str, attempt: int) -> None:
        host, port = self._addresses[node]
        factory = ConnectionFactory(
            lambda: FollowerConnection(self, attempt),
            lambda reason: self.connection_lost(attempt, f"could not connect to the control node: {reason}"),
        )
        connector = self._reactor.connectTCP(host, port, factory, timeout=CONNECT_TIMEOUT_S)
        self._attempt = ConnectionAttempt(attempt, connector)

    def _disconnect(self) -> None:
        attempt, self._attempt = self._attempt, None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
        elif attempt is not None:
            attempt.connector.disconnect()

    def _apply_snapshot(self, state: LogState, position: Position, previous: Position) -> None:
        """Applies the state of a snapshot at `position` to a proxy whose log ended at `previous`."""
        if previous.index < state.purges_complete_from:
            self._on_purges_missed()
        # The latest entry of each kind is applied even if its index was applied before: the snapshot may be
        # of another log, in which that index has another entry.
        purges = (entry for entry in state.purges if entry.index > previous.index)
        entries = sorted((*state.latest.values(), *purges), key=lambda entry: entry.index)
        self._apply(entries, position.index)

    def _apply(self, entries: list[Entry], index: int) -> None:
        """Applies entries, and reports the log as applied up to `index`, with the last refusal if any."""
        refusal: EntryRefusedError | None = None
        refused_kind = ""
        for entry in entries:
            try:
                self._apply_entry(entry)
            except EntryRefusedError as error:
                refusal = error
                refused_kind = entry.kind
        if refusal is None:
            effects = self.subscription.applied(index, self._now())
        else:
            effects = self.subscription.refused(index, refusal.reason, self._now(), refused_kind)
        self._effects.extend(effects)

    # The log

    def _log_changes(self) -> None:
        """Logs the followed node, and why the previous one was left, if that has changed."""
        status = self.status
        if status.last_failure != self._logged_failure:
            self._logged_failure = status.last_failure
            self._warn(f"stopped following {status.last_failure}")
        if status.node != self._logged_node:
            self._logged_node = status.node
            if self._log is not None:
                node = status.node
                self._log.info("control", f"follows {node}" if node else "follows no control node")

    def _warn(self, text: str) -> None:
        if self._log is not None:
            self._log.warn("control", text)


def _new_run() -> int:
    """Returns the number that distinguishes this process from earlier processes of the same proxy.

    The system's random generator draws it, because the `random` of two processes may have the same seed.
    """
    return SystemRandom().getrandbits(RUN_BITS)


class FollowerConnection(FrameConnection):
    """A proxy's connection to a control node. `attempt` is the number of the connection attempt."""

    def __init__(self, follower: Follower, attempt: int) -> None:
        """Sets the follower, to which the connection reports its events."""
        super().__init__(MAX_MESSAGE_BYTES, MAX_QUEUED_BYTES)
        self.attempt = attempt
        self._follower = follower

    def connectionMade(self) -> None:
        """Tells the follower that the connection is up."""
        super().connectionMade()
        self._follower.connection_opened(self)

    def message_received(self, message: WireMessage) -> None:
        """Passes on a message that control nodes send to proxies; any other message ends the connection."""
        if isinstance(message, NodeMessage):
            self._follower.message_received(self, message)
        else:
            self.report_fault(f"sent an unexpected message: {type(message).__name__}")
            self.abort()

    def report_fault(self, reason: str) -> None:
        """Makes the follower log the reason."""
        self._follower.log_fault(reason)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tells the follower that the connection has ended."""
        super().connectionLost(reason)
        self._follower.connection_lost(
            self.attempt, f"connection to the control node lost: {reason.getErrorMessage()}"
        )
