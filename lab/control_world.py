"""The control log in virtual time: control nodes, proxies, and the network between them.

The real modules of `cloverwell.control` run here; the network, the storage and what applies entries are
simulated. Time is in ms. Every process has a clock of its own, which starts anywhere and may run a little
fast or slow.
"""

from __future__ import annotations

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
from cloverwell.control.messages import NodeMessage, PeerMessage, Propose, ProxyMessage, decode, encode
from cloverwell.control.storage import Write
from cloverwell.control.subscription import Subscription
from cloverwell.control.timing import ControlNodeTiming, FanoutTiming, SubscriptionTiming
from lab.control_event_loop import EventLoop
from lab.control_invariants import ControlInvariants
from lab.control_network import ControlNetwork
from lab.control_processes import Clock, Connection, NodeProcess, Process, ProxyProcess

LOG_NAME = "main"


class ControlWorld(EventLoop):
    """Control nodes and proxies, played event by event in virtual time (ms).

    The invariants of `ControlInvariants` are checked at each step.
    """

    def __init__(
        self,
        nodes: dict[str, str],
        proxies: dict[str, str],
        seed: int = 1,
        drift: float = 0.0,
        timing: ControlNodeTiming | None = None,
        fanout: FanoutTiming | None = None,
        subscription: SubscriptionTiming | None = None,
    ) -> None:
        """Starts the control nodes; proxies are started by `start_proxy`.

        `nodes` and `proxies` are regions by name. `drift` is by what fraction clocks may differ from true
        time.
        """
        super().__init__()
        self.random = Random(seed)
        self.rules = ControlInvariants()
        self.network = ControlNetwork(self.random)
        self._drift = drift
        self._timing = timing or ControlNodeTiming()
        self._fanout = fanout or FanoutTiming()
        self._subscription_timing = subscription or SubscriptionTiming()
        self._connection_numbers = count(1)
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
        """Starts a control node from what it has stored."""
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
        self._schedule_tick(process)

    def kill_node(self, name: str, machine: bool = False) -> None:
        """Kills a control node's process: what it had not stored is lost, and its connections end.

        With the whole `machine`, what it had sent and nobody has received is lost as well, and the other
        sides are not notified of the end of their connections.
        """
        process = self.nodes[name]
        process.up, process.node, process.due = False, None, float("inf")
        if machine:
            process.lost_until = self.now
            for connection in self.connections.values():
                connection.stalled = connection.stalled or connection.node == name
        for connection in [each for each in self.connections.values() if each.node == name]:
            self._end(connection, process)

    def start_proxy(self, name: str, saved: Snapshot | None = None) -> None:
        """Starts a proxy, which finds `saved` from an earlier run."""
        process = self.proxies[name]
        process.run += 1
        process.up = True
        process.loads = []
        process.serving = {}
        self.rules.observe_proxy_start(name, saved if saved is not None and saved.is_intact else None)
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
        """Kills a proxy's process; its connections end."""
        process = self.proxies[name]
        process.up, process.subscription, process.due = False, None, float("inf")
        for connection in [each for each in self.connections.values() if each.proxy == name]:
            self._end(connection, process)

    def stop_proxy(self, name: str) -> None:
        """Shuts a proxy down gracefully."""
        process = self.proxies[name]
        assert process.subscription is not None
        self._proxy_effects(process, process.subscription.stop())
        process.up, process.subscription, process.due = False, None, float("inf")

    def cut(self, one: str, other: str) -> None:
        """Partitions two regions, or two processes, until `mend`."""
        self.network.partition(one, other)

    def cut_off(self, region: str) -> None:
        """Partitions a region from all others."""
        regions = {process.region for process in (*self.nodes.values(), *self.proxies.values())}
        for other in regions - {region}:
            self.cut(region, other)

    def mend(self) -> None:
        """Ends all partitions."""
        self.network.heal()

    def propose(self, name: str, message: Propose) -> int:
        """Proposes at a node; returns the number under which its answer will be in `answers` there."""
        process = self.nodes[name]
        assert process.node is not None
        request = next(self._requests)
        self._node_effects(process, process.node.propose(request, message, process.clock.at(self.now)))
        return request

    def change(self, name: str, proposal: str, payload: bytes = b"limits") -> int:
        """Proposes a configuration at a node; returns the number of the answer."""
        return self.propose(name, Propose(proposal, EntryKind.CONFIGURATION, payload))

    def leader(self) -> NodeProcess | None:
        """Returns the leader that has a quorum, if there is one."""
        leaders = [
            p for p in self.nodes.values() if p.node and p.node.consensus.has_quorum(p.clock.at(self.now))
        ]
        return max(leaders, key=lambda p: p.node.consensus.term if p.node else 0, default=None)

    # Invariants

    def check_leases(self) -> None:
        """Checks that each proxy that says that it is current is so."""
        for process in self.proxies.values():
            if process.subscription is not None:
                current = process.subscription.is_current(process.clock.at(self.now))
                self.rules.observe_lease(process.name, current, process.subscription.position, self.now)

    # Steps

    def _clock(self) -> Clock:
        return Clock(self.random.uniform(0.0, 1e9), 1.0 + self.random.uniform(-self._drift, self._drift))

    def _node_groups(self, region: str) -> tuple[tuple[str, ...], ...]:
        own = tuple(name for name, process in self.nodes.items() if process.region == region)
        others = tuple(name for name in self.nodes if name not in own)
        return tuple(group for group in (own, others) if group)

    def _schedule_tick(self, process: NodeProcess | ProxyProcess) -> None:
        decisions = process.node if isinstance(process, NodeProcess) else process.subscription
        if decisions is None:
            return
        # A little late, as timers are: rounding must not make a process tick again and again at one time.
        due = max(self.now, process.clock.true(decisions.next_deadline())) + 0.01
        if due != process.due and due != float("inf"):
            process.due = due
            self.schedule(due, self._tick, process, process.run, due)

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

    def _node_effects(self, process: NodeProcess, effects: list[NodeEffect]) -> None:
        assert process.node is not None
        if process.node.consensus.leadership is not None:
            self.rules.observe_leader(process.name, process.node.consensus.term)
        for effect in effects:
            match effect:
                case Write():
                    process.storage.write(effect)
                case SendToPeer():
                    self._send_peer(process, self.nodes[effect.node], encode(effect.message))
                case EntriesCommitted():
                    self.rules.observe_committed(effect.entries, self.now)
                case SnapshotInstalled():
                    self.rules.observe_snapshot(effect.snapshot)
                case AnswerProposal():
                    assert effect.request_id not in process.answers, "answered twice"
                    process.answers[effect.request_id] = effect.answer
                case SendToSubscriber():
                    self._send_over(effect.connection_id, process, encode(effect.message))
                case CloseSubscriber():
                    self._close_subscriber(process, effect.connection_id)
        self._schedule_tick(process)

    def _close_subscriber(self, process: NodeProcess, number: int) -> None:
        connection = self.connections.get(number)
        if connection is not None:
            self._end(connection, process)

    def _send_peer(self, process: NodeProcess, other: NodeProcess, data: bytes) -> None:
        if self.network.loses_peer_message(process, other):
            return
        self.schedule(
            self.now + self.network.delay_ms(process, other),
            self._peer_arrives,
            process,
            self.now,
            other,
            data,
        )

    def _peer_arrives(self, sender: NodeProcess, sent_at: float, process: NodeProcess, data: bytes) -> None:
        lost = sent_at <= sender.lost_until or self.network.separates(sender, process)
        if process.node is not None and not lost:
            message = decode(data)
            assert isinstance(message, PeerMessage)
            effects = process.node.receive_peer(sender.name, message, process.clock.at(self.now))
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
                    self.rules.observe_apply(process.name, effect)
                    self.schedule(self.now + process.load_ms, self._load, process, process.run, effect)
        self._schedule_tick(process)

    def _connect(self, process: ProxyProcess, effect: ConnectToNode) -> None:
        node = self.nodes[effect.node]
        if self.network.separates(process, node):
            return  # nobody answers
        attempt, run = effect.attempt, process.run
        if not node.up:
            self.schedule(
                self.now + self.network.delay_ms(process, node), self._refused, process, run, attempt
            )
            return
        connection = Connection(next(self._connection_numbers), process.name, run, attempt, node.name)
        self.connections[connection.number] = connection
        self._by_attempt[process.name, run, attempt] = connection
        self.schedule(
            self.now + 2 * self.network.delay_ms(process, node), self._connected, process, run, connection
        )

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
        when = max(self.now + self.network.delay_ms(proxy, node), connection.last_at.get(receiver.name, 0.0))
        connection.last_at[receiver.name] = when
        self.schedule(when, self._arrives, connection, receiver, data)

    def _arrives(self, connection: Connection, receiver: NodeProcess | ProxyProcess, data: bytes) -> None:
        proxy, node = self.proxies[connection.proxy], self.nodes[connection.node]
        connection.stalled = connection.stalled or self.network.separates(proxy, node)
        if receiver.name in connection.gone or connection.stalled:
            return
        reading = receiver.clock.at(self.now)
        message = decode(data)
        if isinstance(receiver, NodeProcess):
            assert receiver.node is not None
            assert isinstance(message, ProxyMessage)
            effects = receiver.node.receive_proxy(connection.number, message, reading)
            self._node_effects(receiver, effects)
        else:
            assert receiver.subscription is not None
            assert isinstance(message, NodeMessage)
            self._proxy_effects(receiver, receiver.subscription.receive(connection.attempt, message, reading))

    def _end(self, connection: Connection, by: Process) -> None:
        """Ends a connection at one side; the other is notified after what was sent before."""
        if by.name in connection.gone:
            return
        connection.gone.add(by.name)
        proxy, node = self.proxies[connection.proxy], self.nodes[connection.node]
        other = node if by is proxy else proxy
        when = max(self.now + self.network.delay_ms(proxy, node), connection.last_at.get(other.name, 0.0))
        self.schedule(when, self._ended, connection, other)

    def _ended(self, connection: Connection, receiver: NodeProcess | ProxyProcess) -> None:
        proxy, node = self.proxies[connection.proxy], self.nodes[connection.node]
        stalled = connection.stalled or self.network.separates(proxy, node)
        notified = receiver.name not in connection.gone and not stalled
        if notified:
            connection.gone.add(receiver.name)
        if len(connection.gone) == 2:
            self.connections.pop(connection.number, None)
            self._by_attempt.pop((connection.proxy, connection.run, connection.attempt), None)
        if not notified:
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
            effects = subscription.applied(index, reading)
        self._proxy_effects(process, effects)
