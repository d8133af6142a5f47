"""Helpers that several tests of the balancer share; the argument `d` is the `Driver` of conftest.py."""

from balancer import api
from balancer.api import Status
from balancer.balancer import RESUBSCRIBE_TOKEN


def warm_up(d, rounds=60):
    """Serves reads of many keys in 60 ms each, so that the balancer knows the usual latency."""
    for i in range(rounds):
        d.serve(d.ask(f"warm{i}"), 60.0)


def eject_owner(d, key):
    """Ejects the server that owns the key by a failed connect, and returns the server's name.

    The request is then served by the next server of the preference set.
    """
    owner = d.owner(key)
    name = d.ask(key)
    d.answer(name, Status.CONNECT_FAILED, after=1.0)
    d.serve(name, 1.0)
    return owner


def list_call_delays_ms(actions):
    """Returns the delays of the calls for the endpoint list that the actions schedule."""
    return [a.delay_ms for a in actions if isinstance(a, api.SetTimer) and a.token == RESUBSCRIBE_TOKEN]


def drop_count(drive, balancers, requests, peers, pause_ms, end_attempt):
    """Returns how many requests of the later half the balancers reject without sending them.

    Each request that is sent is ended by `end_attempt(driver, name, number)`; after each other one `pause_ms`
    pass.
    """
    dropped = 0
    for seed in range(balancers):
        d = drive(servers=30, seed=seed, peers_total=peers)
        for i in range(requests):
            name = d.ask(f"k{seed}-{i}", cls=3)
            end_attempt(d, name, i) if name in d.sends else d.pass_time(pause_ms)
            dropped += i >= requests // 2 and name in d.ended and name not in d.sends
    return dropped


def overdue_read(d, cls=3):
    """Returns a read without an answer for nine mean latencies, whose server has answered other reads."""
    for i in range(60):
        d.serve(d.ask(f"warm{i}", cls=cls), 60.0)
    overdue, answered = d.ask("k", cls=cls), d.ask("k")
    assert d.sends[overdue] == d.sends[answered]
    d.serve(answered, 60.0)
    for _ in range(8):
        d.pass_time(60)
        d.owner("k")
    return overdue


SLOW_CLASSES = (
    api.RequestClass(latency_objective_ms=1000.0, deadline_ms=2000.0),
    api.RequestClass(
        latency_objective_ms=500.0,
        deadline_ms=1000.0,
        idempotency=api.Idempotency.KEYED,
        dedup_window_ms=2000.0,
        importance=10.0,
    ),
)


def slow_down_origin(d, latency_ms=700.0, rounds=40):
    """Has the origin answer fetches after `latency_ms`, one after another."""
    for i in range(rounds):
        name = d.ask(f"slow{i}")
        d.answer(name, Status.MISS, 1.0)
        if len(d.sends[name]) > 1:
            d.serve(name, latency_ms)
