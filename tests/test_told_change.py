"""A change counts as told 6 s after discovery had it and could be reached, whatever calls failed before.

Many whole proxies are played in virtual time before one discovery. Each keeps the phase of its calls, so that
with thirty of them discovery comes back at any point of a pause or of a call that hangs.
"""

import pytest

from cloverwell.membership import list_retry
from lab.list_fleet import CHANGED, ListFleet
from lab.proxy_testbed import SETTINGS

TOLD_S = 6.0  # the page's
MARGIN_S = 0.4  # less is too near: a proxy's loop may be held up
SETTLE_S = 12.0  # all watches are open, and out of step with the start
STEADY_S = 4.0  # a watch waits so long: 0.4 of `ask-within`


def settled(number, **kw):
    fleet = ListFleet(number, **kw)
    fleet.run(SETTLE_S)
    return fleet


def all_learn_in_time(fleet):
    times = fleet.learning_times(TOLD_S + 2.0)
    assert len(times) == len(fleet.proxies), f"{len(fleet.proxies) - len(times)} never learnt it"
    assert times[-1] <= TOLD_S - MARGIN_S, times[-3:]
    assert all(phase_of(proxy) == "terminating" for proxy in fleet.proxies)


def phase_of(proxy):
    return next(member.phase for member in proxy.endpoint_discovery.listing().members if member.id == CHANGED)


@pytest.mark.parametrize("how", ["down", "dead", "hung"])
@pytest.mark.parametrize("outage_s", [2.0, 8.0, 20.0])
def test_a_change_is_known_in_time_however_long_discovery_could_not_be_reached(how, outage_s):
    fleet = settled(30)
    fleet.fail(how)
    fleet.run(outage_s)
    fleet.restore(how)
    fleet.change()
    all_learn_in_time(fleet)


@pytest.mark.parametrize("ask_within_s", [2.0, 10.0, 60.0])
def test_calls_after_a_failure_that_hang_are_made_again_in_time_whatever_a_watch_may_wait(ask_within_s):
    # Refused first: what follows is no watch that fell silent, whose longer time would hold.
    rules = SETTINGS["guarantees"] | {"ask-within": 1000.0 * ask_within_s}
    fleet = settled(30, changes={"guarantees": rules})
    fleet.fail("down")
    fleet.run(5.0)
    fleet.restore("down")
    fleet.fail("hung")
    fleet.run(2.0)
    fleet.restore("hung")
    fleet.change()
    all_learn_in_time(fleet)


@pytest.mark.parametrize("connect_timeout_s", [0.25, 1.5, 30.0])
def test_a_connection_that_never_comes_up_is_given_up_in_time(connect_timeout_s):
    limits = SETTINGS["limits"] | {"connect-timeout": 1000.0 * connect_timeout_s}
    fleet = settled(30, changes={"limits": limits})
    fleet.fail("dead")
    fleet.run(9.0)
    fleet.restore("dead")
    fleet.change()
    all_learn_in_time(fleet)


def test_a_large_fleet_learns_in_time_from_a_discovery_that_refuses_whom_it_has_no_time_for():
    # Twice what the watches of all need: the news of all and the watches behind them are four seconds' work.
    number = 200
    fleet = settled(number, calls_per_s=2.0 * number / STEADY_S, wait_s=1.0, granularity_ms=200.0)
    fleet.fail("down")
    fleet.run(8.0)
    fleet.restore("down")
    fleet.change()
    refused = fleet.discovery.failed
    all_learn_in_time(fleet)
    assert fleet.discovery.failed > refused  # some were


def test_a_list_of_1024_nodes_is_known_in_time():
    fleet = settled(2, nodes=1024)
    assert all(len(proxy.endpoint_discovery.listing().members) == 1025 for proxy in fleet.proxies)
    fleet.fail("down")
    fleet.run(8.0)
    for proxy in fleet.proxies:  # the whole list is needed, as from another discovery
        proxy.endpoint_discovery._revision = None
    fleet.restore("down")
    fleet.change()
    all_learn_in_time(fleet)


@pytest.mark.parametrize("number", [200, 480])
def test_the_calls_of_a_large_fleet_in_an_outage_are_priced(number):
    """By the second, over all proxies, against what their watches cost on a calm day."""
    fleet = settled(number, granularity_ms=200.0)
    begun = int(fleet.net.seconds())
    fleet.fail("down")
    fleet.run(12.0)
    seconds = [
        sum(fleet.attempts[10 * second + tenth] for tenth in range(10)) for second in range(begun, begun + 12)
    ]
    # The first second has one attempt more of each: a watch that ends is asked anew at once.
    assert seconds[0] <= 2 * number
    assert max(seconds[1:]) <= number, seconds  # nobody pauses for under a second
    assert sum(seconds[1:]) / 11 <= 3.0 * number / STEADY_S, seconds


@pytest.mark.parametrize("mode, shortest_s", [("pushed", 0.2), ("on_request", 1.0)])
def test_calls_do_not_multiply_while_discovery_stays_down(mode, shortest_s):
    # Seen in virtual time: where lists are pushed, each failure made two further calls, one after the table's
    # pause and one after the facade's, and they rose from 5 a second to one in each tick of the timers.
    fleet = settled(4, changes={"membership-mode": mode})
    fleet.fail("down")
    fleet.run(20.0)
    begun = int(10 * fleet.net.seconds())
    fleet.run(20.0)
    attempts = sum(fleet.attempts[begun + tenth] for tenth in range(200))
    assert 0 < attempts <= 4 * 20.0 / shortest_s


def test_the_pause_after_a_failed_call_is_what_keeps_the_time(monkeypatch):
    """What is measured above can fail: with a pause like the facade's longest a change comes too late."""
    monkeypatch.setattr(list_retry.ListRetry, "failed", lambda retry, took_ms: 12_000.0)
    fleet = settled(8)
    fleet.fail("down")
    fleet.run(4.0)
    fleet.restore("down")
    fleet.change()
    with pytest.raises(AssertionError):
        all_learn_in_time(fleet)
