"""A value in tiny chunks holds no more memory than it is charged, and leaves others their turns."""

import math
import tracemalloc

import pytest
from http_receiver import Receiver
from rig import read
from test_malformed_origin_answers import CHUNKED, begin_fetch, origin_request

from cloverwell.memory_budget import MemoryBudget

READ_BYTES = 64 * 1024  # the most that is read from a connection at once
VALUE_BYTES = 128 * 1024
MOST_CHUNKS_PER_TURN = 1024
# Objects that a receiver has whatever it receives: its head, its decoder and what Python keeps for them.
FIXED_BYTES = 8 * 1024
CHARGED_SHARE = 1.15  # A growing buffer is reallocated in steps of an eighth.

CHUNK_SIZES = [1, 2, 64, 4096]


def chunked(size_bytes, chunk_bytes):
    """Returns so many bytes in chunks, without the last chunk."""
    return b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes) * (size_bytes // chunk_bytes)


def reads(data):
    return [data[start : start + READ_BYTES] for start in range(0, len(data), READ_BYTES)]


@pytest.mark.parametrize("chunk_bytes", CHUNK_SIZES)
def test_a_body_in_chunks_holds_what_it_is_charged(chunk_bytes):
    # Guards against a body that is kept as a list of its chunks, and charged by its data alone.
    memory = MemoryBudget(math.inf)
    receiver = Receiver(memory)
    data = reads(chunked(VALUE_BYTES, chunk_bytes))
    receiver.dataReceived(CHUNKED)
    charged_before = memory.held_bytes
    tracemalloc.start()
    try:
        for piece in data:
            receiver.dataReceived(piece)
            receiver.take_all_turns()
        held_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert memory.held_bytes - charged_before >= VALUE_BYTES
    assert held_bytes <= CHARGED_SHARE * (memory.held_bytes - charged_before) + FIXED_BYTES


@pytest.mark.parametrize("line_bytes", [10, 2000])
def test_a_head_of_many_lines_holds_what_it_is_charged(line_bytes):
    # Guards against a head whose lines are kept and not charged.
    memory = MemoryBudget(math.inf)
    receiver = Receiver(memory)
    lines = [b"a%02d: %s\r\n" % (number, b"x" * line_bytes) for number in range(60)]
    receiver.dataReceived(b"HTTP/1.1 200 OK\r\n")
    tracemalloc.start()
    try:
        for line in lines:
            receiver.dataReceived(line)
        held_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert held_bytes <= CHARGED_SHARE * memory.held_bytes + 2 * FIXED_BYTES


@pytest.mark.parametrize("chunk_bytes", CHUNK_SIZES)
def test_one_turn_reads_a_bounded_number_of_chunks(chunk_bytes):
    # Guards against a value in tiny chunks that keeps the event loop from other clients.
    receiver = Receiver()
    collected = []
    collect = receiver._collect
    receiver._collect = lambda data: (collected.append(len(data)), collect(data))
    receiver.dataReceived(CHUNKED)
    for piece in reads(chunked(VALUE_BYTES, chunk_bytes) + b"0\r\n\r\n"):
        receiver.dataReceived(piece)
        while True:
            assert sum(collected) <= MOST_CHUNKS_PER_TURN * chunk_bytes
            collected.clear()
            if not receiver.take_turn():
                break
    assert receiver.bodies == [b"x" * VALUE_BYTES]


def test_a_connection_is_usable_behind_a_body_that_took_several_turns(rig):
    # Guards against an idle connection that still counts as one with half an answer, and is closed.
    place = rig()
    client, origin = begin_fetch(place)
    origin.sendall(CHUNKED + chunked(16 * 1024, 1) + b"0\r\n\r\n")
    place.receive_until(client, b"x\r\n")
    place.advance_clock(1000.0)
    assert "malformed answer" not in place.log.getvalue()
    client.sendall(read(2))
    node = place.nodes[0].accepted[0]
    place.receive_until(node, b"O2 ")
    node.sendall(b"EN O2\r\n")
    origin_request(place, origin, b"GET /k2 ")  # The connection is used again.
