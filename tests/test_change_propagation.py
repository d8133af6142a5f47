"""Each proxy knows of a change within 6 s after discovery has it and can be reached, whichever polls failed
before.

Many whole proxies poll one discovery in virtual time. Their polls are out of step with each other, so with
thirty of them discovery comes back at any point of a backoff or of an unanswered poll.
"""

import pytest

from cloverwell.membership import poll_backoff
from lab.list_fleet import CHANGED, ListFleet
from lab.proxy_testbed import SETTINGS

MAX_CHANGE_DELAY_S = 6.0  # the time within which a proxy must know of a change
MARGIN_S = 0.4  # for a stall of a proxy's event loop
SETTLE_S = 12.0  # the time until all watches are open, and out of step with each other
WATCH_WAIT_S = 4.0  # how long a poll waits for a change: 0.4 of `ask-within`


def settled_fleet(proxy_count, **options):
    fleet = ListFleet(proxy_count, **options)
    fleet.run(SETTLE_S)
    return fleet


def fail_for(fleet, fault, outage_s):
    """Makes discovery unreachable for that time; the fault is `down`, `dead` or `hung`, see `ListFleet`."""
    fleet.fail(fault)
    fleet.run(outage_s)
    fleet.restore(fault)


def assert_all_learn_in_time(fleet):
    delays_s = fleet.learning_times(MAX_CHANGE_DELAY_S + 2.0)
    assert len(delays_s) == len(fleet.proxies), f"{len(fleet.proxies) - len(delays_s)} never learnt it"
    assert delays_s[-1] <= MAX_CHANGE_DELAY_S - MARGIN_S, delays_s[-3:]
    assert all(phase_of(proxy) == "terminating" for proxy in fleet.proxies)


def phase_of(proxy):
    return next(
        member.phase for member in proxy.endpoint_discovery.current_list().members if member.id == CHANGED
    )


@pytest.mark.parametrize("fault", ["down", "dead", "hung"])
@pytest.mark.parametrize("outage_s", [2.0, 8.0, 20.0])
def test_a_change_is_known_in_time_however_long_discovery_could_not_be_reached(fault, outage_s):
    fleet = settled_fleet(30)
    fail_for(fleet, fault, outage_s)
    fleet.change()
    assert_all_learn_in_time(fleet)


@pytest.mark.parametrize("ask_within_s", [2.0, 10.0, 60.0])
def test_polls_that_hang_after_a_failure_are_repeated_in_time_however_long_a_watch_waits(ask_within_s):
    # Connections are refused first, so that the polls that hang are no silent watches with a longer timeout.
    guarantees = SETTINGS["guarantees"] | {"ask-within": 1000.0 * ask_within_s}
    fleet = settled_fleet(30, changes={"guarantees": guarantees})
    fail_for(fleet, "down", 5.0)
    fail_for(fleet, "hung", 2.0)
    fleet.change()
    assert_all_learn_in_time(fleet)


@pytest.mark.parametrize("connect_timeout_s", [0.25, 1.5, 30.0])
def test_a_connection_that_never_comes_up_is_given_up_in_time(connect_timeout_s):
    limits = SETTINGS["limits"] | {"connect-timeout": 1000.0 * connect_timeout_s}
    fleet = settled_fleet(30, changes={"limits": limits})
    fail_for(fleet, "dead", 9.0)
    fleet.change()
    assert_all_learn_in_time(fleet)


def test_a_large_fleet_learns_in_time_from_a_discovery_that_refuses_polls_beyond_its_capacity():
    # The capacity is twice what all watches need: discovery takes four seconds to report the change to all
    # proxies and to accept their next polls.
    proxy_count = 200
    fleet = settled_fleet(
        proxy_count, calls_per_s=2.0 * proxy_count / WATCH_WAIT_S, wait_s=1.0, granularity_ms=200.0
    )
    fail_for(fleet, "down", 8.0)
    fleet.change()
    refused_before = fleet.discovery.failed
    assert_all_learn_in_time(fleet)
    assert fleet.discovery.failed > refused_before, "no poll was refused, so the test shows nothing"


def test_a_list_of_1024_nodes_is_known_in_time():
    fleet = settled_fleet(2, nodes=1024)
    assert all(len(proxy.endpoint_discovery.current_list().members) == 1025 for proxy in fleet.proxies)
    fleet.fail("down")
    fleet.run(8.0)
    for proxy in fleet.proxies:  # Each polls for the complete list, as after a change of discovery's address.
        proxy.endpoint_discovery._revision = None
    fleet.restore("down")
    fleet.change()
    assert_all_learn_in_time(fleet)


@pytest.mark.parametrize("proxy_count", [200, 480])
def test_the_polls_of_a_large_fleet_in_an_outage_are_limited(proxy_count):
    """Compares the attempts of all proxies in each second with those that their watches need otherwise."""
    fleet = settled_fleet(proxy_count, granularity_ms=200.0)
    started_s = int(fleet.net.seconds())
    fleet.fail("down")
    fleet.run(12.0)
    attempts_per_s = [
        sum(fleet.attempts[10 * second + tenth] for tenth in range(10))
        for second in range(started_s, started_s + 12)
    ]
    # In the first second each proxy makes one attempt more: a watch that ends is opened again at once.
    assert attempts_per_s[0] <= 2 * proxy_count
    assert max(attempts_per_s[1:]) <= proxy_count, attempts_per_s  # No backoff is shorter than a second.
    assert sum(attempts_per_s[1:]) / 11 <= 3.0 * proxy_count / WATCH_WAIT_S, attempts_per_s


@pytest.mark.parametrize(("mode", "min_backoff_s"), [("pushed", 0.2), ("on_request", 1.0)])
def test_polls_do_not_multiply_while_discovery_stays_down(mode, min_backoff_s):
    # The fault: where lists are pushed, each failed poll caused two further ones, one after the backoff of
    # discovery and one after the balancer's. They rose from 5 a second to one in each tick of the timers.
    fleet = settled_fleet(4, changes={"membership-mode": mode})
    fleet.fail("down")
    fleet.run(20.0)
    first_tenth = int(10 * fleet.net.seconds())
    fleet.run(20.0)
    attempts = sum(fleet.attempts[first_tenth + tenth] for tenth in range(200))
    assert 0 < attempts <= 4 * 20.0 / min_backoff_s


def test_a_longer_backoff_would_let_a_change_arrive_too_late(monkeypatch):
    """Shows that the tests above can fail: a backoff like the balancer's longest delays a change too much."""
    monkeypatch.setattr(poll_backoff.PollBackoff, "record_failure", lambda backoff, elapsed_ms: 12_000.0)
    fleet = settled_fleet(8)
    fail_for(fleet, "down", 4.0)
    fleet.change()
    with pytest.raises(AssertionError):
        assert_all_learn_in_time(fleet)
