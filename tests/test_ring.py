"""Properties of the ring, checked by the servers that a balancer selects for keys."""

from collections import Counter

from balancer import api
from balancer.hash_ring import ring_position, tokens
from balancer.zone_rings import TOKENS_PER_SERVER

KEYS = [f"key-{i}" for i in range(600)]


def owners(d, keys=KEYS):
    """Returns the server that each key's request is sent to."""
    return {key: d.owner(key) for key in keys}


def test_keys_spread_evenly_and_keep_their_servers(drive):
    d = drive(servers=5)
    first = owners(d)
    assert owners(d) == first
    counts = Counter(first.values())
    assert set(counts) == set(d.names)
    assert max(counts.values()) < 1.5 * len(KEYS) / 5


def test_balancers_with_different_seeds_agree(drive):
    assert owners(drive(seed=1)) == owners(drive(seed=99))


def test_a_server_that_leaves_moves_only_its_own_keys(drive):
    d = drive(servers=5)
    before = owners(d)
    d.list(api.ListKind.DELTA, [api.ServerEntry("s2", api.ServerState.GONE)])
    after = owners(d)
    assert all(after[key] == before[key] for key in KEYS if before[key] != "s2")
    assert "s2" not in after.values()


def test_a_server_that_joins_takes_keys_and_no_others_move(drive):
    d = drive(servers=4)
    before = owners(d)
    d.list(api.ListKind.DELTA, [api.ServerEntry("s9")])
    after = owners(d)
    moved = [key for key in KEYS if after[key] != before[key]]
    assert moved
    assert all(after[key] == "s9" for key in moved)
    assert len(moved) < 0.35 * len(KEYS)


def test_tokens_follow_weights_only_where_the_settings_say_so(drive):
    def share_of_heavier(**settings):
        d = drive(servers=0, **settings)
        d.list(api.ListKind.FULL, [api.ServerEntry("a", weight=3.0), api.ServerEntry("b", weight=1.0)])
        return Counter(owners(d).values())["a"] / len(KEYS)

    assert 0.65 < share_of_heavier(weighted_tokens=True) < 0.85
    assert 0.38 < share_of_heavier(weighted_tokens=False) < 0.62


def test_the_walk_wraps_to_zero(drive):
    # A single server owns every key, also the keys whose positions are after the ring's last token.
    d = drive(servers=1)
    last_token = tokens("s0", TOKENS_PER_SERVER)[-1]
    keys = [key for key in (f"key-{i}" for i in range(100_000)) if ring_position(key) > last_token]
    assert keys
    assert set(owners(d, keys[:5]).values()) == {"s0"}


def test_the_origin_is_never_on_the_ring(drive):
    assert "origin" not in owners(drive(servers=2)).values()


def test_requests_without_a_key_spread_over_all_servers(drive):
    d = drive(origin=False)
    assert len({d.owner(None) for _ in range(60)}) == 4


def test_the_same_seed_and_events_give_the_same_actions(drive):
    def run():
        d = drive(origin=False)
        return [d.owner(None) for _ in range(50)]

    assert run() == run()


def test_a_cold_server_activates_more_of_its_tokens_as_it_warms_up(drive):
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
    def owners_with_weights_in(unit):
        d = drive(servers=0, weighted_tokens=True)
        weights = {"a": 3.0, "b": 1.0, "c": 2.0}
        d.list(api.ListKind.FULL, [api.ServerEntry(name, weight=unit * w) for name, w in weights.items()])
        return owners(d, KEYS[:200])

    assert owners_with_weights_in(1.0) == owners_with_weights_in(400.0) == owners_with_weights_in(0.01)


def test_rings_are_as_if_built_anew_after_the_largest_server_has_left(drive):
    def entries(*weights):
        return [api.ServerEntry(f"s{w}", weight=float(w)) for w in weights]

    d, new = drive(servers=0, weighted_tokens=True), drive(servers=0, weighted_tokens=True)
    d.list(api.ListKind.FULL, entries(1, 2, 9))
    d.list(api.ListKind.FULL, entries(1, 2, 4))
    new.list(api.ListKind.FULL, entries(1, 2, 4))
    assert owners(d, KEYS[:200]) == owners(new, KEYS[:200])
