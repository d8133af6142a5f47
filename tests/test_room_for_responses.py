"""What a client is sent while its outgoing buffer is full: nothing is lost, cut or put in the wrong place.

A buffer without room is no lost client. What waits for room is sent once there is some, whole and in order.
"""

import contextlib
from functools import partial

import pytest
from held_client import LINE_END, HeldClient

from cloverwell.codec.lines import MAX_LINE_BYTES, MAX_VALUE_BYTES
from cloverwell.front.client_connections import ClientConnections
from cloverwell.memory_budget import MemoryUse
from cloverwell.streamed_value import READ_AHEAD_BOUNDS_BYTES, STREAMING_THRESHOLD_BYTES

BUFFER_BYTES = MAX_VALUE_BYTES + 2 * MAX_LINE_BYTES  # what is buffered for a client at the most
SHORT = b"s" * 60_000
LONG = b"l" * (STREAMING_THRESHOLD_BYTES + 200_000)


def fill_buffer(held, room_bytes=0):
    """Has the client read short answers that fill its outgoing buffer but for `room_bytes`."""
    while (left := BUFFER_BYTES - held.connection.unsent_bytes - room_bytes) > len(SHORT) + 100:
        held.ask_and_answer(SHORT)
    held.ask_and_answer(b"f" * (left - len(f"VA {left} O{len(held.answers) + 1}\r\n\r\n")))
    assert held.connection.unsent_bytes == BUFFER_BYTES - room_bytes


@contextlib.contextmanager
def room_for(held, byte_count):
    """Leaves so much room in the outgoing buffer for a while."""
    buffer = held.connection._outgoing
    bound, buffer.bound = buffer.bound, len(buffer) + byte_count
    yield
    buffer.bound = bound


@pytest.mark.parametrize("from_origin", [False, True], ids=["cache", "origin"])
@pytest.mark.parametrize("room_bytes", [0, 14, 15, 1000, 32 * 1024, 64 * 1024 - 1, 64 * 1024, 70_000])
def test_a_long_value_behind_a_full_buffer_does_not_reset_its_client(room_bytes, from_origin):
    # The fault: a piece of a long value that found no room counted as a lost client, whose connection was
    # reset with all of its open requests.
    held = HeldClient()
    fill_buffer(held, room_bytes)
    long_value = held.ask_and_answer(LONG, from_origin)
    held.ask_and_answer(SHORT)
    held.ask_and_answer(LONG)
    assert held.is_open, held.player.log.getvalue()
    assert long_value.rest  # Flow control holds the node back.
    assert held.read_all() == held.expected
    assert held.is_open


@pytest.mark.parametrize("from_origin", [False, True], ids=["cache", "origin"])
@pytest.mark.parametrize("room_bytes", [0, 1])
def test_a_piece_without_room_is_kept_and_charged_until_there_is_some(room_bytes, from_origin):
    # The fault: the same in the middle of a value, down to its last byte.
    held = HeldClient()
    value = held.ask(LONG, from_origin)
    value.give(1000)
    memory = held.player.service.client_connections.memory
    held_bytes = memory.held_by_use[MemoryUse.RESPONSES]
    with room_for(held, room_bytes):
        while value.may_give:
            value.give()
    assert held.is_open, held.player.log.getvalue()
    assert (
        memory.held_by_use[MemoryUse.RESPONSES] - held_bytes >= held.connection._responses.held_bytes > 1000
    )
    assert held.read_all() == held.expected
    assert not held.connection._responses.held_bytes


def test_the_last_byte_of_a_long_value_waits_for_room():
    # The fault: a last byte that found no room reset the connection, although its client had all but that.
    held = HeldClient()
    held.client.read(len(LONG) - 1000)
    value = held.ask(LONG)
    while len(value.rest) > len(LINE_END):
        value.give(len(value.rest) - len(LINE_END))
    held.ask_and_answer(b"next")
    with room_for(held, 0):
        value.give()
    assert held.read_all() == held.expected


@pytest.mark.parametrize("is_read_first", [True, False], ids=["before", "after"])
def test_room_that_comes_between_the_check_and_the_pause_is_not_missed(is_read_first):
    held = HeldClient()
    value = held.ask(LONG)
    pause = value.transport.pauseProducing

    def pause_and_read():
        for step in (partial(held.client.read, len(LONG)), pause)[:: 1 if is_read_first else -1]:
            step()

    value.transport.pauseProducing = pause_and_read
    while value.may_give:
        value.give()
    assert held.read_all() == held.expected


@pytest.mark.parametrize("room_bytes", [0, 1])
@pytest.mark.parametrize("from_origin", [False, True], ids=["cache", "origin"])
def test_the_line_end_behind_a_long_value_waits_for_room(room_bytes, from_origin):
    # The fault: a line end that found no room was dropped, so that the next answer stood in its place.
    held = HeldClient()
    held.client.read(len(LONG) - 1000)
    answer = held.ask(LONG, from_origin)
    end_bytes = 1 if from_origin else len(LINE_END)  # what completes the value
    while len(answer.rest) > end_bytes:
        answer.give(len(answer.rest) - end_bytes)
    held.ask_and_answer(b"next")
    with room_for(held, 1 + room_bytes):  # There is room for the last byte.
        answer.give()
    assert held.read_all() == held.expected
    assert held.is_open


@pytest.mark.parametrize("from_origin", [False, True], ids=["cache", "origin"])
def test_a_connection_paused_at_the_end_of_a_value_is_read_again(from_origin):
    # The fault: a node's connection that was paused at the last piece or byte of a long value was never read
    # again, and took further attempts whose answers never came.
    held = HeldClient()
    held.client.read(len(LONG) - 60_000)
    value = held.ask(LONG, from_origin)
    while len(value.rest) > len(LINE_END):
        value.give(len(value.rest) - len(LINE_END))
    least_bytes = READ_AHEAD_BOUNDS_BYTES[0]
    assert held.connection.unsent_bytes > least_bytes
    with (
        pytest.MonkeyPatch.context() as patch
    ):  # There are many streams, which leave each the least read-ahead.
        patch.setattr(ClientConnections, "stream_buffer_bytes", lambda _: least_bytes)
        value.give()
    assert value.transport.producerState == "producing"
    held.ask_and_answer(b"next", from_origin)
    assert held.read_all() == held.expected
