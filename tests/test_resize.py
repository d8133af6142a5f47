"""The number of balancers may change while they run: each one's part of all bounds follows."""

import pytest

from balancer import api
from cloverwell.facade import Facade


def sends(d, number):
    """Servers of the first sends of so many requests, none answered; None where it was refused or held."""
    names = [d.ask(f"k{i}", tenant=0) for i in range(number)]
    return [d.sends.get(name, [None])[0] for name in names]


@pytest.mark.parametrize(
    "more", [{}, {"zones": ("east", "west"), "cross_zone_cost": 0.5}], ids=["one", "zones"]
)
@pytest.mark.parametrize(("before", "after"), [(1, 12), (12, 1), (2, 3), (3, 8), (8, 3), (4, 4)])
def test_a_resized_balancer_decides_as_one_that_was_built_so(drive, before, after, more):
    more["tenants"] = (api.Tenant(40.0),)
    resized, built = drive(peers_total=before, **more), drive(peers_total=after, **more)
    servers = [api.ServerEntry(name, zone=number % 2) for number, name in enumerate(built.names)]
    for d in (resized, built):  # the same list, with servers in each zone
        d.list(api.ListKind.FULL, servers)
    resized.balancer.resize(after)
    assert sends(resized, 150) == sends(built, 150)


def out_at_most(d):
    return sum(server is not None for server in sends(d, 100))


def test_more_balancers_leave_each_a_smaller_bound(drive):
    alone = drive(servers=1, origin=False)
    assert (at_first := out_at_most(alone)) > 4
    many = drive(servers=1, origin=False)
    many.balancer.resize(8)
    assert 0 < out_at_most(many) <= at_first / 4


def test_a_bound_that_has_been_learnt_keeps_its_share_of_the_whole(drive):
    d = drive(servers=1, peers_total=2)
    for i in range(50):
        d.serve(d.ask(f"w{i}"), 5.0)
    server = d.balancer._servers["s0"]
    learnt = server.limit
    d.balancer.resize(4)
    assert server.limit == pytest.approx(learnt / 2)
    assert server.min_limit == 1.5
    d.balancer.resize(1000)
    assert server.limit == server.min_limit == 1.0


def test_the_facade_hands_the_new_size_on(drive):
    settings = drive(peers_total=2).settings
    facade = Facade(settings, 1, lambda: 0.0)
    facade.resize(7)
    assert facade.settings.peers_total == facade._balancer._settings.peers_total == 7
