"""The limit on the requests in flight at one server."""

from balancer_helpers import warm_up
from conftest import LATE

from balancer.api import Status


def test_bound_shrinks_when_a_server_is_full(drive):
    d = drive(servers=1)

    def room():
        before = sum(len(s) for s in d.sends.values())
        names = [d.ask(f"x{i}", cls=3) for i in range(40)]
        sent = [n for n in names if n in d.sends]
        for n in sent:
            d.serve(n, 1.0)
        return sum(len(s) for s in d.sends.values()) - before

    first = room()
    for _ in range(8):
        d.answer(d.ask("f", cls=3), Status.FULL, after=100.0)
    assert room() < first < 40


def test_a_slow_server_keeps_as_many_requests_as_run_without_waiting(drive):
    # Churn days: throttled servers took 200 ms however few they had, their bounds fell to one request each,
    # and 12% of all requests found no member with room.
    d = drive(servers=1, peers_total=2)
    for i in range(80):
        d.serve(d.ask(f"k{i}", cls=3), 200.0 if i > 40 else 50.0)
    names = [d.ask(f"x{i}", cls=3) for i in range(12)]
    assert sum(name in d.sends for name in names) >= 3


def test_requests_that_later_ones_overtook_do_not_cut_a_servers_bound(drive):
    # Churn days: answers lost on their connections grew old among what is out. Servers that answered
    # in 33 ms had bounds of three, and 43% of all requests found no member with room.
    d = drive(servers=1, peers_total=1, classes=(LATE,))
    warm_up(d)
    for i in range(6):
        d.ask(f"lost{i}")
    for i in range(40):
        d.pass_time(40)
        d.serve(d.ask(f"k{i}"), 20.0)
    assert next(iter(d.balancer._servers.values())).limit >= 20.0
