"""The origin's places: what hangs gives way, a slow origin gets no more, and nothing is out twice."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer import api, origin_slots
from balancer.api import Status
from balancer.latency import LatencyEstimate
from balancer.origin_slots import OVERDUE_FACTOR, TRIAL_INTERVAL_MS
from balancer.request_state import Server

READ = api.RequestClass(aim_ms=800.0, deadline_ms=2000.0)
WRITES = {
    effect: api.RequestClass(aim_ms=1500.0, deadline_ms=14_000.0, effect=effect, window_ms=1000.0)
    for effect in (api.Idempotency.KEYED, api.Idempotency.UNSAFE)
}


def learnt(drive, effect=api.Idempotency.KEYED, **settings):
    """A balancer whose origin answers within 200 ms."""
    d = drive(classes=(READ, WRITES[effect]), **settings)
    for number in range(30):
        name = d.ask(f"warm{number}")
        d.answer(name, Status.MISS, 1.0)
        d.serve(name, 200.0)
    return d


def hang_writes(d):
    """Writes that fill the origin's places, and of which nothing is heard any more."""
    hung = []
    while not hung or hung[-1] in d.sends:
        hung.append(d.ask(f"w{len(hung)}", cls=1, left=14_000.0, write=True))
    return hung[:-1]


def ask_for_a_miss(d, key):
    name = d.ask(key)
    d.answer(name, Status.MISS, 1.0)
    return name


@pytest.mark.parametrize("effect", WRITES)
@pytest.mark.parametrize("second_copies", [True, False])
def test_writes_that_hang_do_not_lock_the_origin_until_their_deadline(drive, effect, second_copies):
    # lesrooster-nl split+brink, seed 13: three writes hung from 10.0 s on, and till their deadline at 19.7 s
    # the proxy asked nothing of an origin that answered the others from 15 s on.
    d = learnt(drive, effect, may_copy=second_copies)
    hung = hang_writes(d)
    d.pass_time(4000)  # the cut ends
    served = []
    for number in range(20):
        name = ask_for_a_miss(d, f"k{number}")
        d.pass_time(TRIAL_INTERVAL_MS)
        if name not in d.ended and d.sends[name][-1] == "origin":
            d.serve(name, 0.0)
            served.append(name)
    assert len(served) >= 18
    assert all(d.sends[name] == ["origin"] for name in hung)  # not one of the writes went out again


def test_a_silent_origin_gets_one_trial_at_a_time_beyond_its_bound(drive):
    d = learnt(drive)
    origin = d.balancer._servers["origin"]
    hung = hang_writes(d)
    d.pass_time(4000)
    for number in range(40):
        ask_for_a_miss(d, f"k{number}")
        d.pass_time(25)
    # In a second, the second when the first was overdue.
    assert len(origin.in_flight) - len(hung) == 2
    assert len(hung) > origin.limit


def test_an_origin_that_grows_slow_gets_no_trial(drive, monkeypatch):
    d = learnt(drive)
    hang_writes(d)
    select_origin = origin_slots.select_origin

    def within_bounds(origins, usual_ms, now):
        origin = select_origin(origins, usual_ms, now)
        assert origin is None or len(origin.in_flight) < origin.limit
        return origin

    monkeypatch.setattr(origin_slots, "select_origin", within_bounds)
    origin = d.balancer._servers["origin"]
    served = 0
    for number in range(200):  # first come, first served, one each 300 ms: many seconds for each
        served += bool(origin.in_flight)
        if origin.in_flight:
            d.serve(next(iter(origin.in_flight))[0], 0.0)
        d.ask(f"x{number}", cls=1, left=14_000.0, write=True)
        ask_for_a_miss(d, f"k{number}")
        d.pass_time(299)
    assert served > 150


attempts = st.lists(st.floats(0.0, 10_000.0), min_size=1, max_size=30)


def server_with(ages, now, limit, last_response_ms, overtaken_ms):
    server = Server(
        api.ServerEntry("origin"), True, LatencyEstimate(500.0), LatencyEstimate(500.0), limit, 2.0
    )
    server.in_flight = {(str(number), 0): (None, now - age) for number, age in enumerate(ages)}
    server.last_response_ms, server.newest_answered_sent_ms = last_response_ms, overtaken_ms
    return server


@given(attempts, st.floats(2.0, 30.0), st.floats(0.0, 10_000.0), st.floats(10.0, 2000.0))
def test_beyond_its_bound_an_origin_gets_something_only_when_silent_and_with_nothing_young_out(
    ages, limit, heard_ago, usual
):
    now = 100_000.0
    server = server_with(ages, now, limit, now - heard_ago, -math.inf)
    sent = origin_slots.can_send(server, usual, now)
    if len(ages) < limit:
        assert sent
    elif sent:
        assert heard_ago >= OVERDUE_FACTOR * usual
        assert min(ages) >= OVERDUE_FACTOR * usual
        assert not origin_slots.can_send(server, usual, now + TRIAL_INTERVAL_MS / 2)  # and not at once again
    else:
        assert heard_ago < OVERDUE_FACTOR * usual or min(ages) < OVERDUE_FACTOR * usual


@given(attempts, st.floats(0.0, 10_000.0), st.floats(10.0, 2000.0))
def test_only_what_a_later_one_overtook_long_ago_gives_its_place_back(ages, overtaken_ago, usual):
    now = 100_000.0
    server = server_with(ages, now, 5.0, now, now - overtaken_ago)
    lost = [age for age in ages if age > OVERDUE_FACTOR * usual and age > overtaken_ago + usual]
    # Floating point: an age right at the edge may fall either way.
    edge = [a for a in ages if min(abs(a - OVERDUE_FACTOR * usual), abs(a - overtaken_ago - usual)) < 1e-6]
    assert abs(origin_slots.slots_in_use(server, usual, now) - (len(ages) - len(lost))) <= len(edge)
