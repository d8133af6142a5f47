"""A sweep visits only the items that are due, at the times at which a sweep over all items would act."""

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


def sweep_all(self, now):
    """Yields all items, in place of `Schedule.sweep`."""
    for item in list(self._numbers):
        if item in self._numbers:
            yield item


def slow_handshakes_and_closes_by_nodes(rig):
    """Makes handshakes slow, and nodes close the connections that were opened ahead."""
    for node in rig.nodes:
        node.idle_s, node.says_so = (lambda now_s: 0.3), True
        rig.net.path(node.address).latency_s = 0.01


SETUPS = {**PATTERNS, "10 ms away, says so after 0.3 s": slow_handshakes_and_closes_by_nodes}


def run_pools(pattern, seed, descriptors, node_count=6):
    """Runs pools through bursts, lulls, drains, returns and cold nodes; returns what they did, and when."""
    rig = Rig(node_count, descriptors, idle_close_ms=4000.0)
    SETUPS[pattern](rig)
    events, rng = [], Random(seed)
    count = rig.metrics.add

    def add(event, name="", number=1):
        events.append((rig.now(), event, name))
        count(event, name, number)

    rig.metrics.add = add
    for part in range(4):
        rig.load(rng.choice((3.0, 40.0, 150.0)), rng.uniform(1.0, 6.0), seed=100 * seed + part)
        index = rng.randrange(node_count)
        rig.pools.mark_left(f"s{index}")
        rig.net.run_for(rng.uniform(0.1, 6.0))
        cold_until_ms = rig.now() + rng.choice((-1.0, 700.0))
        rig.pools.add(f"s{index}", *rig.nodes[index].address, False, cold_until_ms)
    rig.net.run_for(9.0)
    return events, rig.tally.outcomes, rig.tally.waits_ms, [node.opened_at for node in rig.nodes]


@pytest.mark.parametrize("descriptors", [16, 512])
@pytest.mark.parametrize("pattern", SETUPS)
def test_pools_do_the_same_at_the_same_times_as_with_sweeps_over_all_of_them(
    pattern, descriptors, monkeypatch
):
    kinds = set()
    for seed in SEEDS:
        with monkeypatch.context() as patched:
            patched.setattr(Schedule, "sweep", sweep_all)
            expected = run_pools(pattern, seed, descriptors)
        assert run_pools(pattern, seed, descriptors) == expected
        kinds |= {event for _, event, _ in expected[0]}
    assert {ConnectionEvent.OPENED, ConnectionEvent.REUSED} <= kinds
    # With the patterns that "say so", the nodes close their connections first.
    assert ConnectionEvent.RETIRED in kinds or "says so" in pattern
    assert ConnectionEvent.OPENED_AHEAD in kinds or not pattern.startswith("10 ms away") or descriptors < 512


def record_visits(monkeypatch, rig, seconds):
    """Lets time pass, and returns the node of each visit to a pool."""
    visited = []
    sweep = Pool.sweep
    with monkeypatch.context() as patched:
        patched.setattr(Pool, "sweep", lambda pool, now: (visited.append(pool.node), sweep(pool, now)))
        rig.net.run_for(seconds)
    return visited


def test_a_fleet_without_attempts_is_not_visited_whatever_its_size(monkeypatch):
    for node_count in (24, 96, 384):
        rig = Rig(node_count)
        assert len(record_visits(monkeypatch, rig, 0.1)) <= node_count
        assert record_visits(monkeypatch, rig, 60.0) == []


def test_the_number_of_visits_depends_on_attempts_and_not_on_nodes(monkeypatch):
    visit_counts = []
    for node_count in (24, 96, 384):
        rig = Rig(node_count, idle_close_ms=4000.0)
        rig.net.run_for(0.1)
        for index in range(10):
            rig.attempt(index)
        visit_counts.append(len(record_visits(monkeypatch, rig, 60.0)))
        assert not rig.pools.idle
        assert rig.metrics.total(ConnectionEvent.RETIRED) == 10
    assert visit_counts[0] == visit_counts[1] == visit_counts[2]
    assert visit_counts[0] <= 60


def test_a_node_that_left_is_visited_until_its_last_attempt_is_over_and_then_forgotten(monkeypatch):
    rig = Rig(3)
    rig.nodes[0].work_s = 0.4
    rig.attempt(0)
    rig.net.run_for(0.1)
    rig.pools.mark_left("s0")
    visited = record_visits(monkeypatch, rig, 5.0)
    assert set(visited) == {"s0"}
    assert 4 <= len(visited) <= 20
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
def test_a_schedule_yields_each_item_that_was_woken_or_is_due_once_and_in_order(steps):
    schedule, order, woken, due_ms, now = Schedule(), [], set(), {}, 0.0
    for action, *args in steps:
        if action == "sweep":
            now += args[0]
            due = {item for item, when_ms in due_ms.items() if when_ms <= now}
            assert list(schedule.sweep(now)) == [item for item in order if item in woken | due]
            woken, due_ms = set(), {item: when_ms for item, when_ms in due_ms.items() if when_ms > now}
        elif action == "add" and args[0] not in order:
            schedule.add(args[0])
            order.append(args[0])
            woken.add(args[0])
        elif action == "discard":
            schedule.discard(args[0])
            order = [item for item in order if item != args[0]]
            woken.discard(args[0])
            due_ms.pop(args[0], None)
        elif action == "wake" and args[0] in order:
            schedule.wake(args[0])
            woken.add(args[0])
        elif action == "at" and args[0] in order:
            schedule.visit_at(args[0], args[1] + EARLY_MS)
            due_ms[args[0]] = min(due_ms.get(args[0], math.inf), args[1])
    assert len(schedule) == len(order)
    assert len(schedule._times) <= len(steps)


def test_an_item_woken_during_a_sweep_is_visited_in_it_if_its_turn_is_still_to_come():
    schedule = Schedule()
    for item in "abc":
        schedule.add(item)
    list(schedule.sweep(0.0))
    schedule.wake("b")
    visited = []
    for item in schedule.sweep(1.0):
        visited.append(item)
        if item == "b":
            schedule.wake("a")
            schedule.wake("b")
            schedule.wake("c")
    assert visited == ["b", "c"]
    assert list(schedule.sweep(2.0)) == ["a", "b"]


def test_an_item_discarded_during_a_sweep_is_not_visited():
    schedule = Schedule()
    for item in "abc":
        schedule.add(item)
    visited = []
    for item in schedule.sweep(0.0):
        visited.append(item)
        schedule.discard("c")
    assert visited == ["a", "b"]
    assert list(schedule.sweep(1.0)) == []
