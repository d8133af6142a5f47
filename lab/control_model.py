"""The model of the control log that the model check explores: states, actions and their results.

A state is what all processes hold, what is in flight between them, and what has been observed so far
(`ControlInvariants`). Between two processes messages keep their order, as on a stream, but any may be lost
between control nodes, and arrive twice; between different processes there is no order. Each timer may fire at
any time. `Budget` bounds how often such things happen.

Left out as irrelevant are messages that their receiver will ignore whenever they arrive (answers to an
election or a leadership that is over), and the reports from which the fleet is counted.
"""

from __future__ import annotations

from collections.abc import Iterator

from cloverwell.control.control_node import ControlNode
from cloverwell.control.effects import EntriesCommitted, SnapshotInstalled
from lab.control_invariants import ControlInvariants
from lab.control_model_processes import Interner, ModelNode, ModelProxy, ProxyStarted, Saved
from lab.control_model_steps import (
    Connecting,
    Disconnecting,
    Observation,
    Observed,
    ProcessSteps,
    SentToNode,
    SentToPeer,
    SentToProxy,
    Step,
)
from lab.control_states import (
    END_OF_CONNECTION,
    MAX_ATTEMPTS,
    NO_TERM,
    Action,
    ActionKind,
    Budget,
    Connection,
    State,
    connection_number,
    proxy_and_attempt,
)

SAVED = tuple(Saved)
ARRIVALS = (ActionKind.PEER_ARRIVAL, ActionKind.UP_ARRIVAL, ActionKind.DOWN_ARRIVAL)


class Model:
    """Control nodes and proxies, with the steps computed so far."""

    def __init__(self, nodes: int = 3, proxies: int = 2, node_type: type[ControlNode] = ControlNode) -> None:
        """Prepares a model of so many processes; `empty` is the state before anything has happened."""
        self.names = tuple(f"node{number}" for number in range(nodes))
        self._proxy_names = tuple(f"proxy{number}" for number in range(proxies))
        self._steps = ProcessSteps(self.names)
        self._invariants: Interner[ControlInvariants] = Interner()
        self._invariant_steps: dict[tuple[int, int, str, int], int] = {}
        node_states = tuple(self._steps.add(ModelNode(name, self.names, node_type)) for name in self.names)
        # Each proxy tries another node first.
        orders = [self.names[number % nodes :] + self.names[: number % nodes] for number in range(proxies)]
        proxy_states = tuple(
            self._steps.add(ModelProxy(name, order))
            for name, order in zip(self._proxy_names, orders, strict=True)
        )
        invariants = self._invariants.number(ControlInvariants())
        self.empty = State(
            node_states, proxy_states, invariants, ((),) * nodes**2, (None,) * proxies, Budget()
        )

    # To prepare a start state

    def play(self, state: State, *actions: Action) -> State:
        """Returns the state after these actions; each is granted the budget that it takes."""
        for action in actions:
            if action.kind in Budget._fields:
                state = state._replace(budget=state.budget._replace(**{action.kind: 1}))
            state = self.step(state, action)
        return state

    def settle(self, state: State) -> State:
        """Returns the state after all messages have arrived, those of a lower number first."""
        while True:
            actions = [action for action in self.actions(state) if action.kind in ARRIVALS]
            if not actions:
                return state
            state = self.step(state, min(actions, key=lambda action: (action.arguments[-1], action)))

    def node(self, state: State, number: int) -> ControlNode:
        """Returns a copy of a control node in a state."""
        return self._steps.copy_node(state.nodes[number])

    # Actions

    def actions(self, state: State) -> Iterator[Action]:
        """Yields everything that may happen next."""
        for number, process in enumerate(state.nodes):
            yield from self._node_actions(number, process, state.budget)
        for link, messages in enumerate(state.links):
            if messages:
                receiver, sender = divmod(link, len(state.nodes))
                yield from _link_actions((receiver, sender, messages[0]), state.budget)
        for number, connection in enumerate(state.connections):
            yield from _proxy_actions(number, connection, state.budget)

    def step(self, state: State, action: Action) -> State:
        """Returns the state after an action. Raises InvariantViolationError."""
        kind, arguments = action
        first = arguments[0]
        state = _spend(state, kind)
        match kind:
            case ActionKind.TIMEOUT | ActionKind.HEARTBEAT:
                return self._node_step(state, first, "tick")
            case ActionKind.ELECTION:
                return self._node_step(state, first, "start_election")
            case ActionKind.PROPOSAL:
                return self._node_step(state, first, "propose")
            case ActionKind.CRASH:
                return self._crash(state, first)
            case ActionKind.PEER_ARRIVAL | ActionKind.REPEAT | ActionKind.LOSS:
                return self._link_step(state, kind, arguments)
            case ActionKind.UP_ARRIVAL:
                return self._arrive_up(state, first)
            case ActionKind.DOWN_ARRIVAL:
                return self._arrive_down(state, first)
            case ActionKind.BREAK:
                return self._break(state, first)
            case ActionKind.RESTART:
                return self._restart_proxy(state, first, SAVED[arguments[1]])

    def describe(self, action: Action) -> str:
        """Returns an action in words."""
        kind, arguments = action
        match kind:
            case ActionKind.PEER_ARRIVAL | ActionKind.REPEAT | ActionKind.LOSS:
                receiver, sender, number = arguments
                message = self._steps.message(number)
                return f"{self.names[sender]} -> {self.names[receiver]} ({kind}): {message}"
            case ActionKind.UP_ARRIVAL | ActionKind.DOWN_ARRIVAL:
                proxy, number = arguments
                arrived = "the end" if number == END_OF_CONNECTION else self._steps.message(number)
                return f"{self._proxy_names[proxy]} {kind}: {arrived}"
            case ActionKind.RESTART:
                proxy, saved = arguments
                return f"{self._proxy_names[proxy]} starts with {SAVED[saved].value}"
            case ActionKind.BREAK:
                return f"breaks: {self._proxy_names[arguments[0]]}"
        return f"{kind}: {self.names[arguments[0]]}"

    def _node_actions(self, number: int, process: int, budget: Budget) -> Iterator[Action]:
        leads = self._steps.is_leader(process)
        if leads and budget.heartbeats:
            yield Action(ActionKind.HEARTBEAT, (number,))
        if not leads and budget.elections:
            yield Action(ActionKind.ELECTION, (number,))
        if not leads and budget.timeouts:
            yield Action(ActionKind.TIMEOUT, (number,))
        if budget.crashes:
            yield Action(ActionKind.CRASH, (number,))
        if leads and budget.proposals:
            yield Action(ActionKind.PROPOSAL, (number,))

    # What happens to processes

    def _crash(self, state: State, number: int) -> State:
        state = self._node_step(state, number, "restart")
        for proxy, connection in enumerate(state.connections):
            if connection is not None and connection.node == number:
                state = self._end_at_proxy(state, proxy)
        return state

    def _break(self, state: State, proxy: int) -> State:
        return self._end_at_proxy(self._end_at_node(state, proxy), proxy)

    def _restart_proxy(self, state: State, proxy: int, saved: Saved) -> State:
        state = _with_connection(self._end_at_node(state, proxy), proxy, None)
        return self._proxy_step(state, proxy, "start", saved)

    def _end_at_proxy(self, state: State, proxy: int) -> State:
        connection = state.connections[proxy]
        assert connection is not None
        state = _with_connection(state, proxy, None)
        return self._proxy_step(state, proxy, "disconnected", connection.attempt)

    def _end_at_node(self, state: State, proxy: int) -> State:
        connection = state.connections[proxy]
        if connection is None:
            return state
        number = connection_number(proxy, connection.attempt)
        return self._node_step(state, connection.node, "disconnected", number)

    # Arrivals

    def _link_step(self, state: State, kind: ActionKind, arguments: tuple[int, ...]) -> State:
        """The first message between two control nodes arrives, arrives and stays in flight, or is lost."""
        receiver, sender, message = arguments
        if kind is not ActionKind.REPEAT:
            state = _without_first(state, receiver, sender)
        if kind is ActionKind.LOSS:
            return state
        return self._node_step(state, receiver, "receive_peer", self.names[sender], message)

    def _arrive_up(self, state: State, proxy: int) -> State:
        connection = state.connections[proxy]
        assert connection is not None
        message, *rest = connection.up
        state = _with_connection(state, proxy, connection._replace(up=tuple(rest)))
        number = connection_number(proxy, connection.attempt)
        return self._node_step(state, connection.node, "receive_proxy", number, message)

    def _arrive_down(self, state: State, proxy: int) -> State:
        connection = state.connections[proxy]
        assert connection is not None
        message, *rest = connection.down
        if message == END_OF_CONNECTION:
            return self._end_at_proxy(state, proxy)
        state = _with_connection(state, proxy, connection._replace(down=tuple(rest)))
        return self._proxy_step(state, proxy, "receive", connection.attempt, message)

    # Steps of one process

    def _node_step(self, state: State, number: int, method: str, *arguments: object) -> State:
        step = self._steps.step(state.nodes[number], method, arguments)
        nodes = list(state.nodes)
        nodes[number] = step.after
        term = self._steps.term_and_role(step.after).term
        leader = self.names[number] if self._steps.is_leader(step.after) else ""
        invariants = self._invariant_step(state.invariants, step, leader, term)
        links = list(state.links)
        for outcome in step.outcomes:
            if isinstance(outcome, SentToPeer):
                links[outcome.receiver * len(nodes) + number] += (outcome.message,)
        for link, messages in enumerate(links):
            if messages:
                receiver, sender = divmod(link, len(nodes))
                links[link] = self._steps.relevant_messages(nodes[receiver], sender, messages)
        state = state._replace(nodes=tuple(nodes), invariants=invariants, links=tuple(links))
        for outcome in step.outcomes:
            if isinstance(outcome, SentToProxy):
                state = _sent_down(state, outcome)
        return state

    def _proxy_step(self, state: State, proxy: int, method: str, *arguments: object) -> State:
        step = self._steps.step(state.proxies[proxy], method, arguments)
        proxies = list(state.proxies)
        proxies[proxy] = step.after
        invariants = self._invariant_step(state.invariants, step, self._proxy_names[proxy], NO_TERM)
        state = state._replace(proxies=tuple(proxies), invariants=invariants)
        for outcome in step.outcomes:
            connection = state.connections[proxy]
            match outcome:
                case Disconnecting() if connection is not None:
                    state = _with_connection(self._end_at_node(state, proxy), proxy, None)
                case Connecting() if outcome.attempt <= MAX_ATTEMPTS:
                    state = _with_connection(state, proxy, Connection(outcome.attempt, outcome.node))
                    state = self._proxy_step(state, proxy, "connected", outcome.attempt)
                case SentToNode() if connection is not None and connection.attempt == outcome.attempt:
                    up = (*connection.up, outcome.message)
                    state = _with_connection(state, proxy, connection._replace(up=up))
        return state

    # Invariants

    def _invariant_step(self, number: int, step: Step, name: str, term: int) -> int:
        """Returns the invariants after what was observed in a step.

        `name` is that of a leader, with its term, or that of a proxy, with NO_TERM; "" for a node that does
        not lead.
        """
        key = (number, step.number, name, term)
        after = self._invariant_steps.get(key)
        if after is None:
            invariants = self._invariants.copy(number)
            if name and term != NO_TERM:
                invariants.observe_leader(name, term)
            for outcome in step.outcomes:
                if isinstance(outcome, Observed):
                    _observe(invariants, name, outcome.observation)
            after = self._invariant_steps[key] = self._invariants.number(invariants)
        return after


def _spend(state: State, kind: ActionKind) -> State:
    """Returns the state with one action of a kind less in the budget, where that bounds the kind."""
    if kind not in Budget._fields:
        return state
    left = getattr(state.budget, kind) - 1
    return state._replace(budget=state.budget._replace(**{kind: left}))


def _link_actions(arguments: tuple[int, int, int], budget: Budget) -> Iterator[Action]:
    """Yields what may happen to the first message between two nodes: (receiver, sender, message)."""
    yield Action(ActionKind.PEER_ARRIVAL, arguments)
    if budget.repeats:
        yield Action(ActionKind.REPEAT, arguments)
    if budget.losses:
        yield Action(ActionKind.LOSS, arguments)


def _proxy_actions(proxy: int, connection: Connection | None, budget: Budget) -> Iterator[Action]:
    if connection is not None and connection.up:
        yield Action(ActionKind.UP_ARRIVAL, (proxy, connection.up[0]))
    if connection is not None and connection.down:
        yield Action(ActionKind.DOWN_ARRIVAL, (proxy, connection.down[0]))
    if connection is not None and budget.breaks:
        yield Action(ActionKind.BREAK, (proxy,))
    if budget.restarts:
        for saved in range(len(SAVED)):
            yield Action(ActionKind.RESTART, (proxy, saved))


def _with_connection(state: State, proxy: int, connection: Connection | None) -> State:
    connections = list(state.connections)
    connections[proxy] = connection
    return state._replace(connections=tuple(connections))


def _without_first(state: State, receiver: int, sender: int) -> State:
    links = list(state.links)
    link = receiver * len(state.nodes) + sender
    links[link] = links[link][1:]
    return state._replace(links=tuple(links))


def _sent_down(state: State, sent: SentToProxy) -> State:
    """Returns the state with a message in flight to a proxy, if the connection is still there."""
    proxy, attempt = proxy_and_attempt(sent.connection)
    connection = state.connections[proxy]
    if connection is None or connection.attempt != attempt:
        return state
    return _with_connection(state, proxy, connection._replace(down=(*connection.down, sent.message)))


def _observe(invariants: ControlInvariants, name: str, observation: Observation) -> None:
    match observation:
        case EntriesCommitted():
            invariants.observe_committed(observation.entries)
        case SnapshotInstalled():
            invariants.observe_snapshot(observation.snapshot)
        case ProxyStarted():
            invariants.observe_proxy_start(name, observation.saved)
        case _:
            invariants.observe_apply(name, observation)
