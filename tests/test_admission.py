"""Requests that are dropped early, and the latency objectives that decide it."""

from balancer_helpers import drop_count, overdue_read

from balancer import api
from balancer.api import Status


def test_hundreds_of_balancers_drop_the_excess_load_together(drive):
    # A concurrency limit of one request per balancer limits nothing when there are hundreds of balancers. The
    # mean latency over all servers has to tell each balancer which share of its requests to drop.
    assert 100 < drop_count(drive, 40, 40, 40, 320.0, lambda d, name, i: d.serve(name, 320.0)) < 600


def test_requests_beyond_a_tenants_quota_are_dropped_first(drive):
    d = drive(
        servers=30, peers_total=40, tenants=(api.Tenant(1.0), api.Tenant(1e6)), over_quota_importance=0.05
    )
    for i in range(15):
        d.serve(d.ask(f"k{i}", tenant=1), 200.0)
    names = [[d.ask(f"x{tenant}-{i}", tenant=tenant) for i in range(30)] for tenant in (0, 1)]
    sent = [sum(name in d.sends for name in of_tenant) for of_tenant in names]
    assert sent[0] < 15
    assert sent[1] > 27


def test_load_is_shed_even_if_the_balancer_starts_during_an_overload(drive):
    # The lowest latency that the balancer had seen was that of the overload. A multiple of it lay beyond the
    # latency objective, so drops began too late.
    assert drop_count(drive, 10, 60, 110, 480.0, lambda d, name, i: d.serve(name, 480.0)) > 60


def test_timeouts_count_as_a_sign_of_overload(drive):
    # During an overload most attempts time out. If only the few answered ones counted, nothing would be
    # dropped.
    def end_attempt(d, name, i):
        d.serve(name, 100.0) if i % 2 else d.answer(name, Status.TIMEOUT, 1900.0)
        d.pass_time(100.0)

    assert drop_count(drive, 10, 40, 110, 100.0, end_attempt) > 40


def test_time_spent_on_earlier_attempts_counts_against_the_objective(drive):
    # Clients repeat a request with the time that is left. Without this rule, repeats that could no longer
    # meet their latency objective were half of the load of the cache servers.
    d = drive()
    for i in range(5):
        d.serve(d.ask(f"k{i}", left=1200.0), 10.0)
    in_time, too_late, write = (
        d.ask("a", left=1700.0),
        d.ask("b", left=900.0),
        d.ask("c", left=900.0, write=True),
    )
    assert too_late in d.ended
    assert in_time in d.sends
    assert write in d.sends
    assert d.timeouts_ms[in_time] < 200.0  # 300 ms of the objective of 500 ms have passed already


def test_a_single_timeout_does_not_count_as_an_overload(drive):
    # A single timeout tripled the mean latency, and 28% of the requests were rejected for it.
    d = drive()
    overdue = overdue_read(d)
    d.answer(overdue, Status.TIMEOUT, 1400.0)
    names = [d.ask(f"x{i}") for i in range(20)]
    assert all(name in d.sends for name in names)
