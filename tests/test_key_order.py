"""Per-key ordering: requests for one key, of ordered classes, are sent one at a time, oldest first."""

from balancer import api
from balancer.api import Status

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
