"""A control node in service: the order of its effects, and its end where the disk fails."""

import errno
from pathlib import Path, PurePosixPath
from random import Random

import pytest
from control_net_rig import Lines, Reactor, Transport, frame
from failing_files import Disk as FailingDisk
from failing_files import Effect, Fault
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


class Disk(MemoryStorage):
    """Keeps what is written and in which order, and fails while `full` is set."""

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


class Played:
    """One of three nodes; `order` has its writes and what it sent to the others, as they came."""

    def __init__(self, nodes="abc", storage=None):
        self.order, self.reactor, self.lines = [], Reactor(), Lines()
        self.disk = storage or Disk(self.order)
        settings = NodeSettings(
            "a", "fleet", ADDRESSES["a"], Path("data"), {n: ADDRESSES[n] for n in nodes}, {}
        )
        self.server = NodeServer(
            self.reactor, settings, self.disk, self.lines, self.reactor.now_ms, Random(1)
        )
        for name, link in self.server._links.items():
            link.start()
            transport = self.reactor.tries[-1].succeed()
            transport.written = b""
            transport.write = self._sent(name)
        self.server._set_timer()
        self.inbound = {}
        for name in nodes:
            if name != "a":
                self.inbound[name], _ = self.connect()
                self.tell(name, PeerHello(name, "fleet"))

    def _sent(self, name):
        decoder = Transport()

        def write(data):
            decoder.written += data
            self.order.extend((name, message) for message in decoder.messages())

        return write

    def connect(self):
        connection = self.server._port.buildProtocol(IPv4Address("TCP", "127.0.0.1", 9))
        return connection, Transport(connection)

    def tell(self, name, message):
        self.inbound[name].dataReceived(frame(message))

    def pass_time(self, ms):
        for _ in range(int(ms / 10)):
            self.reactor.advance(0.01)

    def sent(self, kind):
        return [item for item in self.order if isinstance(item, tuple) and isinstance(item[1], kind)]

    def lead(self):
        """The others vote for it, and answer what it sends."""
        while not self.sent(RequestVote):
            self.pass_time(10)
        term = self.server.node.consensus.term
        self.tell("b", VoteAnswer(term, "b", term + 1, True, pre_vote=True))
        term = self.server.node.consensus.term
        self.tell("b", VoteAnswer(term, "b", term, True))
        assert self.server.node.consensus.leader == "a"
        self.answer()

    def answer(self):
        """`b` holds all that it was sent last."""
        append = [m for name, m in self.sent(AppendEntries) if name == "b"][-1]
        held = append.previous_index + len(append.entries)
        self.tell("b", AppendAnswer(append.term, "b", True, held, append.token, 1.0))


@pytest.fixture
def played():
    return Played()


def test_term_and_vote_are_written_before_a_vote_is_asked_or_given(played):
    played.lead()
    first_vote = next(i for i, item in enumerate(played.order) if item in played.sent(RequestVote)[2:])
    writes = [item for item in played.order[:first_vote] if not isinstance(item, tuple)]
    assert writes
    assert writes[-1].vote == "a"
    assert writes[-1].term == 1
    played.tell("c", RequestVote(9, "c", 99, 9))
    (answer,) = [message for name, message in played.sent(VoteAnswer) if name == "c"]
    assert answer.granted
    place = played.order.index(("c", answer))
    assert any(getattr(w, "vote", "") == "c" and w.term == 9 for w in played.order[:place])


def test_an_entry_is_written_before_it_leaves_and_committed_before_proxies_have_it(played):
    played.lead()
    proxy, to_proxy = played.connect()
    proxy.dataReceived(frame(Subscribe("proxy-1", 1, 1, "fleet", START_POSITION, 0, 0.0)))
    operator, to_operator = played.connect()
    to_proxy.messages()
    del played.order[:]
    operator.dataReceived(frame(Propose("id", "configuration", b"{}")))
    sent = [i for i, item in enumerate(played.order) if item in played.sent(AppendEntries)]
    assert not isinstance(played.order[0], tuple)
    assert played.order[0].entries
    assert sent[0] > 0
    assert not to_proxy.messages()
    assert not to_operator.messages()
    played.answer()
    assert [type(message) for message in to_proxy.messages()] == [Entries]
    (answer,) = to_operator.messages()
    assert isinstance(answer, ProposalAnswer)
    assert answer.outcome is ProposalOutcome.COMMITTED
    assert any("commit: entry 2: configuration id" in line for line in played.lines.lines)


def test_where_the_disk_fails_nothing_leaves_and_the_node_ends(played):
    played.lead()
    del played.order[:]
    played.disk.full = True
    operator, transport = played.connect()
    operator.dataReceived(frame(Propose("id", "configuration", b"{}")))
    assert played.order == []
    assert not transport.messages()
    assert played.server.failed
    assert played.reactor.stopped
    assert played.disk.closed
    assert any("this node stops: no space left" in line for line in played.lines.lines)
    played.pass_time(5000)
    assert played.order == []


def test_a_leader_without_its_quorum_refuses(played):
    played.lead()
    played.pass_time(ControlNodeTiming().quorum_timeout_ms + 100)
    operator, transport = played.connect()
    operator.dataReceived(frame(Propose("id", "configuration", b"{}")) + frame(StatusRequest()))
    answer, status = transport.messages()
    assert answer.outcome is ProposalOutcome.NO_QUORUM
    assert isinstance(status, StatusAnswer)
    assert not status.status.has_quorum


def test_a_status_names_the_leaders_address(played):
    operator, transport = played.connect()
    operator.dataReceived(frame(StatusRequest()))
    assert transport.messages()[0].leader_address == ""
    played.lead()
    operator.dataReceived(frame(StatusRequest()))
    (status,) = transport.messages()
    assert status.leader_address == "127.0.0.1:7400"
    assert status.activation is not None


def test_proxies_get_heartbeats_by_the_nodes_own_timer(played):
    proxy, transport = played.connect()
    proxy.dataReceived(frame(Subscribe("proxy-1", 1, 1, "fleet", START_POSITION, 0, 0.0)))
    transport.messages()
    played.pass_time(2500)
    assert [type(message) for message in transport.messages()] == [Heartbeat, Heartbeat]


def test_a_lone_node_leads_by_itself():
    played = Played("a")
    played.pass_time(ControlNodeTiming().max_election_timeout_ms + 100)
    assert played.server.node.consensus.leader == "a"
    assert "info leader: a leads, term 1" in played.lines.lines


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("effect", Effect)
@pytest.mark.parametrize("call", ["write", "fdatasync"])
def test_a_node_whose_disk_fails_gives_no_vote_and_one_that_starts_again_knows_what_it_promised(
    monkeypatch, call, effect, number
):
    disk, folder = FailingDisk(), PurePosixPath("/data")
    monkeypatch.setattr(durable_files, "os", disk)
    monkeypatch.setattr(durable_files, "fcntl", disk)
    played = Played(storage=FileStorage(folder))
    played.tell("c", RequestVote(9, "c", 99, 9))
    assert [message.granted for _, message in played.sent(VoteAnswer)] == [True]
    disk.fault = Fault(len(disk.calls) + (call == "fdatasync"), number, effect)
    played.tell("b", RequestVote(10, "b", 99, 9))
    assert disk.calls[disk.fault.call] == call
    assert len(played.sent(VoteAnswer)) == 1  # nothing about the term that it could not make durable
    assert played.server.failed
    assert played.reactor.stopped
    (line,) = [line for line in played.lines.lines if line.startswith("warn storage")]
    assert "/data/control.log" in line
    assert "start it again once the disk is sound" in line
    played.tell("b", RequestVote(11, "b", 99, 9))
    assert len(played.sent(VoteAnswer)) == 1
    disk.restart()
    again = Played(storage=FileStorage(folder))
    assert again.server.node.consensus.term >= 9
    again.tell("b", RequestVote(9, "b", 99, 9))
    assert not any(message.granted for _, message in again.sent(VoteAnswer))
