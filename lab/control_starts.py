"""Where the model check of the control log starts from: states that the real modules have been played to."""

from __future__ import annotations

from lab.control_model import Model
from lab.control_model_processes import Saved
from lab.control_states import Action, State

NOTHING = list(Saved).index(Saved.NOTHING)


def elected(model: Model) -> State:
    """The first node stands for the first election; its requests are on their way."""
    return model.play(model.empty, Action("elections", (0,)))


def led(model: Model) -> State:
    """The first node leads; its term's first entry is committed, and all know it."""
    return model.settle(elected(model))


def served(model: Model) -> State:
    """As `led`, with a first change committed and every proxy subscribed, each to another node, and up
    to date."""
    state = model.settle(model.play(led(model), Action("proposals", (0,))))
    starts = [Action("restarts", (number, NOTHING)) for number in range(len(state.proxies))]
    return model.settle(model.play(state, *starts))


def long_log(model: Model) -> State:
    """As `served`, with further changes, so that the log's beginning has been folded into snapshots."""
    state = served(model)
    for _ in range(4):
        state = model.settle(model.play(state, Action("proposals", (0,))))
    return state


def two_logs(model: Model) -> State:
    """An entry of term 1 at the first node alone, one of term 2 at the second alone; the first leads term
    3.

    This is figure 8 of the Raft paper, with three nodes: from here an entry of term 1 can come to be
    held by a quorum while another can still take its place.
    """
    state = win(model, model.empty, 0, 1)
    state = win(model, drop_all(state), 1, 2)
    state = arrive(model, state, 0, 1)  # the first node hears of term 2
    state = win(model, drop_all(state), 0, 2)
    return drop_all(state, but=(2, 0))


def win(model: Model, state: State, candidate: int, voter: int) -> State:
    """A node is elected by another's vote; what it sends then is on its way."""
    state = model.play(state, Action("elections", (candidate,)))
    state = arrive(model, state, voter, candidate)
    return arrive(model, state, candidate, voter)


def arrive(model: Model, state: State, receiver: int, sender: int) -> State:
    """The next message between two nodes arrives."""
    message = state.links[receiver * len(state.nodes) + sender][0]
    return model.play(state, Action("peer", (receiver, sender, message)))


def drop_all(state: State, but: tuple[int, int] | None = None) -> State:
    """All that is on its way between nodes is lost, but for what goes to a receiver from a sender."""
    kept = None if but is None else but[0] * len(state.nodes) + but[1]
    links = tuple(link if number == kept else () for number, link in enumerate(state.links))
    return state._replace(links=links)
