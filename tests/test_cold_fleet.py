"""Cold servers under the sum of all balancers: each its share, whoever carries the traffic."""

import pytest

from balancer import api, preference_set
from balancer.balancer import Balancer
from balancer.hash_ring import ring_position
from balancer.preference_set import MAX_SKIPS_BEFORE_COLD, preference_list
from lab.endpoint_registry import EndpointRegistry
from lab.invariant_checker import InvariantChecker
from lab.scenario import InvariantLimits, load
from lab.simulation import Simulation

START = 0.14  # what a server can do at its start: the least that a site has named
WARM_UP_MS = 20_000.0
SERVERS = 40
KEYS = [ring_position(f"key {number}") for number in range(8000)]


def balancer(cold, seed=1, peers=30, servers=SERVERS, zones=1, **more):
    """Of `servers`, the first `cold` have just started."""
    settings = api.Settings(
        classes=(api.RequestClass(500.0, 2000.0),),
        start_capacity=START,
        warm_up_ms=WARM_UP_MS,
        peers_total=peers,
        zones=tuple(f"z{zone}" for zone in range(zones)),
        **more,
    )
    made = Balancer(settings, seed)
    entries = [
        api.ServerEntry(f"s{n}", started_ms=100.0 * (n < cold), zone=n % zones) for n in range(servers)
    ]
    made.handle(100.0, api.EndpointListChanged(api.ListKind.FULL, 1, tuple(entries)))
    return made


def owners(made, now=100.0):
    """Whom each key is asked of first; None: nobody on the rings."""
    found = (next(preference_list(now, place, 1, made._rings, made._slow_start), None) for place in KEYS)
    return [server and server.entry.server for server in found]


@pytest.mark.parametrize("cold", [4, 20, 36, 40])
@pytest.mark.parametrize("age_ms", [0.0, 5000.0])
def test_a_cold_server_gets_its_share_and_no_more_than_as_much_again_of_what_others_leave(cold, age_ms):
    # Seen: where most are cold, what each left went to the next cold one, up to seven times its share.
    asked = owners(balancer(cold), 100.0 + age_ms)
    share = START + (1.0 - START) * age_ms / WARM_UP_MS
    mean = sum(asked.count(f"s{n}") for n in range(cold)) / cold
    fair = share * len(KEYS) / SERVERS
    assert 0.7 * fair < mean < 1.1 * (1 + MAX_SKIPS_BEFORE_COLD) * fair


def test_all_balancers_agree_on_what_a_cold_server_is_asked():
    # So the sum over the fleet is that share of the traffic, however unevenly it is carried, and whatever the
    # settings say of the fleet's size.
    wanted = owners(balancer(20))
    for seed, peers in ((2, 30), (3, 1), (4, 5), (5, 480), (6, 1024)):
        assert owners(balancer(20, seed, peers)) == wanted


def test_a_zone_that_is_all_cold_sends_abroad_what_it_can_not_carry():
    # Three zones with enough balancers each: at home all are cold, elsewhere none.
    made = balancer(0, servers=39, zones=3, cross_zone_cost=0.05)
    entries = [api.ServerEntry(f"s{n}", started_ms=100.0 * (n % 3 == 0), zone=n % 3) for n in range(39)]
    made.handle(100.0, api.EndpointListChanged(api.ListKind.FULL, 2, tuple(entries)))
    asked = owners(made)
    at_home = sum(name is not None and int(name[1:]) % 3 == 0 for name in asked) / len(KEYS)
    assert at_home < 1.1 * (1 + MAX_SKIPS_BEFORE_COLD) * START
    assert None not in asked


def test_hot_keys_and_keys_that_others_pass_by_are_not_for_a_cold_server(drive):
    d = drive(servers=3, start_capacity=0.2, warm_up_ms=20_000.0, may_hedge=False)
    d.list(api.ListKind.DELTA, [api.ServerEntry("s9", started_ms=d.now)])
    asked = {key: d.owner(key) for key in (f"k{number}" for number in range(300))}
    mine = [key for key, server in asked.items() if server == "s9"]
    assert mine
    for _ in range(60):  # each of them draws a part of the traffic
        for key in mine[:2]:
            d.owner(key)
    assert "s9" not in {d.owner(key) for key in mine[:2]}


# The judge, and a fleet in the lab ----------------------------------------------------------------


@pytest.mark.parametrize("capacity", [0.05, 0.5, 5.0])
def test_the_judge_lets_a_cold_node_fall_where_the_page_does(capacity):
    mean_s = 0.02
    allowed = 3.0 * capacity * 2.0 / mean_s
    page = allowed + 2.0 * allowed**0.5 + 2.0
    judge = InvariantChecker(rules=InvariantLimits(0.5, 2.0, 3.0))
    for number in range(int(page) + 1):
        judge.work(1.0 + number * 1e-5, "node", mean_s, capacity, True, mean_s)
    assert judge.counts["cold"] == 1


@pytest.mark.parametrize(("knowing", "breaks"), [(0.6, False), (0.7, True)])
def test_the_judge_asks_who_had_been_told_of_the_start(knowing, breaks):
    judge = InvariantChecker(rules=InvariantLimits(0.5, 2.0, 3.0))
    for number in range(400):
        judge.work(1.0, "node", 0.02, 0.5, True, 0.02, told=number % 10 < 10 * knowing, done_s=0.0)
    assert bool(judge.counts["cold"]) == breaks


@pytest.mark.parametrize("seed", [1, 2])
def test_thirty_proxies_do_not_push_a_zone_over_that_comes_back_cold(seed):
    summary = Simulation(load("throng"), seed).run()
    assert not any(summary["rules"].values()), summary["breaches"]
    assert summary["coldest_load"] < 0.95, summary["ends"]
    assert summary["service"] > 0.8, summary["ends"]


def test_a_zone_that_comes_back_after_its_clock_was_stepped_back_is_not_pushed_over(monkeypatch):
    """Seen: told as an hour old, its nodes were taken for warm, and seven of them fell."""
    start_ms = EndpointRegistry.start_ms
    earlier_ms = staticmethod(lambda node: max(0, start_ms(node) - 3_600_000))
    monkeypatch.setattr(EndpointRegistry, "start_ms", earlier_ms)
    summary = Simulation(load("throng"), 1).run()
    assert not any(summary["rules"].values()), summary["breaches"]
    assert summary["service"] > 0.8, summary["ends"]


@pytest.mark.parametrize("seed", [1, 3])
def test_the_judge_catches_a_fleet_whose_cold_nodes_get_what_the_others_leave(monkeypatch, seed):
    monkeypatch.setattr(preference_set, "MAX_SKIPS_BEFORE_COLD", 1 << 30)
    monkeypatch.setattr(preference_set, "MAX_SKIPS", 1 << 30)
    assert Simulation(load("throng"), seed).run()["rules"]["cold"] >= 2
