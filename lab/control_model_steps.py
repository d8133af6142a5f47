"""The steps of single processes in the model check, each computed once and remembered.

Processes and messages are known by numbers here, so that states of the model are small and quickly compared.
"""

from __future__ import annotations

from typing import NamedTuple

from cloverwell.control.consensus import Role
from cloverwell.control.control_node import ControlNode
from cloverwell.control.effects import (
    ApplyEntry,
    ApplySnapshot,
    CloseSubscriber,
    ConnectToNode,
    DisconnectFromNode,
    EntriesCommitted,
    NodeEffect,
    SendToControlNode,
    SendToPeer,
    SendToSubscriber,
    SnapshotInstalled,
)
from cloverwell.control.messages import (
    AppendAnswer,
    AppendEntries,
    FleetSummary,
    InstallSnapshot,
    Message,
    RequestVote,
    SubscriberMoved,
    SubscriberReport,
    VoteAnswer,
    decode,
    encode,
)
from lab.control_model_processes import Interner, ModelNode, ModelProxy, ModelProxyEffect, ProxyStarted
from lab.control_states import END_OF_CONNECTION

RECEIVING_METHODS = {"receive_peer", "receive_proxy", "receive"}  # whose last argument is a message
COUNTING_MESSAGES = (FleetSummary, SubscriberMoved, SubscriberReport)  # left out of the model

Observation = EntriesCommitted | SnapshotInstalled | ApplyEntry | ApplySnapshot | ProxyStarted


class SentToPeer(NamedTuple):
    """A message was sent to another control node."""

    receiver: int
    message: int


class SentToProxy(NamedTuple):
    """A message, or END_OF_CONNECTION, was sent to a proxy."""

    connection: int
    message: int


class SentToNode(NamedTuple):
    """A proxy has sent a message to its control node."""

    attempt: int
    message: int


class Connecting(NamedTuple):
    """A proxy connects to a control node."""

    node: int
    attempt: int


class Disconnecting(NamedTuple):
    """A proxy closes its connection."""

    attempt: int


class Observed(NamedTuple):
    """Something was observed that the invariants are about."""

    observation: Observation


Outcome = SentToPeer | SentToProxy | SentToNode | Connecting | Disconnecting | Observed


class Step(NamedTuple):
    """What an event makes of a process: its state after the event, and the outcomes, in order.

    `number` tells steps apart.
    """

    number: int
    after: int
    outcomes: tuple[Outcome, ...]


class TermAndRole(NamedTuple):
    """The term and the role of a control node in a state."""

    term: int
    role: Role


class ProcessSteps:
    """The states and steps of all processes that have been met so far."""

    def __init__(self, names: tuple[str, ...]) -> None:
        """Starts without processes; `names` are those of the control nodes, by number."""
        self._names = names
        self._node_numbers = {name: number for number, name in enumerate(names)}
        self._processes: Interner[ModelNode | ModelProxy] = Interner()
        self._terms_and_roles: dict[int, TermAndRole] = {}  # by state of a control node
        self._message_numbers: dict[bytes, int] = {}
        self._messages: list[Message] = []
        self._steps: dict[tuple[int, str, tuple[object, ...]], Step] = {}
        self._relevant: dict[tuple[int, int, tuple[int, ...]], tuple[int, ...]] = {}

    # States

    def add(self, process: ModelNode | ModelProxy) -> int:
        """Returns the number of a process's state."""
        number = self._processes.number(process)
        if isinstance(process, ModelNode):
            consensus = process.node.consensus
            self._terms_and_roles[number] = TermAndRole(consensus.term, consensus.role)
        return number

    def copy_node(self, number: int) -> ControlNode:
        """Returns a copy of the control node in a state."""
        process = self._processes.copy(number)
        assert isinstance(process, ModelNode)
        return process.node

    def term_and_role(self, number: int) -> TermAndRole:
        """Returns the term and the role of a control node in a state."""
        return self._terms_and_roles[number]

    def is_leader(self, number: int) -> bool:
        """Returns whether a control node leads in a state."""
        return self._terms_and_roles[number].role is Role.LEADER

    def message(self, number: int) -> Message:
        """Returns the message with a number."""
        return self._messages[number]

    # Steps

    def step(self, process: int, method: str, arguments: tuple[object, ...]) -> Step:
        """Returns what the event `method` makes of a process in a state."""
        key = (process, method, arguments)
        step = self._steps.get(key)
        if step is None:
            step = self._steps[key] = self._compute_step(process, method, arguments)
        return step

    def relevant_messages(self, receiver: int, sender: int, messages: tuple[int, ...]) -> tuple[int, ...]:
        """Returns those of the messages in flight to a control node that it will not ignore for sure."""
        key = (receiver, sender, messages)
        relevant = self._relevant.get(key)
        if relevant is None:
            relevant = tuple(each for each in messages if not self._is_ignored(receiver, sender, each))
            self._relevant[key] = relevant
        return relevant

    def _compute_step(self, process: int, method: str, arguments: tuple[object, ...]) -> Step:
        copy = self._processes.copy(process)
        if method in RECEIVING_METHODS:
            *others, message = arguments
            assert isinstance(message, int)
            arguments = (*others, self._messages[message])
        effects: list[NodeEffect | ModelProxyEffect] = getattr(copy, method)(*arguments)
        after = self.add(copy)
        outcomes = [self._outcome(effect) for effect in effects]
        return Step(len(self._steps), after, tuple(outcome for outcome in outcomes if outcome is not None))

    def _outcome(self, effect: NodeEffect | ModelProxyEffect) -> Outcome | None:
        """Returns what the model knows of an effect, or None for one that it leaves out."""
        match effect:
            case SendToPeer() if not isinstance(effect.message, COUNTING_MESSAGES):
                return SentToPeer(self._node_numbers[effect.node], self._message_number(effect.message))
            case SendToSubscriber():
                return SentToProxy(effect.connection_id, self._message_number(effect.message))
            case CloseSubscriber():
                return SentToProxy(effect.connection_id, END_OF_CONNECTION)
            case SendToControlNode():
                return SentToNode(effect.attempt, self._message_number(effect.message))
            case ConnectToNode():
                return Connecting(self._node_numbers[effect.node], effect.attempt)
            case DisconnectFromNode():
                return Disconnecting(effect.attempt)
            case EntriesCommitted() | SnapshotInstalled() | ApplyEntry() | ApplySnapshot() | ProxyStarted():
                return Observed(effect)
        return None

    def _message_number(self, message: Message) -> int:
        data = encode(message)
        number = self._message_numbers.get(data)
        if number is None:
            number = self._message_numbers[data] = len(self._messages)
            self._messages.append(decode(data))
        return number

    def _is_ignored(self, receiver: int, sender: int, number: int) -> bool:
        """Returns whether a message changes nothing, now or whenever it arrives."""
        if not self._is_outdated(receiver, self._messages[number]):
            return False
        step = self.step(receiver, "receive_peer", (self._names[sender], number))
        return step.after == receiver and not step.outcomes

    def _is_outdated(self, receiver: int, message: Message) -> bool:
        """Returns whether a message is of an earlier term, or of an election or leadership that is over.

        A node takes part in either at most once a term.
        """
        term, role = self._terms_and_roles[receiver]
        match message:
            case VoteAnswer(pre_vote=False):
                return message.term < term or role is not Role.CANDIDATE
            case AppendAnswer():
                return message.term < term or role is not Role.LEADER
            case RequestVote() | VoteAnswer() | AppendEntries() | InstallSnapshot():
                return message.term < term
        raise TypeError(f"{type(message).__name__} is not sent between control nodes in the model")
