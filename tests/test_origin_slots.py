"""The origin's slots: attempts that hang lose theirs, and a slow origin gets no attempts beyond its limit."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer import api, origin_slots
from balancer.api import Status
from balancer.latency import LatencyEstimate
from balancer.origin_slots import OVERDUE_FACTOR, TRIAL_INTERVAL_MS
from balancer.request_state import Server

READ = api.RequestClass(latency_objective_ms=800.0, deadline_ms=2000.0)
WRITES = {
    effect: api.RequestClass(
        latency_objective_ms=1500.0, deadline_ms=14_000.0, idempotency=effect, dedup_window_ms=1000.0
    )
    for effect in (api.Idempotency.KEYED, api.Idempotency.UNSAFE)
}


def warmed_up_driver(drive, effect=api.Idempotency.KEYED, **settings):
    """Returns a driver whose balancer has learnt that the origin answers within 200 ms."""
    d = drive(classes=(READ, WRITES[effect]), **settings)
    for number in range(30):
        name = d.ask(f"warm{number}")
        d.answer(name, Status.MISS, 1.0)
        d.serve(name, 200.0)
    return d


def hang_writes(d):
    """Sends writes that are never answered until the origin has no free slot; returns those in flight."""
    hung = []
    while not hung or hung[-1] in d.sends:
        hung.append(d.ask(f"w{len(hung)}", cls=1, left=14_000.0, write=True))
    return hung[:-1]


def ask_for_a_miss(d, key):
    """Sends a read that misses at its cache server, so that it needs the origin."""
    name = d.ask(key)
    d.answer(name, Status.MISS, 1.0)
    return name


@pytest.mark.parametrize("effect", WRITES)
@pytest.mark.parametrize("second_copies", [True, False])
def test_writes_that_hang_do_not_lock_the_origin_until_their_deadline(drive, effect, second_copies):
    # Three writes hung when the network to the origin was cut, and occupied all slots. Until their deadline,
    # 9.7 s later, the proxy sent nothing to the origin, though it had long been answering other proxies
    # again.
    d = warmed_up_driver(drive, effect, may_hedge=second_copies)
    hung = hang_writes(d)
    d.pass_time(4000)  # Then the network is repaired.
    served = []
    for number in range(20):
        name = ask_for_a_miss(d, f"k{number}")
        d.pass_time(TRIAL_INTERVAL_MS)
        if name not in d.ended and d.sends[name][-1] == "origin":
            d.serve(name, 0.0)
            served.append(name)
    assert len(served) >= 18
    assert all(d.sends[name] == ["origin"] for name in hung)  # None of the writes was sent again.


def test_a_silent_origin_gets_one_trial_at_a_time_beyond_its_bound(drive):
    d = warmed_up_driver(drive)
    origin = d.balancer._servers["origin"]
    hung = hang_writes(d)
    d.pass_time(4000)
    for number in range(40):
        ask_for_a_miss(d, f"k{number}")
        d.pass_time(25)
    # In one second there are two trials: the second one starts when the first is overdue.
    assert len(origin.in_flight) - len(hung) == 2
    assert len(hung) > origin.limit


def test_an_origin_that_becomes_slow_gets_no_trial(drive, monkeypatch):
    d = warmed_up_driver(drive)
    hang_writes(d)
    select_origin = origin_slots.select_origin

    def select_within_limit(origins, usual_ms, now):
        origin = select_origin(origins, usual_ms, now)
        assert origin is None or len(origin.in_flight) < origin.limit
        return origin

    monkeypatch.setattr(origin_slots, "select_origin", select_within_limit)
    origin = d.balancer._servers["origin"]
    served_count = 0
    # The origin answers one attempt each 300 ms, the oldest first, so each waits for many seconds.
    for number in range(200):
        served_count += bool(origin.in_flight)
        if origin.in_flight:
            d.serve(next(iter(origin.in_flight))[0], 0.0)
        d.ask(f"x{number}", cls=1, left=14_000.0, write=True)
        ask_for_a_miss(d, f"k{number}")
        d.pass_time(299)
    assert served_count > 150


attempts = st.lists(st.floats(0.0, 10_000.0), min_size=1, max_size=30)


def server_with(ages_ms, now, limit, last_response_ms, newest_answered_sent_ms):
    """Returns an origin with attempts in flight of these ages."""
    server = Server(
        api.ServerEntry("origin"), True, LatencyEstimate(500.0), LatencyEstimate(500.0), limit, 2.0
    )
    server.in_flight = {(str(number), 0): (None, now - age_ms) for number, age_ms in enumerate(ages_ms)}
    server.last_response_ms, server.newest_answered_sent_ms = last_response_ms, newest_answered_sent_ms
    return server


@given(attempts, st.floats(2.0, 30.0), st.floats(0.0, 10_000.0), st.floats(10.0, 2000.0))
def test_an_origin_gets_an_attempt_beyond_its_limit_only_when_silent_and_without_recent_attempts(
    ages_ms, limit, silent_ms, usual_ms
):
    now = 100_000.0
    server = server_with(ages_ms, now, limit, now - silent_ms, -math.inf)
    may_send = origin_slots.can_send(server, usual_ms, now)
    if len(ages_ms) < limit:
        assert may_send
    elif may_send:
        assert silent_ms >= OVERDUE_FACTOR * usual_ms
        assert min(ages_ms) >= OVERDUE_FACTOR * usual_ms
        # The next trial has to wait.
        assert not origin_slots.can_send(server, usual_ms, now + TRIAL_INTERVAL_MS / 2)
    else:
        assert silent_ms < OVERDUE_FACTOR * usual_ms or min(ages_ms) < OVERDUE_FACTOR * usual_ms


@given(attempts, st.floats(0.0, 10_000.0), st.floats(10.0, 2000.0))
def test_only_an_attempt_older_than_one_answered_long_ago_loses_its_slot(ages_ms, answered_age_ms, usual_ms):
    now = 100_000.0
    server = server_with(ages_ms, now, 5.0, now, now - answered_age_ms)
    lost = [age for age in ages_ms if age > OVERDUE_FACTOR * usual_ms and age > answered_age_ms + usual_ms]
    # Floating-point rounding may put an age close to the threshold on either side of it.
    close = [
        attempt_age
        for attempt_age in ages_ms
        if min(abs(attempt_age - OVERDUE_FACTOR * usual_ms), abs(attempt_age - answered_age_ms - usual_ms))
        < 1e-6
    ]
    assert abs(origin_slots.slots_in_use(server, usual_ms, now) - (len(ages_ms) - len(lost))) <= len(close)
