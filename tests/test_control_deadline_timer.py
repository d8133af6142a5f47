"""The timer of the control log's state machines: one call at the deadline that was set last."""

import pytest
from control_net_rig import Reactor

from cloverwell.control.net.deadline_timer import DeadlineTimer


@pytest.fixture
def reactor():
    return Reactor()


@pytest.fixture
def called_ms():
    """Returns a list that gets the time of each call, in ms."""
    return []


@pytest.fixture
def timer(reactor, called_ms):
    return DeadlineTimer(reactor, reactor.now_ms, lambda: called_ms.append(reactor.now_ms()))


def pass_time(reactor, ms):
    """Advances the clock in steps of 1 ms."""
    for _ in range(ms):
        reactor.advance(0.001)


def test_the_timer_calls_once_at_the_deadline(timer, reactor, called_ms):
    timer.set(50.0)
    pass_time(reactor, 200)
    assert called_ms == [pytest.approx(50.0, abs=1.0)]


@pytest.mark.parametrize("new_deadline_ms", [20.0, 90.0], ids=["earlier", "later"])
def test_a_new_deadline_replaces_the_old_one(timer, reactor, called_ms, new_deadline_ms):
    timer.set(50.0)
    timer.set(new_deadline_ms)
    pass_time(reactor, 200)
    assert called_ms == [pytest.approx(new_deadline_ms, abs=1.0)]


def test_a_deadline_in_the_past_is_due_in_the_next_turn_and_not_at_once(timer, reactor, called_ms):
    pass_time(reactor, 10)
    timer.set(5.0)
    assert called_ms == []
    reactor.advance(0.0)
    assert len(called_ms) == 1


def test_the_timer_may_be_set_again_from_within_its_call(reactor):
    called_ms = []

    def call():
        called_ms.append(reactor.now_ms())
        timer.set(reactor.now_ms() + 10.0)

    timer = DeadlineTimer(reactor, reactor.now_ms, call)
    timer.set(10.0)
    pass_time(reactor, 35)
    assert len(called_ms) == 3


def test_a_cancelled_deadline_does_not_call_and_another_may_be_set(timer, reactor, called_ms):
    timer.set(50.0)
    timer.cancel()
    timer.cancel()
    assert not reactor.getDelayedCalls()
    timer.set(80.0)
    pass_time(reactor, 200)
    assert called_ms == [pytest.approx(80.0, abs=1.0)]
