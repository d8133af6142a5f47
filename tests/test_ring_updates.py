"""The rings as lists change them: equal to rings built anew, at the cost of what changed."""

from fractions import Fraction

from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import api
from balancer import hash_ring as ring
from balancer.api import ListKind, ServerState
from balancer.balancer import Balancer
from balancer.hash_ring import Ring, tokens
from balancer.latency import LatencyEstimate
from balancer.request_state import Server
from balancer.zone_rings import TOKENS_PER_SERVER, ZoneRings
from balancer.zone_weights import ZoneWeights

NAMES = [f"node-{number}" for number in range(9)]
WEIGHTS = (0.0, 0.1, 0.3, 0.7, 1.0, 2.5)
SIZES = (24, 96, 384)  # servers
ENTRY = st.builds(
    api.ServerEntry,
    st.sampled_from(NAMES),
    st.sampled_from(ServerState),
    st.sampled_from(WEIGHTS),
    st.sampled_from((0.0, 1.0, 5.0)),
    st.integers(0, 1),  # 1 is the origin's kind
    st.integers(0, 3),
)
LISTS = st.lists(
    st.tuples(
        st.sampled_from((ListKind.CACHED, ListKind.DELTA, ListKind.DELTA, ListKind.FULL)),
        st.lists(ENTRY, max_size=6),
    ),
    max_size=12,
)
SETTINGS = st.builds(
    api.Settings,
    classes=st.just((api.RequestClass(100.0, 500.0),)),
    peers_total=st.sampled_from((1, 2, 40)),
    origin_machine_type=st.sampled_from((-1, 1)),
    zones=st.sampled_from((("a",), ("a", "b"), ("a", "b", "c", "d"))),
    cross_zone_cost=st.sampled_from((0.0, 0.5)),
    weighted_tokens=st.booleans(),
)


class Counted(int):
    """A token that counts how often it is compared, or looked up in a dict."""

    looks = 0

    def __lt__(self, other):
        Counted.looks += 1
        return int(self) < int(other)

    def __eq__(self, other):
        Counted.looks += 1
        return int(self) == int(other)

    def __hash__(self):
        Counted.looks += 1
        return hash(int(self))


def order(one):
    return [(token, owner.entry.server) for token, owner in one.clockwise(0)]


def built_anew(options, servers):
    """The rings as one list with all of the servers makes them, by sorting all tokens."""
    caches = [server for server in servers if not server.origin]
    largest = max((server.entry.weight for server in caches), default=1.0)
    zoned = options.cross_zone_cost > 0 and len(options.zones) > 1
    few = zoned and options.peers_total < 4 * len(options.zones)
    home, abroad = [], []
    for server in caches:
        entry = server.entry
        size = entry.weight / largest if options.weighted_tokens and largest else 1.0
        found = [
            (token, entry.server) for token in tokens(entry.server, max(1, round(TOKENS_PER_SERVER * size)))
        ]
        far = zoned and entry.zone != options.zone
        home += [] if far else found
        abroad += found if far or few else []
    part = Fraction(1)
    if zoned and not few:
        total = sum(Fraction(server.entry.weight) for server in caches)
        mine = sum(Fraction(s.entry.weight) for s in caches if s.entry.zone == options.zone)
        part = len(options.zones) * mine / max(total, Fraction(1e-9))
    return sorted(home), sorted(abroad), part


@given(SETTINGS, LISTS)
@settings(deadline=None)
def test_after_any_lists_all_is_as_if_built_anew(options, lists):
    balancer = Balancer(options, 1)
    for kind, entries in lists:
        balancer.handle(0.0, api.EndpointListChanged(kind, 0, tuple(entries)))
        servers = balancer._servers.values()
        home, abroad, part = built_anew(options, servers)
        assert order(balancer._rings.local) == home
        assert order(balancer._rings.remote) == abroad
        assert abs(balancer._rings.local_share - part) <= 1e-12 * max(1, part)
        assert len(balancer._rings) == sum(not server.origin for server in servers)
        assert balancer._origins == [server for server in servers if server.origin]


@given(st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 20))), st.integers(0, 2**64 - 1))
def test_a_ring_goes_clockwise_from_any_place_over_all_its_tokens_once(changes, place):
    one, held = Ring(), {}
    for name, number in changes:  # 0 takes it out
        one.add(name, name, number) if number else one.remove(name)
        held[name] = number
    expected = sorted((token, name) for name, number in held.items() for token in tokens(name, number))
    ahead = [entry for entry in expected if entry[0] >= place]
    assert list(one.clockwise(place)) == ahead + expected[: len(expected) - len(ahead)]
    assert len(one) == sum(number > 0 for number in held.values())


def looks_of_one_change(total, monkeypatch):
    """How often tokens are looked at as one server joins such a fleet, and leaves it."""
    monkeypatch.setattr(ring, "tokens", lambda name, count: [Counted(token) for token in tokens(name, count)])
    balancer = Balancer(api.Settings((api.RequestClass(100.0, 500.0),)), 1)
    fleet = tuple(api.ServerEntry(f"s{number}") for number in range(total))
    balancer.handle(0.0, api.EndpointListChanged(ListKind.FULL, 1, fleet))
    looks = []
    for state in (ServerState.READY, ServerState.GONE):
        Counted.looks = 0
        entry = api.ServerEntry("fresh", state)
        balancer.handle(0.0, api.EndpointListChanged(ListKind.DELTA, 2, (entry,)))
        looks.append(Counted.looks)
    return looks


def test_a_change_of_one_server_looks_at_its_own_tokens_and_few_others(monkeypatch):
    for total in SIZES:
        joins, leaves = looks_of_one_change(total, monkeypatch)
        # Into, and out of, its place among some dozens of a bucket, and of the owners' table.
        assert joins <= 16 * TOKENS_PER_SERVER
        assert leaves <= 16 * TOKENS_PER_SERVER


class Asked(Server):
    """A server that counts how often its entry is read."""

    __slots__ = ()
    reads = 0

    def __getattribute__(self, name):
        Asked.reads += name == "entry"
        return super().__getattribute__(name)


def asked(name, **fields):
    return Asked(api.ServerEntry(name, **fields), False, LatencyEstimate(1.0), LatencyEstimate(1.0), 1.0, 1.0)


def test_a_change_reads_the_entries_of_those_it_names_alone():
    for total in SIZES:
        for fixed in (False, True):
            rings = ZoneRings(api.Settings((api.RequestClass(100.0, 500.0),), weighted_tokens=fixed))
            rings.update([], [asked(f"s{number}", weight=2.0) for number in range(total)])
            fresh = asked("fresh")
            Asked.reads = 0
            rings.update([], [fresh])
            rings.update([fresh], [])
            assert 0 < Asked.reads <= 12


def test_where_sizes_count_a_new_largest_resizes_all():
    rings = ZoneRings(api.Settings((api.RequestClass(100.0, 500.0),), weighted_tokens=True))
    small, large = asked("small", weight=1.0), asked("large", weight=4.0)
    rings.update([], [small])
    assert len(order(rings.local)) == TOKENS_PER_SERVER
    rings.update([], [large])
    assert len(order(rings.local)) == TOKENS_PER_SERVER + TOKENS_PER_SERVER // 4
    rings.update([large], [])
    assert len(order(rings.local)) == TOKENS_PER_SERVER


@given(st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 2), st.sampled_from(WEIGHTS))))
def test_sums_of_weights_do_not_depend_on_the_order_in_which_servers_came(changes):
    weights, last = ZoneWeights(), {}
    for name, zone, weight in changes:
        weights.put(name, zone, weight)
        last[name] = zone, weight
    again = ZoneWeights()
    for name in sorted(last, reverse=True):
        again.put(name, *last[name])
    assert weights.total == again.total
    assert weights.largest == again.largest
    assert all(weights.in_zone(zone) == again.in_zone(zone) for zone in range(3))
    for name in last:
        weights.remove(name)
    assert (len(weights), weights.total, weights.largest) == (0, 0.0, 1.0)
