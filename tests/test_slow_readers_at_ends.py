"""Clients that still take their responses when the process is drained or stops; see test_slow_readers.py."""

import pytest
from slow_reader import LARGE_BUFFER, SHORT_VALUE, VALUE, Reader

from cloverwell.connections.closing import RECENT_COMMAND_MS, STALLED_MS
from cloverwell.front.meta_answers import DRAINING
from cloverwell.serving import DRAIN_SCHEDULE, KILL_DELAY_MS, KILL_MARGIN_MS, SHUTDOWN_ACCEPT_MS

DRAIN_MS = 12_000.0  # longer than a drain waits for a long value, whoever reads it
LONGEST_DEADLINE_MS = 2000.0  # of the rig's settings


def test_a_drain_does_not_cut_off_a_client_that_still_takes_a_long_value(rig):
    # The failure: 10 s after a drain began, a long value was cut off however steadily its client read it.
    reader = Reader(rig())
    reader.ask(1, VALUE * 4)
    reader.proxy.service.drain()
    reader.read_for(DRAIN_MS)
    assert reader.is_connected
    reader.read_to_the_end()
    assert reader.received == reader.expected


def test_a_drain_does_not_cut_off_a_client_that_still_takes_short_answers(rig):
    # The failure: 3.7 s after a drain began, answers of at most 64 KiB that the process still buffered were
    # cut off however steadily their client read them.
    reader = Reader(rig())
    for number in (1, 2):
        reader.ask(number, SHORT_VALUE)
    reader.proxy.service.drain()
    reader.read_for(5000.0)
    assert reader.is_connected
    reader.read_to_the_end()
    assert reader.received == reader.expected


def test_a_shutdown_does_not_reset_a_client_that_still_takes_its_value(rig):
    # The failure: 1 s after SIGTERM both sides were closed although the kernel still held most of the value,
    # and the client's next command was answered with a reset, which lost the rest.
    reader = Reader(rig(), LARGE_BUFFER)
    reader.ask(1, VALUE)
    reader.read_for(1000.0, 20_000)
    reader.proxy.service.stop()
    reader.read_for(1200.0, 20_000)
    assert not reader.ended
    reader.conn.sendall(b"mn\r\n")  # Clients send on every connection that stays open.
    reader.expected += DRAINING
    reader.read_for(LONGEST_DEADLINE_MS + KILL_DELAY_MS - KILL_MARGIN_MS - 1200.0, 20_000)
    assert not reader.ended
    reader.read_to_the_end()
    assert reader.received == reader.expected


@pytest.mark.parametrize("end", ["drain", "stop"])
def test_what_a_client_sends_while_the_kernel_holds_its_answers_is_answered_at_an_end(rig, end):
    # The failure: the proxy closed its side between requests while the kernel held answers that the client
    # had not taken. The client saw that close only behind them, and what it had sent until then was lost.
    reader = Reader(rig(), LARGE_BUFFER)
    for number in (1, 2):
        reader.ask(number, SHORT_VALUE)
    getattr(reader.proxy.service, end)()
    for _ in range(2):
        reader.read_for(DRAIN_SCHEDULE.close_idle_ms + 200.0, 20_000)
        reader.conn.sendall(b"mn\r\n")
        reader.expected += DRAINING
    reader.read_to_the_end()
    assert reader.received == reader.expected
    reader.read_for(1000.0)
    assert reader.ended == "closed"


@pytest.mark.parametrize("end", ["drain", "stop"])
def test_a_client_that_keeps_pace_is_closed_between_requests_right_behind_its_answer(rig, end):
    reader = Reader(rig(), LARGE_BUFFER)
    reader.ask(1, SHORT_VALUE)
    reader.read_to_the_end()
    getattr(reader.proxy.service, end)()
    reader.read_for(DRAIN_SCHEDULE.close_idle_ms + 200.0)
    assert reader.ended == "closed"
    assert reader.received == reader.expected


def slow_reader_of_short_answers(proxy, end="drain"):
    """Returns a client that reads short answers more slowly than a drain or shutdown waits for them."""
    reader = Reader(proxy)
    for number in (1, 2):
        reader.ask(number, SHORT_VALUE)
    getattr(proxy.service, end)()
    return reader


def test_a_client_that_has_taken_its_answers_in_a_drain_is_closed_behind_them(rig):
    reader = slow_reader_of_short_answers(rig())
    reader.read_for(DRAIN_SCHEDULE.close_ms + 500.0)
    reader.conn.sendall(b"mn\r\n")  # It crosses the close, which the client sees only behind its answers.
    reader.read_to_the_end()
    reader.read_for(500.0)
    assert reader.ended == "closed"
    assert reader.received == reader.expected


def test_a_client_that_no_longer_takes_its_answers_in_a_drain_is_closed(rig):
    reader = slow_reader_of_short_answers(rig())
    reader.read_for(DRAIN_SCHEDULE.close_ms + 500.0)
    assert reader.is_connected
    reader.read_for(STALLED_MS + 500.0, 0)
    assert not reader.is_connected


def test_a_client_that_still_sends_commands_is_closed_in_a_drain_although_it_reads(rig):
    # The specification: 4 s after a drain no connection is open that had a request in the last 2 s.
    reader = slow_reader_of_short_answers(rig())
    reader.read_for(DRAIN_SCHEDULE.close_ms - RECENT_COMMAND_MS + 200.0)
    reader.conn.sendall(b"mn\r\n")
    reader.read_for(RECENT_COMMAND_MS)
    assert not reader.is_connected


def test_a_shutdown_closes_a_client_that_a_drain_has_kept_for_reading(rig):
    reader = slow_reader_of_short_answers(rig())
    reader.read_for(DRAIN_SCHEDULE.close_ms + 500.0)
    reader.proxy.service.stop()
    reader.read_for(1000.0)
    assert reader.is_connected
    reader.read_for(LONGEST_DEADLINE_MS + KILL_DELAY_MS - 1000.0)
    assert not reader.is_connected
    assert reader.proxy.reactor.stopped


def test_a_drained_process_that_stops_goes_on_with_a_long_value(rig):
    # The failure: as below; what was left of a value that was being read was lost.
    reader = Reader(rig())
    reader.ask(1, VALUE * 4)
    reader.proxy.service.drain()
    reader.read_for(DRAIN_SCHEDULE.close_ms + 500.0)
    reader.proxy.service.stop()
    reader.read_for(LONGEST_DEADLINE_MS)
    assert reader.is_connected
    reader.read_to_the_end()
    reader.read_for(KILL_DELAY_MS)
    assert reader.proxy.reactor.stopped
    assert reader.received == reader.expected


def test_a_drained_process_that_stops_still_accepts_connections_and_answers(rig):
    # The failure: SIGTERM over 3.7 s after a drain ended the process at once.
    proxy = rig()
    proxy.service.drain()
    proxy.advance_clock(DRAIN_SCHEDULE.close_ms + 500.0)
    proxy.service.stop()
    proxy.advance_clock(SHUTDOWN_ACCEPT_MS - 200.0)
    client = proxy.client(b"mn\r\n")
    proxy.receive_until(client, DRAINING)
    proxy.advance_clock(SHUTDOWN_ACCEPT_MS)
    assert proxy.reactor.stopped


def test_the_close_by_the_proxy_is_no_progress_of_its_client(rig):
    # The failure: the end of the stream, one more byte for the kernel, was taken for a byte that the client
    # had taken, so that one that read nothing seemed to read.
    reader = Reader(rig(), LARGE_BUFFER)
    reader.ask(1, SHORT_VALUE)
    reader.read_for(1000.0, 0)
    taken_bytes = reader.connection.delivery().acknowledged_bytes
    reader.proxy.service.drain()
    reader.read_for(DRAIN_SCHEDULE.half_close_ms + 100.0, 0)
    assert reader.connection.ended
    assert reader.connection.delivery().acknowledged_bytes == taken_bytes
    delivery = reader.proxy.service.client_connections.policy.delivery
    stalled_ms = delivery.stalled_ms(reader.connection, reader.proxy.now())
    assert stalled_ms > DRAIN_SCHEDULE.half_close_ms
