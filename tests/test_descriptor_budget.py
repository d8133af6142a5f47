"""The descriptor budget over both sides: its bound, its floors, and what one side releases for the other."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverwell.connections.budget import BudgetError, DescriptorBudget, DescriptorSide, opposite


@pytest.mark.parametrize(
    ("total", "floors"), [(t, f) for t in (4, 5, 7) for f in ((0.5, 0.35), (0.3, 0.3), (0.5, 0.5))]
)
def test_every_state_of_a_small_budget_keeps_its_promises(total, floors):
    # Exhaustive: each side takes, ends work, and closes what is idle, its own or as the lender.
    sides = (DescriptorSide.CLIENTS, DescriptorSide.NODES)

    def budget_of(state):
        budget = DescriptorBudget(total, *floors)
        for side, (busy, idle) in zip(sides, state, strict=True):
            budget.held[side] = busy + idle
        return budget

    def steps(state):
        budget = budget_of(state)
        for place, side in enumerate(sides):
            busy, idle = state[place]
            mine, theirs = list(state), state[1 - place]
            if busy:
                mine[place] = (busy - 1, idle + 1)
                yield tuple(mine)
            if idle:
                mine[place] = (busy, idle - 1)
                yield tuple(mine)
                mine[place] = (busy + 1, idle - 1)
                yield tuple(mine)
            if budget.available(side):
                mine[place] = (busy + 1, idle)
                yield tuple(mine)
            elif budget.other_can_release(side) and theirs[1]:
                mine[1 - place] = (theirs[0], theirs[1] - 1)
                yield tuple(mine)

    seen, todo = set(), [((0, 0), (0, 0))]
    while todo:
        state = todo.pop()
        if state in seen:
            continue
        seen.add(state)
        budget = budget_of(state)
        assert sum(budget.held.values()) <= total
        for place, side in enumerate(sides):
            # Nobody can be kept under its floor, and one idle connection lent is room at once.
            assert budget.held[side] >= budget.floors[side] or budget.available(side)
            if not budget.available(side) and budget.other_can_release(side) and state[1 - place][1]:
                budget.release(opposite(side))
                assert budget.available(side)
        todo += steps(state)
    assert len(seen) > 20


@given(st.integers(2, 300), st.lists(st.tuples(st.sampled_from(DescriptorSide), st.booleans()), max_size=400))
@settings(max_examples=80, derandomize=True, deadline=None)
def test_a_budget_is_never_passed_and_never_goes_below_nothing(total, moves):
    budget = DescriptorBudget(total)
    for side, take in moves:
        try:
            budget.acquire(side) if take else budget.release(side)
        except BudgetError:
            assert (budget.available(side) == 0) if take else (budget.held[side] == 0)
        assert min(budget.held.values()) >= 0
        assert sum(budget.held.values()) <= total
        assert budget.held[side] <= budget.max_held(side)
