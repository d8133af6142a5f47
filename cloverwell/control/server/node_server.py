"""The server of a control node, which joins its state machine, its storage and its connections.

Each event of a connection or of the clock goes to `ControlNode`, and the effects that it returns are carried
out in order, so a write is durable before any message that follows it is sent (Raft, figure 2: persistent
state is updated on stable storage before an RPC is answered).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol, cast

from twisted.internet.interfaces import IReactorTCP

from cloverwell.control.control_node import ControlNode
from cloverwell.control.effects import (
    AnswerProposal,
    CloseSubscriber,
    EntriesCommitted,
    NodeEffect,
    SendToPeer,
    SendToSubscriber,
    SnapshotInstalled,
)
from cloverwell.control.entry import Entry
from cloverwell.control.messages import PeerMessage, Propose, ProxyMessage
from cloverwell.control.net.address import format_address
from cloverwell.control.net.deadline_timer import DeadlineTimer
from cloverwell.control.net.reactor_types import StoppableReactor
from cloverwell.control.net.wire import PeerHello, StatusAnswer, WireMessage
from cloverwell.control.server.peers import PeerLink
from cloverwell.control.server.port import ControlPort
from cloverwell.control.server.settings import NodeSettings
from cloverwell.control.storage import Storage, StorageError, Write
from cloverwell.control.timing import ControlNodeTiming, FanoutTiming
from cloverwell.front.port import BoundedPort, listen
from cloverwell.log import Log

BACKLOG = 512  # the most connections that may wait to be accepted
MAX_QUOTED_CHARS = 60  # the most characters of a proposal's id or kind that a log line quotes


class ClosableStorage(Storage, Protocol):
    """Storage that can be closed, as the node does when it stops."""

    def close(self) -> None:
        """Releases the storage, so that another process may open it."""


@dataclass(frozen=True, slots=True)
class KnownLeader:
    """The leader known to this node, and its term; "" and 0 while none is known."""

    name: str
    term: int


class NodeServer:
    """Serves one control node until `stop`, or until its storage fails, which sets `failed`."""

    def __init__(
        self,
        reactor: StoppableReactor,
        settings: NodeSettings,
        storage: ClosableStorage,
        log: Log,
        now: Callable[[], float],
        random: Random,
        timing: ControlNodeTiming | None = None,
        fanout: FanoutTiming | None = None,
    ) -> None:
        """Sets up the node and its links, without listening or connecting yet.

        Args:
            reactor: makes the connections and the delayed calls; stopping the node stops it.
            settings: the settings from the node's file.
            storage: holds the state from which the node starts, and takes its writes.
            log: the node's log.
            now: returns the time in ms on a monotonic clock.
            random: the random generator for election timeouts and jitter.
            timing: the timeouts of the consensus; None for the default ones.
            fanout: the timeouts towards proxies; None for the default ones.
        """
        self._reactor = reactor
        self._settings = settings
        self._storage = storage
        self._log = log
        self._now = now
        self.node = ControlNode(
            settings.name, tuple(settings.nodes), settings.log, storage.load(), random, now(), timing, fanout
        )
        hello = PeerHello(settings.name, settings.log)
        self._links = {
            peer: PeerLink(reactor, hello, peer, address, random, log)
            for peer, address in settings.others.items()
        }
        self._port = ControlPort(reactor, self, log)
        self._listening_port: BoundedPort | None = None
        self._timer = DeadlineTimer(reactor, now, self._tick)
        self._logged_leader: KnownLeader | None = None
        self._stopped = False
        self.failed = False

    def start(self) -> None:
        """Listens and connects to the other nodes. Raises `CannotListenError`."""
        host, port = self._settings.listen
        self._listening_port = listen(cast("IReactorTCP", self._reactor), host, port, self._port, BACKLOG)
        for link in self._links.values():
            link.start()
        node_count = len(self._settings.nodes)
        self._log.info("start", f"{self._settings.name}, one of {node_count} nodes, serves on {host}:{port}")
        self._set_timer()

    def stop(self) -> None:
        """Stops at once. All acknowledged requests are durable; others may be repeated at another node."""
        if self._stopped:
            return
        self._stopped = True
        self._timer.cancel()
        if self._listening_port is not None:
            self._listening_port.stopListening()
        for link in self._links.values():
            link.stop()
        self._port.close_all()
        self._storage.close()
        self._log.info("stop", "stopped")
        self._reactor.stop()

    # Events of connections, as a `ControlRequestHandler`

    def is_peer(self, hello: PeerHello) -> bool:
        """Returns whether the hello comes from another control node of this log."""
        return hello.log == self._settings.log and hello.node in self._links

    def peer_message(self, peer: str, message: PeerMessage) -> None:
        """Handles a message of another control node."""
        self._handle(self.node.receive_peer, peer, message)

    def proxy_message(self, connection: int, message: ProxyMessage) -> None:
        """Handles a message of a proxy."""
        self._handle(self.node.receive_proxy, connection, message)

    def proxy_disconnected(self, connection: int) -> None:
        """Handles the end of a proxy's connection."""
        self._handle(self.node.proxy_disconnected, connection)

    def proposal(self, connection: int, message: Propose) -> None:
        """Handles an operator's proposal."""
        kind, proposal = message.kind[:MAX_QUOTED_CHARS], message.proposal[:MAX_QUOTED_CHARS]
        self._log.info("proposal", f"{kind} {proposal}, {len(message.payload)} bytes")
        self._handle(self.node.propose, connection, message)

    def status(self) -> StatusAnswer:
        """Returns the answer to an operator's request for the status."""
        now = self._now()
        status = self.node.status(now)
        leader_address = self._settings.nodes.get(status.leader)
        return StatusAnswer(
            node=self._settings.name,
            status=status,
            leader_address="" if leader_address is None else format_address(leader_address),
            own=self.node.subscribers.report(self._settings.name),
            activation=self.node.activation_count(status.committed.index, now),
        )

    # Events and effects

    def _handle(self, event: Callable[..., list[NodeEffect]], *arguments: object) -> None:
        """Passes an event to the node, and carries out the effects. If the storage fails, the node stops."""
        if self._stopped:
            return
        try:
            for effect in event(*arguments, self._now()):
                self._carry_out(effect)
        except StorageError as error:
            self._log.warn("storage", f"storage failed, node stops: {error}; restart it once the disk works")
            self.failed = True
            self.stop()
            return
        self._log_leader_change()
        self._set_timer()

    def _carry_out(self, effect: NodeEffect) -> None:
        match effect:
            case Write():
                self._storage.write(effect)
            case SendToPeer(node, message):
                if node in self._links:
                    self._links[node].send(message)
            case SendToSubscriber(connection, message) | AnswerProposal(connection, message):
                self._send(connection, message)
            case CloseSubscriber(connection):
                self._close(connection)
            case EntriesCommitted(entries):
                self._log_committed(entries)
            case SnapshotInstalled(snapshot):
                self._log.info("commit", f"snapshot at {snapshot.position.index} installed from the leader")

    def _send(self, number: int, message: WireMessage) -> None:
        """Sends a message to the connection of that number, unless it has ended."""
        connection = self._port.connection(number)
        if connection is not None:
            connection.send(message)

    def _close(self, number: int) -> None:
        """Closes the connection of that number, unless it has ended."""
        connection = self._port.connection(number)
        if connection is not None:
            connection.close()

    def _set_timer(self) -> None:
        """Sets the timer to the next deadline of the node."""
        if not self._stopped:
            self._timer.set(self.node.next_deadline())

    def _tick(self) -> None:
        self._handle(self.node.tick)

    # The log

    def _log_committed(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            proposal = entry.proposal[:MAX_QUOTED_CHARS]
            self._log.info("commit", f"entry {entry.index}: {entry.kind} {proposal}".rstrip())

    def _log_leader_change(self) -> None:
        """Logs the leader if it has changed since the last line about it."""
        consensus = self.node.consensus
        leader = KnownLeader(consensus.leader, consensus.term if consensus.leader else 0)
        if leader == self._logged_leader:
            return
        self._logged_leader = leader
        if leader.name:
            self._log.info("leader", f"{leader.name} leads, term {leader.term}")
        else:
            self._log.warn("leader", f"no leader is known, term {consensus.term}")
