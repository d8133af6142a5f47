"""Ends that meet a long value which waits for room behind short answers, or has only begun.

Each has one final answer or the close by which its client can tell that it is not whole, and frees its node.
"""

import pytest
from held_client import LINE_END, HeldClient
from scenario import Player

from cloverwell.streamed_value import STREAMING_THRESHOLD_BYTES

SHORT = b"s" * 60_000
LONG = b"l" * (STREAMING_THRESHOLD_BYTES + 200_000)


def client_with_waiting_value(short_count=3):
    """Returns a client that reads nothing, and a long value whose node waits behind short answers."""
    held = HeldClient(Player(operator=True))
    for _ in range(short_count):
        held.ask_and_answer(SHORT)
    value = held.ask_and_answer(LONG)
    assert not value.may_give
    return held, value


def assert_freed(held, value):
    """Checks that nothing of the value is held any more."""
    assert value.transport.ended
    assert not held.player.service.client_connections.stream_count
    assert not held.connection.held_bytes


@pytest.mark.parametrize("how", ["close", "close orderly"])
def test_a_value_that_breaks_off_while_it_waits_for_room_is_replaced_by_an_error(how):
    held, value = client_with_waiting_value()
    next_answer = held.ask_and_answer(b"next")
    index = [protocol for protocol, _ in held.player.connections["s1"]].index(value.protocol)
    held.player.play(f"s1#{index + 1} {how}")
    head = f"VA {len(LONG)} {value.name}\r\n".encode()
    held.expected = held.expected.replace(head + LONG + LINE_END, b"SERVER_ERROR failed\r\n")
    assert held.read_all() == held.expected
    assert held.is_open
    assert not next_answer.rest


def test_a_value_that_breaks_off_behind_its_first_piece_ends_its_connection_as_incomplete():
    held, _ = client_with_waiting_value()
    while not held.connection._responses._stream:
        held.client.read(10_000)
    held.player.connections["s1"][-1][0].connectionLost()
    received = held.read_all()
    assert held.connection.ended
    assert held.expected.startswith(received)
    assert len(received) < len(held.expected)


@pytest.mark.parametrize("has_begun", [False, True], ids=["waiting", "begun"])
@pytest.mark.parametrize("how", ["close", "close orderly"])
def test_a_client_that_leaves_while_its_value_waits_frees_the_node(how, has_begun):
    held, value = client_with_waiting_value()
    while has_begun and not held.connection._responses._stream:
        held.client.read(10_000)
    held.player.play(f"client {how}\nwait 1")
    assert_freed(held, value)


@pytest.mark.parametrize("has_begun", [False, True], ids=["waiting", "begun"])
@pytest.mark.parametrize("end", ["operator send PUT /drain", "proxy close"], ids=["drain", "shutdown"])
def test_a_value_that_waits_for_room_is_sent_whole_in_a_drain_and_a_shutdown(end, has_begun):
    held, _ = client_with_waiting_value()
    while has_begun and not held.connection._responses._stream:
        held.client.read(10_000)
    held.player.play(f"{end}\nwait 500")
    assert held.read_all() == held.expected
    held.player.play("wait 600")
    assert held.connection.ended


@pytest.mark.parametrize("has_begun", [False, True], ids=["waiting", "begun"])
def test_a_value_that_waits_for_room_is_not_cut_as_a_short_answer_in_a_drain(has_begun):
    # The fault: a long value that waited for room counted as a short answer, and was cut 3.7 s into a drain.
    held, _ = client_with_waiting_value()
    while has_begun and not held.connection._responses._stream:
        held.client.read(10_000)
    held.player.play("operator send PUT /drain")
    for _ in range(8):
        held.player.play("wait 500")
        held.client.read(1000)
    assert held.read_all() == held.expected


def test_a_client_that_takes_nothing_frees_the_node_of_a_value_that_waits_for_room():
    held, value = client_with_waiting_value()
    held.player.play("wait 9000")
    assert held.is_open
    held.player.play("wait 2000")
    assert_freed(held, value)


def test_a_value_that_waits_for_room_has_not_stalled_at_its_node():
    held, _ = client_with_waiting_value()
    for _ in range(20):
        held.player.play("wait 900")
        held.client.read(5000)
    assert not held.connection._responses._stream
    assert held.read_all() == held.expected
