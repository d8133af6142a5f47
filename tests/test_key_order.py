"""Requests with one key, of classes that run in order: one at a time, in the order of their arrival."""

from balancer import api
from balancer.api import Status

ORDERED = api.RequestClass(500.0, 2000.0, api.Idempotency.KEYED, dedup_window_ms=400.0, is_ordered=True)
OTHER = api.RequestClass(500.0, 1500.0, api.Idempotency.KEYED, dedup_window_ms=800.0, is_ordered=True)


def ordered(drive, **settings):
    d = drive(classes=(ORDERED, OTHER, api.RequestClass(500.0, 2000.0)), **settings)
    for i in range(20):  # the origin is quick
        d.serve(d.ask(f"w{i}", write=True), 20.0)
    return d


def test_requests_with_one_key_run_in_turn_across_classes(drive):
    # bauakte-bayern rough-1: two writes of one key were out at once.
    d = ordered(drive)
    first, second, third = (d.ask("a", cls=i % 2, write=True) for i in range(3))
    assert first in d.sends
    assert second not in d.sends
    assert third not in d.sends
    assert d.ask("b", write=True) in d.sends
    assert d.ask("a", cls=2) in d.sends
    assert d.ask(None, write=True) in d.sends
    d.answer(first, Status.ERROR, after=10.0)  # its own retry is not held back
    assert len(d.sends[first]) == 2
    assert second not in d.sends
    d.serve(first, 10.0)
    assert second in d.sends
    assert third not in d.sends
    d.serve(second, 10.0)
    assert third in d.sends


def test_the_turn_passes_when_the_attempts_of_the_earlier_are_over(drive):
    d = ordered(drive)
    first, gone, third = (d.ask("a", write=True) for _ in range(3))
    d.handle(api.ClientGone(gone))
    d.handle(api.ClientGone(first))
    assert third not in d.sends  # the first one's attempt has no outcome yet
    d.handle(api.AttemptEnded(first, "origin", 0, Status.TIMEOUT, 1.0, True))
    assert third in d.sends
    assert gone not in d.sends


def test_a_key_rests_after_an_attempt_that_may_still_run(drive):
    d = ordered(drive, in_doubt_hold_ms=100.0)
    first, second = (d.ask("a", write=True) for _ in range(2))
    d.handle(api.ClientGone(first))
    d.handle(api.AttemptEnded(first, "origin", 0, Status.CANCELLED, 1.0, True))
    later = d.ask("a", write=True)
    d.pass_time(100)
    assert second not in d.sends
    d.pass_time(5)
    assert second in d.sends
    assert later not in d.sends
    d.serve(second, 10.0)
    d.serve(later, 10.0)
    d.pass_time(200)
    assert not d.balancer._key_order.queues  # keys that are done leave nothing


def test_a_request_whose_turn_comes_too_late_is_refused(drive):
    d = ordered(drive)
    names = [d.ask("a", write=True) for _ in range(300)]
    assert names[-1] in d.ended
    assert names[1] not in d.ended
    d.pass_time(2000)
    assert set(names[1:]) <= set(d.ended)
    d.answer(names[0], Status.TIMEOUT)
    assert names[0] in d.ended
    assert not d.balancer._requests
    assert not d.balancer._key_order.queues


def test_a_long_line_of_one_key_that_ends_at_once_is_no_crash(drive):
    # Read in the code: each refused request hands the turn on, one call deep in the other.
    d = drive(
        classes=(
            api.RequestClass(500.0, 5000.0, api.Idempotency.KEYED, dedup_window_ms=400.0, is_ordered=True),
        )
    )
    for i in range(60):  # the origin is quick
        name = d.ask(f"w{i}", left=5000.0)
        d.answer(name, Status.MISS, 1.0)
        d.serve(name, 2.0)
        d.pass_time(100)
    names = [d.ask("a", write=True, left=5000.0) for _ in range(900)]
    d.list(api.ListKind.FULL)
    d.answer(names[0], Status.ERROR, 1.0)
    assert set(names) <= set(d.ended)
    assert not d.balancer._key_order.queues
