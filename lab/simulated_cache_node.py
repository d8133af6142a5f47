"""A cache node of the simulation: memcache's meta commands, a bounded cache, load reports.

It keeps its state in `lab.server` and tells the invariant checker what crosses its sockets.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.streamed_value import STREAMING_THRESHOLD_BYTES
from lab.line_connection import LineConnection
from lab.listener import Address
from lab.node_answers import deadline_ms_of, write_in_pieces
from lab.node_environment import NodeEnvironment
from lab.request_catalog import RequestCatalog
from lab.server import Keys, Server
from lab.simulated_node import SimulatedNode

MISS_SHARE = 0.1  # of a request's work, where the node does not have the key
HIT_WEIGHT, LATENCY_WEIGHT = 0.05, 0.1  # of the newest request in the reported means
IDLE_CHECK_S = (0.05, 1.0)  # bounds of the time between two looks at an idle connection


class CacheNodeEnvironment(NodeEnvironment, Protocol):
    """What a cache node needs. `request_id` is the id that the client gave the request."""

    catalog: RequestCatalog

    def attempt(self, request_id: str, node: SimulatedCacheNode, deadline_ms: float) -> None:
        """A whole command has come in at a cache node, with so much time to answer it."""

    def record_work(self, node: SimulatedCacheNode, request_id: str, work_s: float, done_s: float) -> None:
        """Work has come in at a node, in core seconds: what was asked for, and what it costs the node."""

    def missed(self, request_id: str, node: SimulatedCacheNode) -> None:
        """The cache node does not have the request's key."""


@dataclass(slots=True)
class PendingCommand:
    """A command that was not answered yet; answers go out in the order of the commands."""

    job_name: str
    request_id: str
    came_s: float
    answer: bytes | None = None


@dataclass(frozen=True, slots=True)
class WriteHead:
    """The line before a value that is to be stored."""

    key: str
    request_id: str
    deadline_ms: float


class SimulatedCacheNode(SimulatedNode):
    """A cache node with its keys, its load report and a bound on its connections."""

    def __init__(
        self, environment: CacheNodeEnvironment, name: str, address: Address, server: Server, zone: int
    ) -> None:
        """The node listens at once, with no keys."""
        super().__init__(environment, name, address, server)
        self.environment = environment
        self.settings = environment.scenario.nodes
        self.keys = Keys(self.settings.keys)
        self.zone = zone
        self._hit_rate, self._latency_ms = 0.5, 0.0
        self._report, self._reported_s = "", -1e9

    @property
    def cold(self) -> bool:
        """Whether the node started so recently that it is not at its full speed."""
        return self.now - self.server.born_s < self.server.warm_s

    def buildProtocol(self, _addr: IAddress | None) -> CacheNodeConnection | None:
        """A connection, unless the node has as many as it takes."""
        if len(self.connections) >= self.settings.connections:
            return None
        return CacheNodeConnection(self)

    def served(self, hit: bool, latency_s: float) -> None:
        """Counts an answer for the load report."""
        self._hit_rate += HIT_WEIGHT * (hit - self._hit_rate)
        self._latency_ms += LATENCY_WEIGHT * (1000.0 * latency_s - self._latency_ms)

    def report(self) -> str:
        """The load report, which is refreshed at intervals and so is often out of date."""
        if self.now - self._reported_s >= self.settings.report_every_s:
            self._reported_s = self.now
            queue = len(self.server.waiting)
            self._report = f"q={queue},lat_ms={self._latency_ms:.1f},x0={self._hit_rate:.3f}"
        return self._report


class CacheNodeConnection(LineConnection):
    """A proxy's connection to a cache node."""

    MAX_LENGTH = 8192

    def __init__(self, node: SimulatedCacheNode) -> None:
        """`node`: it does the work."""
        self._node = node
        self._environment = node.environment
        self._handshake_s = node.settings.handshake_ms / 1000.0  # before the first request only
        self._pending: list[PendingCommand] = []
        self._idle_since_s = node.now
        self._write_head: WriteHead | None = None
        self._value_left = 0
        self._writing_long = False  # a long value goes out piece by piece

    def connectionMade(self) -> None:
        """Watches from now on whether the connection is idle for too long."""
        self._node.connections[self] = None
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        limit_s = self._node.settings.idle_close_s
        if self not in self._node.connections:
            return
        idle_s = self._node.now - self._idle_since_s
        if not self._pending and not self._writing_long and idle_s >= limit_s:
            self.transport.loseConnection()
            return
        least_s, most_s = IDLE_CHECK_S
        wait_s = max(least_s, min(most_s, limit_s - idle_s))
        self._environment.net.callLater(wait_s, self._close_if_idle)

    def lineReceived(self, line: bytes) -> None:
        """A read, or the line before the value of a write."""
        words = line.decode().split(" ")
        request_id = next(word[1:] for word in words if word.startswith("O"))
        deadline_ms = deadline_ms_of(next(word[1:] for word in words if word.startswith("P")))
        head = WriteHead(words[1], request_id, deadline_ms)
        if words[0] == "ms":
            self._write_head, self._value_left = head, int(words[2]) + 2
            self.expect_value()
            return
        self._take(head, write=False)

    def rawDataReceived(self, data: bytes) -> None:
        """A part of a value that is to be stored."""
        taken, rest = data[: self._value_left], data[self._value_left :]
        self._value_left -= len(taken)
        if not self._value_left and self._write_head is not None:
            self.expect_lines()
            self._take(self._write_head, write=True)
            if rest:
                self.receive(rest)

    def _take(self, head: WriteHead, write: bool) -> None:
        """A whole command has come in."""
        node, environment, request_id = self._node, self._environment, head.request_id
        environment.attempt(request_id, node, head.deadline_ms)
        command = PendingCommand(node.job_name(request_id), request_id, node.now)
        self._pending.append(command)
        work_s = environment.catalog.work_s(request_id)
        hit = not write and node.keys.hit(head.key)
        done_s = work_s if hit else MISS_SHARE * work_s
        environment.record_work(node, request_id, work_s, done_s)
        wait_s, self._handshake_s = self._handshake_s, 0.0
        environment.net.callLater(wait_s, self._start, command, done_s, hit)

    def _start(self, command: PendingCommand, work_s: float, hit: bool) -> None:
        """Puts the command on the server, which may turn it away."""
        if self not in self._node.connections:
            return
        if not self._node.offer(command.job_name, work_s, lambda: self._finish(command, hit)):
            self._environment.checker.never_ran(command.request_id)
            command.answer = b"SERVER_ERROR busy\r\n"
            self._write_answers()

    def _finish(self, command: PendingCommand, hit: bool) -> None:
        node, environment, request_id = self._node, self._environment, command.request_id
        node.served(hit, node.now - command.came_s)
        if hit:
            value = environment.catalog.value(request_id)
            head = f"VA {len(value)} O{request_id} h1 L{node.report()}"
            command.answer = f"{head}\r\n{value}\r\n".encode()
        else:
            environment.checker.never_ran(request_id)
            environment.missed(request_id, node)
            command.answer = f"EN O{request_id} L{node.report()}\r\n".encode()
        self._write_answers()

    def _write_answers(self) -> None:
        """Writes the answers whose turn it is."""
        while self._pending and self._pending[0].answer is not None and not self._writing_long:
            command = self._pending.pop(0)
            self._environment.checker.settled(command.request_id)
            self._write(command.answer or b"")
        self._idle_since_s = self._node.now

    def _write(self, answer: bytes) -> None:
        if len(answer) <= STREAMING_THRESHOLD_BYTES:
            self.transport.write(answer)
            return
        self._writing_long = True
        net, settings = self._environment.net, self._node.settings
        write_in_pieces(net, settings, self.transport, answer, self._long_written)

    def _long_written(self) -> None:
        self._writing_long = False
        self._write_answers()

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Cancels the commands that are still open."""
        self._node.connections.pop(self, None)
        for command in self._pending:
            self._environment.checker.settled(command.request_id)
            if command.answer is None:
                self._node.cancel(command.job_name)
