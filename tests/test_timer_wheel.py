"""The timer wheel makes its calls in the same order as a sorted list of its timers, whenever it wakes up."""

import math
from functools import partial

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from cloverwell.timer_wheel import SLOTS, TimerWheel

START_MS = (0.0, 0.75, 123_456.789, 4.0e9 + 0.3)
HOUR_MS = 3_600_000.0


class ManualReactor:
    """A reactor that has one delayed call, and makes it when the test says so or advances the clock.

    `wall_ms` is the wall clock, which must not affect anything, as in the reactor that the proxy runs on.
    """

    def __init__(self, now_ms):
        self.now_ms = now_ms
        self.wall_ms = 1.7e12
        self.calls = []  # (time in ms, call)

    def now(self):
        return self.now_ms

    def callLater(self, delay_s, call):
        assert delay_s >= 0.0
        self.calls.append((self.now_ms + delay_s * 1000.0, call))

    def wake(self):
        """Makes the delayed call, whether it is due or not."""
        assert len(self.calls) == 1, "the wheel has more or less than one delayed call"
        self.calls.pop()[1]()

    def is_due(self):
        return self.calls[0][0] <= self.now_ms

    def pass_time(self, ms):
        """Advances the clock by `ms`, and makes each call on time, as an idle event loop does."""
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
    """A wheel and its model: a list of (tick, number), where `add` numbers the timers from 0 on."""

    def __init__(self, start_ms, granularity_ms):
        self.reactor = ManualReactor(start_ms)
        self.timer_wheel = wheel_on(self.reactor, granularity_ms)
        self.granularity_ms = granularity_ms
        self.last_tick = math.floor(start_ms / granularity_ms)  # the last tick whose calls have been made
        self.timers = {}  # number -> the wheel's timer
        self.model = []
        self.cancels = {}  # number -> the number of the timer that its call cancels
        self.follow_up_delays_ms = {}  # number -> the delay of the timer that its call adds
        self.fired = []
        self.expected = []

    def add(self, rounds_down, delay_ms, cancels=None, follow_up_delay_ms=None):
        number = len(self.timers)
        when_ms = self.reactor.now_ms + delay_ms
        add_timer = self.timer_wheel.call_by if rounds_down else self.timer_wheel.call_not_before
        self.timers[number] = add_timer(when_ms, lambda: self.fire(number))
        self.model.append((self.tick_of(rounds_down, when_ms), number))
        self.cancels[number], self.follow_up_delays_ms[number] = cancels, follow_up_delay_ms

    def tick_of(self, rounds_down, when_ms):
        round_tick = math.floor if rounds_down else math.ceil
        return max(self.last_tick + 1, round_tick(when_ms / self.granularity_ms))

    def fire(self, number):
        self.fired.append((self.timer_wheel._tick, number))
        self.expected.append(min(self.model))
        self.model = [timer for timer in self.model if timer[1] != number]
        # A timer that the call adds is due after this tick at the earliest.
        self.last_tick = self.timer_wheel._tick
        if self.cancels[number] is not None:
            self.cancel(self.cancels[number])
        if self.follow_up_delays_ms[number] is not None:
            self.add(True, self.follow_up_delays_ms[number])

    def cancel(self, number):
        if number in self.timers:
            self.timers[number].cancel()
            self.model = [timer for timer in self.model if timer[1] != number]

    def wake(self):
        """Wakes the wheel up, early, on time or late, and checks that it fires exactly the due timers."""
        current_tick = max(self.last_tick, math.floor(self.reactor.now_ms / self.granularity_ms + 1e-6))
        count_before = len(self.fired)
        self.reactor.wake()
        assert self.fired == self.expected, "fired out of order, early, twice or though cancelled"
        assert all(tick <= current_tick for tick, _ in self.fired[count_before:]), "fired early"
        assert all(tick > current_tick for tick, _ in self.model), "a due timer was not fired"
        self.last_tick = current_tick


DELAYS = st.one_of(
    st.floats(-50.0, 400.0), st.floats(0.0, 20_000.0), st.sampled_from([0.0, 5.0, SLOTS * 5.0, 1e6])
)
MAYBE_NUMBER = st.one_of(st.none(), st.integers(0, 30))
ADD = st.tuples(st.just("add"), st.booleans(), DELAYS, MAYBE_NUMBER, st.one_of(st.none(), DELAYS))
CANCEL = st.tuples(st.just("cancel"), st.integers(0, 30))
PASS_TIME = st.tuples(
    st.just("pass"), st.one_of(st.floats(0.0, 60.0), st.floats(0.0, 30_000.0), st.just(HOUR_MS))
)
WAKE = st.tuples(st.just("wake"))
STEP_WALL_CLOCK = st.tuples(st.just("wall"), st.floats(-1e8, 1e8))
STEPS = st.lists(st.one_of(ADD, CANCEL, PASS_TIME, WAKE, STEP_WALL_CLOCK), max_size=30)


@given(st.sampled_from(START_MS), st.sampled_from([1.0, 5.0, 7.5, 250.0]), STEPS)
@example(0.75, 5.0, [("add", True, 30.0, 1, 0.0), ("add", True, 30.0, None, None), ("pass", 1e5), ("wake",)])
@example(0.0, 1.0, [("add", True, SLOTS + 9.0, None, SLOTS - 1.0), ("pass", HOUR_MS), ("wake",), ("wake",)])
def test_the_wheel_agrees_with_a_sorted_list_for_any_additions_cancels_and_wake_ups(
    start_ms, granularity_ms, steps
):
    check = ModelCheck(start_ms, granularity_ms)
    for command, *values in steps:
        match command:
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
def test_stalled_and_idle_event_loops_fire_the_same_timers_in_the_same_order(
    start_ms, timers, jumps, spurious
):
    orders = []
    for stalled in (False, True):
        reactor = ManualReactor(start_ms)
        timer_wheel, fired = wheel_on(reactor, 5.0), []
        for name, (rounds_down, delay_ms) in enumerate(timers):
            (timer_wheel.call_by if rounds_down else timer_wheel.call_not_before)(
                start_ms + delay_ms, partial(fired.append, name)
            )
        for jump_ms, is_spurious in zip(jumps, spurious, strict=False):
            if not stalled:
                reactor.pass_time(jump_ms)
                continue
            reactor.now_ms += jump_ms
            if is_spurious or reactor.is_due():
                reactor.wake()
        reactor.pass_time(7_000.0)
        orders.append(fired)
    assert orders[0] == orders[1]
    assert sorted(orders[0]) == list(range(len(timers)))


@pytest.mark.parametrize("start_ms", START_MS)
@pytest.mark.parametrize("rounds", [0.5, 1.0, 3.5])
def test_a_timer_is_not_fired_in_an_earlier_round_of_the_wheel(start_ms, rounds):
    reactor = ManualReactor(start_ms)
    timer_wheel, fired = wheel_on(reactor, 5.0), []
    due_ms = start_ms + rounds * SLOTS * 5.0
    timer_wheel.call_by(due_ms, lambda: fired.append(reactor.now_ms))
    reactor.pass_time(rounds * SLOTS * 5.0 + 5.0)
    assert len(fired) == 1
    assert due_ms - 5.1 <= fired[0] <= due_ms


def test_a_timer_that_a_call_adds_to_its_own_slot_for_the_next_round_is_kept():
    reactor = ManualReactor(0.0)
    timer_wheel, fired = wheel_on(reactor, 5.0), []
    timer_wheel.call_by(
        50.0, lambda: timer_wheel.call_by(50.0 + SLOTS * 5.0, lambda: fired.append(reactor.now_ms))
    )
    reactor.pass_time(60.0 + SLOTS * 5.0)
    assert fired == [50.0 + SLOTS * 5.0]


class CountedSlots(list):
    """The wheel's slots, which count how often they are accessed."""

    accesses = 0

    def __getitem__(self, index):
        self.accesses += 1
        return super().__getitem__(index)


@pytest.mark.parametrize("granularity_ms", [1.0, 5.0])
def test_the_ticks_of_a_stall_of_an_hour_are_not_processed_one_by_one(granularity_ms):
    reactor = ManualReactor(1e6)
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


def test_an_error_in_the_check_after_a_stall_prevents_no_deadline():
    # `on_stall` checks the clients' sockets. An error there must not keep the deadlines' timers from being
    # called.
    reactor = ManualReactor(0.0)
    timer_wheel, fired = wheel_on(reactor, 5.0), []
    timer_wheel.on_stall = lambda: 1 / 0
    timer_wheel.call_by(50.0, lambda: fired.append("deadline"))
    reactor.now_ms += 1000.0
    reactor.wake()
    assert fired == ["deadline"]
    timer_wheel.call_by(reactor.now_ms + 50.0, lambda: fired.append("next"))
    reactor.pass_time(60.0)
    assert fired == ["deadline", "next"]


def test_the_wheel_goes_on_after_a_tick_that_fails():
    reactor = ManualReactor(0.0)
    timer_wheel, fired = wheel_on(reactor, 5.0), []
    timer_wheel.on_tick = lambda: 1 / 0
    timer_wheel.call_by(50.0, lambda: fired.append("deadline"))
    for _ in range(20):
        reactor.now_ms += 5.0
        with pytest.raises(ZeroDivisionError):  # a real reactor would log it
            reactor.wake()
    assert fired == ["deadline"]
