"""The order in which connections with waiting commands have their turns."""

from hypothesis import given
from hypothesis import strategies as st

from cloverwell.connections.fair_queue import FairQueue


def test_each_list_is_first_in_first_out_and_both_are_served_in_alternation():
    queue = FairQueue()
    for name in ("old 1", "old 2", "old 3"):
        queue.add(name, is_new=False)
    for name in ("new 1", "new 2"):
        queue.add(name, is_new=True)
    assert [queue.take() for _ in range(6)] == ["new 1", "old 1", "new 2", "old 2", "old 3", None]


def test_a_connection_waits_once_and_keeps_its_place():
    queue = FairQueue()
    queue.add("a", is_new=True)
    queue.add("b", is_new=True)
    queue.add("a", is_new=False)
    assert len(queue) == 2
    assert [queue.take(), queue.take(), queue.take()] == ["a", "b", None]


def test_a_connection_that_has_ended_has_no_turn():
    queue = FairQueue()
    queue.add("a", is_new=True)
    queue.add("b", is_new=False)
    queue.discard("a")
    queue.discard("b")
    queue.discard("never added")
    assert queue.take() is None


@given(backlogged=st.integers(1, 30), newcomers=st.integers(0, 30))
def test_whoever_waits_has_a_turn_after_twice_as_many_as_wait_before_it(backlogged, newcomers):
    # The backlogged connections always have further commands, and a newcomer is followed by the next one.
    queue = FairQueue()
    for number in range(backlogged):
        queue.add(("old", number), is_new=False)
    for number in range(newcomers):
        queue.add(("new", number), is_new=True)
    queue.add("observed", is_new=True)
    turns = 0
    while (taken := queue.take()) != "observed":
        turns += 1
        queue.add(taken, is_new=False)
    assert turns <= 2 * newcomers + 1


def test_newcomers_do_not_starve_a_backlog():
    queue = FairQueue()
    queue.add("backlogged", is_new=False)
    taken = []
    for number in range(4):
        queue.add(f"new {number}", is_new=True)
        taken.append(queue.take())
    assert "backlogged" in taken
