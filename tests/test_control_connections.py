"""The control log's connections: what waits is bounded, who may say what, and how they come back."""

import socket
from random import Random

import pytest
from control_net_rig import Lines, Reactor, Transport, end, frame
from twisted.internet.address import IPv4Address

from cloverwell.control.entry import START_POSITION, Entry
from cloverwell.control.messages import (
    Acknowledge,
    AppendAnswer,
    AppendEntries,
    Entries,
    Goodbye,
    Propose,
    Subscribe,
)
from cloverwell.control.net.connection import UNCONFIRMED_MS, FrameConnection
from cloverwell.control.net.wire import PeerHello, StatusRequest
from cloverwell.control.server.peers import RETRY_MAX_S, RETRY_S, PeerLink
from cloverwell.control.server.port import MAX_CONNECTIONS, OPERATOR_TIMEOUT_S, ControlPort

ANSWER = AppendAnswer(1, "b", True, 1, 0.0, 0.0)
SUBSCRIBE = Subscribe("proxy-1", 1, 1, "fleet", START_POSITION, 0, 0.0)


def entries(number_of_bytes):
    entry = Entry(1, 1, "configuration", bytes(number_of_bytes), "p")
    return AppendEntries(1, "b", 0, 0, (entry,), 0, 0.0)


class Kept(FrameConnection):
    def __init__(self, **more):
        super().__init__(10_000, **more)
        self.messages, self.faults = [], []

    def message_received(self, message):
        self.messages.append(message)

    def fault(self, reason):
        self.faults.append(reason)


# One connection -------------------------------------------------------------------------------------


def test_a_connection_sends_at_once_and_notices_a_dead_machine():
    transport = Transport(Kept())
    assert transport.no_delay
    assert transport.handle.options == {(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): UNCONFIRMED_MS}


def test_what_waits_leaves_in_order_once_the_transport_has_room():
    connection = Kept()
    transport = Transport(connection)
    sent = [PeerHello(str(number), "fleet") for number in range(9)]
    connection.send(sent[0])
    connection.pauseProducing()
    for message in sent[1:]:
        assert connection.send(message)
    assert transport.messages() == sent[:1]
    assert connection.waiting_bytes > 0
    connection.resumeProducing()
    assert transport.messages() == sent[1:]
    assert connection.waiting_bytes == 0


def test_a_reader_that_stands_still_costs_no_more_than_the_bound():
    connection = Kept(max_waiting_bytes=500)
    transport = Transport(connection)
    connection.pauseProducing()
    sent = 0
    while connection.send(PeerHello("x" * 40, "fleet")):
        sent += 1
        assert connection.waiting_bytes <= 500
    assert 5 < sent < 12
    assert transport.aborted
    assert len(connection.faults) == 1
    assert connection.waiting_bytes == 0
    assert not connection.send(ANSWER)


def test_a_close_sends_what_waits():
    connection = Kept()
    transport = Transport(connection)
    connection.pauseProducing()
    connection.send(ANSWER)
    connection.close()
    assert transport.messages() == [ANSWER]
    assert transport.closed
    assert not transport.aborted


def test_nothing_counts_that_comes_after_a_close():
    connection = Kept()
    Transport(connection)
    connection.dataReceived(frame(ANSWER)[:9])
    connection.close()
    connection.dataReceived(frame(ANSWER)[9:] + frame(ANSWER))
    assert connection.messages == []
    assert connection.faults == []


@pytest.mark.parametrize("garbage", [b"\0\0\0\0", b"GET / HTTP/1.1\r\n", b"\0\0\0\3\1\2\3", b"\0\0\0\1\x09"])
def test_garbage_ends_the_connection_behind_the_messages_before_it(garbage):
    connection = Kept()
    transport = Transport(connection)
    connection.dataReceived(frame(ANSWER) + garbage + frame(ANSWER))
    assert connection.messages == [ANSWER]
    assert transport.aborted
    assert len(connection.faults) == 1
    connection.connectionLost()


# The port of a node ---------------------------------------------------------------------------------


class RecordingHandler:
    """A control node's side of the port: keeps what it receives."""

    def __init__(self):
        self.received = []

    def is_peer(self, hello):
        return hello == PeerHello("b", "fleet")

    def peer_message(self, peer, message):
        self.received.append((peer, message))

    def proxy_message(self, connection, message):
        self.received.append((connection, message))

    def proxy_disconnected(self, connection):
        self.received.append((connection, "gone"))

    def proposal(self, connection, message):
        self.received.append((connection, message))

    def status(self):
        return ANSWER  # any message will do


@pytest.fixture
def port():
    made = ControlPort(Reactor(), RecordingHandler(), Lines())

    def connect():
        connection = made.buildProtocol(IPv4Address("TCP", "127.0.0.1", 9))
        return connection, Transport(connection)

    made.connect = connect
    return made


def test_the_first_message_tells_who_it_is(port):
    peer, _ = port.connect()
    peer.dataReceived(frame(PeerHello("b", "fleet")) + frame(ANSWER))
    proxy, _ = port.connect()
    proxy.dataReceived(frame(SUBSCRIBE) + frame(Acknowledge(START_POSITION, 1.0)))
    operator, transport = port.connect()
    propose = Propose("id", "configuration", b"{}")
    operator.dataReceived(frame(propose) + frame(StatusRequest()))
    assert port.handler.received == [
        ("b", ANSWER),
        (proxy.number, SUBSCRIBE),
        (proxy.number, Acknowledge(START_POSITION, 1.0)),
        (operator.number, propose),
    ]
    assert transport.messages() == [ANSWER]


@pytest.mark.parametrize(
    "messages",
    [
        [PeerHello("c", "fleet")],
        [PeerHello("b", "other")],
        [ANSWER],
        [Entries(START_POSITION, ())],
        [PeerHello("b", "fleet"), SUBSCRIBE],
        [SUBSCRIBE, ANSWER],
    ],
    ids=str,
)
def test_whoever_says_what_is_not_due_from_it_is_let_go(port, messages):
    connection, transport = port.connect()
    connection.dataReceived(b"".join(map(frame, messages)))
    assert transport.aborted
    assert len(port.log.lines) == 1
    assert all(message is not messages[-1] for _, message in port.handler.received)


def test_long_messages_are_taken_from_known_nodes_alone(port):
    stranger, transport = port.connect()
    stranger.dataReceived(frame(entries(3_000_000))[:8])
    assert transport.aborted
    peer, transport = port.connect()
    peer.dataReceived(frame(PeerHello("b", "fleet")))
    peer.dataReceived(frame(entries(3_000_000)))
    assert not transport.aborted
    assert len(port.handler.received) == 1


def test_a_connection_of_nobody_ends_by_itself_and_those_of_nodes_and_proxies_stay(port):
    nobody, peer, proxy = (port.connect() for _ in range(3))
    peer[0].dataReceived(frame(PeerHello("b", "fleet")))
    proxy[0].dataReceived(frame(SUBSCRIBE))
    port.reactor.advance(OPERATOR_TIMEOUT_S + 1)
    assert [transport.closed for _, transport in (nobody, peer, proxy)] == [True, False, False]


def test_a_node_that_connects_anew_has_one_connection(port):
    old, old_transport = port.connect()
    old.dataReceived(frame(PeerHello("b", "fleet")))
    new, new_transport = port.connect()
    new.dataReceived(frame(PeerHello("b", "fleet")))
    assert old_transport.aborted
    assert not new_transport.aborted
    end(old)
    assert port.peers == {"b": new}


def test_an_end_is_reported_once_for_a_subscriber_and_leaves_nothing_behind(port):
    proxy, operator = port.connect()[0], port.connect()[0]
    proxy.dataReceived(frame(SUBSCRIBE) + frame(Goodbye()))
    end(proxy)
    end(operator)
    assert port.handler.received[2:] == [(proxy.number, "gone")]
    assert not port.connections
    assert not port.reactor.getDelayedCalls()


def test_no_more_are_let_in_than_there_is_room_for(port):
    port.connect()
    assert port.accept_limit() == MAX_CONNECTIONS - 1


# A link to another node -----------------------------------------------------------------------------


@pytest.fixture
def link():
    reactor, lines = Reactor(), Lines()
    made = PeerLink(reactor, PeerHello("a", "fleet"), "b", ("127.0.0.1", 7402), Random(1), lines)
    made.start()
    return made, reactor, lines


def pause_s(reactor):
    """How long from the last failure to the next try."""
    tries, begun = len(reactor.tries), reactor.seconds()
    while len(reactor.tries) == tries:
        reactor.advance(0.005)
    return reactor.seconds() - begun


def test_a_link_says_who_it_is_and_loses_what_is_sent_while_there_is_none(link):
    made, reactor, _ = link
    made.send(ANSWER)
    transport = reactor.tries[0].succeed()
    made.send(ANSWER)
    assert transport.messages() == [PeerHello("a", "fleet"), ANSWER]
    end(reactor.tries[0].protocol)
    made.send(ANSWER)
    assert transport.messages() == []


def test_a_link_comes_back_after_ever_longer_pauses_with_jitter(link):
    _, reactor, _ = link
    pauses = []
    for _ in range(12):
        reactor.tries[-1].fail()
        pauses.append(pause_s(reactor))
    for number, pause in enumerate(pauses):
        most = min(RETRY_MAX_S, RETRY_S * 2**number)
        assert most / 2 - 0.01 <= pause <= most + 0.01
    assert len({round(pause, 2) for pause in pauses[-6:]}) > 2
    reactor.tries[-1].succeed()
    end(reactor.tries[-1].protocol)
    assert pause_s(reactor) <= RETRY_S + 0.01  # it had been up: no long pause


def test_a_stopped_link_does_not_come_back(link):
    made, reactor, _ = link
    reactor.tries[0].fail()
    made.stop()
    reactor.advance(60)
    assert len(reactor.tries) == 1
    assert not reactor.getDelayedCalls()


def test_a_link_that_receives_a_message_is_ended(link):
    _, reactor, lines = link
    transport = reactor.tries[0].succeed()
    reactor.tries[0].protocol.dataReceived(frame(ANSWER))
    assert transport.aborted
    assert any("where nothing is due" in line for line in lines.lines)
