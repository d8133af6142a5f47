"""A proposal brought to the leader, whichever control node is asked first. Blocks."""

from __future__ import annotations

import time

from cloverwell.control.messages import ProposalAnswer, ProposalOutcome, Propose
from cloverwell.control.net.ask import NoAnswerError, ask
from cloverwell.control.net.wire import StatusAnswer, StatusRequest
from cloverwell.membership.endpoint_list import split_address

MAX_REDIRECTS = 3  # a leader may change while it is looked for


def ask_status(address: tuple[str, int], wait_s: float) -> StatusAnswer:
    """What the node at that address knows. Raises `NoAnswerError`."""
    answer = ask(address, StatusRequest(), wait_s)
    if not isinstance(answer, StatusAnswer):
        raise NoAnswerError(f"answered with a {type(answer).__name__}")
    return answer


def propose_to_leader(address: tuple[str, int], message: Propose, wait_s: float) -> ProposalAnswer:
    """The answer of the leader, or of the last node asked. Raises `NoAnswerError`: it may have been done."""
    until = time.monotonic() + wait_s
    answer = _propose(address, message, wait_s)
    for _ in range(MAX_REDIRECTS):
        if answer.outcome is not ProposalOutcome.NOT_LEADER:
            break
        status = ask_status(address, until - time.monotonic())
        if not status.leader_address:
            break
        address = split_address(status.leader_address)
        answer = _propose(address, message, until - time.monotonic())
    return answer


def _propose(address: tuple[str, int], message: Propose, wait_s: float) -> ProposalAnswer:
    answer = ask(address, message, wait_s)
    if not isinstance(answer, ProposalAnswer):
        raise NoAnswerError(f"answered with a {type(answer).__name__}")
    return answer
