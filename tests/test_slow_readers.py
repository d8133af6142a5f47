"""Clients that read their responses slowly, on real sockets with small buffers.

A client that still takes bytes is neither idle nor gone, however slowly it reads and whoever holds the rest:
the node, the proxy or the proxy's kernel. One that takes none ends by its instant. The test moves the clock.
"""

import pytest
from slow_reader import LARGE_BUFFER, SHORT_VALUE, SMALL_BUFFER, VALUE, Reader

from cloverwell.back.pool import STREAM_STALL_MS
from cloverwell.connections.client_policy import (
    IDLE_TIMEOUT_MS,
    NOT_READING_TIMEOUT_MS,
    NOT_READING_UNDER_PRESSURE_MS,
    RESPONSE_DELIVERY_MS,
)

SLACK_MS = 300.0  # between two observations, two checks of the policy and two steps of the test
HOLDERS = {"process": SMALL_BUFFER, "kernel": LARGE_BUFFER}  # who holds the rest: the proxy's sending buffer


@pytest.mark.parametrize("from_origin", [False, True], ids=["cache", "origin"])
@pytest.mark.parametrize("holder", HOLDERS)
def test_a_client_that_still_takes_a_long_value_is_not_idle(rig, holder, from_origin):
    # The fault: a client counted as idle from the moment when the node had given the whole value, and was
    # disconnected 10 s later in the middle of it.
    reader = Reader(rig(), HOLDERS[holder])
    reader.ask(1, VALUE, from_origin)
    reader.read_for(IDLE_TIMEOUT_MS + 1000.0)
    assert not reader.to_send  # The node has given all of it.
    assert (reader.ended, len(reader.received) < len(VALUE)) == ("", True)
    reader.ask(2, b"next")  # a next command while the value is on its way
    reader.read_for(1000.0)
    reader.read_to_the_end()
    assert reader.received == reader.expected


@pytest.mark.parametrize("holder", HOLDERS)
def test_short_answers_that_pile_up_are_taken_at_the_rate_of_their_client(rig, holder):
    # The fault: the same for answers of at most 64 KiB, all of which the proxy buffers at once.
    reader = Reader(rig(), HOLDERS[holder])
    for number in (1, 2):
        reader.ask(number, SHORT_VALUE)
    reader.read_for(IDLE_TIMEOUT_MS + 1000.0, 10_000)
    assert (reader.ended, len(reader.received) < len(reader.expected)) == ("", True)
    reader.read_to_the_end()
    assert reader.received == reader.expected


@pytest.mark.parametrize("holder", HOLDERS)
def test_a_client_that_takes_nothing_more_ends_10_s_after_its_last_bytes(rig, holder):
    reader = Reader(rig(), HOLDERS[holder])
    reader.ask(1, VALUE)
    reader.read_for(2000.0)
    reader.read_for(NOT_READING_TIMEOUT_MS - SLACK_MS, 0)
    assert reader.is_connected
    reader.read_for(2.0 * SLACK_MS, 0)
    assert not reader.is_connected
    assert ": not_reading, " in reader.proxy.log.getvalue()


def test_a_client_that_reads_less_than_the_kernel_takes_at_once_is_not_gone(rig):
    # The fault: a client seemed to read nothing if the proxy's kernel buffer was filled again as fast as it
    # read, since only the number of bytes in that buffer was compared.
    reader = Reader(rig())
    for number in range(30):
        reader.ask(number, SHORT_VALUE)
    assert reader.connection.closing_state().responses_pending
    reader.read_for(1.5 * NOT_READING_TIMEOUT_MS, 1000)
    assert reader.is_connected


@pytest.mark.parametrize("holder", HOLDERS)
def test_a_client_reads_its_responses_to_their_end_behind_the_close_of_the_proxy(rig, holder):
    # The fault: 10 s after the proxy had closed its side, it dropped what the client had not taken, however
    # steadily it read.
    reader = Reader(rig(), HOLDERS[holder])
    reader.ask(1, VALUE)
    reader.conn.sendall(b"ms k x\r\n")  # The proxy answers this with an error and closes its side.
    reader.read_for(NOT_READING_TIMEOUT_MS + 1000.0)
    assert reader.connection.ended
    assert reader.is_connected
    reader.expected += b"CLIENT_ERROR"
    reader.read_to_the_end()
    assert reader.received.startswith(reader.expected)


def test_a_client_that_takes_nothing_behind_the_close_of_the_proxy_ends_10_s_after_it(rig):
    reader = Reader(rig())
    reader.ask(1, VALUE)
    reader.conn.sendall(b"ms k x\r\n")
    reader.read_for(NOT_READING_TIMEOUT_MS - SLACK_MS, 0)
    assert reader.is_connected
    reader.read_for(2.0 * SLACK_MS, 0)
    assert not reader.is_connected


def test_a_client_that_still_takes_its_value_is_not_closed_to_make_room(rig):
    # The fault: a client counted as idle once the kernel had its whole value. If a descriptor was needed, its
    # connection was closed, and its next command was lost, as was the rest of the value behind a reset.
    reader = Reader(rig(sockets=64), LARGE_BUFFER)
    reader.ask(1, VALUE)
    reader.proxy.advance_clock(RESPONSE_DELIVERY_MS + 10.0)
    others = [reader.proxy.client() for _ in range(30)]
    for _ in range(30):
        reader.proxy.service.client_connections._make_room(reader.proxy.now(), wanted=1, available=0)
        reader.read_for(100.0)
    assert len(others) > len(reader.proxy.service.client_connections.connections)
    reader.ask(2, b"next")
    reader.read_to_the_end()
    assert reader.received == reader.expected


def test_a_client_that_takes_nothing_is_closed_to_make_room(rig):
    reader = Reader(rig(), LARGE_BUFFER)
    reader.ask(1, VALUE)
    make_room = reader.proxy.service.client_connections._make_room
    reader.read_for(NOT_READING_UNDER_PRESSURE_MS - SLACK_MS, 0)
    make_room(reader.proxy.now(), wanted=1, available=0)
    assert reader.is_connected
    reader.read_for(2.0 * SLACK_MS, 0)
    make_room(reader.proxy.now(), wanted=1, available=0)
    assert not reader.is_connected
    reader.read_to_the_end()  # The kernel still delivers what it has taken.
    assert reader.received == reader.expected


def test_a_value_that_waits_for_its_client_has_not_stalled_at_its_node(rig):
    # The fault: a node whose value was held back for over 10 s, since its client read slowly, was taken for
    # one that gives no more, and the value was broken off.
    reader = Reader(rig())
    reader.ask(1, VALUE * 4)
    reader.read_for(1.5 * STREAM_STALL_MS, 1000)
    assert reader.connection.closing_state().streaming
    assert reader.is_connected
    reader.read_to_the_end()
    assert reader.received == reader.expected


def test_a_value_that_its_node_does_not_go_on_giving_ends_10_s_after_its_last_bytes(rig):
    reader = Reader(rig())
    reader.ask(1, VALUE, given_bytes=len(VALUE) - 1000)
    reader.read_for(STREAM_STALL_MS - SLACK_MS, 1 << 20)
    assert reader.is_connected
    reader.read_for(2.0 * SLACK_MS, 1 << 20)
    assert reader.ended == "closed"
    assert len(reader.received) < len(VALUE)
