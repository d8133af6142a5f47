"""A watch of discovery that fails: silent, reset, moved or late. A change is known in time."""

import json

import pytest
from scenario import Player

from lab.proxy_testbed import SETTINGS

MAX_CHANGE_DELAY_MS = 6000  # after which a change counts as known, also one that a silent watch missed
DRAINS = '{"revision":42,"complete":false,"members":[{"id":"s1","host_port":"127.0.0.9:201",'
DRAINS += '"flavor":"large","phase":"terminating"}]}'
NOTHING = '{"revision":41,"complete":false,"members":[]}'


def knows_draining(player):
    """Whether the proxy knows that s1 is draining."""
    return player.service.endpoint_discovery.current_list().members[0].phase == "terminating"


def delay_of_next_poll_ms(player, ms, connection):
    """Return after how long a poll that does not wait arrives on discovery's connection of that number."""
    for waited in range(0, ms, 5):
        if player.next_asked("discovery") is not None:
            player.waiting["discovery"] = [player.reactor.tcpClients[-1][2]]
            player.play(f"discovery#{connection} expect GET /v1/servers?after=*&wait_ms=0 *")
            return waited
        player.play("wait 5")
    raise AssertionError("the watch was not opened anew")


def test_a_watch_that_is_silent_from_its_first_moment_is_opened_anew_in_time():
    # Seen with two of twelve seeds of the scenario `brink`: the watch was abandoned 6.9 s after its start,
    # the next poll followed 0.2 to 0.6 s later, and a busy discovery took another second; draining nodes got
    # requests until then.
    player = Player()
    player.play("wait 100\ndiscovery expect GET /v1/servers?after=41&wait_ms=4000 *")
    assert delay_of_next_poll_ms(player, MAX_CHANGE_DELAY_MS, 2) < 5300
    player.play("discovery expect end")
    player.play(f"discovery#2 send 200 {DRAINS}\ndiscovery#2 expect GET *after=42&wait_ms=4000 *")
    assert knows_draining(player)


def test_silent_after_some_answers_and_again_on_the_new_connection():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    for _ in range(3):
        player.play(f"wait 500\ndiscovery send 200 {NOTHING}\ndiscovery expect GET *wait_ms=4000 *")
    assert delay_of_next_poll_ms(player, MAX_CHANGE_DELAY_MS, 2) < 5300
    # That poll is not answered either. It is an ordinary failure then, followed by a backoff.
    player.play("wait 1890\ndiscovery#2 expect nothing\nwait 620\ndiscovery#2 expect end")
    player.play(f"discovery#3 expect GET *\ndiscovery#3 send 200 {DRAINS}")
    assert knows_draining(player)


def test_silent_in_the_middle_of_an_answer():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    protocol, _ = player.connection("discovery", 0)
    protocol.dataReceived(b"HTTP/1.1 200 -\r\nContent-Length: 500\r\n\r\n" + b'{"revision":42,')
    assert delay_of_next_poll_ms(player, MAX_CHANGE_DELAY_MS, 2) < 5300
    # What still arrives on the old connection is ignored.
    protocol.dataReceived(b" " * 600)
    player.play(f"discovery#2 send 200 {DRAINS}")
    assert knows_draining(player)


def test_silent_over_sighup_and_the_new_address_is_asked_for_the_whole_list_within_its_time():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *\nproxy send discovery2\ndiscovery expect end")
    player.play("discovery2 expect GET /v1/servers HTTP*\nwait 1890\ndiscovery2 expect nothing")
    player.play("wait 620\ndiscovery2#2 expect GET /v1/servers HTTP*")  # its list counts as known 4 s later
    whole = json.dumps(json.loads(DRAINS) | {"complete": True}, indent=4)  # lists may come indented
    protocol, _ = player.connection("discovery2", 1)
    protocol.dataReceived(f"HTTP/1.1 200 -\r\nContent-Length: {len(whole)}\r\n\r\n{whole}".encode())
    assert knows_draining(player)


def test_a_watch_that_is_reset_is_asked_again_within_a_second():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *\nwait 50\ndiscovery close\nwait 620")
    player.play(f"discovery#2 expect GET *\ndiscovery#2 send 200 {DRAINS}")
    assert knows_draining(player)


@pytest.mark.parametrize(("mode", "calls"), [("pushed", 1), ("on_request", 0)])
def test_where_lists_are_pushed_they_are_asked_for_from_the_first_moment(mode, calls):
    # Seen at a customer: no poll was ever made there, and nodes that had drained got requests all day.
    player = Player(settings=SETTINGS | {"membership-mode": mode, "peers-total": 200})
    assert len([one for one in player.reactor.tcpClients if one[1] == 100]) == calls
    if calls:
        player.play(f"discovery expect GET *after=41*\ndiscovery send 200 {DRAINS}")
        assert knows_draining(player)
        # The list is watched from then on.
        player.play("discovery expect GET *after=42&wait_ms=4000 *")


@pytest.mark.parametrize(("grace_ms", "within_ms"), [(1000.0, 220), (400.0, 220), (100.0, 70)])
def test_where_lists_are_pushed_a_call_that_fails_is_made_again_within_the_drain_time(grace_ms, within_ms):
    # Its backoff grew to 8 s as for a large fleet; what discovery has at its return counts as known at once
    # there.
    rules = SETTINGS["guarantees"] | {"drain-grace": grace_ms}
    player = Player(settings=SETTINGS | {"membership-mode": "pushed", "guarantees": rules})
    for number in range(1, 9):
        player.play(f"discovery#{number} expect GET *\ndiscovery#{number} close\nwait {within_ms}")
        assert player.next_asked("discovery") is not None, number
        player.waiting["discovery"] = [player.reactor.tcpClients[-1][2]]
    player.play(f"discovery#9 expect GET *\ndiscovery#9 send 200 {DRAINS}")
    assert knows_draining(player)


def test_a_call_waits_no_longer_than_discovery_lets_it():
    rules = SETTINGS["guarantees"] | {"ask-within": 900_000.0}
    player = Player(settings=SETTINGS | {"guarantees": rules})
    player.play("wait 100\ndiscovery expect GET *wait_ms=60000 *")


def test_a_list_that_cannot_be_read_leaves_what_was_known_and_costs_one_line():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    player.play('discovery send 200 {"revision":42,"complete":true,"members":[{"id":7}]}')
    assert player.log.getvalue().count("malformed") == 1
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg k1 *")
