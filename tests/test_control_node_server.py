"""The server of a control node: the order of its effects, and its end when the disk fails."""

import errno
from pathlib import Path, PurePosixPath
from random import Random

import pytest
from control_net_rig import Reactor, RecordingLog, Transport, frame
from failing_files import Disk, Effect, Fault
from twisted.internet.address import IPv4Address

from cloverwell.control.entry import START_POSITION
from cloverwell.control.messages import (
    AppendAnswer,
    AppendEntries,
    Entries,
    Heartbeat,
    ProposalAnswer,
    ProposalOutcome,
    Propose,
    RequestVote,
    Subscribe,
    VoteAnswer,
)
from cloverwell.control.net.wire import PeerHello, StatusAnswer, StatusRequest
from cloverwell.control.server import durable_files
from cloverwell.control.server.file_storage import FileStorage
from cloverwell.control.server.node_server import NodeServer
from cloverwell.control.server.settings import NodeSettings
from cloverwell.control.storage import MemoryStorage, StorageError
from cloverwell.control.timing import ControlNodeTiming

ADDRESSES = {name: ("127.0.0.1", 7400 + number) for number, name in enumerate("abc")}


class RecordingStorage(MemoryStorage):
    """Storage that appends each write to `order`, and fails while `full` is set."""

    def __init__(self, order):
        super().__init__()
        self.order, self.full, self.closed = order, False, False

    def write(self, write):
        if self.full:
            raise StorageError("no space left")
        super().write(write)
        self.order.append(write)

    def close(self):
        self.closed = True


class NodeRig:
    """Node a of a log. `order` holds its writes and the messages that it sent to other nodes, in order."""

    def __init__(self, nodes="abc", storage=None):
        self.order, self.reactor, self.log = [], Reactor(), RecordingLog()
        self.node_storage = storage or RecordingStorage(self.order)
        settings = NodeSettings(
            "a", "fleet", ADDRESSES["a"], Path("data"), {n: ADDRESSES[n] for n in nodes}, {}
        )
        self.server = NodeServer(
            self.reactor, settings, self.node_storage, self.log, self.reactor.now_ms, Random(1)
        )
        for name, link in self.server._links.items():
            link.start()
            transport = self.reactor.attempts[-1].succeed()
            transport.written = b""
            transport.write = self._recording_write(name)
        self.server._set_timer()
        self.inbound = {}
        for name in nodes:
            if name != "a":
                self.inbound[name], _ = self.connect()
                self.receive(name, PeerHello(name, "fleet"))

    def _recording_write(self, name):
        """Returns a write function that appends the messages to node `name` to `order`."""
        decoder = Transport()

        def write(data):
            decoder.written += data
            self.order.extend((name, message) for message in decoder.messages())

        return write

    def connect(self):
        """Returns a new incoming connection of the node, and its transport."""
        connection = self.server._port.buildProtocol(IPv4Address("TCP", "127.0.0.1", 9))
        return connection, Transport(connection)

    def receive(self, name, message):
        """Makes the node receive a message from another node."""
        self.inbound[name].dataReceived(frame(message))

    def pass_time(self, ms):
        for _ in range(int(ms / 10)):
            self.reactor.advance(0.01)

    def sent(self, message_type):
        """Returns the messages of a type that were sent, as pairs of node and message."""
        return [item for item in self.order if isinstance(item, tuple) and isinstance(item[1], message_type)]

    def become_leader(self):
        """Makes the node the leader: b votes for it and acknowledges its entries."""
        while not self.sent(RequestVote):
            self.pass_time(10)
        term = self.server.node.consensus.term
        self.receive("b", VoteAnswer(term, "b", term + 1, True, pre_vote=True))
        term = self.server.node.consensus.term
        self.receive("b", VoteAnswer(term, "b", term, True))
        assert self.server.node.consensus.leader == "a"
        self.acknowledge()

    def acknowledge(self):
        """Makes b acknowledge all entries up to those that it was sent last."""
        append = [m for name, m in self.sent(AppendEntries) if name == "b"][-1]
        match_index = append.previous_index + len(append.entries)
        self.receive("b", AppendAnswer(append.term, "b", True, match_index, append.token, 1.0))


@pytest.fixture
def rig():
    return NodeRig()


def test_term_and_vote_are_written_before_a_vote_is_requested_or_granted(rig):
    rig.become_leader()
    first_vote = next(i for i, item in enumerate(rig.order) if item in rig.sent(RequestVote)[2:])
    writes = [item for item in rig.order[:first_vote] if not isinstance(item, tuple)]
    assert writes
    assert writes[-1].vote == "a"
    assert writes[-1].term == 1
    rig.receive("c", RequestVote(9, "c", 99, 9))
    (answer,) = [message for name, message in rig.sent(VoteAnswer) if name == "c"]
    assert answer.granted
    answer_place = rig.order.index(("c", answer))
    assert any(getattr(w, "vote", "") == "c" and w.term == 9 for w in rig.order[:answer_place])


def test_an_entry_is_written_before_it_is_sent_and_committed_before_proxies_receive_it(rig):
    rig.become_leader()
    proxy, to_proxy = rig.connect()
    proxy.dataReceived(frame(Subscribe("proxy-1", 1, 1, "fleet", START_POSITION, 0, 0.0)))
    operator, to_operator = rig.connect()
    to_proxy.messages()
    del rig.order[:]
    operator.dataReceived(frame(Propose("id", "configuration", b"{}")))
    sent = [i for i, item in enumerate(rig.order) if item in rig.sent(AppendEntries)]
    assert not isinstance(rig.order[0], tuple)
    assert rig.order[0].entries
    assert sent[0] > 0
    assert not to_proxy.messages()
    assert not to_operator.messages()
    rig.acknowledge()
    assert [type(message) for message in to_proxy.messages()] == [Entries]
    (answer,) = to_operator.messages()
    assert isinstance(answer, ProposalAnswer)
    assert answer.outcome is ProposalOutcome.COMMITTED
    assert any("commit: entry 2: configuration id" in line for line in rig.log.lines)


def test_when_the_disk_fails_nothing_is_sent_and_the_node_stops(rig):
    rig.become_leader()
    del rig.order[:]
    rig.node_storage.full = True
    operator, transport = rig.connect()
    operator.dataReceived(frame(Propose("id", "configuration", b"{}")))
    assert rig.order == []
    assert not transport.messages()
    assert rig.server.failed
    assert rig.reactor.stopped
    assert rig.node_storage.closed
    assert any("storage failed, node stops: no space left" in line for line in rig.log.lines)
    rig.pass_time(5000)
    assert rig.order == []


def test_a_leader_without_a_quorum_refuses_proposals(rig):
    rig.become_leader()
    rig.pass_time(ControlNodeTiming().quorum_timeout_ms + 100)
    operator, transport = rig.connect()
    operator.dataReceived(frame(Propose("id", "configuration", b"{}")) + frame(StatusRequest()))
    answer, status = transport.messages()
    assert answer.outcome is ProposalOutcome.NO_QUORUM
    assert isinstance(status, StatusAnswer)
    assert not status.status.has_quorum


def test_a_status_names_the_leaders_address(rig):
    operator, transport = rig.connect()
    operator.dataReceived(frame(StatusRequest()))
    assert transport.messages()[0].leader_address == ""
    rig.become_leader()
    operator.dataReceived(frame(StatusRequest()))
    (status,) = transport.messages()
    assert status.leader_address == "127.0.0.1:7400"
    assert status.activation is not None


def test_the_nodes_timer_sends_heartbeats_to_proxies(rig):
    proxy, transport = rig.connect()
    proxy.dataReceived(frame(Subscribe("proxy-1", 1, 1, "fleet", START_POSITION, 0, 0.0)))
    transport.messages()
    rig.pass_time(2500)
    assert [type(message) for message in transport.messages()] == [Heartbeat, Heartbeat]


def test_the_only_node_of_a_log_elects_itself():
    rig = NodeRig("a")
    rig.pass_time(ControlNodeTiming().max_election_timeout_ms + 100)
    assert rig.server.node.consensus.leader == "a"
    assert "info leader: a leads, term 1" in rig.log.lines


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("effect", Effect)
@pytest.mark.parametrize("call", ["write", "fdatasync"])
def test_a_node_whose_disk_fails_grants_no_vote_and_remembers_its_earlier_vote_after_a_restart(
    monkeypatch, call, effect, number
):
    disk, folder = Disk(), PurePosixPath("/data")
    monkeypatch.setattr(durable_files, "os", disk)
    monkeypatch.setattr(durable_files, "fcntl", disk)
    rig = NodeRig(storage=FileStorage(folder))
    rig.receive("c", RequestVote(9, "c", 99, 9))
    assert [message.granted for _, message in rig.sent(VoteAnswer)] == [True]
    disk.fault = Fault(len(disk.calls) + (call == "fdatasync"), number, effect)
    rig.receive("b", RequestVote(10, "b", 99, 9))
    assert disk.calls[disk.fault.call] == call
    assert len(rig.sent(VoteAnswer)) == 1  # No answer about the term that it could not make durable.
    assert rig.server.failed
    assert rig.reactor.stopped
    (line,) = [line for line in rig.log.lines if line.startswith("warn storage")]
    assert "/data/control.log" in line
    assert "restart it once the disk works" in line
    rig.receive("b", RequestVote(11, "b", 99, 9))
    assert len(rig.sent(VoteAnswer)) == 1
    disk.restart()
    restarted = NodeRig(storage=FileStorage(folder))
    assert restarted.server.node.consensus.term >= 9
    restarted.receive("b", RequestVote(9, "b", 99, 9))
    assert not any(message.granted for _, message in restarted.sent(VoteAnswer))
