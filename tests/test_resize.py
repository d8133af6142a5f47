"""The number of balancers may change while they run; a balancer's share of every limit then follows."""

import pytest

from balancer import api
from cloverwell.facade import Facade


def first_servers(d, request_count):
    """Returns the server of each request's first attempt, or None if the request was refused or is held."""
    requests = [d.ask(f"k{i}", tenant=0) for i in range(request_count)]
    return [d.sends.get(request, [None])[0] for request in requests]


@pytest.mark.parametrize(
    "more", [{}, {"zones": ("east", "west"), "cross_zone_cost": 0.5}], ids=["one", "zones"]
)
@pytest.mark.parametrize(("before", "after"), [(1, 12), (12, 1), (2, 3), (3, 8), (8, 3), (4, 4)])
def test_a_resized_balancer_decides_as_a_new_one_of_that_size(drive, before, after, more):
    more["tenants"] = (api.Tenant(40.0),)
    resized, new = drive(peers_total=before, **more), drive(peers_total=after, **more)
    entries = [api.ServerEntry(name, zone=number % 2) for number, name in enumerate(new.names)]
    for d in (resized, new):  # both get the same list, with servers in each zone
        d.list(api.ListKind.FULL, entries)
    resized.balancer.resize(after)
    assert first_servers(resized, 150) == first_servers(new, 150)


def max_in_flight(d):
    return sum(server is not None for server in first_servers(d, 100))


def test_each_of_more_balancers_has_a_lower_concurrency_limit(drive):
    alone = drive(servers=1, origin=False)
    assert (limit_alone := max_in_flight(alone)) > 4
    one_of_eight = drive(servers=1, origin=False)
    one_of_eight.balancer.resize(8)
    assert 0 < max_in_flight(one_of_eight) <= limit_alone / 4


def test_a_learnt_concurrency_limit_is_divided_anew(drive):
    d = drive(servers=1, peers_total=2)
    for i in range(50):
        d.serve(d.ask(f"w{i}"), 5.0)
    server = d.balancer._servers["s0"]
    limit = server.limit
    d.balancer.resize(4)
    assert server.limit == pytest.approx(limit / 2)
    assert server.min_limit == 1.5
    d.balancer.resize(1000)
    assert server.limit == server.min_limit == 1.0


def test_the_facade_passes_the_new_number_of_balancers_on(drive):
    settings = drive(peers_total=2).settings
    facade = Facade(settings, 1, lambda: 0.0)
    facade.resize(7)
    assert facade.settings.peers_total == facade._balancer._settings.peers_total == 7
