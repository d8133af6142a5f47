"""The nodes of a world on its network: cache nodes, the origin and discovery. They speak as the platform's do
(memcache meta commands, HTTP/1.1), keep their state in `lab.server`, and tell the judge what crosses."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from cloverwell.streamed_value import LONG
from lab.answers import in_pieces, told_ms
from lab.net import Address
from lab.node_environment import NodeEnvironment
from lab.server import Job, Keys, Server


class SimulatedNode(Factory):
    """What cache nodes and the origin have in common: jobs on a server, and trouble."""

    noisy = False

    def __init__(self, play: NodeEnvironment, name: str, address: Address, server: Server) -> None:
        self.play, self.name, self.address, self.server = play, name, address, server
        self.links: dict[Any, None] = {}  # in the order they came: a set's differs from run to run
        self.hung = False  # takes requests, answers none
        self.down = False
        self._ends: dict[str, Any] = {}  # job -> what to call at its end
        self._jobs = 0
        play.net.listenTCP(address[1], self, interface=address[0])

    @property
    def now(self) -> float:
        return self.play.net.seconds()

    def job_of(self, name: str) -> str:
        """A name of its own for each attempt: the same request may come twice."""
        self._jobs += 1
        return f"{name}#{self._jobs}"

    def offer(self, name: str, work_s: float, done: Any) -> bool:
        begun = self.server.offer(self.now, name, work_s)
        if begun is None:
            return False
        self._ends[name] = done
        self._begin(begun)
        return True

    def _begin(self, jobs: list[Job]) -> None:
        for job in jobs:
            self.play.net.callLater(max(0.0, job.ends_s - self.now), self._end, job)

    def _end(self, job: Job) -> None:
        if self.server.running.get(job.name) is not job:
            return  # called off, or the node has died since
        if self.hung:
            self.play.net.callLater(0.05, self._end, job)
            return
        done = self._ends.pop(job.name)
        self._begin(self.server.finish(self.now, job.name))
        done()

    def call_off(self, name: str) -> None:
        if self._ends.pop(name, None) is not None:
            self._begin(self.server.finish(self.now, name))

    def die(self) -> None:
        self.down = True
        self.server.clear()
        self._ends.clear()
        self.play.net.listeners.pop(self.address, None)
        for link in list(self.links):
            link.transport.abortConnection()

    def live(self) -> None:
        self.down = self.hung = False
        self.play.net.listenTCP(self.address[1], self, interface=self.address[0])


class SimulatedCacheNode(SimulatedNode):
    """A cache node: hits, misses, load reports, a bound on connections, an idle time."""

    def __init__(self, play: NodeEnvironment, name: str, address: Address, server: Server, zone: int) -> None:
        super().__init__(play, name, address, server)
        settings = play.world.nodes
        self.keys = Keys(settings.keys)
        self.zone = zone
        self.draining = False
        self._hits, self._latency_ms = 0.5, 0.0
        self._report, self._reported_s = "", -1e9

    def buildProtocol(self, addr: Any) -> CacheNodeConnection | None:
        if len(self.links) >= self.play.world.nodes.connections:
            return None
        return CacheNodeConnection(self)

    def served(self, hit: bool, latency_s: float) -> None:
        self._hits += 0.05 * (hit - self._hits)
        self._latency_ms += 0.1 * (1000.0 * latency_s - self._latency_ms)

    def report(self) -> str:
        """Refreshed now and then: what it tells is old."""
        if self.now - self._reported_s >= self.play.world.nodes.report_every_s:
            self._reported_s = self.now
            queue = len(self.server.waiting)
            self._report = f"q={queue},lat_ms={self._latency_ms:.1f},x0={self._hits:.3f}"
        return self._report


class CacheNodeConnection(LineReceiver):
    delimiter = b"\r\n"
    MAX_LENGTH = 8192

    def __init__(self, node: SimulatedCacheNode) -> None:
        self.node = node
        self._fresh_s = node.play.world.nodes.handshake_ms / 1000.0
        self._order: list[list[Any]] = []  # [job, answer or None, name], answered in order
        self._idle_s = node.now
        self._value: tuple[str, str, float] | None = None  # key, request and told time of a write
        self._left = 0
        self._giving = False  # a long value, piece by piece

    def connectionMade(self) -> None:
        self.node.links[self] = None
        self._look()

    def _look(self) -> None:
        limit = self.node.play.world.nodes.idle_close_s
        if self not in self.node.links:
            return
        if not self._order and not self._giving and self.node.now - self._idle_s >= limit:
            self.transport.loseConnection()
            return
        self.node.play.net.callLater(max(0.05, min(1.0, limit - (self.node.now - self._idle_s))), self._look)

    def lineReceived(self, line: bytes) -> None:
        words = line.decode().split(" ")
        name = next(word[1:] for word in words if word.startswith("O"))
        told = told_ms(next(word[1:] for word in words if word.startswith("P")))
        if words[0] == "ms":
            self._value, self._left = (words[1], name, told), int(words[2]) + 2
            self.setRawMode()
            return
        self._run(words[1], name, told, write=False)

    def rawDataReceived(self, data: bytes) -> None:
        taken, rest = data[: self._left], data[self._left :]
        self._left -= len(taken)
        if not self._left:
            key, name, told = self._value
            self.setLineMode()
            self._run(key, name, told, write=True)
            self.dataReceived(rest) if rest else None

    def _run(self, key: str, name: str, told: float, write: bool) -> None:
        node, play = self.node, self.node.play
        play.attempt(name, node, told)
        entry: list[Any] = [node.job_of(name), None, name]
        self._order.append(entry)
        work_s = play.work_of(name)
        hit = not write and node.keys.hit(key)
        done_s = work_s if hit else 0.1 * work_s
        cold = node.now - node.server.born_s < node.server.warm_s
        play.judge_work(node, name, work_s, done_s, cold)
        wait, self._fresh_s = self._fresh_s, 0.0
        play.net.callLater(wait, self._start, key, name, entry, done_s, hit, node.now)

    def _start(self, key: str, name: str, entry: list[Any], work_s: float, hit: bool, came_s: float) -> None:
        node = self.node
        if self not in node.links:
            return

        def done() -> None:
            node.served(hit, node.now - came_s)
            if hit:
                body = node.play.body_of(name)
                entry[1] = f"VA {len(body)} O{name} h1 L{node.report()}\r\n{body}\r\n".encode()
            else:
                node.play.judge.never_ran(name)
                node.play.missed(name, node)
                entry[1] = f"EN O{name} L{node.report()}\r\n".encode()
            self._answer()

        if node.draining or not node.offer(entry[0], work_s, done):
            node.play.judge.never_ran(name)
            entry[1] = b"SERVER_ERROR busy\r\n"
            self._answer()

    def _answer(self) -> None:
        while self._order and self._order[0][1] is not None and not self._giving:
            _, answer, name = self._order.pop(0)
            self.node.play.judge.settled(name)
            if len(answer) > LONG:
                self._giving = True
                in_pieces(self.node.play, self.transport, answer, self._given)
            else:
                self.transport.write(answer)
        self._idle_s = self.node.now

    def _given(self) -> None:
        self._giving = False
        self._answer()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.node.links.pop(self, None)
        for job, answer, name in self._order:
            self.node.play.judge.settled(name)
            if answer is None:
                self.node.call_off(job)


class HttpConnection(Protocol):
    """HTTP/1.1 on a node, through h11: one request at a time."""

    def __init__(self, node: Any) -> None:
        self.node = node
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = b""
        self.open = True
        self.used = False
        self.name: str | None = None  # of the request that it holds, for the judge

    def connectionMade(self) -> None:
        self.node.links[self] = None

    def dataReceived(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            self._take()
        except h11.RemoteProtocolError:
            self.transport.loseConnection()

    def _take(self) -> None:
        while True:
            event = self._http.next_event()
            if type(event) is h11.Request:
                self._request, self._body = event, b""
            elif type(event) is h11.Data:
                self._body += bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                headers = {name.decode(): value.decode() for name, value in self._request.headers}
                target = self._request.target.decode()
                self.node.asked(self, self._request.method.decode(), target, headers, self._body)
            else:
                return

    def answer(self, status: int, body: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        if not self.open or self._http.our_state is not h11.SEND_RESPONSE:
            return
        self._settle()
        data = body.encode()
        lines = [("Content-Length", str(len(data))), *headers]
        out = self._http.send(h11.Response(status_code=status, headers=lines))
        out += self._http.send(h11.Data(data=data)) + self._http.send(h11.EndOfMessage())
        if len(out) > LONG:
            in_pieces(self.node.play, self.transport, out, self._go_on)
        else:
            self.transport.write(out)
            self._go_on()

    def _go_on(self) -> None:
        if not self.open:
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._take()

    def _settle(self) -> None:
        if self.name is not None:
            self.node.play.judge.settled(self.name)
            self.name = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.open = False
        self._settle()
        self.node.links.pop(self, None)


class SimulatedOrigin(SimulatedNode):
    """The one slow origin: reads and writes by HTTP, stops for a while when it is overloaded."""

    def __init__(self, play: NodeEnvironment, address: Address, server: Server) -> None:
        super().__init__(play, "origin", address, server)
        self._window: list[tuple[float, float]] = []
        self.stopped_until_s = -1.0
        self.stops = 0

    def buildProtocol(self, addr: Any) -> HttpConnection:
        return HttpConnection(self)

    def asked(
        self, web: HttpConnection, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        play, name, key = self.play, headers["request-id"], target[1:]
        play.judge.attempt(self.now, name, "origin", told_ms(headers["request-info"]))
        web.name = name
        work_s = play.work_of(name) * play.world.origin.work_factor
        self._load(work_s)
        job = self.job_of(name)

        def done() -> None:
            if method == "PUT":
                play.written(key)
                web.answer(200, play.receipt_of(name))
            else:
                play.fetched(name, key)
                web.answer(200, play.body_of(name))

        if self.now < self.stopped_until_s or not self.offer(job, work_s, done):
            play.judge.never_ran(name)
            web.answer(503, "", (("Not-Started", "1"),))

    def _load(self, work_s: float) -> None:
        settings = self.play.world.origin
        self._window.append((self.now, work_s))
        while self._window[0][0] < self.now - settings.stops_after_s:
            self._window.pop(0)
        limit = settings.stops_at * self.server.capacity(self.now) * settings.stops_after_s
        if sum(work for _, work in self._window) > limit:
            self._window.clear()
            self.stops += 1
            self.stopped_until_s = self.now + settings.down_s
            self.play.note("origin stops")


class SimulatedDiscovery(SimulatedNode):
    """The list, whole or as a watch that waits for what is newer."""

    def __init__(self, play: NodeEnvironment, address: Address) -> None:
        super().__init__(play, "discovery", address, Server(1, 1.0, 1))
        self.revision = 1
        self._waiting: list[tuple[HttpConnection, str, int]] = []
        self._changed: dict[str, int] = {}
        self._free_s = 0.0  # when all calls that have come are worked through
        self.calls: Counter[int] = Counter()  # by second
        self.begun: Counter[int] = Counter()  # on new connections, by tenth of a second
        self.failed = 0

    def buildProtocol(self, addr: Any) -> HttpConnection:
        return HttpConnection(self)

    def asked(
        self, web: HttpConnection, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        settings, now = self.play.world.discovery, self.now
        self.calls[int(now)] += 1
        if not web.used:
            self.begun[int(10.0 * now)] += 1
        web.used = True
        if self._free_s - now > settings.wait_s:
            self.failed += 1
            self.play.net.callLater(settings.wait_s, web.answer, 503, "")
            return
        self._free_s = max(now, self._free_s) + 1.0 / settings.calls_per_s
        self.play.net.callLater(self._free_s - now, self._work, web, target, headers)

    def _work(self, web: HttpConnection, target: str, headers: dict[str, str]) -> None:
        proxy = headers.get("host", "")
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if "=" in part)
        if "after" not in query:
            self._tell(web, proxy, None)
        elif int(query["after"]) < self.revision:
            self._tell(web, proxy, int(query["after"]))
        else:
            entry = (web, proxy, int(query["after"]))
            self._waiting.append(entry)
            self.play.net.callLater(int(query.get("wait_ms", 0)) / 1000.0, self._give_up, entry)

    def _give_up(self, entry: tuple[HttpConnection, str, int]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            self._tell(*entry)

    def _tell(self, web: HttpConnection, proxy: str, after: int | None) -> None:
        members = self.play.members()
        if after is not None:
            members = [member for member in members if self._changed.get(member["id"], 0) > after]
        for member in members:
            self.play.judge.told(self.now, self.play.proxy_of(web), member)
        listed = [member for member in members if after is not None or member["phase"] != "terminated"]
        listed = self.play.as_listed(listed)
        answer = {"revision": self.revision, "complete": after is None, "members": listed}
        web.answer(200, json.dumps(answer))

    def changed(self, name: str) -> None:
        self.revision += 1
        self._changed[name] = self.revision
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            self._tell(*entry)
