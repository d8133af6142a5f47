"""Stepped wall clocks in the lab: the proxy's timers do not hang on them, the judge sees where they do."""

import heapq
import itertools
from functools import partial

import msgspec
import pytest

from cloverwell.membership.node_starts import LONG_AGO, NodeStarts
from cloverwell.proxy import Proxy
from lab import proxy_lifecycle
from lab.fault import Fault
from lab.invariant_checker import RULES
from lab.scenario import load
from lab.simulated_proxy import SimulatedReactor
from lab.simulation import Simulation
from lab.wall_clock import EPOCH_S, STEPS_S, WallClock, WallClocks


def short(name, seconds, faults=None, per_s=200.0):
    """A shipped world, cut short, with fewer keys to fill its nodes with."""
    world = load(name)
    traffic = msgspec.structs.replace(world.traffic, per_s=per_s, keys=2000)
    faults = world.faults if faults is None else faults
    return msgspec.structs.replace(world, seconds=seconds, faults=faults, traffic=traffic)


def broken(summary):
    return {rule: summary["rules"][rule] for rule in RULES if summary["rules"][rule]}


# A loop on the wall clock ---------------------------------------------------------------------------


class WallClockTimers:
    """A process's delayed calls as Twisted's own reactor has them: due when the wall clock says so."""

    def __init__(self, inside):
        self._inside = inside
        self._calls = []
        self._order = itertools.count()
        self._wake = None

    def add(self, delay, call):
        due_s = self._inside.wall_clock.seconds() + delay
        heapq.heappush(self._calls, (due_s, next(self._order), call))
        self.arm()

    def arm(self):
        if self._wake is not None and self._wake.active():
            self._wake.cancel()
        if self._calls:
            wait_s = max(0.0, self._calls[0][0] - self._inside.wall_clock.seconds())
            self._wake = self._inside._net.callLater(wait_s, self._run)

    def _run(self):
        now_s = self._inside.wall_clock.seconds() + 1e-9
        due = []
        while self._calls and self._calls[0][0] <= now_s:
            due.append(heapq.heappop(self._calls))
        for _, _, call in due:
            call()
        self.arm()


def loops_on_the_wall_clock(patch):
    timers = {}
    step, connect = WallClock.step, SimulatedReactor.connectTCP

    def timers_of(inside):
        if inside not in timers:
            timers[inside] = WallClockTimers(inside)
        return timers[inside]

    def call_later(self, delay, call, *args, **kw):
        timers_of(self).add(delay, partial(self.call_if_alive, call, args, kw))

    def stepped(self, by_s):
        step(self, by_s)
        for inside, own in timers.items():
            if inside.wall_clock is self:
                own.arm()

    patch.setattr(SimulatedReactor, "callLater", call_later)
    patch.setattr(SimulatedReactor, "seconds", lambda self: self.wall_clock.seconds())
    patch.setattr(
        SimulatedReactor,
        "connectTCP",
        lambda self, *args, **kw: self.callLater(0, connect, self, *args, **kw),
    )
    patch.setattr(WallClock, "step", stepped)


def step_and_back(step_s):
    """The clock is stepped and set right two seconds later, while some nodes do not answer."""
    return [
        Fault("hang", 0.5, 3.0, 0.25),
        Fault("clock_step", 1.0, by_s=step_s),
        Fault("clock_step", 2.5, by_s=-step_s),
    ]


@pytest.mark.parametrize("step_s", STEPS_S)
def test_the_judge_catches_a_loop_on_the_wall_clock(monkeypatch, step_s):
    world = short("calm", 4.0, step_and_back(step_s), 120.0)
    assert not broken(Simulation(world, 2).run())
    loops_on_the_wall_clock(monkeypatch)
    assert broken(Simulation(world, 2).run()).get("answered", 0) >= 3


def test_a_loop_on_the_wall_clock_keeps_the_rules_while_no_clock_is_stepped(monkeypatch):
    # Why no world without steps could show it: the judge's breaches above come from the steps alone.
    loops_on_the_wall_clock(monkeypatch)
    summary = Simulation(short("calm", 4.0, [Fault("hang", 0.5, 3.0, 0.25)], 120.0), 2).run()
    assert not broken(summary), summary["breaches"]


@pytest.mark.parametrize("seed", [2, 3])
def test_rules_hold_while_wall_clocks_are_stepped(seed):
    summary = Simulation(short("clock-steps", 10.0, per_s=100.0), seed).run()
    assert not broken(summary), summary["breaches"]
    assert summary["service"] > 0.95, summary["ends"]
    assert sum("clock_step" in text for _, text in summary["notes"]) == 7


def test_the_judge_catches_a_loop_on_the_wall_clock_in_the_shipped_world(monkeypatch):
    loops_on_the_wall_clock(monkeypatch)
    assert "answered" in broken(Simulation(short("clock-steps", 8.0, first_steps(), 100.0), 1).run())


def first_steps():
    return [fault for fault in load("clock-steps").faults if fault.at_s < 6.0]


# Nodes that start cold on a clock that was stepped back ---------------------------------------------


def soon_cold(seconds):
    """The shipped world with its faults earlier: the lost zone's nodes start at 4.5 s."""
    begins = {"clock_step": (0.25, 0.0), "origin_slow": (0.5, 4.0), "zone_lost": (2.0, 2.5)}
    world = load("cold-steps")
    faults = [
        msgspec.structs.replace(fault, at_s=begins[fault.kind][0], for_s=begins[fault.kind][1])
        for fault in world.faults
    ]
    return msgspec.structs.replace(world, seconds=seconds, faults=faults)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nodes_that_start_after_a_step_back_are_held_to_what_cold_nodes_can_do(seed):
    summary = Simulation(soon_cold(7.6), seed).run()
    assert not broken(summary), summary["breaches"]
    assert len(summary["notes"]) >= 3
    assert summary["requests"] > 1000


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_so_are_those_that_the_first_list_from_discovery_tells(seed):
    """No list before it says how old they may be: the proxies' own wall clocks show the step."""
    world = load("cold-steps")
    begins = {"clock_step": (0.5, 0.0), "zone_lost": (1.0, 2.0)}
    faults = [
        msgspec.structs.replace(fault, at_s=begins[fault.kind][0], for_s=begins[fault.kind][1])
        for fault in world.faults
        if fault.kind in begins
    ]
    summary = Simulation(msgspec.structs.replace(world, seconds=6.0, faults=faults), seed).run()
    assert not broken(summary), summary["breaches"]


def test_the_judge_catches_a_proxy_that_believes_the_stepped_clock(monkeypatch):
    def as_told(starts, up_since_ms, now, epoch_ms, held):
        return {
            node: told_ms + starts._epoch_ms if told_ms else LONG_AGO for node, told_ms in up_since_ms.items()
        }

    monkeypatch.setattr(NodeStarts, "record_list", as_told)
    assert "cold" in broken(Simulation(soon_cold(7.1), 3).run())


# What a machine shows -------------------------------------------------------------------------------


def test_a_step_moves_the_wall_clock_and_the_epoch_and_no_other_machine():
    now_s = [1000.0]
    clocks = WallClocks(lambda: now_s[0], 1)
    assert clocks.of("node-1").seconds() == EPOCH_S + 1000.0
    assert clocks.of("node-1").epoch_ms() == -1000.0 * EPOCH_S
    assert clocks.step(["node-1", "node-2"], -3600.0) == -3600.0
    now_s[0] = 1002.0
    assert clocks.of("node-1").seconds() == clocks.of("node-2").seconds() == EPOCH_S + 1002.0 - 3600.0
    assert clocks.of("node-1").epoch_ms() == -1000.0 * (EPOCH_S - 3600.0)
    assert clocks.of("node-3").seconds() == EPOCH_S + 1002.0


def test_steps_that_are_not_given_are_drawn_by_the_seed():
    def drawn(seed):
        clocks = WallClocks(lambda: 0.0, seed)
        return [clocks.step(["node-1"], None) for _ in range(40)]

    assert drawn(1) == drawn(1) != drawn(2)
    assert set(drawn(1)) == set(STEPS_S)


def test_a_process_reads_the_stepped_clock_when_it_starts_and_its_monotonic_clock_is_not_stepped(monkeypatch):
    starts = []

    class Recorded(Proxy):
        def __init__(self, reactor, config, log, now, read_epoch_ms, left=None):
            starts.append((config.name, now(), read_epoch_ms()))
            super().__init__(reactor, config, log, now, read_epoch_ms, left)

    monkeypatch.setattr(proxy_lifecycle, "Proxy", Recorded)
    faults = [
        Fault("clock_step", 1.0, whom=["proxy-1"], by_s=3600.0),
        Fault("proxy_crash", 1.5, 0.5, 1.0),
    ]
    Simulation(short("calm", 3.0, faults, 20.0), 1).run()
    sound = -1000.0 * EPOCH_S
    assert starts[:2] == [("proxy-0", 1_000_000.0, sound), ("proxy-1", 1_000_000.0, sound)]
    assert [(name, round(now)) for name, now, _ in starts[2:]] == [
        ("proxy-0", 1_002_000),
        ("proxy-1", 1_002_000),
    ]
    assert [epoch_ms for _, _, epoch_ms in starts[2:]] == [sound, sound - 3_600_000.0]


def test_the_list_tells_a_start_by_the_stepped_clock_of_its_node():
    faults = [
        Fault("clock_step", 0.5, whom=["node-1"], by_s=-5.0),
        Fault("crash", 1.0, 0.5, whom=["node-1", "node-2"]),
    ]
    played = Simulation(short("calm", 3.0, faults, 20.0), 1)
    played.run()
    listed = {row["id"]: row["up_since_ms"] for row in played.as_listed(played.members())}
    started_ms = int(1000 * (EPOCH_S + 1001.5))
    assert listed["node-1"] == started_ms - 5000
    assert listed["node-2"] == started_ms
    assert listed["node-3"] == 0
    # The judge has both by the virtual clock: a step must not move what it holds a proxy to.
    judged = {row["id"]: row["up_since_ms"] for row in played.members()}
    assert judged["node-1"] == judged["node-2"] == started_ms
