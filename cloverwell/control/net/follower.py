"""A proxy's connection to the control log: it follows one control node, and the next one when that fails.

`Follower` carries out the effects of a `Subscription`. All that it needs of a proxy is a function that
applies an entry, so it serves a real proxy as well as a simulated one that has nothing else.
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

CONNECT_TIMEOUT_S = 30.0  # of the reactor; the subscription abandons an attempt long before
RUN_BITS = 53  # every reader of JSON keeps an integer of this size exactly
MAX_WAITING_BYTES = 64 * 1024  # a proxy sends a few bytes a second
NO_ATTEMPT = 0


@dataclass(frozen=True, slots=True)
class ConnectionAttempt:
    """A numbered attempt to connect to a control node, or the connection that has come of it."""

    number: int
    connector: Connector


class Follower:
    """Follows the control log for one proxy, from `start` to `stop`."""

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
        """Connects to nothing yet.

        Args:
            reactor: makes the connections and the delayed calls.
            regions: the addresses of the control nodes by name, a mapping for each region, the proxy's own
                region first.
            log_name: the control log to follow.
            proxy: the proxy's name, which no other proxy has.
            apply_entry: called for each entry in the log's order, and for the entries of a snapshot's state.
                It applies the entry or raises `EntryRefusedError`.
            log: where changes of the connection are written, if anywhere.
            on_purges_missed: called before the entries of a snapshot that no longer lists all purges.
            on_change: called after each event.
            now: milliseconds of a monotonic clock.
            random: the source of jitter.
            timing: the timeouts of the subscription, where they are not the usual ones.
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
        self._logged_node = ""  # the node that was logged last, "" for none
        self._logged_failure = ""

    @property
    def status(self) -> SubscriptionStatus:
        """The state of the subscription, for operators."""
        return self.subscription.status(self._now())

    def divide_by(self, provisioned: int) -> int:
        """Returns the number of proxies by which a fleet-wide bound is divided at this proxy.

        `provisioned` is the largest number of proxies that may live, which counts while the real number is
        not known.
        """
        return self.subscription.bound_divisor(provisioned, self._now())

    @property
    def ready(self) -> bool:
        """Whether a starting proxy need not wait for the control log any longer."""
        return self.subscription.is_ready(self._now())

    def start(self) -> None:
        """Connects. Entries that were saved are applied before this returns."""
        self._started = True
        self._handle(self.subscription.start)

    def stop(self) -> None:
        """Says goodbye to the control node, so that this proxy doesn't count as one that may still live."""
        if not self._started:
            return
        self._started = False
        self._timer.cancel()
        self._effects.extend(self.subscription.stop())
        self._carry_out_all()

    # Events of connections

    def connection_opened(self, connection: FollowerConnection) -> None:
        """Handles a connection that is up; one of an earlier attempt is ended."""
        if connection.attempt != self._attempt_number():
            connection.abort()
            return
        self._connection = connection
        self._handle(self.subscription.connected, connection.attempt)

    def message_received(self, connection: FollowerConnection, message: NodeMessage) -> None:
        """Handles a message of the control node; one of an earlier connection is ignored."""
        if connection is self._connection:
            self._handle(self.subscription.receive, connection.attempt, message)

    def connection_lost(self, attempt: int, reason: str) -> None:
        """Handles the end of the connection of an attempt, or the failure of the attempt."""
        if attempt != self._attempt_number():
            return
        self._attempt = None
        self._connection = None
        self._warn(reason)
        self._handle(self.subscription.disconnected, attempt)

    def connection_failed(self, reason: str) -> None:
        """Logs that a connection ends because of what it received, or because too much waits to be sent."""
        self._warn(f"{self._logged_node or 'a control node'}: {reason}")

    def _attempt_number(self) -> int:
        """Returns the number of the current attempt, NO_ATTEMPT where there is none."""
        return NO_ATTEMPT if self._attempt is None else self._attempt.number

    # Events and effects

    def _handle(self, event: Callable[..., list[ProxyEffect]], *arguments: object) -> None:
        """Passes an event to the subscription and carries out the effects."""
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
            lambda reason: self.connection_lost(attempt, f"not connected: {reason}"),
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
        """Applies the state of a snapshot at `position`, at a proxy that has come as far as `previous`."""
        if previous.index < state.purges_complete_from:
            self._on_purges_missed()
        # Entries that are applied already are applied again: the snapshot may be of another log, in which
        # other entries have the same indices.
        purges = (entry for entry in state.purges if entry.index > previous.index)
        entries = sorted((*state.latest.values(), *purges), key=lambda entry: entry.index)
        self._apply(entries, position.index)

    def _apply(self, entries: list[Entry], index: int) -> None:
        """Applies entries and reports the log as applied up to `index`, with the last refusal if any."""
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
        """Logs which node is followed, and why the last one is not, where that has changed."""
        status = self.status
        if status.last_failure != self._logged_failure:
            self._logged_failure = status.last_failure
            self._warn(f"left {status.last_failure}")
        if status.node != self._logged_node:
            self._logged_node = status.node
            if self._log is not None:
                node = status.node
                self._log.info("control", f"follows {node}" if node else "follows no control node")

    def _warn(self, text: str) -> None:
        if self._log is not None:
            self._log.warn("control", text)


def _new_run() -> int:
    """Returns the number that distinguishes this process from earlier ones of the same proxy.

    It is drawn from the system, because the `random` of two processes may have the same seed.
    """
    return SystemRandom().getrandbits(RUN_BITS)


class FollowerConnection(FrameConnection):
    """A proxy's connection to a control node. `attempt` is the number of the attempt that it came of."""

    def __init__(self, follower: Follower, attempt: int) -> None:
        """Reports its events to the follower."""
        super().__init__(MAX_MESSAGE_BYTES, MAX_WAITING_BYTES)
        self.attempt = attempt
        self._follower = follower

    def connectionMade(self) -> None:
        """Twisted: the connection is up."""
        super().connectionMade()
        self._follower.connection_opened(self)

    def message_received(self, message: WireMessage) -> None:
        """Hands on what a control node sends to proxies; any other message ends the connection."""
        if isinstance(message, NodeMessage):
            self._follower.message_received(self, message)
        else:
            self.fault(f"sent a {type(message).__name__} where none is due")
            self.abort()

    def fault(self, reason: str) -> None:
        """Has the follower log the reason."""
        self._follower.connection_failed(reason)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended."""
        super().connectionLost(reason)
        self._follower.connection_lost(self.attempt, f"connection lost: {reason.getErrorMessage()}")
