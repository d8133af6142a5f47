"""Cold servers get their share of the traffic of all balancers together, however many balancers there are."""

import pytest

from balancer import api, preference_set
from balancer.balancer import Balancer
from balancer.hash_ring import ring_position
from balancer.preference_set import MAX_SKIPS_BEFORE_COLD, preference_order
from lab.endpoint_registry import EndpointRegistry
from lab.invariant_checker import InvariantChecker
from lab.scenario import InvariantLimits, load
from lab.simulation import Simulation

START_CAPACITY = 0.14  # the part of its full capacity that a server has at its start
WARM_UP_MS = 20_000.0
SERVER_COUNT = 40
POSITIONS = [ring_position(f"key {number}") for number in range(8000)]


def balancer_with_cold_servers(
    cold_count, seed=1, peers_total=30, server_count=SERVER_COUNT, zone_count=1, **more
):
    """Returns a balancer with `server_count` servers, of which the first `cold_count` have just started."""
    settings = api.Settings(
        classes=(api.RequestClass(500.0, 2000.0),),
        start_capacity=START_CAPACITY,
        warm_up_ms=WARM_UP_MS,
        peers_total=peers_total,
        zones=tuple(f"z{zone}" for zone in range(zone_count)),
        **more,
    )
    balancer = Balancer(settings, seed)
    entries = [
        api.ServerEntry(f"s{n}", started_ms=100.0 * (n < cold_count), zone=n % zone_count)
        for n in range(server_count)
    ]
    balancer.handle(100.0, api.EndpointListChanged(api.ListKind.FULL, 1, tuple(entries)))
    return balancer


def first_servers(balancer, now=100.0):
    """Returns the first server in each key's preference order; None where it has no servers."""
    servers = (
        next(preference_order(now, position, 1, balancer._rings, balancer._slow_start), None)
        for position in POSITIONS
    )
    return [server and server.entry.name for server in servers]


@pytest.mark.parametrize("cold_count", [4, 20, 36, 40])
@pytest.mark.parametrize("age_ms", [0.0, 5000.0])
def test_a_cold_server_gets_at_most_twice_its_share_of_the_keys(cold_count, age_ms):
    # In a fleet that is mostly cold, the keys that each cold server did not take went to the next cold one,
    # which got up to seven times its share.
    first = first_servers(balancer_with_cold_servers(cold_count), 100.0 + age_ms)
    capacity = START_CAPACITY + (1.0 - START_CAPACITY) * age_ms / WARM_UP_MS
    mean_keys = sum(first.count(f"s{n}") for n in range(cold_count)) / cold_count
    fair_keys = capacity * len(POSITIONS) / SERVER_COUNT
    assert 0.7 * fair_keys < mean_keys < 1.1 * (1 + MAX_SKIPS_BEFORE_COLD) * fair_keys


def test_all_balancers_agree_on_the_keys_of_a_cold_server():
    # Only then does a cold server get its share of the whole traffic, however unevenly the balancers are
    # loaded and whatever number of balancers the settings state.
    expected = first_servers(balancer_with_cold_servers(20))
    for seed, peers_total in ((2, 30), (3, 1), (4, 5), (5, 480), (6, 1024)):
        assert first_servers(balancer_with_cold_servers(20, seed, peers_total)) == expected


def test_a_zone_whose_servers_are_all_cold_sends_its_other_keys_to_other_zones():
    # There are three zones with enough balancers each. Only the servers of the local zone are cold.
    balancer = balancer_with_cold_servers(0, server_count=39, zone_count=3, cross_zone_cost=0.05)
    entries = [api.ServerEntry(f"s{n}", started_ms=100.0 * (n % 3 == 0), zone=n % 3) for n in range(39)]
    balancer.handle(100.0, api.EndpointListChanged(api.ListKind.FULL, 2, tuple(entries)))
    first = first_servers(balancer)
    local_share = sum(name is not None and int(name[1:]) % 3 == 0 for name in first) / len(POSITIONS)
    assert local_share < 1.1 * (1 + MAX_SKIPS_BEFORE_COLD) * START_CAPACITY
    assert None not in first


def test_a_cold_server_gets_no_hot_keys(drive):
    d = drive(servers=3, start_capacity=0.2, warm_up_ms=20_000.0, may_hedge=False)
    d.list(api.ListKind.DELTA, [api.ServerEntry("s9", started_ms=d.now)])
    owners = {key: d.owner(key) for key in (f"k{number}" for number in range(300))}
    cold_keys = [key for key, server in owners.items() if server == "s9"]
    assert cold_keys
    for _ in range(60):  # two keys become hot
        for key in cold_keys[:2]:
            d.owner(key)
    assert "s9" not in {d.owner(key) for key in cold_keys[:2]}


# The invariant checker, and fleets in the simulation ----------------------------------------------


@pytest.mark.parametrize("capacity", [0.05, 0.5, 5.0])
def test_the_checker_reports_a_cold_node_that_gets_one_request_more_than_its_limit(capacity):
    # The limit is N + 2 * sqrt(N) + 2 requests, N being `fall_asked_times` what the node can do in `fall_s`.
    mean_work_s = 0.02
    mean_limit = 3.0 * capacity * 2.0 / mean_work_s
    limit = mean_limit + 2.0 * mean_limit**0.5 + 2.0
    checker = InvariantChecker(rules=InvariantLimits(0.5, 2.0, 3.0))
    for number in range(int(limit) + 1):
        checker.work(1.0 + number * 1e-5, "node", mean_work_s, capacity, True, mean_work_s)
    assert checker.counts["cold"] == 1


@pytest.mark.parametrize(("told_share", "is_breach"), [(0.6, False), (0.7, True)])
def test_the_checker_counts_only_requests_of_proxies_that_were_told_of_the_start(told_share, is_breach):
    checker = InvariantChecker(rules=InvariantLimits(0.5, 2.0, 3.0))
    for number in range(400):
        checker.work(1.0, "node", 0.02, 0.5, True, 0.02, told=number % 10 < 10 * told_share, done_s=0.0)
    assert bool(checker.counts["cold"]) == is_breach


@pytest.mark.parametrize("seed", [1, 2])
def test_thirty_proxies_do_not_overload_a_zone_that_comes_back_cold(seed):
    summary = Simulation(load("throng"), seed).run()
    assert not any(summary["rules"].values()), summary["breaches"]
    assert summary["coldest_load"] < 0.95, summary["ends"]
    assert summary["service"] > 0.8, summary["ends"]


def test_a_zone_that_comes_back_with_its_clock_an_hour_slow_is_not_overloaded(monkeypatch):
    # The endpoint list gave start times that were an hour too early, so the proxies took the cold nodes for
    # warm ones and overloaded them.
    start_ms = EndpointRegistry.start_ms
    start_ms_by_slow_clock = staticmethod(lambda node: max(0, start_ms(node) - 3_600_000))
    monkeypatch.setattr(EndpointRegistry, "start_ms", start_ms_by_slow_clock)
    summary = Simulation(load("throng"), 1).run()
    assert not any(summary["rules"].values()), summary["breaches"]
    assert summary["service"] > 0.8, summary["ends"]


@pytest.mark.parametrize("seed", [1, 3])
def test_the_checker_reports_cold_nodes_that_get_the_keys_of_other_cold_nodes(monkeypatch, seed):
    # Without the limits on skipped tokens, the next cold node gets each key that a cold node does not take.
    monkeypatch.setattr(preference_set, "MAX_SKIPS_BEFORE_COLD", 1 << 30)
    monkeypatch.setattr(preference_set, "MAX_SKIPS", 1 << 30)
    assert Simulation(load("throng"), seed).run()["rules"]["cold"] >= 2
