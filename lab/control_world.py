"""Control nodes and proxies of the control log in virtual time: delays, cuts, crashes, clocks that go
differently.

The real modules of `cloverwell.control` play here; the network, the disks and the loading are this
file's. Time is in ms. Every process has a clock of its own, which starts anywhere and may run a little
fast or slow.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

from cloverwell.control.control_node import ControlNode
from cloverwell.control.effects import (
    AnswerProposal,
    ApplyEntry,
    ApplySnapshot,
    CloseSubscriber,
    ConnectToNode,
    DisconnectFromNode,
    EntriesCommitted,
    NodeEffect,
    ProxyEffect,
    SendToControlNode,
    SendToPeer,
    SendToSubscriber,
    SnapshotInstalled,
)
from cloverwell.control.entry import EntryKind, Snapshot
from cloverwell.control.messages import Propose, decode, encode
from cloverwell.control.storage import Write
from cloverwell.control.subscription import Subscription
from cloverwell.control.timing import FanoutTiming, SubscriptionTiming, Timing
from lab.control_invariants import Rules
from lab.control_processes import Clock, Connection, NodeProcess, Process, ProxyProcess

LOG_NAME = "main"
LOCAL_MS, REGION_MS = 1.0, 40.0  # one way, within a region and between two; up to twice as much


class ControlWorld:
    """`nodes` and `proxies`: region by name. Every rule of `Rules` is checked at each step."""

    def __init__(
        self,
        nodes: dict[str, str],
        proxies: dict[str, str],
        seed: int = 1,
        drift: float = 0.0,
        timing: Timing | None = None,
        fanout: FanoutTiming | None = None,
        subscription: SubscriptionTiming | None = None,
    ) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.rules = Rules()
        self.cuts: set[frozenset[str]] = set()  # of regions, or of process names
        self.peer_loss = 0.0  # part of the messages between nodes that is lost
        self._drift = drift
        self._timing = timing or Timing()
        self._fanout = fanout or FanoutTiming()
        self._subscription_timing = subscription or SubscriptionTiming()
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = count(1)
        self._requests = count(1)
        self.sent_bytes: dict[str, int] = {}  # from nodes to proxies and back, by proxy
        self.connections: dict[int, Connection] = {}
        self._by_attempt: dict[tuple[str, int, int], Connection] = {}
        self.nodes = {name: NodeProcess(name, region, self._clock()) for name, region in nodes.items()}
        self.proxies = {name: ProxyProcess(name, region, self._clock()) for name, region in proxies.items()}
        for name in self.nodes:
            self.start_node(name)

    # What happens to processes

    def start_node(self, name: str) -> None:
        process = self.nodes[name]
        process.run += 1
        process.up = True
        process.node = ControlNode(
            name,
            tuple(self.nodes),
            LOG_NAME,
            process.storage.load(),
            Random(self.random.random()),
            process.clock.at(self.now),
            self._timing,
            self._fanout,
        )
        self._schedule(process)

    def kill_node(self, name: str, machine: bool = False) -> None:
        """It dies with all it had not stored, and its connections end; with its `machine` what it had
        sent and nobody has received is lost as well, and nobody hears of the connections' end."""
        process = self.nodes[name]
        process.up, process.node, process.due = False, None, float("inf")
        if machine:
            process.lost_until = self.now
            for connection in self.connections.values():
                connection.stalled = connection.stalled or connection.node == name
        for connection in [each for each in self.connections.values() if each.node == name]:
            self._end(connection, process)

    def start_proxy(self, name: str, saved: Snapshot | None = None) -> None:
        process = self.proxies[name]
        process.run += 1
        process.up = True
        process.loads = []
        process.serving = {}
        self.rules.proxy_started(name, saved if saved is not None and saved.intact else None)
        process.subscription = Subscription(
            name,
            process.run,
            LOG_NAME,
            self._node_groups(process.region),
            Random(self.random.random()),
            process.clock.at(self.now),
            saved,
            self._subscription_timing,
        )
        self._proxy_effects(process, process.subscription.start(process.clock.at(self.now)))

    def kill_proxy(self, name: str) -> None:
        process = self.proxies[name]
        process.up, process.subscription, process.due = False, None, float("inf")
        for connection in [each for each in self.connections.values() if each.proxy == name]:
            self._end(connection, process)

    def stop_proxy(self, name: str) -> None:
        """It stops in good order."""
        process = self.proxies[name]
        assert process.subscription is not None
        self._proxy_effects(process, process.subscription.stop())
        process.up, process.subscription, process.due = False, None, float("inf")

    def cut(self, one: str, other: str) -> None:
        """Nothing passes between two regions, or two processes, until `mend`."""
        self.cuts.add(frozenset((one, other)))

    def cut_off(self, region: str) -> None:
        regions = {process.region for process in (*self.nodes.values(), *self.proxies.values())}
        for other in regions - {region}:
            self.cut(region, other)

    def mend(self) -> None:
        self.cuts.clear()

    def propose(self, name: str, message: Propose) -> int:
        """Proposes at a node; the number under which its answer will be in `answers` there."""
        process = self.nodes[name]
        assert process.node is not None
        request = next(self._requests)
        self._node_effects(process, process.node.propose(request, message, process.clock.at(self.now)))
        return request

    def change(self, name: str, proposal: str, payload: bytes = b"limits") -> int:
        return self.propose(name, Propose(proposal, EntryKind.CONFIGURATION, payload))

    def leader(self) -> NodeProcess | None:
        """The leader that has a quorum, if there is one."""
        leaders = [
            p for p in self.nodes.values() if p.node and p.node.consensus.has_quorum(p.clock.at(self.now))
        ]
        return max(leaders, key=lambda p: p.node.consensus.term if p.node else 0, default=None)

    # Time

    def run(self, ms: float) -> None:
        """Plays so many ms."""
        until = self.now + ms
        while self._events and self._events[0][0] <= until:
            self.step()
        self.now = until

    def run_until(self, condition: Callable[[], bool], most_ms: float) -> float:
        """Plays until the condition holds; how many ms that took. AssertionError after `most_ms`."""
        began = self.now
        while not condition():
            assert self._events and self._events[0][0] <= began + most_ms, f"not within {most_ms} ms"
            self.step()
        return self.now - began

    def step(self) -> None:
        """Plays the next event and checks the rules; nothing where nothing is due, as with all processes
        down."""
        if not self._events:
            return
        self.now, _, event, arguments = heapq.heappop(self._events)
        event(*arguments)

    def check_leases(self) -> None:
        """Whether what each proxy says of itself is so."""
        for process in self.proxies.values():
            if process.subscription is not None:
                current = process.subscription.current(process.clock.at(self.now))
                self.rules.lease(process.name, current, process.subscription.position, self.now)

    # Steps

    def _clock(self) -> Clock:
        return Clock(self.random.uniform(0.0, 1e9), 1.0 + self.random.uniform(-self._drift, self._drift))

    def _node_groups(self, region: str) -> tuple[tuple[str, ...], ...]:
        own = tuple(name for name, process in self.nodes.items() if process.region == region)
        others = tuple(name for name in self.nodes if name not in own)
        return tuple(group for group in (own, others) if group)

    def _at(self, when: float, event: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), event, arguments))

    def _schedule(self, process: NodeProcess | ProxyProcess) -> None:
        decisions = process.node if isinstance(process, NodeProcess) else process.subscription
        if decisions is None:
            return
        # A little late, as timers are: rounding must not make a process tick again and again at one time.
        due = max(self.now, process.clock.true(decisions.next_deadline())) + 0.01
        if due != process.due and due != float("inf"):
            process.due = due
            self._at(due, self._tick, process, process.run, due)

    def _tick(self, process: NodeProcess | ProxyProcess, run: int, due: float) -> None:
        if not process.up or run != process.run or due != process.due:
            return
        process.due = float("inf")
        reading = process.clock.at(self.now)
        if isinstance(process, NodeProcess):
            assert process.node is not None
            self._node_effects(process, process.node.tick(reading))
        else:
            assert process.subscription is not None
            self._proxy_effects(process, process.subscription.tick(reading))

    def _apart(self, one: Process, other: Process) -> bool:
        pairs = (frozenset((one.region, other.region)), frozenset((one.name, other.name)))
        return any(pair in self.cuts for pair in pairs)

    def _delay(self, one: Process, other: Process) -> float:
        return (LOCAL_MS if one.region == other.region else REGION_MS) * self.random.uniform(1.0, 2.0)

    def _node_effects(self, process: NodeProcess, effects: list[NodeEffect]) -> None:
        assert process.node is not None
        if process.node.consensus.leadership is not None:
            self.rules.leads(process.name, process.node.consensus.term)
        for effect in effects:
            match effect:
                case Write():
                    process.storage.write(effect)
                case SendToPeer():
                    self._send_peer(process, self.nodes[effect.node], encode(effect.message))
                case EntriesCommitted():
                    self.rules.committed(effect.entries, self.now)
                case SnapshotInstalled():
                    self.rules.snapshot(effect.snapshot)
                case AnswerProposal():
                    assert effect.request not in process.answers, "answered twice"
                    process.answers[effect.request] = effect.answer
                case SendToSubscriber():
                    self._send_over(effect.connection, process, encode(effect.message))
                case CloseSubscriber():
                    connection = self.connections.get(effect.connection)
                    if connection is not None:
                        self._end(connection, process)
        self._schedule(process)

    def _send_peer(self, process: NodeProcess, other: NodeProcess, data: bytes) -> None:
        if self._apart(process, other) or self.random.random() < self.peer_loss:
            return
        self._at(self.now + self._delay(process, other), self._peer_arrives, process, self.now, other, data)

    def _peer_arrives(self, sender: NodeProcess, sent_at: float, process: NodeProcess, data: bytes) -> None:
        lost = sent_at <= sender.lost_until or self._apart(sender, process)
        if process.node is not None and not lost:
            effects = process.node.receive_peer(sender.name, decode(data), process.clock.at(self.now))
            self._node_effects(process, effects)

    def _proxy_effects(self, process: ProxyProcess, effects: list[ProxyEffect]) -> None:
        for effect in effects:
            match effect:
                case ConnectToNode():
                    self._connect(process, effect)
                case SendToControlNode():
                    connection = self._by_attempt.get((process.name, process.run, effect.attempt))
                    if connection is not None:
                        self._send_over(connection.number, process, encode(effect.message))
                case DisconnectFromNode():
                    connection = self._by_attempt.get((process.name, process.run, effect.attempt))
                    if connection is not None:
                        self._end(connection, process)
                case ApplyEntry() | ApplySnapshot():
                    process.loads.append(effect)
                    self.rules.load(process.name, effect)
                    self._at(self.now + process.load_ms, self._load, process, process.run, effect)
        self._schedule(process)

    def _connect(self, process: ProxyProcess, effect: ConnectToNode) -> None:
        node = self.nodes[effect.node]
        if self._apart(process, node):
            return  # nobody answers
        attempt, run = effect.attempt, process.run
        if not node.up:
            self._at(self.now + self._delay(process, node), self._refused, process, run, attempt)
            return
        connection = Connection(next(self._numbers), process.name, run, attempt, node.name)
        self.connections[connection.number] = connection
        self._by_attempt[process.name, run, attempt] = connection
        self._at(self.now + 2 * self._delay(process, node), self._connected, process, run, connection)

    def _refused(self, process: ProxyProcess, run: int, attempt: int) -> None:
        if process.subscription is not None and run == process.run:
            reading = process.clock.at(self.now)
            self._proxy_effects(process, process.subscription.disconnected(attempt, reading))

    def _connected(self, process: ProxyProcess, run: int, connection: Connection) -> None:
        if process.subscription is not None and run == process.run and not connection.gone:
            reading = process.clock.at(self.now)
            self._proxy_effects(process, process.subscription.connected(connection.attempt, reading))

    def _send_over(self, number: int, sender: Process, data: bytes) -> None:
        connection = self.connections.get(number)
        if connection is None or sender.name in connection.gone:
            return
        proxy, node = self.proxies[connection.proxy], self.nodes[connection.node]
        self.sent_bytes[proxy.name] = self.sent_bytes.get(proxy.name, 0) + len(data)
        receiver = node if sender is proxy else proxy
        when = max(self.now + self._delay(proxy, node), connection.last_at.get(receiver.name, 0.0))
        connection.last_at[receiver.name] = when
        self._at(when, self._arrives, connection, receiver, data)

    def _arrives(self, connection: Connection, receiver: NodeProcess | ProxyProcess, data: bytes) -> None:
        proxy, node = self.proxies[connection.proxy], self.nodes[connection.node]
        connection.stalled = connection.stalled or self._apart(proxy, node)
        if receiver.name in connection.gone or connection.stalled:
            return
        reading = receiver.clock.at(self.now)
        if isinstance(receiver, NodeProcess):
            assert receiver.node is not None
            effects = receiver.node.receive_proxy(connection.number, decode(data), reading)
            self._node_effects(receiver, effects)
        else:
            assert receiver.subscription is not None
            self._proxy_effects(
                receiver, receiver.subscription.receive(connection.attempt, decode(data), reading)
            )

    def _end(self, connection: Connection, by: Process) -> None:
        """One side is through with a connection; the other hears of it after what was sent before."""
        if by.name in connection.gone:
            return
        connection.gone.add(by.name)
        proxy, node = self.proxies[connection.proxy], self.nodes[connection.node]
        other = node if by is proxy else proxy
        when = max(self.now + self._delay(proxy, node), connection.last_at.get(other.name, 0.0))
        self._at(when, self._ended, connection, other)

    def _ended(self, connection: Connection, receiver: NodeProcess | ProxyProcess) -> None:
        proxy, node = self.proxies[connection.proxy], self.nodes[connection.node]
        stalled = connection.stalled or self._apart(proxy, node)
        heard = receiver.name not in connection.gone and not stalled
        if heard:
            connection.gone.add(receiver.name)
        if len(connection.gone) == 2:
            self.connections.pop(connection.number, None)
            self._by_attempt.pop((connection.proxy, connection.run, connection.attempt), None)
        if not heard:
            return
        reading = receiver.clock.at(self.now)
        if isinstance(receiver, NodeProcess):
            assert receiver.node is not None
            self._node_effects(receiver, receiver.node.proxy_disconnected(connection.number, reading))
        else:
            assert receiver.subscription is not None
            self._proxy_effects(receiver, receiver.subscription.disconnected(connection.attempt, reading))

    def _load(self, process: ProxyProcess, run: int, effect: ApplyEntry | ApplySnapshot) -> None:
        if process.subscription is None or run != process.run:
            return
        reading = process.clock.at(self.now)
        if isinstance(effect, ApplyEntry):
            index, entries = effect.entry.index, [effect.entry]
        else:
            index, entries = effect.snapshot.position.index, list(effect.snapshot.state.latest.values())
        refused = {entry.kind: reason for entry in entries if (reason := process.load(entry)) is not None}
        process.serving |= {entry.kind: entry for entry in entries if entry.kind not in refused}
        subscription = process.subscription
        if refused:
            kind, reason = next(iter(refused.items()))
            effects = subscription.refused(index, reason, reading, kind)
        else:
            effects = subscription.loaded(index, reading)
        self._proxy_effects(process, effects)
