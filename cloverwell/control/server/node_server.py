"""One control node in service: its decisions, its storage and its connections put together.

Each event of a connection or of the clock goes to `ControlNode`, and its effects are carried out in their
order: a write is on disk before any message behind it leaves.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

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
from cloverwell.control.messages import PeerMessage, Propose, ProxyMessage
from cloverwell.control.net.wire import PeerHello, StatusAnswer
from cloverwell.control.server.peers import PeerLink
from cloverwell.control.server.port import ControlPort
from cloverwell.control.server.settings import NodeSettings
from cloverwell.control.storage import Storage, StorageError, Write
from cloverwell.control.timing import FanoutTiming, Timing
from cloverwell.front.port import listen
from cloverwell.log import Log

BACKLOG = 512


class ClosableStorage(Storage, Protocol):
    """Storage that is given back at the end."""

    def close(self) -> None: ...


class NodeServer:
    """Serves one control node until `stop`, or until its storage fails: `failed` is set then."""

    def __init__(
        self,
        reactor: Any,
        settings: NodeSettings,
        storage: ClosableStorage,
        log: Log,
        now: Callable[[], float],
        random: Random,
        timing: Timing | None = None,
        fanout: FanoutTiming | None = None,
    ) -> None:
        """`now`: ms, monotonic."""
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
        self._listening: Any = None
        self._timer: Any = None
        self._told_leader: tuple[str, int] | None = None  # leader and its term, as they were logged last
        self._stopped = False
        self.failed = False

    def start(self) -> None:
        """Raises `CannotListenError`."""
        host, port = self._settings.listen
        self._listening = listen(self._reactor, host, port, self._port, BACKLOG)
        for link in self._links.values():
            link.start()
        self._log.info(
            "start", f"{self._settings.name} of {len(self._settings.nodes)} serves on {host}:{port}"
        )
        self._arm()

    def stop(self) -> None:
        """Ends at once: what was acknowledged is on disk, and what was not may be asked again elsewhere."""
        if self._stopped:
            return
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._listening is not None:
            self._listening.stopListening()
        for link in self._links.values():
            link.stop()
        self._port.close_all()
        self._storage.close()
        self._log.info("stop", "stopped")
        self._reactor.stop()

    # What connections tell

    def is_peer(self, hello: PeerHello) -> bool:
        return hello.log == self._settings.log and hello.node in self._links

    def peer_message(self, peer: str, message: PeerMessage) -> None:
        self._handle(self.node.receive_peer, peer, message)

    def proxy_message(self, connection: int, message: ProxyMessage) -> None:
        self._handle(self.node.receive_proxy, connection, message)

    def proxy_disconnected(self, connection: int) -> None:
        self._handle(self.node.proxy_disconnected, connection)

    def proposal(self, connection: int, message: Propose) -> None:
        self._log.info(
            "proposal", f"{message.kind[:60]} {message.proposal[:60]}, {len(message.payload)} bytes"
        )
        self._handle(self.node.propose, connection, message)

    def status(self) -> StatusAnswer:
        now = self._now()
        status = self.node.status(now)
        host, port = self._settings.nodes.get(status.leader, ("", 0))
        return StatusAnswer(
            node=self._settings.name,
            status=status,
            leader_address=f"{host}:{port}" if host else "",
            own=self.node.subscribers.report(self._settings.name),
            in_force=self.node.in_force(status.committed.index, now),
        )

    # Events and effects

    def _handle(self, event: Callable[..., list[NodeEffect]], *arguments: object) -> None:
        if self._stopped:
            return
        try:
            for effect in event(*arguments, self._now()):
                self._carry_out(effect)
        except StorageError as error:
            self._log.warn("storage", f"this node stops: {error}; start it again once the disk is sound")
            self.failed = True
            self.stop()
            return
        self._tell_leader()
        self._arm()

    def _carry_out(self, effect: NodeEffect) -> None:
        match effect:
            case Write():
                self._storage.write(effect)
            case SendToPeer(node, message):
                if node in self._links:
                    self._links[node].send(message)
            case SendToSubscriber(connection, message) | AnswerProposal(connection, message):
                if (target := self._port.connection(connection)) is not None:
                    target.send(message)
            case CloseSubscriber(connection):
                if (target := self._port.connection(connection)) is not None:
                    target.close()
            case EntriesCommitted(entries):
                for entry in entries:
                    self._log.info(
                        "commit", f"entry {entry.index}: {entry.kind} {entry.proposal[:60]}".rstrip()
                    )
            case SnapshotInstalled(snapshot):
                self._log.info("commit", f"snapshot at {snapshot.position.index} taken from the leader")

    def _arm(self) -> None:
        """One timer, at the time that the node has named last."""
        if self._stopped:
            return
        delay_s = max(0.0, self.node.next_deadline() - self._now()) / 1000.0
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay_s)
        else:
            self._timer = self._reactor.callLater(delay_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._handle(self.node.tick)

    def _tell_leader(self) -> None:
        consensus = self.node.consensus
        told = (consensus.leader, consensus.term if consensus.leader else 0)
        if told == self._told_leader:
            return
        self._told_leader = told
        if consensus.leader:
            self._log.info("leader", f"{consensus.leader} leads, term {consensus.term}")
        else:
            self._log.warn("leader", f"none is known, term {consensus.term}")
