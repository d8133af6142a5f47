"""The explorer of the model check: every state up to a bound, breadth first, until a violation."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from cloverwell.control.errors import ControlError
from lab.control_invariants import InvariantViolationError
from lab.control_model import Model
from lab.control_states import Action, Budget, State


@dataclass(slots=True)
class Trace:
    """How a state was reached, back to the start."""

    action: Action
    before: Trace | None


@dataclass(slots=True)
class Result:
    """What an exploration has found.

    `broken` is the first violation of an invariant, "" for none, and `actions` lead there. `whole` says that
    all states within the budget were seen.
    """

    states: int = 0
    steps: int = 0  # transitions, also to states that were seen before
    depth: int = 0
    whole: bool = False
    seconds: float = 0.0
    broken: str = ""
    actions: list[str] = field(default_factory=list)


def explore(model: Model, start: State, budget: Budget, most_states: int, most_seconds: float) -> Result:
    """Explores the states that can be reached, breadth first, until a violation or a bound is met.

    States are remembered by 64 bits of hash. A collision would leave a state unexplored; among a million
    states there is one with a probability of about one in ten million.
    """
    began = time.perf_counter()
    result = Result(states=1)
    start = start._replace(budget=budget)
    seen = {hash(start)}
    frontier: list[tuple[State, Trace | None]] = [(start, None)]
    while frontier:
        following: list[tuple[State, Trace | None]] = []
        for state, trace in frontier:
            for action in model.actions(state):
                result.steps += 1
                try:
                    after = model.step(state, action)
                except (InvariantViolationError, ControlError, ValueError) as error:
                    result.broken = f"{type(error).__name__}: {error}"
                    result.actions = describe(model, Trace(action, trace))
                    result.seconds = time.perf_counter() - began
                    return result
                key = hash(after)
                if key not in seen:
                    seen.add(key)
                    following.append((after, Trace(action, trace)))
            result.states = len(seen)
            result.seconds = time.perf_counter() - began
            if result.states >= most_states or result.seconds >= most_seconds:
                return result
        result.depth += bool(following)
        frontier = following
    result.whole = True
    return result


def describe(model: Model, trace: Trace | None) -> list[str]:
    """Returns the actions of a trace in words, first to last."""
    lines: list[str] = []
    while trace is not None:
        lines.append(model.describe(trace.action))
        trace = trace.before
    return lines[::-1]
