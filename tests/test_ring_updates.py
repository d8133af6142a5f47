"""Updates of the rings give the same rings as building them anew, and cost only as much as what changed."""

from fractions import Fraction

from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import api, hash_ring
from balancer.api import ListKind, ServerState
from balancer.balancer import Balancer
from balancer.hash_ring import Ring, tokens
from balancer.latency import LatencyEstimate
from balancer.request_state import Server
from balancer.zone_rings import TOKENS_PER_SERVER, ZoneRings
from balancer.zone_weights import ZoneWeights

NAMES = [f"node-{number}" for number in range(9)]
WEIGHTS = (0.0, 0.1, 0.3, 0.7, 1.0, 2.5)
SERVER_COUNTS = (24, 96, 384)
ENTRY = st.builds(
    api.ServerEntry,
    st.sampled_from(NAMES),
    st.sampled_from(ServerState),
    st.sampled_from(WEIGHTS),
    st.sampled_from((0.0, 1.0, 5.0)),
    st.integers(0, 1),  # the machine type; the origin's is 1
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


class CountedToken(int):
    """A token that counts how often any token is compared, or looked up in a dict."""

    access_count = 0

    def __lt__(self, other):
        CountedToken.access_count += 1
        return int(self) < int(other)

    def __eq__(self, other):
        CountedToken.access_count += 1
        return int(self) == int(other)

    def __hash__(self):
        CountedToken.access_count += 1
        return hash(int(self))


def tokens_of(ring):
    return [(token, owner.entry.name) for token, owner in ring.clockwise(0)]


def expected_rings(options, servers):
    """Returns the tokens of the local and the remote ring, and the local share, by sorting all tokens."""
    cache_servers = [server for server in servers if not server.is_origin]
    largest = max((server.entry.weight for server in cache_servers), default=1.0)
    is_zoned = options.cross_zone_cost > 0 and len(options.zones) > 1
    has_few_balancers = is_zoned and options.peers_total < 4 * len(options.zones)
    local, remote = [], []
    for server in cache_servers:
        entry = server.entry
        size = entry.weight / largest if options.weighted_tokens and largest else 1.0
        pairs = [(token, entry.name) for token in tokens(entry.name, max(1, round(TOKENS_PER_SERVER * size)))]
        is_remote = is_zoned and entry.zone != options.zone
        local += [] if is_remote else pairs
        remote += pairs if is_remote or has_few_balancers else []
    local_share = Fraction(1)
    if is_zoned and not has_few_balancers:
        total = sum(Fraction(server.entry.weight) for server in cache_servers)
        local_weight = sum(Fraction(s.entry.weight) for s in cache_servers if s.entry.zone == options.zone)
        local_share = len(options.zones) * local_weight / max(total, Fraction(1e-9))
    return sorted(local), sorted(remote), local_share


@given(SETTINGS, LISTS)
@settings(deadline=None)
def test_after_any_lists_the_rings_are_as_if_built_anew(options, lists):
    balancer = Balancer(options, 1)
    for kind, entries in lists:
        balancer.handle(0.0, api.EndpointListChanged(kind, 0, tuple(entries)))
        servers = balancer._servers.values()
        local, remote, local_share = expected_rings(options, servers)
        assert tokens_of(balancer._rings.local) == local
        assert tokens_of(balancer._rings.remote) == remote
        assert abs(balancer._rings.local_share - local_share) <= 1e-12 * max(1, local_share)
        assert len(balancer._rings) == sum(not server.is_origin for server in servers)
        assert balancer._origins == [server for server in servers if server.is_origin]


@given(st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 20))), st.integers(0, 2**64 - 1))
def test_the_walk_from_any_position_yields_all_tokens_once_and_clockwise(changes, position):
    ring, token_counts = Ring(), {}
    for name, count in changes:  # a count of 0 removes the owner
        ring.add(name, name, count) if count else ring.remove(name)
        token_counts[name] = count
    expected = sorted((token, name) for name, count in token_counts.items() for token in tokens(name, count))
    ahead = [pair for pair in expected if pair[0] >= position]
    assert list(ring.clockwise(position)) == ahead + expected[: len(expected) - len(ahead)]
    assert len(ring) == sum(count > 0 for count in token_counts.values())


def accesses_of_one_change(server_count, monkeypatch):
    """Returns how often tokens are accessed as one server joins a fleet of that size, and as it leaves."""
    monkeypatch.setattr(
        hash_ring, "tokens", lambda name, count: [CountedToken(token) for token in tokens(name, count)]
    )
    balancer = Balancer(api.Settings((api.RequestClass(100.0, 500.0),)), 1)
    entries = tuple(api.ServerEntry(f"s{number}") for number in range(server_count))
    balancer.handle(0.0, api.EndpointListChanged(ListKind.FULL, 1, entries))
    access_counts = []
    for state in (ServerState.READY, ServerState.GONE):
        CountedToken.access_count = 0
        entry = api.ServerEntry("new", state)
        balancer.handle(0.0, api.EndpointListChanged(ListKind.DELTA, 2, (entry,)))
        access_counts.append(CountedToken.access_count)
    return access_counts


def test_a_change_of_one_server_accesses_its_own_tokens_and_few_others(monkeypatch):
    for server_count in SERVER_COUNTS:
        joining, leaving = accesses_of_one_change(server_count, monkeypatch)
        # Each token has a place among the dozens of tokens of its bucket, and one in the table of owners.
        assert joining <= 16 * TOKENS_PER_SERVER
        assert leaving <= 16 * TOKENS_PER_SERVER


class CountingServer(Server):
    """A server that counts how often the entry of any server is read."""

    __slots__ = ()
    read_count = 0

    def __getattribute__(self, name):
        CountingServer.read_count += name == "entry"
        return super().__getattribute__(name)


def counting_server(name, **fields):
    return CountingServer(
        api.ServerEntry(name, **fields), False, LatencyEstimate(1.0), LatencyEstimate(1.0), 1.0, 1.0
    )


def test_a_change_reads_only_the_entries_of_the_servers_that_it_names():
    for server_count in SERVER_COUNTS:
        for weighted in (False, True):
            rings = ZoneRings(api.Settings((api.RequestClass(100.0, 500.0),), weighted_tokens=weighted))
            rings.update([], [counting_server(f"s{number}", weight=2.0) for number in range(server_count)])
            new = counting_server("new")
            CountingServer.read_count = 0
            rings.update([], [new])
            rings.update([new], [])
            assert 0 < CountingServer.read_count <= 12


def test_with_weighted_tokens_a_new_largest_server_resizes_all():
    rings = ZoneRings(api.Settings((api.RequestClass(100.0, 500.0),), weighted_tokens=True))
    small, large = counting_server("small", weight=1.0), counting_server("large", weight=4.0)
    rings.update([], [small])
    assert len(tokens_of(rings.local)) == TOKENS_PER_SERVER
    rings.update([], [large])
    assert len(tokens_of(rings.local)) == TOKENS_PER_SERVER + TOKENS_PER_SERVER // 4
    rings.update([large], [])
    assert len(tokens_of(rings.local)) == TOKENS_PER_SERVER


@given(st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 2), st.sampled_from(WEIGHTS))))
def test_sums_of_weights_do_not_depend_on_the_order_in_which_servers_came(changes):
    weights, latest = ZoneWeights(), {}
    for name, zone, weight in changes:
        weights.put(name, zone, weight)
        latest[name] = zone, weight
    reordered = ZoneWeights()
    for name in sorted(latest, reverse=True):
        reordered.put(name, *latest[name])
    assert weights.total == reordered.total
    assert weights.largest == reordered.largest
    assert all(weights.in_zone(zone) == reordered.in_zone(zone) for zone in range(3))
    for name in latest:
        weights.remove(name)
    assert (len(weights), weights.total, weights.largest) == (0, 0.0, 1.0)
