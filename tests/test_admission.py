"""Requests that are dropped early, and the latency objectives that decide it."""

from balancer_helpers import drops, out_of_two

from balancer import api
from balancer.api import Status


def test_hundreds_drop_the_part_that_jams(drive):
    # Bounds of one, times hundreds of balancers, bound nothing: the pooled latency tells the part to drop.
    assert 100 < drops(drive, 40, 40, 40, 320.0, lambda d, name, i: d.serve(name, 320.0)) < 600


def test_traffic_beyond_a_share_is_dropped_before_the_rest(drive):
    d = drive(
        servers=30, peers_total=40, tenants=(api.Tenant(1.0), api.Tenant(1e6)), over_quota_importance=0.05
    )
    for i in range(15):
        d.serve(d.ask(f"k{i}", tenant=1), 200.0)
    names = [[d.ask(f"x{tenant}-{i}", tenant=tenant) for i in range(30)] for tenant in (0, 1)]
    sent = [sum(name in d.sends for name in some) for some in names]
    assert sent[0] < 15
    assert sent[1] > 27


def test_a_day_that_begins_in_a_jam_is_shed_all_the_same(drive):
    # Incident i26d0ea: the lowest latency seen was a jam's, and early drops would have begun past the aim.
    assert drops(drive, 10, 60, 110, 480.0, lambda d, name, i: d.serve(name, 480.0)) > 60


def test_time_outs_tell_of_a_jam_too(drive):
    # Incidents i26d0ea, i9a95f6: most attempts timed out, and the few that were answered told of no jam.
    def answer(d, name, i):
        d.serve(name, 100.0) if i % 2 else d.answer(name, Status.TIMEOUT, 1900.0)
        d.pass_time(100.0)

    assert drops(drive, 10, 40, 110, 100.0, answer) > 40


def test_time_spent_on_tries_before_counts_against_the_aim(drive):
    # bauakte-bayern overload: repeats, useless from the start, were half of what the caches were sent.
    d = drive()
    for i in range(5):
        d.serve(d.ask(f"k{i}", left=1200.0), 10.0)
    useful, useless, write = (
        d.ask("a", left=1700.0),
        d.ask("b", left=900.0),
        d.ask("c", left=900.0, write=True),
    )
    assert useless in d.ended
    assert useful in d.sends
    assert write in d.sends
    assert d.timeouts_ms[useful] < 200.0  # 300 ms of the aim of 500 went by before


def test_one_time_out_does_not_read_as_a_jam(drive):
    # Silent days: a single time-out tripled the mean latency, and 28% of the requests were refused for it.
    d = drive()
    late = out_of_two(d)
    d.answer(late, Status.TIMEOUT, 1400.0)
    names = [d.ask(f"x{i}") for i in range(20)]
    assert all(name in d.sends for name in names)
