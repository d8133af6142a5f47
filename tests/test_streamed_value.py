"""Long values, which are passed on to the client while they arrive from a node.

They must be the same however the data is cut, and must never look complete if they are malformed or broken
off. Slow clients bound what is buffered.
"""

import pytest
from held_client import HeldTransport
from hypothesis import given
from hypothesis import strategies as st
from scenario import Player

from cloverwell.back.node_connection import STREAM_READ_BYTES
from cloverwell.back.send_result import SendResult
from cloverwell.facade import AttemptOutcome, SendAttempt
from cloverwell.front.client_connection import STREAM_PIECE_BYTES
from cloverwell.request import Attempt, Request
from cloverwell.streamed_value import (
    MAX_STREAMED_VALUE_BYTES,
    READ_AHEAD_BOUNDS_BYTES,
    STREAMING_THRESHOLD_BYTES,
    StreamedValue,
    read_ahead_bytes,
)

SIZE = STREAMING_THRESHOLD_BYTES + 1000
VALUE = bytes(range(256)) * (SIZE // 256) + b"x" * (SIZE % 256)
HEAD = f"VA {SIZE} O1\r\n".encode()


def send_read(player, name="O1", client="client", node="s1"):
    """Plays a read that reaches the node, and returns the ends of the client and the node."""
    player.play(f"{client} send mg k{name} v {name} Pc=page,t=acme,d=1900\n{node} expect mg k{name} *")
    return both_ends(player, client, node)


def both_ends(player, client="client", node="s1"):
    """Returns the client's transport, and the protocol and transport of the node's connection."""
    indexes = [(party.partition("#")[0], int(party.partition("#")[2] or 1) - 1) for party in (client, node)]
    return player.connection(*indexes[0])[1], player.connection(*indexes[1])


def test_a_value_is_passed_on_as_it_arrives_except_for_its_last_byte():
    player = Player()
    client, (node, _) = send_read(player)
    node.dataReceived(HEAD + VALUE[:100])
    assert client.value() == HEAD + VALUE[:100]
    node.dataReceived(VALUE[100:])
    assert client.value() == HEAD + VALUE[:-1]
    player.play("wait 2500")  # The deadline of the request has passed; the value goes on all the same.
    node.dataReceived(b"\r\n")
    assert client.value() == HEAD + VALUE + b"\r\n"
    client.clear()
    send_read(player, "O2")  # The connections of both sides can be used again.
    node.dataReceived(b"VA 1 O2\r\na\r\n")
    assert client.value() == b"VA 1 O2\r\na\r\n"


@pytest.mark.parametrize(
    "place", [*range(1, len(HEAD) + 3), SIZE // 2, *range(SIZE - 2, SIZE + len(HEAD) + 2)]
)
def test_a_value_is_the_same_wherever_its_data_is_cut(place):
    player = Player()
    client, (node, _) = send_read(player)
    data = HEAD + VALUE + b"\r\n"
    node.dataReceived(data[:place])
    node.dataReceived(data[place:])
    assert client.value() == data


def test_a_value_from_the_origin_is_the_same_in_small_pieces():
    player = Player()
    client, _ = send_read(player)
    player.play("s1 send EN O1\norigin expect GET /kO1 *")
    origin = player.connection("origin", 0)[0]
    data = f"HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n".encode() + VALUE
    for place in range(0, len(data), 777):
        origin.dataReceived(data[place : place + 777])
    assert client.value() == HEAD + VALUE + b"\r\n"
    client.clear()
    player.play("client send ms k 1 O2 Pc=order,t=acme,d=900|a\nwait 20\norigin expect PUT *")
    player.play("origin send 200 r\nclient expect HD O2 cr")


@pytest.mark.parametrize("ending", ["malformed", "broken"])
def test_a_malformed_or_broken_value_never_looks_complete(ending):
    player = Player()
    client, (node, transport) = send_read(player)
    node.dataReceived(HEAD + VALUE)
    if ending == "malformed":
        node.dataReceived(b"??")
        assert transport.aborted
    else:
        player.play("s1 close")
    assert client.ended
    assert client.value() == HEAD + VALUE[:-1]


def test_a_value_waits_for_earlier_answers_and_if_it_breaks_then_an_error_line_is_sent():
    player = Player()
    client, _ = send_read(player, "O1")
    _, (second, transport) = send_read(player, "O2", node="s1#2")
    second.dataReceived(f"VA {SIZE} O2\r\n".encode() + VALUE[:100])
    assert client.value() == b""
    assert transport.producerState == "paused"
    player.play("s1 send VA 1 O1|a")
    assert transport.producerState == "producing"
    assert client.value().endswith(VALUE[:100])
    client.clear()
    second.dataReceived(VALUE[100:] + b"\r\n")
    client.clear()
    send_read(player, "O3", node="s1#2")
    _, (fourth, _) = send_read(player, "O4")
    fourth.dataReceived(f"VA {SIZE} O4\r\n".encode() + VALUE[:100])
    player.play("s1 close\ns1#2 send VA 1 O3|a")
    assert client.value() == b"VA 1 O3\r\na\r\nSERVER_ERROR failed\r\n"
    assert not client.ended


def test_a_value_is_dropped_when_its_client_disconnects():
    player = Player()
    _, (node, transport) = send_read(player)
    node.dataReceived(HEAD + VALUE[:100])
    player.play("client close")
    assert transport.aborted
    assert not player.service.client_connections.stream_count


def test_a_value_above_the_limit_is_refused_and_the_read_is_retried():
    player = Player()
    client, (node, transport) = send_read(player)
    node.dataReceived(f"VA {MAX_STREAMED_VALUE_BYTES + 1} O1\r\n".encode() + VALUE)
    assert transport.aborted
    assert client.value() == b""
    player.play("wait 25")  # The close must reach the node before the next attempt is sent.
    player.play("s1#2 expect mg kO1 *")


def test_what_is_buffered_for_slow_clients_is_bounded_and_nothing_is_lost():
    player = Player()
    pairs, number = [], 12
    for place in range(1, number + 1):
        _, (node, transport) = send_read(player, f"O{place}", f"client#{place}", f"s1#{place}")
        pairs.append((node, transport, HeldTransport(player.connection("client", place - 1)[1])))
    value = b"v" * MAX_STREAMED_VALUE_BYTES
    for place, (node, transport, _) in enumerate(pairs, 1):
        data = f"VA {MAX_STREAMED_VALUE_BYTES} O{place}\r\n".encode() + value + b"\r\n"
        node.rest = memoryview(data)
        while transport.producerState == "producing":
            node.dataReceived(bytes(node.rest[:STREAM_READ_BYTES]))
            node.rest = node.rest[STREAM_READ_BYTES:]
    side = player.service.client_connections
    assert side.stream_count == number
    buffered_bytes = sum(
        len(slow_client.unsent) + len(slow_client.transport.protocol._outgoing) + len(node._incoming)
        for node, _, slow_client in pairs
    )
    assert buffered_bytes <= number * (
        STREAM_PIECE_BYTES + READ_AHEAD_BOUNDS_BYTES[1] + 2 * STREAM_READ_BYTES
    )
    player.play("wait 5000")
    for place, (node, transport, slow_client) in enumerate(pairs, 1):
        while node.rest:
            slow_client.read(50_000)
            if transport.producerState == "producing":
                node.dataReceived(bytes(node.rest[:STREAM_READ_BYTES]))
                node.rest = node.rest[STREAM_READ_BYTES:]
        slow_client.read(MAX_STREAMED_VALUE_BYTES)
        assert (
            bytes(slow_client.received)
            == f"VA {MAX_STREAMED_VALUE_BYTES} O{place}\r\n".encode() + value + b"\r\n"
        )
    assert not side.stream_count


def test_a_value_that_stalls_for_long_is_given_up_on_both_sides():
    player = Player()
    client, (node, transport) = send_read(player)
    node.dataReceived(HEAD + VALUE[:100])
    player.play("wait 9900")
    assert not client.ended
    player.play("wait 200")
    assert client.ended
    assert transport.aborted


def test_a_shutdown_waits_for_a_value_that_still_arrives():
    player = Player()
    client, (node, _) = send_read(player)
    node.dataReceived(HEAD + VALUE[:100])
    player.play("proxy close\nwait 2000")
    assert not player.reactor.hasStopped
    node.dataReceived(VALUE[100:] + b"\r\n")
    assert client.value() == HEAD + VALUE + b"\r\n"
    player.play("wait 600\nproxy expect end")


@pytest.mark.parametrize("copies", [False, True])
def test_an_attempt_behind_a_long_value_ends_its_connection_if_copies_are_forbidden(copies):
    player = Player()
    _, (node, transport) = send_read(player)
    player.service.pools.single_attempt_in_flight = not copies
    behind = Request("O2", 0, 0, "k2", False, 500.0, b"", "c=page", lambda *_: None)
    ends = []
    choice = SendAttempt("O2", "s1", 0, 400.0)
    attempt = Attempt(choice, behind, 1e9, lambda attempt, outcome, _: ends.append(outcome), node._pool, 1e9)
    assert node.send(attempt) is SendResult.WRITTEN
    node.dataReceived(HEAD + VALUE[:100])
    assert node.give_up(attempt, AttemptOutcome.TIMED_OUT)
    assert ends == [AttemptOutcome.TIMED_OUT]
    # The value goes on, or it is broken off, so that the attempt is no longer in flight.
    assert transport.aborted is not copies
    assert (behind.earliest_next_attempt_ms > 0.0) is not copies


@given(st.binary(min_size=1, max_size=60), st.lists(st.integers(1, 20), max_size=8), st.sampled_from("wbd"))
def test_the_sink_gets_each_byte_once_and_the_end_once(value, cuts, ending):
    got, ended, stopped = [], [], []
    value_stream = StreamedValue(len(value), lambda: None, lambda: None, lambda: stopped.append(1))
    value_stream.open(got.append, ended.append)
    rest = value
    for cut in cuts:
        piece, rest = rest[:cut], rest[cut:]
        if piece:
            value_stream.receive(piece)
    if ending == "w" and rest:
        value_stream.receive(rest)
        rest = b""
    {"w": value_stream.complete, "b": value_stream.abort, "d": value_stream.cancel}[ending]()
    value_stream.cancel()
    arrived = value[: len(value) - len(rest)]
    assert b"".join(got) == (value if ending == "w" else arrived if rest else arrived[:-1])
    assert ended == {"w": [True], "b": [False], "d": []}[ending]
    assert len(stopped) == (ending == "d")


@given(st.integers(0, 10**9), st.integers(0, 10**4))
def test_all_streams_together_stay_within_the_memory_if_it_is_enough(room, streams):
    each = read_ahead_bytes(room, streams)
    assert READ_AHEAD_BOUNDS_BYTES[0] <= each <= READ_AHEAD_BOUNDS_BYTES[1]
    assert each == READ_AHEAD_BOUNDS_BYTES[0] or each * streams <= room
