"""Long values are passed on while they arrive: cut anywhere, stalled, malformed, broken, in line, many."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from scenario import Player

from cloverwell.back.node_connection import STREAM_READ_BYTES, SendResult
from cloverwell.facade import AttemptOutcome, SendAttempt
from cloverwell.front.client_connection import STREAM_PIECE_BYTES
from cloverwell.request import Attempt, Request
from cloverwell.streamed_value import AHEAD, LONG, LONGEST, StreamedValue, ahead

SIZE = LONG + 1000
VALUE = bytes(range(256)) * (SIZE // 256) + b"x" * (SIZE % 256)
HEAD = f"VA {SIZE} O1\r\n".encode()


class Slow:
    """Makes a client's transport take no more than it is told to."""

    def __init__(self, transport):
        self.transport, self.room, self.got = transport, 0, bytearray()
        transport.send, transport.write = self.send, self.write
        self.held = bytearray()

    def send(self, data):
        taken = bytes(data[: self.room])
        if not taken:
            raise BlockingIOError
        self.room -= len(taken)
        self.got += taken
        return len(taken)

    def write(self, data):
        self.held += data

    def read(self, number):
        """The client reads so many bytes."""
        while number and self.held:
            taken = self.held[:number]
            del self.held[: len(taken)]
            self.got += taken
            number -= len(taken)
            if not self.held:
                self.transport.protocol.resumeProducing()
        self.room += number


def asked(player, name="O1", client="client", node="s1"):
    player.play(f"{client} send mg k{name} v {name} Pc=page,t=acme,d=1900\n{node} expect mg k{name} *")
    return ends(player, client, node)


def ends(player, client="client", node="s1"):
    places = [(party.partition("#")[0], int(party.partition("#")[2] or 1) - 1) for party in (client, node)]
    return player.connection(*places[0])[1], player.connection(*places[1])


def test_it_is_passed_on_as_it_comes_but_for_its_last_byte():
    player = Player()
    client, (node, _) = asked(player)
    node.dataReceived(HEAD + VALUE[:100])
    assert client.value() == HEAD + VALUE[:100]
    node.dataReceived(VALUE[100:])
    assert client.value() == HEAD + VALUE[:-1]
    player.play("wait 2500")  # its time is over, and nothing of it is cut off or held back
    node.dataReceived(b"\r\n")
    assert client.value() == HEAD + VALUE + b"\r\n"
    client.clear()
    asked(player, "O2")  # the connections of both sides go on
    node.dataReceived(b"VA 1 O2\r\na\r\n")
    assert client.value() == b"VA 1 O2\r\na\r\n"


@pytest.mark.parametrize(
    "place", [*range(1, len(HEAD) + 3), SIZE // 2, *range(SIZE - 2, SIZE + len(HEAD) + 2)]
)
def test_cut_at_any_boundary_it_is_the_same(place):
    player = Player()
    client, (node, _) = asked(player)
    data = HEAD + VALUE + b"\r\n"
    node.dataReceived(data[:place])
    node.dataReceived(data[place:])
    assert client.value() == data


def test_in_small_pieces_from_the_origin_it_is_the_same():
    player = Player()
    client, _ = asked(player)
    player.play("s1 send EN O1\norigin expect GET /kO1 *")
    origin = player.connection("origin", 0)[0]
    data = f"HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n".encode() + VALUE
    for place in range(0, len(data), 777):
        origin.dataReceived(data[place : place + 777])
    assert client.value() == HEAD + VALUE + b"\r\n"
    client.clear()
    player.play("client send ms k 1 O2 Pc=order,t=acme,d=900|a\nwait 20\norigin expect PUT *")
    player.play("origin send 200 r\nclient expect HD O2 cr")


@pytest.mark.parametrize("how", ["spoilt", "broken"])
def test_one_that_does_not_end_as_it_must_never_looks_whole(how):
    player = Player()
    client, (node, transport) = asked(player)
    node.dataReceived(HEAD + VALUE)
    if how == "spoilt":
        node.dataReceived(b"??")
        assert transport.aborted
    else:
        player.play("s1 close")
    assert client.ended
    assert client.value() == HEAD + VALUE[:-1]


def test_before_its_turn_it_is_held_back_and_a_break_is_told_in_a_line():
    player = Player()
    client, _ = asked(player, "O1")
    _, (second, transport) = asked(player, "O2", node="s1#2")
    second.dataReceived(f"VA {SIZE} O2\r\n".encode() + VALUE[:100])
    assert client.value() == b""
    assert transport.producerState == "paused"
    player.play("s1 send VA 1 O1|a")
    assert transport.producerState == "producing"
    assert client.value().endswith(VALUE[:100])
    client.clear()
    second.dataReceived(VALUE[100:] + b"\r\n")
    client.clear()
    asked(player, "O3", node="s1#2")
    _, (fourth, _) = asked(player, "O4")
    fourth.dataReceived(f"VA {SIZE} O4\r\n".encode() + VALUE[:100])
    player.play("s1 close\ns1#2 send VA 1 O3|a")
    assert client.value() == b"VA 1 O3\r\na\r\nSERVER_ERROR failed\r\n"
    assert not client.ended


def test_a_client_that_leaves_ends_the_attempt_and_nothing_is_kept():
    player = Player()
    _, (node, transport) = asked(player)
    node.dataReceived(HEAD + VALUE[:100])
    player.play("client close")
    assert transport.aborted
    assert not player.service.client_connections.stream_count


def test_one_too_long_is_refused_and_the_read_goes_on_elsewhere():
    player = Player()
    client, (node, transport) = asked(player)
    node.dataReceived(f"VA {LONGEST + 1} O1\r\n".encode() + VALUE)
    assert transport.aborted
    assert client.value() == b""
    player.play("wait 25")  # the close must reach the node before the next attempt leaves
    player.play("s1#2 expect mg kO1 *")


def test_readers_that_stall_bound_what_is_held_and_lose_nothing():
    player = Player()
    pairs, number = [], 12
    for place in range(1, number + 1):
        _, (node, transport) = asked(player, f"O{place}", f"client#{place}", f"s1#{place}")
        pairs.append((node, transport, Slow(player.connection("client", place - 1)[1])))
    value = b"v" * LONGEST
    for place, (node, transport, _) in enumerate(pairs, 1):
        data = f"VA {LONGEST} O{place}\r\n".encode() + value + b"\r\n"
        node.rest = memoryview(data)
        while transport.producerState == "producing":
            node.dataReceived(bytes(node.rest[:STREAM_READ_BYTES]))
            node.rest = node.rest[STREAM_READ_BYTES:]
    side = player.service.client_connections
    assert side.stream_count == number
    held = sum(
        len(slow.held) + len(slow.transport.protocol._outgoing) + len(node._incoming)
        for node, _, slow in pairs
    )
    assert held <= number * (STREAM_PIECE_BYTES + AHEAD[1] + 2 * STREAM_READ_BYTES)
    player.play("wait 5000")
    for place, (node, transport, slow) in enumerate(pairs, 1):
        while node.rest:
            slow.read(50_000)
            if transport.producerState == "producing":
                node.dataReceived(bytes(node.rest[:STREAM_READ_BYTES]))
                node.rest = node.rest[STREAM_READ_BYTES:]
        slow.read(LONGEST)
        assert bytes(slow.got) == f"VA {LONGEST} O{place}\r\n".encode() + value + b"\r\n"
    assert not side.stream_count


def test_one_that_stands_still_for_long_is_given_up_on_both_sides():
    player = Player()
    client, (node, transport) = asked(player)
    node.dataReceived(HEAD + VALUE[:100])
    player.play("wait 9900")
    assert not client.ended
    player.play("wait 200")
    assert client.ended
    assert transport.aborted


def test_the_end_waits_for_a_value_that_still_comes():
    player = Player()
    client, (node, _) = asked(player)
    node.dataReceived(HEAD + VALUE[:100])
    player.play("proxy close\nwait 2000")
    assert not player.reactor.hasStopped
    node.dataReceived(VALUE[100:] + b"\r\n")
    assert client.value() == HEAD + VALUE + b"\r\n"
    player.play("wait 600\nproxy expect end")


@pytest.mark.parametrize("copies", [False, True])
def test_an_attempt_behind_a_long_value_is_not_left_out_where_copies_are_refused(copies):
    player = Player()
    _, (node, transport) = asked(player)
    player.service.pools.single_attempt_in_flight = not copies
    behind = Request("O2", 0, 0, "k2", False, 500.0, b"", "c=page", lambda *_: None)
    ends = []
    choice = SendAttempt("O2", "s1", 0, 400.0)
    attempt = Attempt(choice, behind, 1e9, lambda attempt, outcome, _: ends.append(outcome), node._pool, 1e9)
    assert node.send(attempt) is SendResult.OUT
    node.dataReceived(HEAD + VALUE[:100])
    assert node.give_up(attempt, AttemptOutcome.TIMED_OUT)
    assert ends == [AttemptOutcome.TIMED_OUT]
    # the value goes on, or breaks off so that the attempt is out no more
    assert transport.aborted is not copies
    assert (behind.next_attempt_from_ms > 0.0) is not copies


@given(st.binary(min_size=1, max_size=60), st.lists(st.integers(1, 20), max_size=8), st.sampled_from("wbd"))
def test_the_sink_gets_what_came_once_and_its_end_once(value, cuts, how):
    got, ended, stopped = [], [], []
    flow = StreamedValue(len(value), lambda: None, lambda: None, lambda: stopped.append(1))
    flow.open(got.append, ended.append)
    rest = value
    for cut in cuts:
        piece, rest = rest[:cut], rest[cut:]
        if piece:
            flow.piece(piece)
    if how == "w" and rest:
        flow.piece(rest)
        rest = b""
    {"w": flow.whole, "b": flow.broken, "d": flow.drop}[how]()
    flow.drop()
    came = value[: len(value) - len(rest)]
    assert b"".join(got) == (value if how == "w" else came if rest else came[:-1])
    assert ended == {"w": [True], "b": [False], "d": []}[how]
    assert len(stopped) == (how == "d")


@given(st.integers(0, 10**9), st.integers(0, 10**4))
def test_all_streams_together_stay_in_their_room_where_there_is_any(room, streams):
    each = ahead(room, streams)
    assert AHEAD[0] <= each <= AHEAD[1]
    assert each == AHEAD[0] or each * streams <= room
