"""The start states of the model check, to which the real modules are played."""

from __future__ import annotations

from lab.control_model import Model
from lab.control_model_processes import Saved
from lab.control_states import Action, ActionKind, State

NOTHING_SAVED = list(Saved).index(Saved.NOTHING)


def elected(model: Model) -> State:
    """Returns a state in which the first node has started the first election; its requests are in flight."""
    return model.play(model.empty, Action(ActionKind.ELECTION, (0,)))


def led(model: Model) -> State:
    """Returns a state in which the first node leads, and all know that its first entry is committed."""
    return model.settle(elected(model))


def served(model: Model) -> State:
    """Returns `led` with a first proposal committed and all proxies subscribed and up to date.

    Each proxy is subscribed to another node.
    """
    state = model.settle(model.play(led(model), Action(ActionKind.PROPOSAL, (0,))))
    starts = [Action(ActionKind.RESTART, (number, NOTHING_SAVED)) for number in range(len(state.proxies))]
    return model.settle(model.play(state, *starts))


def long_log(model: Model) -> State:
    """Returns `served` with further proposals, so that the beginning of the log has been compacted."""
    state = served(model)
    for _ in range(4):
        state = model.settle(model.play(state, Action(ActionKind.PROPOSAL, (0,))))
    return state


def two_logs(model: Model) -> State:
    """Returns a state with an entry of term 1 at the first node alone, and one of term 2 at the second alone.

    The first node leads term 3. This is figure 8 of the Raft paper, with three nodes: from here an entry of
    term 1 can come to be stored by a quorum while another one can still replace it.
    """
    state = win(model, model.empty, 0, 1)
    state = win(model, drop_all(state), 1, 2)
    state = arrive(model, state, 0, 1)  # the first node learns of term 2
    state = win(model, drop_all(state), 0, 2)
    return drop_all(state, but=(2, 0))


def win(model: Model, state: State, candidate: int, voter: int) -> State:
    """Elects a node by the vote of another one; what it sends then is in flight."""
    state = model.play(state, Action(ActionKind.ELECTION, (candidate,)))
    state = arrive(model, state, voter, candidate)
    return arrive(model, state, candidate, voter)


def arrive(model: Model, state: State, receiver: int, sender: int) -> State:
    """Lets the next message between two nodes arrive."""
    message = state.links[receiver * len(state.nodes) + sender][0]
    return model.play(state, Action(ActionKind.PEER_ARRIVAL, (receiver, sender, message)))


def drop_all(state: State, but: tuple[int, int] | None = None) -> State:
    """Drops all messages in flight between nodes, except those between one (receiver, sender)."""
    kept_link = None if but is None else but[0] * len(state.nodes) + but[1]
    links = tuple(link if number == kept_link else () for number, link in enumerate(state.links))
    return state._replace(links=links)
