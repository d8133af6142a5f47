"""What a client is sent while its outgoing buffer is full: nothing is lost, cut or put in the wrong place.

A buffer without room is no lost client. What waits for room is sent once there is some, whole and in order.
"""

import pytest
from held_client import LINE_END, HeldClient

from cloverwell.streamed_value import STREAMING_THRESHOLD_BYTES

LONG = b"l" * (STREAMING_THRESHOLD_BYTES + 100_000)


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
    buffer = held.connection._outgoing
    bound, buffer.bound = buffer.bound, len(buffer) + 1 + room_bytes  # room for the last byte
    answer.give()
    buffer.bound = bound
    assert held.read_all() == held.expected
    assert held.is_open
