"""The model check of the control log, within bounds that fit CI, and the defects that it has to find.

`benchmarks/control_model.py` explores further.
"""

import msgspec
import pytest

from cloverwell.control.consensus import Consensus
from cloverwell.control.control_node import ControlNode
from cloverwell.control.subscribers import SubscriberTable
from lab.control_explorer import explore
from lab.control_model import Model
from lab.control_starts import elected, led, long_log, served, two_logs
from lab.control_states import Action, ActionKind, Budget

MOST_STATES, MOST_SECONDS = 1_000_000, float("inf")  # the bound is the budget, not the machine's speed

CASES = [
    (elected, 0, Budget(elections=1)),
    (two_logs, 0, Budget(elections=1)),
    (led, 0, Budget(elections=1, proposals=1)),
    (led, 0, Budget(proposals=2, losses=1, heartbeats=1)),
    (served, 2, Budget(proposals=1, crashes=1, breaks=1)),
    (served, 2, Budget(elections=1)),
    (long_log, 2, Budget(proposals=1, restarts=1)),
]


def named(value):
    if isinstance(value, Budget):
        return " ".join(f"{count} {name}" for name, count in value._asdict().items() if count)
    return getattr(value, "__name__", str(value))


@pytest.mark.parametrize(("start", "proxies", "budget"), CASES, ids=named)
def test_no_order_of_events_within_the_budget_breaks_a_rule(start, proxies, budget, capsys):
    model = Model(proxies=proxies)
    result = explore(model, start(model), budget, MOST_STATES, MOST_SECONDS)
    with capsys.disabled():
        print(f"\n{start.__name__}: {named(budget)}: {result.states} states, {result.seconds:.1f} s")
    assert not result.broken, "\n".join([result.broken, *result.actions])
    assert result.whole


# Defects, each of one line


class CountsOlderTerms(Consensus):
    """Commits an entry as soon as a quorum holds it, whatever its term."""

    def _may_commit(self, index):
        return True


class CountsOlderTermsNode(ControlNode):
    consensus_type = CountsOlderTerms


class ForgetsItsVote(ControlNode):
    """Starts again without the vote that it had stored."""

    def __init__(self, node, nodes, log_name, stored, *rest):
        super().__init__(node, nodes, log_name, msgspec.structs.replace(stored, vote=""), *rest)


class CommitsAlone(Consensus):
    """Tells of an entry as committed as soon as the leader has it."""

    def _advance_commit_index(self, now):
        return self._commit(self.log.last_index) if self.leadership is not None else []


class CommitsAloneNode(ControlNode):
    consensus_type = CommitsAlone


class TailsWithoutDigest(SubscriberTable):
    """Sends the tail from any position that the log reaches, whatever its digest."""

    def _may_send_entries_after(self, position):
        return self._log.base_index <= position.index <= self._log.committed.index


class TailsWithoutDigestNode(ControlNode):
    subscribers_type = TailsWithoutDigest


def found(node_type, start, proxies, budget):
    """What the explorer says of a defect, after it has cleared the real modules with the same bounds."""
    sound = Model(proxies=proxies)
    assert not explore(sound, start(sound), budget, MOST_STATES, MOST_SECONDS).broken
    model = Model(proxies=proxies, node_type=node_type)
    return explore(model, start(model), budget, MOST_STATES, MOST_SECONDS)


def test_a_leader_that_counts_an_older_terms_entry_is_found():
    result = found(CountsOlderTermsNode, two_logs, 0, Budget(elections=1))
    assert "is committed" in result.broken or "committed as another" in result.broken


def test_a_node_that_forgets_its_vote_is_found():
    def two_stand(model):
        return model.play(model.empty, Action(ActionKind.ELECTION, (0,)), Action(ActionKind.ELECTION, (1,)))

    result = found(ForgetsItsVote, two_stand, 0, Budget(crashes=1))
    assert "two leaders in term 1: node0 and node1" in result.broken or "node1 and node0" in result.broken
    assert result.actions.count("crashes: node2") == 1


def test_a_leader_that_commits_what_it_alone_holds_is_found():
    result = found(CommitsAloneNode, elected, 0, Budget(elections=1))
    assert "committed" in result.broken


def test_a_tail_from_a_position_of_another_log_is_found():
    result = found(TailsWithoutDigestNode, served, 2, Budget(proposals=1, restarts=1))
    assert "on top of what the log never was" in result.broken
    assert any("another log's" in action for action in result.actions)
