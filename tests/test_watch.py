"""A watch of discovery that fails in any way: silent, reset, moved or late. Changes are known in time."""

import json

import pytest
from scenario import Player

from lab.proxy_testbed import SETTINGS

MAX_CHANGE_DELAY_MS = 6000  # A change counts as known after this time, even if a silent watch missed it.
S1_DRAINS = '{"revision":42,"complete":false,"members":[{"id":"s1","host_port":"127.0.0.9:201",'
S1_DRAINS += '"flavor":"large","phase":"terminating"}]}'
NO_CHANGE = '{"revision":41,"complete":false,"members":[]}'


def knows_draining(player):
    """Returns whether the proxy knows that s1 is draining."""
    return player.service.endpoint_discovery.current_list().members[0].phase == "terminating"


def delay_of_next_poll_ms(player, timeout_ms, connection):
    """Returns the time in ms until a poll without a wait arrives on the connection with that number."""
    for elapsed_ms in range(0, timeout_ms, 5):
        if player.next_requested_factory("discovery") is not None:
            player.pending_factories["discovery"] = [player.reactor.tcpClients[-1][2]]
            player.play(f"discovery#{connection} expect GET /v1/servers?after=*&wait_ms=0 *")
            return elapsed_ms
        player.play("wait 5")
    raise AssertionError("the poll was not repeated on a new connection")


def test_a_watch_that_is_silent_from_its_start_on_is_repeated_in_time():
    # The fault: the watch was given up 6.9 s after its start, the next poll began 0.2 to 0.6 s later, and a
    # busy discovery took another second. Draining nodes got requests until then.
    player = Player()
    player.play("wait 100\ndiscovery expect GET /v1/servers?after=41&wait_ms=4000 *")
    assert delay_of_next_poll_ms(player, MAX_CHANGE_DELAY_MS, 2) < 5300
    player.play("discovery expect end")
    player.play(f"discovery#2 send 200 {S1_DRAINS}\ndiscovery#2 expect GET *after=42&wait_ms=4000 *")
    assert knows_draining(player)


def test_a_watch_that_is_silent_after_some_answers_and_again_on_the_new_connection():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    for _ in range(3):
        player.play(f"wait 500\ndiscovery send 200 {NO_CHANGE}\ndiscovery expect GET *wait_ms=4000 *")
    assert delay_of_next_poll_ms(player, MAX_CHANGE_DELAY_MS, 2) < 5300
    # The repeated poll is not answered either, which is an ordinary failure, followed by a backoff.
    player.play("wait 1890\ndiscovery#2 expect nothing\nwait 620\ndiscovery#2 expect end")
    player.play(f"discovery#3 expect GET *\ndiscovery#3 send 200 {S1_DRAINS}")
    assert knows_draining(player)


def test_a_watch_that_is_silent_in_the_middle_of_an_answer():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    protocol, _ = player.connection("discovery", 0)
    protocol.dataReceived(b"HTTP/1.1 200 -\r\nContent-Length: 500\r\n\r\n" + b'{"revision":42,')
    assert delay_of_next_poll_ms(player, MAX_CHANGE_DELAY_MS, 2) < 5300
    # Data that still arrives on the old connection is ignored.
    protocol.dataReceived(b" " * 600)
    player.play(f"discovery#2 send 200 {S1_DRAINS}")
    assert knows_draining(player)


def test_after_a_change_of_address_a_silent_poll_for_the_complete_list_is_repeated_in_time():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *\nproxy send discovery2\ndiscovery expect end")
    player.play("discovery2 expect GET /v1/servers HTTP*\nwait 1890\ndiscovery2 expect nothing")
    # A list at the new address counts as known 4 s later.
    player.play("wait 620\ndiscovery2#2 expect GET /v1/servers HTTP*")
    body = json.dumps(json.loads(S1_DRAINS) | {"complete": True}, indent=4)  # Lists may be indented.
    protocol, _ = player.connection("discovery2", 1)
    protocol.dataReceived(f"HTTP/1.1 200 -\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    assert knows_draining(player)


def test_after_a_reset_the_poll_is_repeated_within_a_second():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *\nwait 50\ndiscovery close\nwait 620")
    player.play(f"discovery#2 expect GET *\ndiscovery#2 send 200 {S1_DRAINS}")
    assert knows_draining(player)


@pytest.mark.parametrize(("mode", "poll_count"), [("pushed", 1), ("on_request", 0)])
def test_in_the_pushed_mode_discovery_is_polled_from_the_start(mode, poll_count):
    # The fault: in the pushed mode no poll was made, and nodes that had drained went on getting requests.
    player = Player(settings=SETTINGS | {"membership-mode": mode, "peers-total": 200})
    assert len([client for client in player.reactor.tcpClients if client[1] == 100]) == poll_count
    if poll_count:
        player.play(f"discovery expect GET *after=41*\ndiscovery send 200 {S1_DRAINS}")
        assert knows_draining(player)
        # The list is watched from then on.
        player.play("discovery expect GET *after=42&wait_ms=4000 *")


@pytest.mark.parametrize(("drain_grace_ms", "within_ms"), [(1000.0, 220), (400.0, 220), (100.0, 70)])
def test_in_the_pushed_mode_a_failed_poll_is_repeated_within_the_drain_time(drain_grace_ms, within_ms):
    # The fault: the backoff grew to 8 s as for a large fleet. In the pushed mode a change counts as known at
    # once when discovery can be reached again.
    guarantees = SETTINGS["guarantees"] | {"drain-grace": drain_grace_ms}
    player = Player(settings=SETTINGS | {"membership-mode": "pushed", "guarantees": guarantees})
    for number in range(1, 9):
        player.play(f"discovery#{number} expect GET *\ndiscovery#{number} close\nwait {within_ms}")
        assert player.next_requested_factory("discovery") is not None, number
        player.pending_factories["discovery"] = [player.reactor.tcpClients[-1][2]]
    player.play(f"discovery#9 expect GET *\ndiscovery#9 send 200 {S1_DRAINS}")
    assert knows_draining(player)


def test_a_poll_waits_no_longer_than_discovery_accepts():
    guarantees = SETTINGS["guarantees"] | {"ask-within": 900_000.0}
    player = Player(settings=SETTINGS | {"guarantees": guarantees})
    player.play("wait 100\ndiscovery expect GET *wait_ms=60000 *")


def test_a_malformed_list_is_logged_once_and_the_old_list_stays():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    player.play('discovery send 200 {"revision":42,"complete":true,"members":[{"id":7}]}')
    assert player.log.getvalue().count("malformed") == 1
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg k1 *")
