"""The work that one cold node was sent of late, against the rule `cold` of the invariant checker."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from lab.scenario import InvariantLimits

DONE_SLACK = 1.05  # the work that is done may be so many times what is allowed
TOLD_SHARE = 2.0 / 3.0  # of the work, from proxies that knew of the start: more of it breaks the rule


@dataclass(frozen=True, slots=True)
class WorkSent:
    """Work that came in at `at_s`, in core seconds: what was asked for, and what it costs the node."""

    at_s: float
    asked_s: float
    told: bool  # whether its sender had been told of the node's start
    done_s: float


@dataclass(frozen=True, slots=True)
class LoadVerdict:
    """What the newest work means: how full the node is, and the breach if it is one."""

    fullness: float  # as a part of what makes the node fall; 0 where its senders did not know of its start
    breach: str = ""


class ColdNodeLoad:
    """The work of the last `fall_s` at one cold node."""

    def __init__(self, limits: InvariantLimits) -> None:
        """`limits`: the figures of the rule."""
        self._limits = limits
        self._sent: deque[WorkSent] = deque()

    def add(self, work: WorkSent, capacity: float, mean_s: float) -> LoadVerdict:
        """Counts the work. `capacity`: core seconds that the node does in a second; `mean_s`: of one request.

        What was counted is dropped when the node has been sent too much: it falls, and comes back empty.
        """
        limits = self._limits
        self._sent.append(work)
        while self._sent[0].at_s < work.at_s - limits.fall_s:
            self._sent.popleft()
        asked_s = sum(each.asked_s for each in self._sent)
        done_s = sum(each.done_s for each in self._sent)
        told = sum(each.asked_s for each in self._sent if each.told) > TOLD_SHARE * asked_s
        allowed_s = limits.fall_times * capacity * limits.fall_s
        most_s = self._most_asked_s(capacity, mean_s)
        why = ""
        if done_s > DONE_SLACK * allowed_s or (asked_s > most_s and told):
            why = f"{asked_s:.1f} core s in {limits.fall_s:g} s, it can do {capacity:.1f} in one"
        if why or asked_s > most_s:
            self._sent.clear()
        return LoadVerdict(told * asked_s / most_s, why)

    def _most_asked_s(self, capacity: float, mean_s: float) -> float:
        """N + 2 x root of N + 2 requests of mean work: what chance may add to N is allowed."""
        requests = self._limits.fall_asked_times * capacity * self._limits.fall_s / mean_s
        return mean_s * (requests + 2.0 * math.sqrt(requests) + 2.0)
