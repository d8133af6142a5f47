"""What several tests of the balancer share; `d` is the driver of conftest.py."""

from balancer import api
from balancer.api import Status
from balancer.balancer import RESUBSCRIBE_TOKEN


def warm_up(d, rounds=60):
    for i in range(rounds):
        d.serve(d.ask(f"warm{i}"), 60.0)


def mark_owner(d, key):
    """A failed connect marks the key's owner; the request is served by the next member."""
    owner = d.owner(key)
    name = d.ask(key)
    d.answer(name, Status.CONNECT_FAILED, after=1.0)
    d.serve(name, 1.0)
    return owner


def list_timers(actions):
    return [a.delay_ms for a in actions if isinstance(a, api.SetTimer) and a.token == RESUBSCRIBE_TOKEN]


def drops(drive, balancers, asks, peers, pause, answer):
    """How many requests of the later half the balancers refuse unsent; `answer` ends those that are sent."""
    dropped = 0
    for seed in range(balancers):
        d = drive(servers=30, seed=seed, peers_total=peers)
        for i in range(asks):
            name = d.ask(f"k{seed}-{i}", cls=3)
            answer(d, name, i) if name in d.sends else d.pass_time(pause)
            dropped += i >= asks // 2 and name in d.ended and name not in d.sends
    return dropped


def overdue_read(d, cls=3):
    """A read that is out for nine mean latencies at a server that answers others meanwhile."""
    for i in range(60):
        d.serve(d.ask(f"warm{i}", cls=cls), 60.0)
    late, other = d.ask("k", cls=cls), d.ask("k")
    assert d.sends[late] == d.sends[other]
    d.serve(other, 60.0)
    for _ in range(8):
        d.pass_time(60)
        d.owner("k")
    return late


SLOW_CLASSES = (
    api.RequestClass(aim_ms=1000.0, deadline_ms=2000.0),
    api.RequestClass(
        aim_ms=500.0, deadline_ms=1000.0, effect=api.Idempotency.KEYED, window_ms=2000.0, worth=10.0
    ),
)


def slow_origin(d, took=700.0, rounds=40):
    """Fetches that take so long, one after another."""
    for i in range(rounds):
        name = d.ask(f"slow{i}")
        d.answer(name, Status.MISS, 1.0)
        if len(d.sends[name]) > 1:
            d.serve(name, took)
