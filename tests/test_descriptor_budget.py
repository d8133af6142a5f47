"""The descriptor budget of both sides: its total, its floors, and what one side releases for the other."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverwell.connections.budget import BudgetError, DescriptorBudget, DescriptorSide, opposite


@pytest.mark.parametrize(
    ("total", "floor_shares"),
    [(number, shares) for number in (4, 5, 7) for shares in ((0.5, 0.35), (0.3, 0.3), (0.5, 0.5))],
)
def test_every_state_of_a_small_budget_keeps_its_invariants(total, floor_shares):
    # The test visits all states that two sides reach by opening connections, starting and ending work on
    # them, and closing idle ones, for themselves or for the other side.
    sides = (DescriptorSide.CLIENTS, DescriptorSide.NODES)

    def budget_of(state):
        budget = DescriptorBudget(total, *floor_shares)
        for side, (busy, idle) in zip(sides, state, strict=True):
            budget.held[side] = busy + idle
        return budget

    def next_states(state):
        budget = budget_of(state)
        for index, side in enumerate(sides):
            busy, idle = state[index]
            changed, other_counts = list(state), state[1 - index]
            if busy:
                changed[index] = (busy - 1, idle + 1)
                yield tuple(changed)
            if idle:
                changed[index] = (busy, idle - 1)
                yield tuple(changed)
                changed[index] = (busy + 1, idle - 1)
                yield tuple(changed)
            if budget.available(side):
                changed[index] = (busy + 1, idle)
                yield tuple(changed)
            elif budget.other_can_release(side) and other_counts[1]:
                changed[1 - index] = (other_counts[0], other_counts[1] - 1)
                yield tuple(changed)

    visited, unvisited = set(), [((0, 0), (0, 0))]
    while unvisited:
        state = unvisited.pop()
        if state in visited:
            continue
        visited.add(state)
        budget = budget_of(state)
        assert sum(budget.held.values()) <= total
        for index, side in enumerate(sides):
            # A side can always reach its floor, and an idle connection that the other side closes for it is
            # available at once.
            assert budget.held[side] >= budget.floors[side] or budget.available(side)
            if not budget.available(side) and budget.other_can_release(side) and state[1 - index][1]:
                budget.release(opposite(side))
                assert budget.available(side)
        unvisited += next_states(state)
    assert len(visited) > 20


@given(st.integers(2, 300), st.lists(st.tuples(st.sampled_from(DescriptorSide), st.booleans()), max_size=400))
@settings(max_examples=80, derandomize=True, deadline=None)
def test_a_budget_never_exceeds_its_total_and_never_goes_below_zero(total, calls):
    budget = DescriptorBudget(total)
    for side, acquires in calls:
        try:
            budget.acquire(side) if acquires else budget.release(side)
        except BudgetError:
            assert (budget.available(side) == 0) if acquires else (budget.held[side] == 0)
        assert min(budget.held.values()) >= 0
        assert sum(budget.held.values()) <= total
        assert budget.held[side] <= budget.max_held(side)
