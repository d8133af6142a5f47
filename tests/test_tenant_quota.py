"""The quotas of tenants, of which each balancer grants its share."""

from balancer import api


def test_requests_beyond_a_quota_leave_capacity_for_other_tenants(drive):
    d = drive(servers=1, tenants=(api.Tenant(10.0), api.Tenant(100.0)), over_quota_importance=0.05)
    for i in range(60):
        d.ask(f"a{i}", tenant=0)
    name = d.ask("b", tenant=1)
    assert name in d.sends


def test_requests_beyond_a_quota_are_served_while_there_is_capacity(drive):
    d = drive(tenants=(api.Tenant(1.0),), over_quota_importance=0.05)
    for i in range(30):
        name = d.ask(f"k{i}", tenant=0)
        assert name not in d.ended
        d.serve(name, 5.0)


def test_a_tenant_whose_traffic_is_uneven_stays_within_its_quota(drive):
    # Traffic differs between zones, so a balancer may get more than its even share of a tenant's requests.
    d = drive(servers=1, peers_total=2, tenants=(api.Tenant(20.0),), over_quota_importance=0.05)
    names = [d.ask(f"k{i}", tenant=0) for i in range(11)]  # one more than an even share of a second's quota
    assert all(name in d.sends for name in names)


def test_a_share_of_less_than_one_request_still_permits_requests(drive):
    # With many balancers, the even share of a quota is less than one request, so that all requests counted as
    # beyond it.
    d = drive(servers=1, peers_total=200, tenants=(api.Tenant(100.0),), over_quota_importance=0.05)
    names = []
    for i in range(20):  # half a request per second: the even share of 100 at 200 balancers
        blocker = d.ask("blocker", cls=3) if i else None
        names.append(d.ask(f"k{i}", tenant=0))
        for name in (blocker, names[-1]):
            if name in d.sends:
                d.serve(name, 1.0)
        d.pass_time(2000)
    assert all(name in d.sends for name in names)
