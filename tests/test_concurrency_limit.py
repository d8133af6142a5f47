"""The limit on the requests in flight at one server."""

from balancer_helpers import warm_up
from conftest import LATE

from balancer.api import Status


def test_the_limit_falls_when_a_server_is_full(drive):
    d = drive(servers=1)

    def sent_count():
        before = sum(len(attempts) for attempts in d.sends.values())
        names = [d.ask(f"x{i}", cls=3) for i in range(40)]
        sent = [name for name in names if name in d.sends]
        for name in sent:
            d.serve(name, 1.0)
        return sum(len(attempts) for attempts in d.sends.values()) - before

    first = sent_count()
    for _ in range(8):
        d.answer(d.ask("f", cls=3), Status.FULL, after=100.0)
    assert sent_count() < first < 40


def test_a_slow_server_keeps_as_many_requests_as_run_without_waiting(drive):
    # Throttled servers took 200 ms however few requests they had. Their limits fell to one request each, and
    # 12% of all requests found no server of their preference set with a free slot.
    d = drive(servers=1, peers_total=2)
    for i in range(80):
        d.serve(d.ask(f"k{i}", cls=3), 200.0 if i > 40 else 50.0)
    names = [d.ask(f"x{i}", cls=3) for i in range(12)]
    assert sum(name in d.sends for name in names) >= 3


def test_lost_requests_older_than_an_answered_one_do_not_lower_the_limit(drive):
    # Requests whose answers are lost with their connections stay in flight and grow old. They lowered the
    # limits of servers that answered others in 33 ms to three requests, and 43% of all requests found no free
    # slot.
    d = drive(servers=1, peers_total=1, classes=(LATE,))
    warm_up(d)
    for i in range(6):
        d.ask(f"lost{i}")
    for i in range(40):
        d.pass_time(40)
        d.serve(d.ask(f"k{i}"), 20.0)
    assert next(iter(d.balancer._servers.values())).limit >= 20.0
