"""Hedged reads, and requests that must not get a second attempt."""

import pytest
from balancer_helpers import overdue_read, warm_up

from balancer import api
from balancer.api import Status


def test_a_request_whose_stream_has_begun_gets_no_further_attempt(drive):
    stream_class = api.RequestClass(latency_objective_ms=500.0, deadline_ms=2000.0, is_stream=True)
    d = drive(classes=(stream_class,), origin=False)
    name = d.ask()
    d.handle(api.StreamStarted(name, d.sends[name][0], 0))
    d.pass_time(5000)
    assert not d.cancels
    assert name not in d.ended


def test_a_read_on_a_silent_connection_is_hedged_at_the_same_server(drive):
    # Some connections that have answered before fall silent (2% of the attempts met one), while the server
    # answers on others. An attempt on a silent connection would wait until its deadline.
    d = drive(may_hedge=True)
    hedged = overdue_read(d)
    assert d.sends[hedged] == [d.sends[hedged][0]] * 2
    assert not d.cancels
    assert not d.logs
    d.answer(hedged, Status.OK, 60.0)
    assert d.cancels == [(hedged, 0)]
    # The hedged attempt was answered first, so the next read is hedged sooner.
    d.handle(api.AttemptEnded(hedged, d.sends[hedged][0], 0, Status.CANCELLED, 1.0, True))
    assert d.balancer._hedges.delay_factor < 8.0
    assert not d.balancer._requests
    assert not any(server.in_flight for server in d.balancer._servers.values())


def test_a_first_attempt_that_is_answered_before_its_hedge_raises_the_delay(drive):
    d = drive(may_hedge=True)
    hedged = overdue_read(d)
    d.handle(api.AttemptEnded(hedged, d.sends[hedged][0], 0, Status.OK, 1060.0, True))
    assert d.cancels == [(hedged, 1)]
    assert d.balancer._hedges.delay_factor > 8.0


def test_a_hedged_attempt_that_misses_continues_at_the_origin(drive):
    d = drive(may_hedge=True)
    hedged = overdue_read(d)
    d.answer(hedged, Status.MISS, 1.0)
    d.handle(api.AttemptEnded(hedged, d.sends[hedged][0], 0, Status.CANCELLED, 1.0))
    assert d.sends[hedged][2] == "origin"


@pytest.mark.parametrize("write", [False, True])
def test_a_request_that_must_not_run_twice_is_not_hedged(drive, write):
    d = drive(may_hedge=True)
    warm_up(d)
    d.ask("k", cls=2, write=write)
    for _ in range(3):
        d.serve(d.ask("k", cls=2, write=write), 60.0)
    d.pass_time(1500)
    assert all(len(servers) == 1 for servers in d.sends.values())
