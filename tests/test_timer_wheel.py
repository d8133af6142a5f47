"""The timer wheel agrees with a sorted list of its timers, for any times of its wake-ups."""

import math
from functools import partial

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from cloverwell.timer_wheel import SLOTS, TimerWheel

START_MS = (0.0, 0.75, 123_456.789, 4.0e9 + 0.3)
HOUR_MS = 3_600_000.0


class WakeUps:
    """A reactor whose one delayed call is made by its monotonic clock, and otherwise only as the test says.

    `wall_ms` is the wall clock; nothing here goes by it, as in the reactor that the proxy runs on.
    """

    def __init__(self, now_ms):
        self.now_ms = now_ms
        self.wall_ms = 1.7e12
        self.calls = []  # when, call

    def now(self):
        return self.now_ms

    def callLater(self, delay_s, call):
        assert delay_s >= 0.0
        self.calls.append((self.now_ms + delay_s * 1000.0, call))

    def wake(self):
        """Makes the call that is set, due or not."""
        assert len(self.calls) == 1, "the wheel keeps one delayed call"
        self.calls.pop()[1]()

    def due(self):
        return self.calls[0][0] <= self.now_ms

    def pass_time(self, ms):
        """Each call in its time, as an idle loop makes them."""
        end_ms = self.now_ms + ms
        while self.calls[0][0] <= end_ms:
            self.now_ms = max(self.now_ms, self.calls[0][0])
            self.wake()
        self.now_ms = end_ms


def wheel_on(reactor, granularity_ms):
    timer_wheel = TimerWheel(reactor, granularity_ms, reactor.now)
    timer_wheel.start()
    return timer_wheel


class ModelCheck:
    """A wheel and its model: a list of (tick, name), where names count up in the order of adding."""

    def __init__(self, start_ms, granularity_ms):
        self.reactor = WakeUps(start_ms)
        self.timer_wheel = wheel_on(self.reactor, granularity_ms)
        self.granularity_ms = granularity_ms
        self.reached = math.floor(start_ms / granularity_ms)  # the last tick that a wake-up has passed
        self.timers = {}  # name -> the wheel's
        self.model = []
        self.cancels = {}  # name -> the name that its call cancels
        self.follows = {}  # name -> the delay of the timer that its call adds
        self.fired = []
        self.expected = []

    def add(self, early, delay_ms, cancels=None, follows=None):
        name = len(self.timers)
        when_ms = self.reactor.now_ms + delay_ms
        where = self.timer_wheel.call_by if early else self.timer_wheel.call_not_before
        self.timers[name] = where(when_ms, lambda: self.fire(name))
        self.model.append((self.tick_of(early, when_ms), name))
        self.cancels[name], self.follows[name] = cancels, follows

    def tick_of(self, early, when_ms):
        rounded = math.floor if early else math.ceil
        return max(self.reached + 1, rounded(when_ms / self.granularity_ms))

    def fire(self, name):
        self.fired.append((self.timer_wheel._tick, name))
        self.expected.append(min(self.model))
        self.model = [one for one in self.model if one[1] != name]
        self.reached = self.timer_wheel._tick  # what the call adds counts from here
        if self.cancels[name] is not None:
            self.cancel(self.cancels[name])
        if self.follows[name] is not None:
            self.add(True, self.follows[name])

    def cancel(self, name):
        if name in self.timers:
            self.timers[name].cancel()
            self.model = [one for one in self.model if one[1] != name]

    def wake(self):
        """One wake-up, early, in time or late: it fires all that is due by its tick, and nothing else."""
        until = max(self.reached, math.floor(self.reactor.now_ms / self.granularity_ms + 1e-6))
        before = len(self.fired)
        self.reactor.wake()
        assert self.fired == self.expected, "out of order, early, twice or cancelled"
        assert all(tick <= until for tick, _ in self.fired[before:]), "early"
        assert all(tick > until for tick, _ in self.model), "forgotten"
        self.reached = until


DELAYS = st.one_of(
    st.floats(-50.0, 400.0), st.floats(0.0, 20_000.0), st.sampled_from([0.0, 5.0, SLOTS * 5.0, 1e6])
)
MAYBE = st.one_of(st.none(), st.integers(0, 30))
ADD = st.tuples(st.just("add"), st.booleans(), DELAYS, MAYBE, st.one_of(st.none(), DELAYS))
CANCEL = st.tuples(st.just("cancel"), st.integers(0, 30))
PASS = st.tuples(st.just("pass"), st.one_of(st.floats(0.0, 60.0), st.floats(0.0, 30_000.0), st.just(HOUR_MS)))
WAKE = st.tuples(st.just("wake"))
WALL = st.tuples(st.just("wall"), st.floats(-1e8, 1e8))
STEPS = st.lists(st.one_of(ADD, CANCEL, PASS, WAKE, WALL), max_size=30)


@given(st.sampled_from(START_MS), st.sampled_from([1.0, 5.0, 7.5, 250.0]), STEPS)
@example(0.75, 5.0, [("add", True, 30.0, 1, 0.0), ("add", True, 30.0, None, None), ("pass", 1e5), ("wake",)])
@example(0.0, 1.0, [("add", True, SLOTS + 9.0, None, SLOTS - 1.0), ("pass", HOUR_MS), ("wake",), ("wake",)])
def test_any_additions_cancels_and_wake_ups_agree_with_a_sorted_list(start_ms, granularity_ms, steps):
    check = ModelCheck(start_ms, granularity_ms)
    for what, *values in steps:
        match what:
            case "add":
                check.add(*values)
            case "cancel":
                check.cancel(*values)
            case "pass":
                check.reactor.now_ms += values[0]
            case "wake":
                check.wake()
            case "wall":
                check.reactor.wall_ms += values[0]
    check.reactor.now_ms += 4 * HOUR_MS
    check.wake()


@given(
    st.sampled_from(START_MS),
    st.lists(st.tuples(st.booleans(), st.floats(0.0, 6_000.0)), min_size=1, max_size=10),
    st.lists(st.floats(0.0, 500.0), max_size=10),
    st.lists(st.booleans(), min_size=10, max_size=10),
)
def test_stalled_and_idle_loops_fire_the_same_timers_in_the_same_order(start_ms, timers, jumps, spurious):
    orders = []
    for stalled in (False, True):
        reactor = WakeUps(start_ms)
        timer_wheel, fired = wheel_on(reactor, 5.0), []
        for name, (early, delay_ms) in enumerate(timers):
            (timer_wheel.call_by if early else timer_wheel.call_not_before)(
                start_ms + delay_ms, partial(fired.append, name)
            )
        for jump_ms, too_soon in zip(jumps, spurious, strict=False):
            if not stalled:
                reactor.pass_time(jump_ms)
                continue
            reactor.now_ms += jump_ms
            if too_soon or reactor.due():
                reactor.wake()
        reactor.pass_time(7_000.0)
        orders.append(fired)
    assert orders[0] == orders[1]
    assert sorted(orders[0]) == list(range(len(timers)))


@pytest.mark.parametrize("start_ms", START_MS)
@pytest.mark.parametrize("rounds", [0.5, 1.0, 3.5])
def test_a_timer_further_ahead_than_a_round_waits_for_its_own(start_ms, rounds):
    reactor = WakeUps(start_ms)
    timer_wheel, fired = wheel_on(reactor, 5.0), []
    due_ms = start_ms + rounds * SLOTS * 5.0
    timer_wheel.call_by(due_ms, lambda: fired.append(reactor.now_ms))
    reactor.pass_time(rounds * SLOTS * 5.0 + 5.0)
    assert len(fired) == 1
    assert due_ms - 5.1 <= fired[0] <= due_ms


def test_a_timer_that_a_call_adds_to_its_own_slot_a_round_ahead_is_kept():
    reactor = WakeUps(0.0)
    timer_wheel, fired = wheel_on(reactor, 5.0), []
    timer_wheel.call_by(
        50.0, lambda: timer_wheel.call_by(50.0 + SLOTS * 5.0, lambda: fired.append(reactor.now_ms))
    )
    reactor.pass_time(60.0 + SLOTS * 5.0)
    assert fired == [50.0 + SLOTS * 5.0]


class CountedSlots(list):
    """The wheel's slots, with the number of accesses."""

    accesses = 0

    def __getitem__(self, index):
        self.accesses += 1
        return super().__getitem__(index)


@pytest.mark.parametrize("granularity_ms", [1.0, 5.0])
def test_the_ticks_of_a_stall_of_an_hour_are_not_processed_one_by_one(granularity_ms):
    reactor = WakeUps(1e6)
    timer_wheel, fired = wheel_on(reactor, granularity_ms), []
    for seconds in (0.1, 0.5, 60.0, 59.0, 3599.0, 3601.0):
        timer_wheel.call_by(1e6 + seconds * 1000.0, lambda seconds=seconds: fired.append(seconds))
    timer_wheel._slots = CountedSlots(timer_wheel._slots)
    reactor.now_ms += HOUR_MS
    reactor.wake()
    assert fired == [0.1, 0.5, 59.0, 60.0, 3599.0]
    # One access for each tick would be 720,000 at 5 ms, and 3,600,000 at 1 ms.
    assert timer_wheel._slots.accesses <= 6 * SLOTS
    reactor.pass_time(2000.0)
    assert fired[5:] == [3601.0]


def test_a_check_after_a_stall_that_fails_prevents_no_deadline():
    # `on_stall` checks the clients' sockets, and a fault there must not delay the deadlines.
    reactor = WakeUps(0.0)
    timer_wheel, fired = wheel_on(reactor, 5.0), []
    timer_wheel.on_stall = lambda: 1 / 0
    timer_wheel.call_by(50.0, lambda: fired.append("deadline"))
    reactor.now_ms += 1000.0
    reactor.wake()
    assert fired == ["deadline"]
    timer_wheel.call_by(reactor.now_ms + 50.0, lambda: fired.append("next"))
    reactor.pass_time(60.0)
    assert fired == ["deadline", "next"]


def test_a_tick_that_fails_is_not_the_last_one():
    reactor = WakeUps(0.0)
    timer_wheel, fired = wheel_on(reactor, 5.0), []
    timer_wheel.on_tick = lambda: 1 / 0
    timer_wheel.call_by(50.0, lambda: fired.append("deadline"))
    for _ in range(20):
        reactor.now_ms += 5.0
        with pytest.raises(ZeroDivisionError):  # the reactor logs it
            reactor.wake()
    assert fired == ["deadline"]
