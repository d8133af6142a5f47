"""Properties of the ring, seen through handle()."""

from collections import Counter

from balancer import api
from balancer.hash_ring import ring_position, tokens
from balancer.zone_rings import TOKENS_PER_SERVER

KEYS = [f"key-{i}" for i in range(600)]


def owners(d, keys=KEYS):
    return {key: d.owner(key) for key in keys}


def test_keys_spread_evenly_and_stay(drive):
    d = drive(servers=5)
    first = owners(d)
    assert owners(d) == first
    counts = Counter(first.values())
    assert set(counts) == set(d.names)
    assert max(counts.values()) < 1.5 * len(KEYS) / 5


def test_two_balancers_agree_whatever_their_seed(drive):
    assert owners(drive(seed=1)) == owners(drive(seed=99))


def test_a_server_that_leaves_moves_only_its_own_keys(drive):
    d = drive(servers=5)
    before = owners(d)
    d.list(api.ListKind.DELTA, [api.ServerEntry("s2", api.ServerState.GONE)])
    after = owners(d)
    assert all(after[key] == before[key] for key in KEYS if before[key] != "s2")
    assert "s2" not in after.values()


def test_a_server_that_joins_takes_keys_and_moves_no_others(drive):
    d = drive(servers=4)
    before = owners(d)
    d.list(api.ListKind.DELTA, [api.ServerEntry("s9")])
    after = owners(d)
    moved = [key for key in KEYS if after[key] != before[key]]
    assert moved
    assert all(after[key] == "s9" for key in moved)
    assert len(moved) < 0.35 * len(KEYS)


def test_tokens_follow_fixed_sizes_only(drive):
    def share(**settings):
        d = drive(servers=0, **settings)
        d.list(api.ListKind.FULL, [api.ServerEntry("a", weight=3.0), api.ServerEntry("b", weight=1.0)])
        return Counter(owners(d).values())["a"] / len(KEYS)

    assert 0.65 < share(weighted_tokens=True) < 0.85
    assert 0.38 < share(weighted_tokens=False) < 0.62


def test_the_walk_wraps_to_zero(drive):
    # With one server every key has it as owner, also keys after the ring's last token.
    d = drive(servers=1)
    end = tokens("s0", TOKENS_PER_SERVER)[-1]
    past = [key for key in (f"key-{i}" for i in range(100_000)) if ring_position(key) > end]
    assert past
    assert set(owners(d, past[:5]).values()) == {"s0"}


def test_origin_is_never_on_the_ring(drive):
    assert "origin" not in owners(drive(servers=2)).values()


def test_requests_without_key_spread(drive):
    d = drive(origin=False)
    assert len({d.owner(None) for _ in range(60)}) == 4


def test_same_seed_and_events_same_actions(drive):
    def run():
        d = drive(origin=False)
        return [d.owner(None) for _ in range(50)]

    assert run() == run()


def test_cold_server_takes_a_growing_part_of_its_tokens(drive):
    d = drive(servers=4, start_capacity=0.2, warm_up_ms=10_000.0)
    for _ in range(2):
        owners(d)
        d.pass_time(100)
    d.list(api.ListKind.DELTA, [api.ServerEntry("s9", started_ms=d.now)])
    cold = {key for key, server in owners(d, KEYS[:300]).items() if server == "s9"}
    d.pass_time(10_000)
    warm = {key for key, server in owners(d, KEYS[:300]).items() if server == "s9"}
    assert cold < warm
    assert len(cold) < 0.5 * len(warm)


def test_shares_do_not_depend_on_the_unit_of_weights(drive):
    def owners_by(unit):
        d = drive(servers=0, weighted_tokens=True)
        weights = {"a": 3.0, "b": 1.0, "c": 2.0}
        d.list(api.ListKind.FULL, [api.ServerEntry(name, weight=unit * w) for name, w in weights.items()])
        return owners(d, KEYS[:200])

    assert owners_by(1.0) == owners_by(400.0) == owners_by(0.01)


def test_a_largest_server_that_comes_or_goes_leaves_one_ring(drive):
    def fleet(*weights):
        return [api.ServerEntry(f"s{w}", weight=float(w)) for w in weights]

    d, fresh = drive(servers=0, weighted_tokens=True), drive(servers=0, weighted_tokens=True)
    d.list(api.ListKind.FULL, fleet(1, 2, 9))
    d.list(api.ListKind.FULL, fleet(1, 2, 4))
    fresh.list(api.ListKind.FULL, fleet(1, 2, 4))
    assert owners(d, KEYS[:200]) == owners(fresh, KEYS[:200])
