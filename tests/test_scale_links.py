"""Links between regions: which way a fault is about, and what a relay does to bytes and closes."""

from random import Random
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from lab.scale.faults import link_state
from lab.scale.messages import DirectionState, RelayLink
from lab.scale.relay import RETRANSMISSION_S, LinkDirection, Pipe, RelayPort
from lab.scale.scenario import ScheduledFault


def fault(kind, way="both", between=("east", "west"), **more):
    return ScheduledFault(kind, 0.0, 1.0, between=between, way=way, **more)


def test_a_cut_way_is_cut_as_its_regions_are_named():
    cut = DirectionState(cut=True)
    there = link_state("west", "east", [fault("cut", "there")])
    # `there` leads from east, where discovery is, to the proxies.
    assert (there.there, there.back) == (DirectionState(), cut)
    named_otherwise = link_state("west", "east", [fault("cut", "there", ("west", "east"))])
    assert (named_otherwise.there, named_otherwise.back) == (cut, DirectionState())
    both = link_state("west", "east", [fault("cut")])
    assert (both.there, both.back) == (cut, cut)
    assert link_state("north", "east", [fault("cut")]).there == DirectionState()


def test_faults_of_one_link_add_up():
    faults = [fault("delay", extra_ms=5.0), fault("delay", extra_ms=7.0), fault("loss", share=0.5)]
    state = link_state("west", "east", [*faults, fault("loss", share=0.5)])
    assert state.there == state.back == DirectionState(False, 12.0, 0.75)


class Transport:
    """Keeps what is written, and when."""

    def __init__(self, clock):
        self.clock = clock
        self.written = []
        self.paused = False

    def write(self, data):
        self.written.append((round(self.clock.seconds(), 3), data))

    def loseConnection(self):
        self.written.append((round(self.clock.seconds(), 3), None))

    def pauseProducing(self):
        self.paused = True

    def resumeProducing(self):
        self.paused = False


def a_pipe(delay_s=0.04):
    clock = Clock()
    source, sink = (SimpleNamespace(transport=Transport(clock), is_connected=True) for _ in range(2))
    direction = LinkDirection(delay_s, Random(1))
    return clock, direction, Pipe(clock, clock.seconds, direction, source, sink), source, sink


def test_a_link_delays_each_piece_and_the_close_in_order():
    clock, _, pipe, _, sink = a_pipe()
    pipe.put(b"one")
    clock.advance(0.01)
    pipe.put(b"two")
    pipe.put(None)
    clock.pump([0.01] * 10)
    assert sink.transport.written == [(0.04, b"one"), (0.05, b"two"), (0.05, None)]


def test_what_a_cut_way_held_back_comes_once_it_is_whole():
    clock, direction, pipe, _, sink = a_pipe()
    direction.state = DirectionState(cut=True)
    pipe.put(b"one")
    clock.pump([0.01] * 100)
    assert sink.transport.written == []
    direction.state = DirectionState()
    pipe.move()
    assert [data for _, data in sink.transport.written] == [b"one"]


def test_a_lost_piece_comes_a_retransmission_later_and_holds_back_what_follows():
    clock, direction, pipe, _, sink = a_pipe()
    direction.state = DirectionState(loss=1.0)
    pipe.put(b"one")
    direction.state = DirectionState()
    pipe.put(b"two")
    clock.pump([0.01] * 50)
    due_s = pytest.approx(0.04 + RETRANSMISSION_S, abs=0.011)
    assert sink.transport.written == [(due_s, b"one"), (due_s, b"two")]


def test_a_sender_waits_while_too_much_is_on_a_cut_way():
    _, direction, pipe, source, _ = a_pipe(0.0)
    direction.state = DirectionState(cut=True)
    pipe.put(b"x" * 2 * 1024 * 1024)
    assert source.transport.paused
    direction.state = DirectionState()
    pipe.move()
    assert not source.transport.paused


class Connects:
    """A reactor whose connects come up when the test says so."""

    def __init__(self):
        self.clock = Clock()
        self.factories = []

    def listenTCP(self, *_, **__):
        pass

    def connectTCP(self, host, port, factory, timeout):
        self.factories.append(factory)

    def callLater(self, *words):
        return self.clock.callLater(*words)


class QuietTransport(Transport):
    def setTcpNoDelay(self, on):
        pass

    def abortConnection(self):
        self.written.append("aborted")


def a_relayed(reactor, port):
    near = port.buildProtocol(None)
    near.makeConnection(QuietTransport(reactor.clock))
    return near, reactor.factories[-1].buildProtocol(None)


def test_a_proxy_that_closes_while_its_way_is_cut_is_heard_of_afterwards():
    reactor = Connects()
    port = RelayPort(reactor, RelayLink("west", 1, ("127.0.0.1", 2), 0.0), 1)
    port.set_directions(DirectionState(cut=True), DirectionState())
    near, far = a_relayed(reactor, port)
    near.dataReceived(b"GET")
    near.connectionLost()
    a_relayed(reactor, port)  # a later one does not make the first forgotten
    far.makeConnection(QuietTransport(reactor.clock))
    assert far.transport.written == []
    port.set_directions(DirectionState(), DirectionState())
    assert [data for _, data in far.transport.written] == [b"GET", None]


def test_a_proxy_is_cut_off_where_discovery_refuses():
    reactor = Connects()
    port = RelayPort(reactor, RelayLink("west", 1, ("127.0.0.1", 2), 0.0), 1)
    near, _ = a_relayed(reactor, port)
    reactor.factories[-1].clientConnectionFailed(None, None)
    assert near.transport.written == ["aborted"]
