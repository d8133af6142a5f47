"""A proxy's connection to the control log: it follows one control node, and the next one when that fails.

`Follower` carries out what `Subscription` decides, and needs no more of a proxy than a function that puts an
entry in force. So it serves a whole proxy as well as one that has nothing but this.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from random import Random, SystemRandom
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, connectionDone
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
from cloverwell.control.net.connection import FrameConnection
from cloverwell.control.net.wire import WireMessage
from cloverwell.control.subscription import Subscription, SubscriptionStatus
from cloverwell.control.timing import SubscriptionTiming
from cloverwell.log import Log
from cloverwell.timer_wheel import monotonic_ms

Address = tuple[str, int]

CONNECT_S = 30.0  # of the reactor's own; the subscription gives up long before
RUN_BITS = 53  # as many as any reader of JSON keeps
MAX_WAITING_BYTES = 64 * 1024  # what a proxy sends is a few bytes a second


class EntryRefusedError(Exception):
    """An entry can't be put in force here; the text says why. What was in force before still is."""


class Follower:
    """Follows the log `log_name` for one proxy, from `start` to `stop`.

    `regions`: the addresses of the control nodes by name, the own region's first. `proxy`: the proxy's name,
    which no other has. `in_force` is called for each entry in the log's order, and puts it in force or
    raises `EntryRefusedError`; with a snapshot for what its state holds. `purges_missed` is called before
    those where purges have been left out that nobody can name any more. `changed` is called after each
    event.
    """

    def __init__(
        self,
        reactor: Any,
        regions: Sequence[Mapping[str, Address]],
        log_name: str,
        proxy: str,
        in_force: Callable[[Entry], None],
        log: Log | None = None,
        purges_missed: Callable[[], None] = lambda: None,
        changed: Callable[[], None] = lambda: None,
        now: Callable[[], float] = monotonic_ms,
        random: Random | None = None,
        timing: SubscriptionTiming | None = None,
    ) -> None:
        self._reactor = reactor
        self._addresses = {name: address for group in regions for name, address in group.items()}
        self._in_force = in_force
        self._purges_missed = purges_missed
        self._changed = changed
        self._log = log
        self._now = now
        groups = tuple(tuple(group) for group in regions if group)
        run = SystemRandom().getrandbits(RUN_BITS)  # never drawn from `random`: two may share its seed
        self.subscription = Subscription(
            proxy, run, log_name, groups, random or SystemRandom(), now(), timing=timing
        )
        self._effects: deque[ProxyEffect] = deque()
        self._connector: Any = None
        self._connection: FollowerConnection | None = None
        self._timer: Any = None
        self._started = False
        self._told_node = ""  # the node that was logged last, "" for none
        self._told_failure = ""

    @property
    def status(self) -> SubscriptionStatus:
        """For operators."""
        return self.subscription.status(self._now())

    def divide_by(self, provisioned: int) -> int:
        """By what a fleet-wide bound is divided here; `provisioned`: the most proxies that may live."""
        return self.subscription.divide_by(provisioned, self._now())

    @property
    def ready(self) -> bool:
        """Whether a starting proxy need not wait any longer."""
        return self.subscription.ready(self._now())

    def start(self) -> None:
        """Connects; `in_force` may be called before this returns, for what was saved."""
        self._started = True
        self._handle(self.subscription.start)

    def stop(self) -> None:
        """Takes leave of the control node, so that this proxy doesn't count as one that may live unseen."""
        if not self._started:
            return
        self._started = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._effects.extend(self.subscription.stop())
        self._carry_out_all()

    # What connections tell

    def opened(self, connection: FollowerConnection) -> None:
        if connection.attempt != self._attempt():
            connection.abort()
            return
        self._connection = connection
        self._handle(self.subscription.connected, connection.attempt)

    def received(self, connection: FollowerConnection, message: NodeMessage) -> None:
        if connection is self._connection:
            self._handle(self.subscription.receive, connection.attempt, message)

    def lost(self, attempt: int, reason: str) -> None:
        """The connection of that attempt has ended, or did not come up."""
        if attempt != self._attempt():
            return
        self._connector = self._connection = None
        self._warn(reason)
        self._handle(self.subscription.disconnected, attempt)

    def fault(self, reason: str) -> None:
        """What came makes no sense, or what leaves has waited too long."""
        self._warn(f"{self._told_node or 'a control node'}: {reason}")

    # Events and effects

    def _attempt(self) -> int:
        """The attempt that is out; 0 for none."""
        return 0 if self._connector is None else self._connector.attempt

    def _handle(self, event: Callable[..., list[ProxyEffect]], *arguments: object) -> None:
        if not self._started:
            return
        self._effects.extend(event(*arguments, self._now()))
        self._carry_out_all()
        self._tell_node()
        self._arm()
        self._changed()

    def _carry_out_all(self) -> None:
        while self._effects:
            self._carry_out(self._effects.popleft())

    def _carry_out(self, effect: ProxyEffect) -> None:
        match effect:
            case ConnectToNode(node, attempt):
                host, port = self._addresses[node]
                factory = _FollowerFactory(self, attempt)
                self._connector = _Connector(
                    attempt, self._reactor.connectTCP(host, port, factory, timeout=CONNECT_S)
                )
            case DisconnectFromNode():
                self._hang_up()
            case SendToControlNode(_, message):
                if self._connection is not None:
                    self._connection.send(message)
            case ApplyEntry(entry):
                self._load([entry], entry.index)
            case ApplySnapshot(snapshot, previous):
                self._load_snapshot(snapshot.state, snapshot.position, previous)

    def _hang_up(self) -> None:
        connector, self._connector = self._connector, None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
        elif connector is not None:
            connector.connector.disconnect()

    def _load_snapshot(self, state: LogState, position: Position, previous: Position) -> None:
        if previous.index < state.purges_complete_from:
            self._purges_missed()
        # What is in force already is put in force once more: another log may stand at the same index.
        purges = (entry for entry in state.purges if entry.index > previous.index)
        entries = sorted((*state.latest.values(), *purges), key=lambda entry: entry.index)
        self._load(entries, position.index)

    def _load(self, entries: list[Entry], index: int) -> None:
        """Puts entries in force and tells so up to `index`; the last refusal is the one that is told."""
        refused: tuple[str, str] | None = None
        for entry in entries:
            try:
                self._in_force(entry)
            except EntryRefusedError as error:
                refused = (str(error), entry.kind)
        if refused is None:
            self._effects.extend(self.subscription.loaded(index, self._now()))
        else:
            reason, kind = refused
            self._effects.extend(self.subscription.refused(index, reason, self._now(), kind))

    def _arm(self) -> None:
        """One timer, at the time that the subscription has named last."""
        delay_s = max(0.0, self.subscription.next_deadline() - self._now()) / 1000.0
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay_s)
        else:
            self._timer = self._reactor.callLater(delay_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._handle(self.subscription.tick)

    # The log

    def _tell_node(self) -> None:
        status = self.status
        if status.last_failure != self._told_failure:
            self._told_failure = status.last_failure
            self._warn(f"left {status.last_failure}")
        if status.node != self._told_node:
            if self._log is not None:
                node = status.node
                self._log.info("control", f"follows {node}" if node else "follows no control node")
            self._told_node = status.node

    def _warn(self, text: str) -> None:
        if self._log is not None:
            self._log.warn("control", text)


class _Connector:
    """A try at a connection, or the connection that has come of it."""

    __slots__ = ("attempt", "connector")

    def __init__(self, attempt: int, connector: Any) -> None:
        self.attempt = attempt
        self.connector = connector


class FollowerConnection(FrameConnection):
    """A connection to a control node."""

    def __init__(self, follower: Follower, attempt: int) -> None:
        super().__init__(MAX_MESSAGE_BYTES, MAX_WAITING_BYTES)
        self.attempt = attempt
        self._follower = follower

    def connectionMade(self) -> None:
        super().connectionMade()
        self._follower.opened(self)

    def message_received(self, message: WireMessage) -> None:
        if isinstance(message, NodeMessage):
            self._follower.received(self, message)
        else:
            self.fault(f"sent a {type(message).__name__} where none is due")
            self.abort()

    def fault(self, reason: str) -> None:
        self._follower.fault(reason)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        self._follower.lost(self.attempt, f"connection lost: {reason.getErrorMessage()}")


class _FollowerFactory(ClientFactory):
    noisy = False

    def __init__(self, follower: Follower, attempt: int) -> None:
        self._follower = follower
        self._attempt = attempt

    def buildProtocol(self, addr: IAddress) -> FollowerConnection:
        return FollowerConnection(self._follower, self._attempt)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._follower.lost(self._attempt, f"not connected: {reason.getErrorMessage()}")
