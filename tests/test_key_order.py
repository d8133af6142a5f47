"""Per-key ordering: requests for one key, of ordered classes, are sent one at a time, oldest first."""

import pytest

from balancer import api
from balancer.api import Status
from balancer.balancer import WAKE_TOKEN
from balancer.timers import CLOCK_ROUNDING_MS, Timers

ORDERED = api.RequestClass(500.0, 2000.0, api.Idempotency.KEYED, dedup_window_ms=400.0, is_ordered=True)
OTHER = api.RequestClass(500.0, 1500.0, api.Idempotency.KEYED, dedup_window_ms=800.0, is_ordered=True)


def ordered_driver(drive, **settings):
    """Returns a driver with two ordered classes and one that is not, whose origin answers in 20 ms."""
    d = drive(classes=(ORDERED, OTHER, api.RequestClass(500.0, 2000.0)), **settings)
    for i in range(20):
        d.serve(d.ask(f"w{i}", write=True), 20.0)
    return d


def test_requests_for_one_key_are_sent_one_at_a_time_across_classes(drive):
    # Two writes of one key were in flight at the same time.
    d = ordered_driver(drive)
    first, second, third = (d.ask("a", cls=i % 2, write=True) for i in range(3))
    assert first in d.sends
    assert second not in d.sends
    assert third not in d.sends
    assert d.ask("b", write=True) in d.sends
    assert d.ask("a", cls=2) in d.sends
    assert d.ask(None, write=True) in d.sends
    d.answer(first, Status.ERROR, after=10.0)  # A retry of the same request does not wait.
    assert len(d.sends[first]) == 2
    assert second not in d.sends
    d.serve(first, 10.0)
    assert second in d.sends
    assert third not in d.sends
    d.serve(second, 10.0)
    assert third in d.sends


def test_the_next_request_is_sent_once_all_attempts_of_the_earlier_one_have_ended(drive):
    d = ordered_driver(drive)
    first, abandoned, third = (d.ask("a", write=True) for _ in range(3))
    d.handle(api.ClientGone(abandoned))
    d.handle(api.ClientGone(first))
    assert third not in d.sends  # The attempt of the first request is still in flight.
    d.handle(api.AttemptEnded(first, "origin", 0, Status.TIMEOUT, 1.0, True))
    assert third in d.sends
    assert abandoned not in d.sends


def test_a_key_waits_after_an_attempt_that_may_still_be_running(drive):
    d = ordered_driver(drive, in_doubt_hold_ms=100.0)
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
    assert not d.balancer._key_order.queues  # A key without requests leaves no queue behind.


def test_a_request_that_would_have_to_wait_too_long_is_rejected(drive):
    d = ordered_driver(drive)
    names = [d.ask("a", write=True) for _ in range(300)]
    assert names[-1] in d.ended
    assert names[1] not in d.ended
    d.pass_time(2000)
    assert set(names[1:]) <= set(d.ended)
    d.answer(names[0], Status.TIMEOUT)
    assert names[0] in d.ended
    assert not d.balancer._requests
    assert not d.balancer._key_order.queues


def test_many_queued_requests_for_one_key_that_end_together_do_not_crash(drive):
    # Each rejected request resumes the next one in a nested call, so a long queue could exceed the recursion
    # limit.
    d = drive(
        classes=(
            api.RequestClass(500.0, 5000.0, api.Idempotency.KEYED, dedup_window_ms=400.0, is_ordered=True),
        )
    )
    for i in range(60):  # The origin answers in 2 ms.
        name = d.ask(f"w{i}", left=5000.0)
        d.answer(name, Status.MISS, 1.0)
        d.serve(name, 2.0)
        d.pass_time(100)
    names = [d.ask("a", write=True, left=5000.0) for _ in range(900)]
    d.list(api.ListKind.FULL)
    d.answer(names[0], Status.ERROR, 1.0)
    assert set(names) <= set(d.ended)
    assert not d.balancer._key_order.queues


@pytest.mark.parametrize("early_ms", [0.0, CLOCK_ROUNDING_MS / 2.0, CLOCK_ROUNDING_MS])
def test_a_timer_that_comes_a_little_early_for_the_end_of_a_wait_is_not_set_without_end(
    drive, monkeypatch, early_ms
):
    # The failure: the call that asked for the next request was due, found that its key still had to wait, and
    # was scheduled for the same moment again, without end.
    d = ordered_driver(drive, in_doubt_hold_ms=100.0)
    first, second = (d.ask("a", write=True) for _ in range(2))
    d.handle(api.ClientGone(first))
    d.handle(api.AttemptEnded(first, "origin", 0, Status.CANCELLED, 1.0, True))
    scheduled = []
    schedule = Timers.schedule

    def record_and_schedule(timers, due_ms, callback, argument):
        scheduled.append(due_ms)
        assert len(scheduled) < 100, "scheduled without end"
        schedule(timers, due_ms, callback, argument)

    monkeypatch.setattr(Timers, "schedule", record_and_schedule)
    d.now = d.balancer._key_order.queues["a"].settled_at_ms - early_ms
    d.handle(api.TimerDue(WAKE_TOKEN))
    assert second in d.sends


def test_a_call_that_is_scheduled_by_a_due_call_is_made_with_the_next_timer():
    timers = Timers()
    calls = []

    def call_again(now, number):
        calls.append(number)
        timers.schedule(now, call_again, number + 1)

    timers.schedule(5.0, call_again, 1)
    for count in (1, 2, 3):
        assert timers.new_delays(5.0) == [0.0]
        for callback, argument in timers.pop_due(5.0):
            callback(5.0, argument)
            assert len(calls) <= count, "made without end"
        assert calls == list(range(1, count + 1))
