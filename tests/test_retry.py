"""Hedged reads, and attempts that must not be repeated."""

import pytest
from balancer_helpers import out_of_two, warm_up

from balancer import api
from balancer.api import Status


def test_begun_stream_is_left_alone(drive):
    stream = api.RequestClass(latency_objective_ms=500.0, deadline_ms=2000.0, is_stream=True)
    d = drive(classes=(stream,), origin=False)
    name = d.ask()
    d.handle(api.StreamStarted(name, d.sends[name][0], 0))
    d.pass_time(5000)
    assert not d.cancels
    assert name not in d.ended


def test_a_read_on_a_connection_that_fell_silent_goes_again_to_the_server_that_answers_others(drive):
    # Silent days: 2% of the attempts got no byte on connections that had answered before, and waited on.
    d = drive(may_hedge=True)
    late = out_of_two(d)
    assert d.sends[late] == [d.sends[late][0]] * 2
    assert not d.cancels
    assert not d.logs
    d.answer(late, Status.OK, 60.0)
    assert d.cancels == [(late, 0)]
    # It was worth it: the next is sent again sooner.
    d.handle(api.AttemptEnded(late, d.sends[late][0], 0, Status.CANCELLED, 1.0, True))
    assert d.balancer._hedges.delay < 8.0
    assert not d.balancer._requests
    assert not any(server.in_flight for server in d.balancer._servers.values())


def test_where_the_first_copy_answers_after_all_the_next_is_sent_again_later(drive):
    d = drive(may_hedge=True)
    late = out_of_two(d)
    d.handle(api.AttemptEnded(late, d.sends[late][0], 0, Status.OK, 1060.0, True))
    assert d.cancels == [(late, 1)]
    assert d.balancer._hedges.delay > 8.0


def test_a_second_copy_that_misses_goes_on_to_the_origin(drive):
    d = drive(may_hedge=True)
    late = out_of_two(d)
    d.answer(late, Status.MISS, 1.0)
    d.handle(api.AttemptEnded(late, d.sends[late][0], 0, Status.CANCELLED, 1.0))
    assert d.sends[late][2] == "origin"


@pytest.mark.parametrize("write", [False, True])
def test_a_request_that_may_not_run_twice_gets_no_second_copy(drive, write):
    d = drive(may_hedge=True)
    warm_up(d)
    d.ask("k", cls=2, write=write)
    for _ in range(3):
        d.serve(d.ask("k", cls=2, write=write), 60.0)
    d.pass_time(1500)
    assert all(len(servers) == 1 for servers in d.sends.values())
