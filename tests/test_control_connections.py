"""Connections of the control log: the bound on queued bytes, the messages accepted, and reconnecting."""

import socket
from random import Random

import pytest
from control_net_rig import Reactor, RecordingLog, Transport, frame, lose_connection
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
from cloverwell.control.net.connection import TCP_USER_TIMEOUT_MS, FrameConnection
from cloverwell.control.net.wire import PeerHello, StatusRequest
from cloverwell.control.server.peers import FIRST_BACKOFF_S, MAX_BACKOFF_S, PeerLink
from cloverwell.control.server.port import MAX_CONNECTIONS, OPERATOR_TIMEOUT_S, ControlPort

ANSWER = AppendAnswer(1, "b", True, 1, 0.0, 0.0)
SUBSCRIBE = Subscribe("proxy-1", 1, 1, "fleet", START_POSITION, 0, 0.0)


def entries(number_of_bytes):
    """Returns a message with one entry, whose payload has so many bytes."""
    entry = Entry(1, 1, "configuration", bytes(number_of_bytes), "p")
    return AppendEntries(1, "b", 0, 0, (entry,), 0, 0.0)


class RecordingConnection(FrameConnection):
    """A connection that keeps the messages that it receives, and the reasons of its faults."""

    def __init__(self, **more):
        super().__init__(10_000, **more)
        self.messages, self.faults = [], []

    def message_received(self, message):
        self.messages.append(message)

    def report_fault(self, reason):
        self.faults.append(reason)


# One connection -------------------------------------------------------------------------------------


def test_a_connection_sets_no_delay_and_a_timeout_for_unacknowledged_bytes():
    transport = Transport(RecordingConnection())
    assert transport.no_delay
    assert transport.handle.options == {(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): TCP_USER_TIMEOUT_MS}


def test_queued_messages_are_sent_in_order_once_the_transport_has_room():
    connection = RecordingConnection()
    transport = Transport(connection)
    sent = [PeerHello(str(number), "fleet") for number in range(9)]
    connection.send(sent[0])
    connection.pauseProducing()
    for message in sent[1:]:
        assert connection.send(message)
    assert transport.messages() == sent[:1]
    assert connection.queued_bytes > 0
    connection.resumeProducing()
    assert transport.messages() == sent[1:]
    assert connection.queued_bytes == 0


def test_a_peer_that_reads_nothing_is_disconnected_when_the_queue_is_full():
    connection = RecordingConnection(max_queued_bytes=500)
    transport = Transport(connection)
    connection.pauseProducing()
    sent = 0
    while connection.send(PeerHello("x" * 40, "fleet")):
        sent += 1
        assert connection.queued_bytes <= 500
    assert 5 < sent < 12
    assert transport.aborted
    assert len(connection.faults) == 1
    assert connection.queued_bytes == 0
    assert not connection.send(ANSWER)


def test_a_close_sends_the_queued_messages():
    connection = RecordingConnection()
    transport = Transport(connection)
    connection.pauseProducing()
    connection.send(ANSWER)
    connection.close()
    assert transport.messages() == [ANSWER]
    assert transport.closed
    assert not transport.aborted


def test_messages_received_after_a_close_are_dropped():
    connection = RecordingConnection()
    Transport(connection)
    connection.dataReceived(frame(ANSWER)[:9])
    connection.close()
    connection.dataReceived(frame(ANSWER)[9:] + frame(ANSWER))
    assert connection.messages == []
    assert connection.faults == []


@pytest.mark.parametrize(
    "malformed", [b"\0\0\0\0", b"GET / HTTP/1.1\r\n", b"\0\0\0\3\1\2\3", b"\0\0\0\1\x09"]
)
def test_malformed_input_ends_the_connection_after_the_messages_before_it(malformed):
    connection = RecordingConnection()
    transport = Transport(connection)
    connection.dataReceived(frame(ANSWER) + malformed + frame(ANSWER))
    assert connection.messages == [ANSWER]
    assert transport.aborted
    assert len(connection.faults) == 1
    connection.connectionLost()


# The port of a node ---------------------------------------------------------------------------------


class RecordingHandler:
    """A handler that keeps the messages of the port's connections."""

    def __init__(self):
        self.received = []

    def is_peer(self, hello):
        return hello == PeerHello("b", "fleet")

    def peer_message(self, peer, message):
        self.received.append((peer, message))

    def proxy_message(self, connection, message):
        self.received.append((connection, message))

    def proxy_disconnected(self, connection):
        self.received.append((connection, "disconnected"))

    def proposal(self, connection, message):
        self.received.append((connection, message))

    def status(self):
        return ANSWER  # The port sends any message that the handler returns.


@pytest.fixture
def port():
    control_port = ControlPort(Reactor(), RecordingHandler(), RecordingLog())

    def connect():
        connection = control_port.buildProtocol(IPv4Address("TCP", "127.0.0.1", 9))
        return connection, Transport(connection)

    control_port.connect = connect
    return control_port


def test_the_first_message_identifies_the_sender(port):
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
def test_a_message_that_the_sender_may_not_send_ends_the_connection(port, messages):
    connection, transport = port.connect()
    connection.dataReceived(b"".join(map(frame, messages)))
    assert transport.aborted
    assert len(port.log.lines) == 1
    assert all(message is not messages[-1] for _, message in port.handler.received)


def test_long_messages_are_accepted_only_from_control_nodes(port):
    unidentified, transport = port.connect()
    unidentified.dataReceived(frame(entries(3_000_000))[:8])
    assert transport.aborted
    peer, transport = port.connect()
    peer.dataReceived(frame(PeerHello("b", "fleet")))
    peer.dataReceived(frame(entries(3_000_000)))
    assert not transport.aborted
    assert len(port.handler.received) == 1


def test_only_a_connection_that_identifies_as_no_node_or_proxy_times_out(port):
    unidentified, peer, proxy = (port.connect() for _ in range(3))
    peer[0].dataReceived(frame(PeerHello("b", "fleet")))
    proxy[0].dataReceived(frame(SUBSCRIBE))
    port.reactor.advance(OPERATOR_TIMEOUT_S + 1)
    assert [transport.closed for _, transport in (unidentified, peer, proxy)] == [True, False, False]


def test_a_node_that_reconnects_replaces_its_earlier_connection(port):
    old, old_transport = port.connect()
    old.dataReceived(frame(PeerHello("b", "fleet")))
    new, new_transport = port.connect()
    new.dataReceived(frame(PeerHello("b", "fleet")))
    assert old_transport.aborted
    assert not new_transport.aborted
    lose_connection(old)
    assert port.peers == {"b": new}


def test_the_end_of_a_subscribers_connection_is_reported_once_and_its_state_is_removed(port):
    proxy, operator = port.connect()[0], port.connect()[0]
    proxy.dataReceived(frame(SUBSCRIBE) + frame(Goodbye()))
    lose_connection(proxy)
    lose_connection(operator)
    assert port.handler.received[2:] == [(proxy.number, "disconnected")]
    assert not port.connections
    assert not port.reactor.getDelayedCalls()


def test_an_open_connection_lowers_the_accept_limit(port):
    port.connect()
    assert port.accept_limit() == MAX_CONNECTIONS - 1


# A link to another node -----------------------------------------------------------------------------


@pytest.fixture
def link():
    reactor, log = Reactor(), RecordingLog()
    peer_link = PeerLink(reactor, PeerHello("a", "fleet"), "b", ("127.0.0.1", 7402), Random(1), log)
    peer_link.start()
    return peer_link, reactor, log


def time_to_next_attempt_s(reactor):
    """Advances the clock to the next connection attempt, and returns the time until then."""
    attempt_count, start_s = len(reactor.attempts), reactor.seconds()
    while len(reactor.attempts) == attempt_count:
        reactor.advance(0.005)
    return reactor.seconds() - start_s


def test_a_link_sends_its_hello_first_and_drops_messages_while_disconnected(link):
    peer_link, reactor, _ = link
    peer_link.send(ANSWER)
    transport = reactor.attempts[0].succeed()
    peer_link.send(ANSWER)
    assert transport.messages() == [PeerHello("a", "fleet"), ANSWER]
    lose_connection(reactor.attempts[0].protocol)
    peer_link.send(ANSWER)
    assert transport.messages() == []


def test_a_link_reconnects_with_exponential_backoff_and_jitter(link):
    _, reactor, _ = link
    backoffs_s = []
    for _ in range(12):
        reactor.attempts[-1].fail()
        backoffs_s.append(time_to_next_attempt_s(reactor))
    for failure_count, backoff_s in enumerate(backoffs_s):
        longest_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**failure_count)
        assert longest_s / 2 - 0.01 <= backoff_s <= longest_s + 0.01
    assert len({round(backoff_s, 2) for backoff_s in backoffs_s[-6:]}) > 2
    reactor.attempts[-1].succeed()
    lose_connection(reactor.attempts[-1].protocol)
    assert time_to_next_attempt_s(reactor) <= FIRST_BACKOFF_S + 0.01  # A success resets the backoff.


def test_a_stopped_link_does_not_reconnect(link):
    peer_link, reactor, _ = link
    reactor.attempts[0].fail()
    peer_link.stop()
    reactor.advance(60)
    assert len(reactor.attempts) == 1
    assert not reactor.getDelayedCalls()


def test_a_link_that_receives_a_message_is_ended(link):
    _, reactor, log = link
    transport = reactor.attempts[0].succeed()
    reactor.attempts[0].protocol.dataReceived(frame(ANSWER))
    assert transport.aborted
    assert any("b: sent a message where it may send none: AppendAnswer" in line for line in log.lines)
