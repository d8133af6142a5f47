"""Attempts that wait for a connection, for capacity or for a close.

They must not be sent once they are too late or their client has disconnected. `stall` advances the clock
without a turn of the event loop, as when the loop is blocked.
"""

import json

import pytest
from scenario import Player

from cloverwell.facade import AttemptOutcome
from lab.proxy_testbed import SETTINGS


def stall(player, ms):
    """Advances the clock without a turn of the event loop."""
    player.reactor.rightNow += ms / 1000.0


def send_list(player, member, revision=42):
    """Plays discovery's answer: an update of the endpoint list that changes one endpoint."""
    listing = {"revision": revision, "complete": False, "members": [member]}
    player.play(f"discovery expect GET *\ndiscovery send 200 {json.dumps(listing)}")


def written(player, name, place=1):
    """Returns what the proxy has written to this connection of a node, the origin or a client."""
    return player.connection(name, place - 1)[1].value()


def settings_with(part, **more):
    """Returns the settings with other values in one part."""
    return SETTINGS | {part: SETTINGS[part] | more}


def test_an_attempt_that_is_too_late_is_not_written_to_a_connection_that_is_opened():
    player = Player()
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=1900")
    stall(player, 251)
    assert written(player, "s1") == b""
    player.play("client expect SERVER_ERROR busy*")
    # The queue is empty again, and the connection serves the next request.
    assert not player.service.pools.pool_of("s1")._waiting.attempts
    player.play("wait 600\nclient send mg k2 v O2 Pc=page,t=acme,d=900\ns1 expect mg k2 *")


@pytest.mark.parametrize(("waited_ms", "is_sent"), [(190, True), (201, False)])
def test_a_repeated_write_is_not_sent_if_its_window_ends_while_it_waits(waited_ms, is_sent):
    # A node recognizes a repeated write for 1500 ms: one that is sent later may run twice.
    player = Player()
    player.play("client send ms k1 1 O1 Pc=adjust,t=acme,d=1950|a\norigin expect PUT *")
    player.play("wait 1300\norigin close")
    stall(player, waited_ms)
    assert bool(written(player, "origin", 2)) == is_sent
    if not is_sent:
        player.play("wait 5\nclient expect SERVER_ERROR busy*")


@pytest.mark.parametrize(
    ("grace_ms", "waited_ms", "is_sent"), [(300, 90, True), (300, 101, False), (150, 1, False)]
)
def test_an_attempt_that_waits_for_a_connection_is_not_sent_after_the_drain_time(
    grace_ms, waited_ms, is_sent
):
    # Of the drain time, 150 ms are kept for a stall before the write, and 50 ms for the way to the node.
    player = Player(settings=settings_with("guarantees", **{"drain-grace": float(grace_ms)}))
    player.play("wait 100\nclient send mg k1 v O1 Pc=page,t=acme,d=900")
    send_list(player, {"id": "s1", "host_port": "127.0.0.9:201", "flavor": "large", "phase": "terminating"})
    stall(player, waited_ms)
    assert bool(written(player, "s1")) == is_sent
    if not is_sent:
        player.play("wait 5\norigin expect GET /k1 *\norigin send 200 a\nclient expect VA 1 O1|a")


def test_a_write_that_waits_for_a_connection_is_not_sent_if_its_client_disconnects():
    # The attempts of a write go on when its client disconnects, but one of which no byte was sent must not.
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=1900|a\nclient close\nwait 10")
    assert written(player, "origin") == b""
    assert not player.service.dispatcher.open_count


def test_a_write_that_waits_for_capacity_is_not_sent_if_its_client_disconnects():
    player = Player()
    count = 40  # more than are sent to the origin at once
    for place in range(1, count + 1):
        player.play(f"client#{place} send ms k{place} 1 O{place} Pc=order,t=acme,d=1900|a")
    sent_count = player.service.pools.pool_of("origin").opening_count
    assert 1 < sent_count < count
    for place in range(1, sent_count + 1):
        assert b"PUT" in written(player, "origin", place)
    for place in range(sent_count + 1, count + 1):
        player.play(f"client#{place} close")
    player.play("\n".join(f"origin#{place} send 200 r" for place in range(1, sent_count + 1)) + "\nwait 300")
    assert player.service.dispatcher.open_count == 0
    assert (
        sum(written(player, "origin", place).count(b"PUT") for place in range(1, sent_count + 1))
        == sent_count
    )


def test_a_write_in_flight_goes_on_if_its_client_disconnects():
    player = Player()
    player.play(
        "client send ms k1 1 O1 Pc=order,t=acme,d=1900|a\norigin expect PUT *\nclient close\nwait 400"
    )
    assert not player.connection("origin", 0)[1].ended
    assert player.service.dispatcher.open_count == 1
    player.play("origin send 200 r1")
    assert player.service.dispatcher.open_count == 0


@pytest.mark.parametrize("client_stays", [True, False])
def test_a_second_attempt_waits_for_the_close_of_the_first(client_stays):
    # Where a request must not have two attempts in flight, the next waits until the close reaches the node.
    player = Player(settings=settings_with("limits", **{"second-copies": False}))
    player.service.node_policy.close_delay_bound_ms = lambda node: 40.0
    player.play("client send ms k1 1 O1 Pc=adjust,t=acme,d=900|a\norigin expect PUT *")
    attempt = player.service.dispatcher._open["1"].attempts[0]
    attempt.pool.give_up(attempt, AttemptOutcome.CANCELLED)
    player.play("origin expect end\nwait 30")
    assert player.next_requested_factory("origin") is None
    assert player.service.dispatcher.open_count == 1
    if client_stays:
        player.play("wait 15\norigin#2 expect PUT /k1 *\norigin#2 send 200 r\nclient expect HD O1 cr")
    else:
        player.play("client close\nwait 300")
        assert player.next_requested_factory("origin") is None
        assert player.service.dispatcher.open_count == 0


def test_a_command_that_was_only_partly_sent_goes_to_another_connection():
    # The kernel has taken three bytes when the node closes: an order can't run without its last byte.
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=1900|a")
    player.play("origin expect PUT *\norigin send 200 r1\nclient expect HD O1 cr1")
    _, transport = player.connection("origin", 0)
    transport.send = lambda data: 3
    player.play("client send ms k2 1 O2 Pc=order,t=acme,d=900|a\nwait 20\norigin close")
    player.play("origin#2 expect PUT /k2 *\nwait 50\norigin#2 send 200 r2\nclient expect HD O2 cr2")


def test_a_command_that_was_only_partly_sent_is_dropped_if_its_client_disconnects():
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=1900|a\norigin expect PUT *\norigin send 200 r0")
    _, transport = player.connection("origin", 0)
    transport.send = lambda data: 3
    player.play("wait 20\nclient send ms k3 1 O3 Pc=order,t=acme,d=900|a\nclient close\norigin expect end")
    player.play("wait 300")
    assert player.next_requested_factory("origin") is None
    assert player.service.dispatcher.open_count == 0


def test_nothing_more_is_sent_to_the_old_address_of_a_node():
    player = Player()
    player.ports["s1b"] = 301
    player.play("wait 100\nclient send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg k1 *")
    player.play("client#2 send mg k2 v O2 Pc=page,t=acme,d=900")  # Its connection is being opened.
    send_list(player, {"id": "s1", "host_port": "127.0.0.9:301", "flavor": "large"})
    # The attempt in flight goes on, and its connection is closed after it; the other one is never used.
    player.play("s1 send VA 1 O1|a\nclient expect VA 1 O1|a\ns1 expect end")
    factory = player.next_requested_factory("s1")
    assert factory.buildProtocol(None) is None
    player.play("s1b expect mg k2 *\ns1b send VA 1 O2|b\nclient#2 expect VA 1 O2|b")
    assert player.service.pools.pool_of("s1").opening_count == 0


@pytest.mark.parametrize("after_ms", [0, 3, 12])
def test_a_late_duplicate_answer_is_not_read_as_that_of_the_next_request(after_ms):
    # A duplicate of one receipt may arrive just after the next write, for example 0.5 ms later, and would be
    # served as its receipt. The origin's answers have no id, so its connection rests until such a duplicate
    # would have arrived.
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT /k1 *\norigin send 200 r1")
    player.play("client expect HD O1 cr1\nclient send ms k2 1 O2 Pc=order,t=acme,d=900|a")
    player.play(f"wait {after_ms}\norigin expect nothing\norigin send 200 r1\norigin expect end")
    player.play("wait 50\norigin#2 expect PUT /k2 *\norigin#2 send 200 r2\nclient expect HD O2 cr2")


def test_a_resting_connection_is_used_again_instead_of_a_new_one():
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT /k1 *\norigin send 200 r1")
    player.play("client expect HD O1 cr1\nclient send ms k2 1 O2 Pc=order,t=acme,d=900|a\nwait 20")
    player.play("origin expect PUT /k2 *\norigin send 200 r2\nclient expect HD O2 cr2")
    assert player.next_requested_factory("origin") is None


def test_two_waiting_attempts_do_not_count_on_the_same_resting_connection():
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT /k1 *\norigin send 200 r1")
    player.play("client send ms k2 1 O2 Pc=order,t=acme,d=900|a")
    player.play("client#2 send ms k3 1 O3 Pc=order,t=acme,d=900|a\norigin#2 expect PUT /k2 *")
    player.play("wait 20\norigin expect PUT /k3 *")


def test_an_attempt_that_waits_for_a_resting_connection_survives_one_that_fails():
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT /k1 *")
    player.play("client#2 send ms k2 1 O2 Pc=order,t=acme,d=900|a")  # opens a second connection
    player.play("origin send 200 r1\nclient expect HD O1 cr1\norigin#2 close\nwait 20")
    player.play("origin expect PUT /k2 *\norigin send 200 r2\nclient#2 expect HD O2 cr2")
    assert "origin.connect_failed" not in player.service.counts.take_line()


@pytest.mark.parametrize("line", ["SERVER_ERROR busy", "SERVER_ERROR failed"])
def test_a_late_duplicate_refusal_is_not_read_as_that_of_the_next_request(line):
    # A late duplicate, read as the answer of the next attempt, would say that a read that ran did not.
    player = Player()
    player.play(f"client send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg k1 *\ns1 send {line}")
    player.play("client#2 send mg k2 v O2 Pc=page,t=acme,d=900\nwait 3")
    assert b"k2" not in written(player, "s1")
    player.play(f"s1 send {line}\ns1 expect end\nwait 50\ns1#2 expect mg k2 *")


@pytest.mark.parametrize("body", ["r1 r2", "r\x01", "r" * 251])
def test_an_invalid_receipt_is_not_served(body):
    # A space or a line end in the receipt would make the client read it as two flags or two answers.
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT /k1 *")
    player.connection("origin", 0)[0].dataReceived(
        f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    player.play("client expect SERVER_ERROR failed\norigin expect end")
