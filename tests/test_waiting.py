"""What waits for a connection, a place or a close: not sent when its time is over or its client has left.

The instant is forced: `late` lets the clock run on without a turn of the loop, as when the loop was held up.
"""

import json

import pytest
from scenario import Player

from cloverwell.facade import AttemptOutcome
from lab.proxy_testbed import SETTINGS


def late(player, ms):
    player.reactor.rightNow += ms / 1000.0


def told(player, member, revision=42):
    listing = {"revision": revision, "complete": False, "members": [member]}
    player.play(f"discovery expect GET *\ndiscovery send 200 {json.dumps(listing)}")


def sent(player, name, place=1):
    return player.connection(name, place - 1)[1].value()


def settings_with(part, **more):
    return SETTINGS | {part: SETTINGS[part] | more}


def test_a_connection_that_comes_up_late_is_not_given_to_an_attempt_whose_time_is_over():
    player = Player()
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=1900")
    late(player, 251)
    assert sent(player, "s1") == b""
    player.play("client expect SERVER_ERROR busy*")
    # Its place came back, and the connection serves the next.
    assert not player.service.pools.pool_of("s1")._waiting.attempts
    player.play("wait 600\nclient send mg k2 v O2 Pc=page,t=acme,d=900\ns1 expect mg k2 *")


@pytest.mark.parametrize(("waited", "leaves"), [(190, True), (201, False)])
def test_a_repeat_whose_window_ends_while_it_waits_for_a_connection_is_not_sent(waited, leaves):
    # Nodes drop a repeat for 1500 ms: one that leaves later may run twice.
    player = Player()
    player.play("client send ms k1 1 O1 Pc=adjust,t=acme,d=1950|a\norigin expect PUT *")
    player.play("wait 1300\norigin close")
    late(player, waited)
    assert bool(sent(player, "origin", 2)) == leaves
    if not leaves:
        player.play("wait 5\nclient expect SERVER_ERROR busy*")


@pytest.mark.parametrize(("grace", "waited", "leaves"), [(300, 90, True), (300, 101, False), (150, 1, False)])
def test_an_attempt_that_waits_for_a_connection_does_not_leave_past_the_drain_time(grace, waited, leaves):
    # Of what the site allows 150 ms are for a hold-up before the write, and 50 are the way there.
    player = Player(settings=settings_with("guarantees", **{"drain-grace": float(grace)}))
    player.play("wait 100\nclient send mg k1 v O1 Pc=page,t=acme,d=900")
    told(player, {"id": "s1", "host_port": "127.0.0.9:201", "flavor": "large", "phase": "terminating"})
    late(player, waited)
    assert bool(sent(player, "s1")) == leaves
    if not leaves:
        player.play("wait 5\norigin expect GET /k1 *\norigin send 200 a\nclient expect VA 1 O1|a")


def test_a_write_whose_client_left_while_it_waited_for_a_connection_is_not_sent():
    # Seen in Dispatcher.gone: every attempt of a write was let go on, also one of which no byte had left.
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=1900|a\nclient close\nwait 10")
    assert sent(player, "origin") == b""
    assert not player.service.dispatcher.open_count


def test_a_write_whose_client_left_while_it_waited_for_a_place_is_not_sent():
    player = Player()
    count = 40  # more than the origin is asked for at once
    for place in range(1, count + 1):
        player.play(f"client#{place} send ms k{place} 1 O{place} Pc=order,t=acme,d=1900|a")
    out = player.service.pools.pool_of("origin").opening_count
    assert 1 < out < count
    for place in range(1, out + 1):
        assert b"PUT" in sent(player, "origin", place)
    for place in range(out + 1, count + 1):
        player.play(f"client#{place} close")
    player.play("\n".join(f"origin#{place} send 200 r" for place in range(1, out + 1)) + "\nwait 300")
    assert player.service.dispatcher.open_count == 0
    assert sum(sent(player, "origin", place).count(b"PUT") for place in range(1, out + 1)) == out


def test_a_write_that_is_out_is_let_finish_though_its_client_has_left():
    player = Player()
    player.play(
        "client send ms k1 1 O1 Pc=order,t=acme,d=1900|a\norigin expect PUT *\nclient close\nwait 400"
    )
    assert not player.connection("origin", 0)[1].ended
    assert player.service.dispatcher.open_count == 1
    player.play("origin send 200 r1")
    assert player.service.dispatcher.open_count == 0


@pytest.mark.parametrize("stays", [True, False])
def test_a_second_attempt_that_waits_for_the_close_of_the_first(stays):
    # Where a request may not have two attempts out together, the next waits until the close has arrived.
    player = Player(settings=settings_with("limits", **{"second-copies": False}))
    player.service.node_policy.close_delay_bound_ms = lambda node: 40.0
    player.play("client send ms k1 1 O1 Pc=adjust,t=acme,d=900|a\norigin expect PUT *")
    attempt = player.service.dispatcher._open["1"].attempts[0]
    attempt.pool.give_up(attempt, AttemptOutcome.CANCELLED)
    player.play("origin expect end\nwait 30")
    assert player.next_requested_factory("origin") is None
    assert player.service.dispatcher.open_count == 1
    if stays:
        player.play("wait 15\norigin#2 expect PUT /k1 *\norigin#2 send 200 r\nclient expect HD O1 cr")
    else:
        player.play("client close\nwait 300")
        assert player.next_requested_factory("origin") is None
        assert player.service.dispatcher.open_count == 0


def test_a_command_that_was_cut_off_in_the_middle_never_ran_and_goes_elsewhere():
    # The machine has taken three bytes when the node breaks off: an order can't run without its last byte.
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=1900|a")
    player.play("origin expect PUT *\norigin send 200 r1\nclient expect HD O1 cr1")
    _, transport = player.connection("origin", 0)
    transport.send = lambda data: 3
    player.play("client send ms k2 1 O2 Pc=order,t=acme,d=900|a\nwait 20\norigin close")
    player.play("origin#2 expect PUT /k2 *\nwait 50\norigin#2 send 200 r2\nclient expect HD O2 cr2")


def test_a_command_of_which_the_rest_still_waits_to_leave_is_not_sent_on_for_a_client_that_left():
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=1900|a\norigin expect PUT *\norigin send 200 r0")
    _, transport = player.connection("origin", 0)
    transport.send = lambda data: 3
    player.play("wait 20\nclient send ms k3 1 O3 Pc=order,t=acme,d=900|a\nclient close\norigin expect end")
    player.play("wait 300")
    assert player.next_requested_factory("origin") is None
    assert player.service.dispatcher.open_count == 0


def test_a_node_that_moves_gets_nothing_more_at_its_old_address():
    player = Player()
    player.ports["s1b"] = 301
    player.play("wait 100\nclient send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg k1 *")
    player.play("client#2 send mg k2 v O2 Pc=page,t=acme,d=900")  # its connection is on its way
    told(player, {"id": "s1", "host_port": "127.0.0.9:301", "flavor": "large"})
    # What is out is let finish, and its connection goes; the other one is never used.
    player.play("s1 send VA 1 O1|a\nclient expect VA 1 O1|a\ns1 expect end")
    factory = player.next_requested_factory("s1")
    assert factory.buildProtocol(None) is None
    player.play("s1b expect mg k2 *\ns1b send VA 1 O2|b\nclient#2 expect VA 1 O2|b")
    assert player.service.pools.pool_of("s1").opening_count == 0


@pytest.mark.parametrize("after_ms", [0, 3, 12])
def test_a_second_answer_some_milliseconds_late_is_never_the_next_requests(after_ms):
    # Seen on a join day: a spoilt copy of one receipt came 0.5 ms behind the next write, and was served.
    # The origin's answers bear no id, so its connection rests until such a copy would have come.
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT /k1 *\norigin send 200 r1")
    player.play("client expect HD O1 cr1\nclient send ms k2 1 O2 Pc=order,t=acme,d=900|a")
    player.play(f"wait {after_ms}\norigin expect nothing\norigin send 200 r1\norigin expect end")
    player.play("wait 50\norigin#2 expect PUT /k2 *\norigin#2 send 200 r2\nclient expect HD O2 cr2")


def test_a_connection_that_rests_is_taken_again_instead_of_a_new_one():
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT /k1 *\norigin send 200 r1")
    player.play("client expect HD O1 cr1\nclient send ms k2 1 O2 Pc=order,t=acme,d=900|a\nwait 20")
    player.play("origin expect PUT /k2 *\norigin send 200 r2\nclient expect HD O2 cr2")
    assert player.next_requested_factory("origin") is None


def test_of_two_that_wait_the_second_does_not_count_on_the_connection_that_the_first_takes():
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT /k1 *\norigin send 200 r1")
    player.play("client send ms k2 1 O2 Pc=order,t=acme,d=900|a")
    player.play("client#2 send ms k3 1 O3 Pc=order,t=acme,d=900|a\norigin#2 expect PUT /k2 *")
    player.play("wait 20\norigin expect PUT /k3 *")


def test_an_attempt_that_waits_for_a_connection_at_rest_does_not_end_with_one_that_fails():
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT /k1 *")
    player.play("client#2 send ms k2 1 O2 Pc=order,t=acme,d=900|a")  # asks for one more
    player.play("origin send 200 r1\nclient expect HD O1 cr1\norigin#2 close\nwait 20")
    player.play("origin expect PUT /k2 *\norigin send 200 r2\nclient#2 expect HD O2 cr2")
    assert "origin.connect_failed" not in player.service.counts.take_line()


@pytest.mark.parametrize("line", ["SERVER_ERROR busy", "SERVER_ERROR failed"])
def test_nor_is_a_nodes_refusal_which_bears_no_id_either(line):
    # Taken for the next one's, a late copy would count a read that ran as one that never did.
    player = Player()
    player.play(f"client send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg k1 *\ns1 send {line}")
    player.play("client#2 send mg k2 v O2 Pc=page,t=acme,d=900\nwait 3")
    assert b"k2" not in sent(player, "s1")
    player.play(f"s1 send {line}\ns1 expect end\nwait 50\ns1#2 expect mg k2 *")


@pytest.mark.parametrize("body", ["r1 r2", "r\x01", "r" * 251])
def test_what_is_no_receipt_is_never_served_as_one(body):
    # In the client's line a space or a line end would make two answers of one.
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT /k1 *")
    player.connection("origin", 0)[0].dataReceived(
        f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    player.play("client expect SERVER_ERROR failed\norigin expect end")
