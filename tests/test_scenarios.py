"""A whole proxy as its clients and nodes see it: the scenarios of `scenarios/`, and cases that need code."""

import gc
from pathlib import Path

import pytest
from scenario import Player, Transport

from cloverwell.connections.budget import DescriptorBudget, DescriptorSide
from cloverwell.connections.client_policy import RESERVE
from cloverwell.program import tune_garbage_collector
from cloverwell.request import Request
from lab.proxy_testbed import SETTINGS

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    player = Player(operator=path.stem.startswith("operators"))
    player.play(path.read_text())
    # Nothing of a request is kept after its deadline, whatever has happened to it.
    player.play("wait 2100")
    dispatcher = player.service.dispatcher
    assert dispatcher.open_count == 0
    assert not dispatcher._facade._attempts


def test_a_line_or_a_value_that_is_too_long_gets_one_error():
    player = Player()
    player.play(f"client send mg {'k' * 4000}\nclient expect CLIENT_ERROR line too long\nclient expect end")
    long_value = "x" * 70_000
    player.play(f"client#2 send ms k 70000 O1 Pc=order,t=acme,d=900|{long_value}|mn")
    player.play("client#2 expect CLIENT_ERROR value too large|MN")


def test_a_command_that_arrives_byte_by_byte_is_the_same():
    player = Player()
    protocol, _ = player.connection("client", 0)
    for byte in b"ms k1 5 O1 Pc=adjust,t=acme,d=900\r\nhello\r\n":
        protocol.dataReceived(bytes([byte]))
    player.play("origin expect PUT /k1 *||hello\norigin send 200 r\nclient expect HD O1 cr")


def test_a_client_that_pipelines_many_commands_is_paused_and_loses_none():
    # Without a limit on the pending commands of one connection, the proxy would read on until memory runs
    # out.
    player = Player()
    commands = "|".join(f"mg k v O{number} Pc=page,t=acme,d=900" for number in range(100))
    player.play(f"client send {commands}")
    _, transport = player.connection("client", 0)
    assert transport.producerState == "paused"
    player.play("s1 expect mg k v O0 *\nwait 890\nclient expect SERVER_ERROR busy*")
    player.play("wait 1800")
    assert transport.value().count(b"SERVER_ERROR") == 99
    assert transport.producerState == "producing"


def test_near_the_descriptor_limit_new_requests_are_rejected():
    # An accept that fails with EMFILE loses requests that the machine has already received.
    player = Player(sockets=64)
    max_active = player.service.budget.max_active_clients
    for number in range(1, max_active + 1):
        player.play(f"client#{number} send ms k 1 O{number} Pc=order,t=acme,d=1900|a")
    player.play(f"client#{max_active + 1} send mg k v Ox Pc=page,t=acme,d=900")
    player.play(f"client#{max_active + 1} expect SERVER_ERROR busy 1000")
    # When no descriptor is left for clients, no more connections are accepted until one closes.
    port = player.service.client_connections.port = Transport()
    number = max_active + 1
    while player.service.budget.available(DescriptorSide.CLIENTS):
        number += 1
        player.play(f"client#{number} send ms k 9 Ow{number} Pc=order,t=acme,d=1900|a")
    assert port.producerState == "paused"
    player.play("client#1 close\nclient#2 close\nclient#3 close")
    assert port.producerState == "producing"


@pytest.mark.parametrize("wait_ms", range(300, 306))
def test_a_read_without_an_answer_is_rejected_whichever_tick_its_deadline_falls_on(wait_ms):
    # If the dispatcher's deadline timer came a tick before the attempt's timeout, it would fail a read that
    # the client may safely retry.
    player = Player()
    player.play(f"client send mg k1 v O1 Pc=page,t=acme,d={wait_ms}\ns1 expect mg *\nwait {wait_ms}")
    player.play("client expect SERVER_ERROR busy*\nclient expect nothing")
    assert "overdue" not in player.log.getvalue()


def test_an_attempt_in_flight_at_the_deadline_timer_is_timed_out_before_its_request_is_failed():
    # A read may be retried a few ms before its deadline. Its last attempt then has the shortest timeout, one
    # tick, and the dispatcher's deadline timer can fall on the same tick and be called before it.
    player = Player()
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=300\ns1 expect mg *")
    (request,) = player.service.dispatcher._open.values()
    (attempt,) = request.attempts.values()
    attempt.timer.cancel()  # so that the deadline timer comes first
    player.play("wait 300\nclient expect SERVER_ERROR busy*\nclient expect nothing")
    assert "overdue" not in player.log.getvalue()
    assert "node_close: s1: given_up, requests 1" in player.log.getvalue()


@pytest.mark.parametrize(
    ("limits", "answer"),
    [({"max-retry-after": 300.0}, "busy 300"), ({"retry-after": False}, "busy")],
)
def test_a_client_rejected_for_lack_of_descriptors_gets_the_configured_retry_time(limits, answer):
    # A built-in time of 1000 ms would also be sent where the settings forbid any.
    player = Player(settings=SETTINGS | {"limits": SETTINGS["limits"] | limits})
    player.service.client_connections.should_reject = lambda request: True
    player.play(f"client send mg k v O1 Pc=page,t=acme,d=900\nclient expect SERVER_ERROR {answer}")


def test_at_the_limit_reads_share_a_connection_and_an_order_never_does():
    # Giving up an attempt closes its connection. An order that shares it with a read would be reset, and
    # could not be sent again.
    player = Player()
    player.service.pools.budget = DescriptorBudget(5, 0.4, 0.4)
    player.service.pools.budget.held[DescriptorSide.CLIENTS] = 3
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg *\ns1 send EN O1")
    player.play("origin expect GET /k1 *\nclient#2 send mg k2 v O2 Pc=page,t=acme,d=900\ns1 expect mg k2 *")
    player.play("client#3 send mg k3 v O3 Pc=page,t=acme,d=900\ns1 expect mg k3 *")
    player.play("client#4 send ms k4 1 O4 Pc=order,t=acme,d=900|a\norigin expect nothing")
    player.play(
        "origin send 200 a\nwait 20\norigin expect PUT /k4 *\norigin send 200 r\nclient#4 expect HD O4 cr"
    )


def test_pools_of_nodes_that_have_left_do_not_accumulate():
    # A day of rolling deploys brings hundreds of new node names, and a pool that is kept uses memory for
    # ever.
    player = Player()
    player.play(
        "wait 100\ndiscovery expect GET *\nclient send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg *"
    )
    player.play('discovery send 200 {"revision":42,"complete":true,"members":[]}')
    player.play("wait 150\ns1 send VA 1 O1|a\nclient expect VA 1 O1|a\ns1 expect end\nwait 150")
    assert player.service.pools.node_names() == set()


def test_a_connection_with_an_unread_request_is_not_closed():
    # Idle connections are closed to free descriptors and before a restart. One may have a request in the
    # machine's receive buffer: closing it would lose a request that the client has sent successfully.
    player = Player()
    player.play("client send mn\nclient expect MN")
    _, transport = player.connection("client", 0)
    transport.unread = b"m"
    player.play("proxy close\nwait 600")
    assert not transport.ended
    transport.unread = b""
    player.play("client send mg k v O1 Pc=page,t=acme,d=900\ns1 expect mg *\nwait 10\ns1 send VA 1 O1|a")
    player.play("wait 20\nclient expect VA 1 O1|a\nclient expect end")


@pytest.mark.parametrize("unread", [b"x", b""])
def test_an_idle_connection_with_unread_bytes_or_its_end_gets_no_attempt(unread):
    # Surplus bytes may arrive a moment after an answer. An order written to that connection would be reset,
    # and could not be sent again.
    player = Player()
    player.play("client send ms k 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT *\norigin send 200 r1")
    _, transport = player.connection("origin", 0)
    transport.recv = lambda number, flags: unread
    player.play("client expect HD O1 cr1\nclient send ms k 1 O2 Pc=order,t=acme,d=900|a\nwait 20")
    player.play("origin expect end\norigin#2 expect PUT /k *\norigin#2 send 200 r2\nclient expect HD O2 cr2")


def test_at_the_limit_the_connection_that_has_been_silent_longest_is_closed():
    # Hundreds of clients that connect and send nothing must not keep others from connecting. Their
    # descriptors are freed at once, whether or not they ever close their side. One with an unread request is
    # not closed.
    player = Player(sockets=64)
    port = player.service.client_connections.port = Transport()
    budget = player.service.budget
    player.play("client#1 send mn\nclient#1 expect MN\nclient#2 expect nothing\nclient#3 expect nothing")
    player.connection("client", 1)[1].unread = b"m"
    player.play("wait 500")
    max_clients, count = budget.max_held(DescriptorSide.CLIENTS) - RESERVE[0], 3
    while count < max_clients:
        count += 1
        player.play(f"client#{count} expect nothing")
        ended = {index for index in range(count) if player.connection("client", index)[1].ended}
        assert 1 not in ended
        assert 0 not in ended or 2 in ended
    # Connections are closed in advance, so that the next client has a descriptor: first those that have never
    # sent a request, then those that have.
    assert ended == {0, 2}
    assert port.producerState != "paused"
    # The others are too new to be closed. At the last descriptor accepting is paused until they are old
    # enough.
    while budget.available(DescriptorSide.CLIENTS):
        count += 1
        player.play(f"client#{count} expect nothing")
    assert port.producerState == "paused"
    player.play("wait 300")
    assert port.producerState == "producing"
    assert player.connection("client", 3)[1].ended


def test_a_client_that_repeats_malformed_commands_is_throttled_and_closed():
    # At full speed such a client would take the event loop's time from all others.
    player = Player()
    player.play(f"client send {'frob|' * 200}")
    protocol, transport = player.connection("client", 0)
    assert transport.value().count(b"CLIENT_ERROR") == 9
    assert transport.producerState == "paused"
    player.play("wait 900")
    assert transport.value().count(b"CLIENT_ERROR") == 24
    assert transport.shut
    # Whatever else it sends is discarded, one piece at each tick, and gets no answer.
    protocol.dataReceived(b"frob\r\n" * 1000)
    assert transport.producerState == "paused"
    assert not len(protocol._incoming)
    player.play("wait 10")
    assert transport.producerState == "producing"
    assert not transport.aborted
    player.play("wait 1100")
    assert transport.disconnecting
    assert transport.value().count(b"CLIENT_ERROR") == 24


def test_a_value_of_60_mb_is_rejected_at_its_first_line():
    # The error is sent at once, and then only the proxy's side is closed. A close of both sides would send a
    # reset, and the client might not see the error.
    player = Player()
    player.play(
        "client send ms k 60000000 O1 Pc=order,t=acme,d=900|aaaa\nclient expect CLIENT_ERROR value too*"
    )
    _, transport = player.connection("client", 0)
    assert transport.shut
    assert not transport.aborted
    assert not transport.disconnecting


@pytest.mark.parametrize("size", [65_537, 400_000])
def test_a_large_value_is_passed_on_from_node_and_origin(size):
    # Nodes and origin may answer with up to 400 KB. If a value over 64 KB counted as malformed, the request
    # would fail and its node would be ejected.
    player, body = Player(), "x" * size
    player.play("client send mg k v O1 Pc=page,t=acme,d=900\ns1 expect mg *")
    protocol, _ = player.connection("s1", 0)
    answer = f"VA {size} O1 h1\r\n{body}\r\n".encode()
    for start in range(0, len(answer), 65536):
        protocol.dataReceived(answer[start : start + 65536])
    player.play(
        f"client expect VA {size} O1|{body}\nclient send mg k v O2 Pc=page,t=acme,d=900\ns1 expect mg *"
    )
    player.play(
        f"s1 send EN O2\norigin expect GET *\norigin send 200 {body}\nclient expect VA {size} O2|{body}"
    )
    # The buffer shrinks again after the value.
    assert protocol._incoming.allocated_bytes == 0


def test_a_client_that_does_not_read_its_answer_is_closed_after_the_longest_deadline():
    player = Player()
    player.play("client send mg k v O1 Pc=page,t=acme,d=900\ns1 expect mg *")
    _, transport = player.connection("client", 0)
    transport.send = lambda data: 3
    player.play("s1 send VA 1 O1|a\nwait 9800")
    assert not transport.ended
    player.play("wait 300")
    assert transport.aborted


def test_an_ended_request_is_freed_without_the_garbage_collector():
    # With a reference cycle in each request, 1,000 dead ones gather in half a minute, and those that reach
    # the oldest generation of the collector are never freed.
    player = Player()
    gc.collect()
    gc.disable()
    try:
        player.play("client send mg k v O1 Pc=page,t=acme,d=900\ns1 expect mg *")
        assert any(type(tracked) is Request for tracked in gc.get_objects())
        player.play("s1 send VA 1 O1|a\nclient expect VA 1 O1|a\nwait 6000")
        assert not any(type(tracked) is Request for tracked in gc.get_objects())
    finally:
        gc.enable()


def test_the_oldest_garbage_is_collected_before_it_accumulates():
    # With thresholds of 50,000, 20 and 100 the oldest generation is never collected, and memory grows by 2.5
    # MB in each minute.
    saved = gc.get_threshold()
    try:
        tune_garbage_collector()
        youngest, middle, oldest = gc.get_threshold()
        assert youngest * middle * oldest <= 100_000
    finally:
        gc.unfreeze()
        gc.set_threshold(*saved)
