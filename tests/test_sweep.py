"""The sweep visits what has something to do: at the moments at which a sweep over all would, and no more."""

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwell.back.pool import Pool
from cloverwell.connections.metrics import ConnectionEvent
from cloverwell.connections.schedule import EARLY_MS, Schedule
from lab.attempts import PATTERNS, Rig

SEEDS = range(1, 4)


def every(self, now):
    """A sweep over all items, as a loop over them would be."""
    for item in list(self._numbers):
        if item in self._numbers:
            yield item


def far_and_says_so(rig):
    """Handshakes are slow, and nodes close what was opened ahead."""
    for node in rig.nodes:
        node.idle_s, node.says_so = (lambda now_s: 0.3), True
        rig.net.path(node.address).latency_s = 0.01


SETUPS = {**PATTERNS, "10 ms away, says so after 0.3 s": far_and_says_so}


def day(pattern, seed, descriptors, nodes=6):
    """All that pools do in a day with bursts, lulls, drains, returns and cold nodes: when, what and where."""
    rig = Rig(nodes, descriptors, idle_close_ms=4000.0)
    SETUPS[pattern](rig)
    done, rng = [], Random(seed)
    count = rig.metrics.add

    def add(what, name="", number=1):
        done.append((rig.now(), what, name))
        count(what, name, number)

    rig.metrics.add = add
    for part in range(4):
        rig.load(rng.choice((3.0, 40.0, 150.0)), rng.uniform(1.0, 6.0), seed=100 * seed + part)
        place = rng.randrange(nodes)
        rig.pools.mark_left(f"s{place}")
        rig.net.run_for(rng.uniform(0.1, 6.0))
        cold_until_ms = rig.now() + rng.choice((-1.0, 700.0))
        rig.pools.add(f"s{place}", *rig.nodes[place].address, False, cold_until_ms)
    rig.net.run_for(9.0)
    return done, rig.tally.outcomes, rig.tally.waits_ms, [node.opened_at for node in rig.nodes]


@pytest.mark.parametrize("descriptors", [16, 512])
@pytest.mark.parametrize("pattern", SETUPS)
def test_all_that_is_due_is_done_when_a_sweep_over_all_would_do_it(pattern, descriptors, monkeypatch):
    kinds = set()
    for seed in SEEDS:
        with monkeypatch.context() as patched:
            patched.setattr(Schedule, "sweep", every)
            expected = day(pattern, seed, descriptors)
        assert day(pattern, seed, descriptors) == expected
        kinds |= {what for _, what, _ in expected[0]}
    assert {ConnectionEvent.OPENED, ConnectionEvent.REUSED} <= kinds
    assert ConnectionEvent.RETIRED in kinds or "says so" in pattern  # there the nodes close first
    assert ConnectionEvent.OPENED_AHEAD in kinds or not pattern.startswith("10 ms away") or descriptors < 512


def visits(monkeypatch, rig, seconds):
    seen = []
    sweep = Pool.sweep
    with monkeypatch.context() as patched:
        patched.setattr(Pool, "sweep", lambda pool, now: (seen.append(pool.node), sweep(pool, now)))
        rig.net.run_for(seconds)
    return seen


def test_a_quiet_fleet_is_not_visited_however_large(monkeypatch):
    for nodes in (24, 96, 384):
        rig = Rig(nodes)
        assert len(visits(monkeypatch, rig, 0.1)) <= nodes
        assert visits(monkeypatch, rig, 60.0) == []


def test_visits_follow_the_attempts_and_not_the_nodes(monkeypatch):
    counts = []
    for nodes in (24, 96, 384):
        rig = Rig(nodes, idle_close_ms=4000.0)
        rig.net.run_for(0.1)
        for place in range(10):
            rig.attempt(place)
        counts.append(len(visits(monkeypatch, rig, 60.0)))
        assert not rig.pools.idle
        assert rig.metrics.total(ConnectionEvent.RETIRED) == 10
    assert counts[0] == counts[1] == counts[2]
    assert counts[0] <= 60


def test_a_node_that_left_is_visited_until_its_last_attempt_is_over_and_then_forgotten(monkeypatch):
    rig = Rig(3)
    rig.nodes[0].work_s = 0.4
    rig.attempt(0)
    rig.net.run_for(0.1)
    rig.pools.mark_left("s0")
    seen = visits(monkeypatch, rig, 5.0)
    assert set(seen) == {"s0"}
    assert 4 <= len(seen) <= 20
    assert rig.pools.node_names() == {"s1", "s2"}
    assert len(rig.node_policy) == 2


ITEMS = st.sampled_from("abcdef")
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), ITEMS),
        st.tuples(st.just("discard"), ITEMS),
        st.tuples(st.just("wake"), ITEMS),
        st.tuples(st.just("at"), ITEMS, st.integers(0, 60)),
        st.tuples(st.just("sweep"), st.integers(1, 15)),
    ),
    max_size=60,
)


@given(STEPS)
def test_a_schedule_yields_what_was_woken_or_is_due_once_and_in_order(steps):
    schedule, order, woken, due, now = Schedule(), [], set(), {}, 0.0
    for what, *args in steps:
        if what == "sweep":
            now += args[0]
            past = {item for item, when in due.items() if when <= now}
            assert list(schedule.sweep(now)) == [item for item in order if item in woken | past]
            woken, due = set(), {item: when for item, when in due.items() if when > now}
        elif what == "add" and args[0] not in order:
            schedule.add(args[0])
            order.append(args[0])
            woken.add(args[0])
        elif what == "discard":
            schedule.discard(args[0])
            order = [item for item in order if item != args[0]]
            woken.discard(args[0])
            due.pop(args[0], None)
        elif what == "wake" and args[0] in order:
            schedule.wake(args[0])
            woken.add(args[0])
        elif what == "at" and args[0] in order:
            schedule.visit_at(args[0], args[1] + EARLY_MS)
            due[args[0]] = min(due.get(args[0], math.inf), args[1])
    assert len(schedule) == len(order)
    assert len(schedule._times) <= len(steps)


def test_one_woken_during_a_sweep_has_its_turn_in_it_where_that_is_still_to_come():
    schedule = Schedule()
    for item in "abc":
        schedule.add(item)
    list(schedule.sweep(0.0))
    schedule.wake("b")
    seen = []
    for item in schedule.sweep(1.0):
        seen.append(item)
        if item == "b":
            schedule.wake("a")
            schedule.wake("b")
            schedule.wake("c")
    assert seen == ["b", "c"]
    assert list(schedule.sweep(2.0)) == ["a", "b"]


def test_one_discarded_during_a_sweep_has_no_turn():
    schedule = Schedule()
    for item in "abc":
        schedule.add(item)
    seen = []
    for item in schedule.sweep(0.0):
        seen.append(item)
        schedule.discard("c")
    assert seen == ["a", "b"]
    assert list(schedule.sweep(1.0)) == []
