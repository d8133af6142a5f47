"""The model that the check of the control log explores: states, what may happen in each, and what comes of
it.

A state is what all processes hold, what is on its way between them, and what has been seen so far
(`Rules`). Between two processes messages keep their order, as on a stream, but any may be lost between
control nodes, and arrive twice; between different ones there is no order. Each timer may fire at any time.
What is bounded is how often such things happen (`Budget`).

Left out for being no news: messages that their receiver will pass over whenever they arrive (answers to
an election or a leadership that is over), and the reports from which the fleet is counted.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from cloverwell.control.consensus import Role
from cloverwell.control.control_node import ControlNode
from cloverwell.control.effects import (
    ApplyEntry,
    ApplySnapshot,
    CloseSubscriber,
    ConnectToNode,
    DisconnectFromNode,
    EntriesCommitted,
    SendToControlNode,
    SendToPeer,
    SendToSubscriber,
    SnapshotInstalled,
)
from cloverwell.control.messages import (
    AppendAnswer,
    FleetSummary,
    SubscriberMoved,
    SubscriberReport,
    VoteAnswer,
    decode,
    encode,
)
from lab.control_invariants import Rules
from lab.control_model_processes import Interner, NodeCell, ProxyCell, Saved, Started
from lab.control_states import (
    END,
    MOST_ATTEMPTS,
    NO_TERM,
    Action,
    Budget,
    Connection,
    State,
    connection_number,
    proxy_and_attempt,
)

UNCOUNTED = (FleetSummary, SubscriberMoved, SubscriberReport)


class Model:
    """Control nodes and proxies, with the steps worked out so far."""

    def __init__(self, nodes: int = 3, proxies: int = 2, node_type: type[ControlNode] = ControlNode) -> None:
        self.names = tuple(f"node{number}" for number in range(nodes))
        self._numbers = {name: number for number, name in enumerate(self.names)}
        self._cells = Interner()
        self._rules = Interner()
        self._messages: dict[bytes, int] = {}
        self._decoded: list[Any] = []
        self._steps: dict[tuple, tuple[int, list]] = {}
        self._rule_steps: dict[tuple, int] = {}
        self._kept: dict[tuple, tuple[int, ...]] = {}
        self._proxy_names = tuple(f"proxy{number}" for number in range(proxies))
        cells = tuple(self._cells.number(NodeCell(name, self.names, node_type)) for name in self.names)
        # by cell of a node
        self._terms: dict[int, tuple[int, Role]] = dict.fromkeys(cells, (0, Role.FOLLOWER))
        turned = [self.names[number % nodes :] + self.names[: number % nodes] for number in range(proxies)]
        proxy_cells = tuple(
            self._cells.number(ProxyCell(name, order))
            for name, order in zip(self._proxy_names, turned, strict=True)
        )
        rules = self._rules.number(Rules())
        self.empty = State(cells, proxy_cells, rules, ((),) * nodes**2, (None,) * proxies, Budget())

    # For those who prepare a start state

    def play(self, state: State, *actions: Action) -> State:
        """The state after these actions; each is granted the budget that it takes."""
        for action in actions:
            if action.what in Budget._fields:
                state = state._replace(budget=state.budget._replace(**{action.what: 1}))
            state = self.step(state, action)
        return state

    def settle(self, state: State) -> State:
        """The state after all messages have arrived, those of a lower number first."""
        while True:
            actions = [action for action in self.actions(state) if action.what in ("peer", "up", "down")]
            if not actions:
                return state
            state = self.step(state, min(actions, key=lambda action: (action.which[-1], action)))

    def node(self, state: State, number: int) -> ControlNode:
        """A copy of a control node in a state."""
        return self._cells.copy(state.nodes[number]).node

    def actions(self, state: State) -> Iterator[Action]:
        """Everything that may happen next."""
        budget = state.budget
        for number, cell in enumerate(state.nodes):
            leads = self._leads(cell)
            if leads and budget.heartbeats:
                yield Action("heartbeats", (number,))
            if not leads and budget.elections:
                yield Action("elections", (number,))
            if not leads and budget.timeouts:
                yield Action("timeouts", (number,))
            if budget.crashes:
                yield Action("crashes", (number,))
            if budget.proposals and leads:
                yield Action("proposals", (number,))
        for link, messages in enumerate(state.links):
            if messages:
                peer = (*divmod(link, len(state.nodes)), messages[0])
                yield Action("peer", peer)
                if budget.repeats:
                    yield Action("repeats", peer)
                if budget.losses:
                    yield Action("losses", peer)
        for number, connection in enumerate(state.connections):
            if connection is not None and connection.up:
                yield Action("up", (number, connection.up[0]))
            if connection is not None and connection.down:
                yield Action("down", (number, connection.down[0]))
            if connection is not None and budget.breaks:
                yield Action("breaks", (number,))
            if budget.restarts:
                for saved in range(len(Saved)):
                    yield Action("restarts", (number, saved))

    def step(self, state: State, action: Action) -> State:
        """The state after an action. Raises RuleBroken."""
        what, which = action
        if what in Budget._fields:
            left = getattr(state.budget, what) - 1
            state = state._replace(budget=state.budget._replace(**{what: left}))
        match what:
            case "timeouts" | "heartbeats":
                return self._node_step(state, which[0], "tick")
            case "elections":
                return self._node_step(state, which[0], "stand")
            case "crashes":
                return self._crash(state, which[0])
            case "proposals":
                return self._node_step(state, which[0], "propose")
            case "peer":
                state = self._without_first(state, which)
                return self._node_step(state, which[0], "receive_peer", self.names[which[1]], which[2])
            case "losses":
                return self._without_first(state, which)
            case "repeats":
                return self._node_step(state, which[0], "receive_peer", self.names[which[1]], which[2])
            case "up":
                return self._arrives_up(state, which[0])
            case "down":
                return self._arrives_down(state, which[0])
            case "breaks":
                return self._break(state, which[0])
            case _:
                return self._restart_proxy(state, which[0], list(Saved)[which[1]])

    # Steps

    def _crash(self, state: State, number: int) -> State:
        state = self._node_step(state, number, "restart")
        for proxy, connection in enumerate(state.connections):
            if connection is not None and connection.node == number:
                state = self._proxy_ended(state, proxy)
        return state

    def _break(self, state: State, proxy: int) -> State:
        return self._proxy_ended(self._node_ended(state, proxy), proxy)

    def _restart_proxy(self, state: State, proxy: int, saved: Saved) -> State:
        state = self._with_connection(self._node_ended(state, proxy), proxy, None)
        return self._proxy_step(state, proxy, "start", saved)

    def _arrives_up(self, state: State, proxy: int) -> State:
        connection = state.connections[proxy]
        assert connection is not None
        message, *rest = connection.up
        state = self._with_connection(state, proxy, connection._replace(up=tuple(rest)))
        number = connection_number(proxy, connection.attempt)
        return self._node_step(state, connection.node, "receive_proxy", number, message)

    def _arrives_down(self, state: State, proxy: int) -> State:
        connection = state.connections[proxy]
        assert connection is not None
        message, *rest = connection.down
        if message == END:
            return self._proxy_ended(state, proxy)
        state = self._with_connection(state, proxy, connection._replace(down=tuple(rest)))
        return self._proxy_step(state, proxy, "receive", connection.attempt, message)

    def _proxy_ended(self, state: State, proxy: int) -> State:
        connection = state.connections[proxy]
        assert connection is not None
        state = self._with_connection(state, proxy, None)
        return self._proxy_step(state, proxy, "disconnected", connection.attempt)

    def _node_ended(self, state: State, proxy: int) -> State:
        connection = state.connections[proxy]
        if connection is None:
            return state
        number = connection_number(proxy, connection.attempt)
        return self._node_step(state, connection.node, "disconnected", number)

    def _with_connection(self, state: State, proxy: int, connection: Connection | None) -> State:
        connections = list(state.connections)
        connections[proxy] = connection
        return state._replace(connections=tuple(connections))

    def _node_step(self, state: State, number: int, method: str, *arguments: Any) -> State:
        cell, done = self._cell_step(state.nodes[number], method, arguments)
        cells = list(state.nodes)
        cells[number] = cell
        term = self._terms[cell]
        rules = self._rule_step(
            state.rules, done, self.names[number] if term[1] is Role.LEADER else "", term[0]
        )
        links = list(state.links)
        for out in done:
            if out[0] == "peer":
                links[out[1] * len(cells) + number] += (out[2],)
        state = state._replace(nodes=tuple(cells), rules=rules, links=self._without_passed_over(cells, links))
        for out in done:
            if out[0] == "proxy":
                state = self._sent_down(state, out[1], out[2])
        return state

    def _proxy_step(self, state: State, proxy: int, method: str, *arguments: Any) -> State:
        cell, done = self._cell_step(state.proxies[proxy], method, arguments)
        cells = list(state.proxies)
        cells[proxy] = cell
        rules = self._rule_step(state.rules, done, self._proxy_names[proxy], NO_TERM)
        state = state._replace(proxies=tuple(cells), rules=rules)
        for out in done:
            connection = state.connections[proxy]
            match out[0]:
                case "disconnect" if connection is not None:
                    state = self._with_connection(self._node_ended(state, proxy), proxy, None)
                case "connect" if out[2] <= MOST_ATTEMPTS:
                    state = self._with_connection(state, proxy, Connection(out[2], out[1]))
                    state = self._proxy_step(state, proxy, "connected", out[2])
                case "node" if connection is not None and connection.attempt == out[1]:
                    up = (*connection.up, out[2])
                    state = self._with_connection(state, proxy, connection._replace(up=up))
        return state

    def _sent_down(self, state: State, number: int, message: int) -> State:
        proxy, attempt = proxy_and_attempt(number)
        connection = state.connections[proxy]
        if connection is None or connection.attempt != attempt:
            return state
        return self._with_connection(state, proxy, connection._replace(down=(*connection.down, message)))

    def _without_first(self, state: State, peer: tuple[int, ...]) -> State:
        links = list(state.links)
        link = peer[0] * len(state.nodes) + peer[1]
        links[link] = links[link][1:]
        return state._replace(links=tuple(links))

    def _without_passed_over(
        self, cells: list[int], links: list[tuple[int, ...]]
    ) -> tuple[tuple[int, ...], ...]:
        """The links without the messages that will be passed over whenever they arrive."""
        for link, messages in enumerate(links):
            if messages:
                receiver, sender = divmod(link, len(cells))
                key = (cells[receiver], sender, messages)
                kept = self._kept.get(key)
                if kept is None:
                    kept = tuple(
                        each for each in messages if not self._passed_over(cells[receiver], sender, each)
                    )
                    self._kept[key] = kept
                links[link] = kept
        return tuple(links)

    def _passed_over(self, cell: int, sender: int, message: int) -> bool:
        if not self._is_old(cell, self._decoded[message]):
            return False
        return self._cell_step(cell, "receive_peer", (self.names[sender], message)) == (cell, [])

    def _is_old(self, cell: int, message: Any) -> bool:
        """Of a term gone by, or of an election or a leadership that is over: a node has each at most
        once a term."""
        term, role = self._terms[cell]
        if isinstance(message, VoteAnswer) and not message.pre_vote:
            return message.term < term or role is not Role.CANDIDATE
        if isinstance(message, AppendAnswer):
            return message.term < term or role is not Role.LEADER
        return message.term < term

    def _cell_step(self, cell: int, method: str, arguments: tuple) -> tuple[int, list]:
        """The cell after an event and what comes of it, worked out once."""
        key = (cell, method, arguments)
        known = self._steps.get(key)
        if known is None:
            value = self._cells.copy(cell)
            if method in ("receive_peer", "receive_proxy", "receive"):
                arguments = (*arguments[:-1], self._decoded[arguments[-1]])
            effects = getattr(value, method)(*arguments)
            after = self._cells.number(value)
            if isinstance(value, NodeCell):
                consensus = value.node.consensus
                self._terms[after] = (consensus.term, consensus.role)
            known = self._steps[key] = (after, [out for effect in effects if (out := self._out(effect))])
        return known

    def _out(self, effect: Any) -> tuple | None:
        """An effect in short; messages by number."""
        match effect:
            case SendToPeer() if not isinstance(effect.message, UNCOUNTED):
                return "peer", self._numbers[effect.node], self._message(effect.message)
            case SendToSubscriber():
                return "proxy", effect.connection, self._message(effect.message)
            case CloseSubscriber():
                return "proxy", effect.connection, END
            case SendToControlNode():
                return "node", effect.attempt, self._message(effect.message)
            case ConnectToNode():
                return "connect", self._numbers[effect.node], effect.attempt
            case DisconnectFromNode():
                return "disconnect", effect.attempt
            case EntriesCommitted() | SnapshotInstalled() | ApplyEntry() | ApplySnapshot() | Started():
                return "rule", effect
        return None

    def _message(self, message: Any) -> int:
        data = encode(message)
        number = self._messages.get(data)
        if number is None:
            number = self._messages[data] = len(self._decoded)
            self._decoded.append(decode(data))
        return number

    def _rule_step(self, number: int, done: list, name: str, term: int) -> int:
        """The rules after what came of a step. `name` with `term`: a leader; with NO_TERM: a proxy."""
        effects = [out[1] for out in done if out[0] == "rule"]
        key = (number, id(done), name, term)
        known = self._rule_steps.get(key)
        if known is None:
            rules: Rules = self._rules.copy(number)
            if name and term != NO_TERM:
                rules.leads(name, term)
            for effect in effects:
                self._tell(rules, name, effect)
            known = self._rule_steps[key] = self._rules.number(rules)
        return known

    def _tell(self, rules: Rules, name: str, effect: Any) -> None:
        match effect:
            case EntriesCommitted():
                rules.committed(effect.entries)
            case SnapshotInstalled():
                rules.snapshot(effect.snapshot)
            case Started():
                rules.proxy_started(name, effect.saved)
            case _:
                rules.load(name, effect)

    def described(self, action: Action) -> str:
        """An action in words."""
        what, which = action
        match what:
            case "peer" | "repeats" | "losses":
                return f"{self.names[which[1]]} -> {self.names[which[0]]} ({what}): {self._decoded[which[2]]}"
            case "up" | "down":
                message = "the end" if which[1] == END else self._decoded[which[1]]
                return f"{self._proxy_names[which[0]]} {what}: {message}"
            case "restarts":
                return f"{self._proxy_names[which[0]]} starts with {list(Saved)[which[1]].value}"
            case "breaks":
                return f"breaks: {self._proxy_names[which[0]]}"
        return f"{what}: {self.names[which[0]]}"

    def _leads(self, cell: int) -> bool:
        return self._terms[cell][1] is Role.LEADER
