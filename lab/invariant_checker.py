"""Six invariants, checked from the outside: by what crossed the sockets, not by what the proxy says.

1. *answered*: each request that a live proxy took gets exactly one final answer before its client gives up,
   and what serves it was made for it by a cache node or the origin.
2. *once*: a request that must not run twice has one attempt that may have run, and is not refused after it; a
   keyed one is not sent again after its window; nobody sends more attempts than allowed; where second copies
   are refused, no attempt reaches a node while another is out at one.
3. *drain*: nothing new to a node later than the scenario's `drain_s` after the proxy was told that it drains
   or is gone.
4. *cold*: within any `fall_s` no cold node is given more than 1.05 times `fall_times` what it can do; nor is
   it sent, by proxies that were told of its start, more than N + 2 x root of N + 2 requests of mean work, N
   being `fall_asked_times` what it can do, where a miss counts as what it asked for.
5. *told*: no attempt tells its node more time than its client has left when its last byte comes in there.
6. *left*: no attempt, first or further, comes in more than `LEFT_S` after its client has closed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypedDict

from lab.cold_node_load import ColdNodeLoad, WorkSent
from lab.member_row import IN_SERVICE, MemberRow
from lab.scenario import InvariantLimits

SLACK_S = 0.07  # 20 ms of the rule and 50 ms of sockets
DRAIN_SLACK_S = 0.05
TOLD_SLACK_S = 0.02  # the ways from the client, to the node, and the clock's whole milliseconds
LEFT_S = 0.1  # the ways from the client and to the node included
RULES = ("answered", "once", "drain", "cold", "told", "left")
MOST_BREACHES = 50
MEAN_WORK_S = 0.02  # of a request, where the caller does not say


class Breach(TypedDict):
    """One breach of a rule, as the summary shows it; `request` is the node's name for the rule `cold`."""

    rule: str
    at_s: float
    request: str
    why: str


@dataclass(slots=True)
class RequestHistory:
    """One request as it crossed the sockets."""

    name: str
    proxy: str
    effect: str
    sent_s: float
    deadline_s: float
    window_s: float
    attempts: int = 0
    doubtful_s: float | None = None  # when the first attempt that may have run came in
    doubtful: int = 0  # attempts that may have run
    answers: int = 0
    out: int = 0  # attempts that a node has taken whole and neither answered nor seen closed
    left_s: float | None = None  # when its client closed


@dataclass
class InvariantChecker:
    """Counts breaches of the rules. All times are seconds of one clock, virtual or real."""

    send_cap: int = 3
    copies: bool = True  # whether a request may have two attempts out together
    rules: InvariantLimits = field(default_factory=InvariantLimits)
    slack_s: float = 0.0  # added to each bound of time: none in virtual time, some for real processes
    histories: dict[str, RequestHistory] = field(default_factory=dict)
    breaches: list[Breach] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    fullest: float = 0.0  # the most that a cold node was sent, as a part of what makes it fall
    _told_to_go: dict[tuple[str, str], float] = field(default_factory=dict)  # when a proxy was told of a node
    _starts: dict[tuple[str, str], int] = field(default_factory=dict)  # of nodes, as proxies were told
    _cold_nodes: dict[str, ColdNodeLoad] = field(default_factory=dict)

    def breach(self, rule: str, now: float, name: str, why: str) -> None:
        """Counts a breach; the first `MOST_BREACHES` are kept for the summary."""
        self.counts[rule] += 1
        if len(self.breaches) < MOST_BREACHES:
            self.breaches.append({"rule": rule, "at_s": round(now, 4), "request": name, "why": why})

    # What crosses the sockets -------------------------------------------------------------------

    def taken(self, history: RequestHistory) -> None:
        """A client has sent a request to a live proxy."""
        self.histories[history.name] = history

    def attempt(self, now: float, name: str, node: str, told_ms: float) -> None:
        """A whole command has come in at a cache node or the origin, with `told_ms` to answer it."""
        history = self.histories.get(name)
        if history is None:
            self.breach("answered", now, name, f"{node} was sent a request that no client sent")
            return
        history.attempts += 1
        self._check_copies(now, history, node)
        self._check_left(now, history, node)
        self._check_repeat(now, history)
        history.doubtful += 1
        history.doubtful_s = now if history.doubtful_s is None else history.doubtful_s
        self._check_told(now, history, node, told_ms)
        self._check_drain(now, history, node)

    def _check_copies(self, now: float, history: RequestHistory, node: str) -> None:
        if history.out and not self.copies:
            self.breach("once", now, history.name, f"at {node} while an attempt is still out")
        history.out += 1

    def _check_left(self, now: float, history: RequestHistory, node: str) -> None:
        if history.left_s is None:
            return
        after_s = now - history.left_s
        if after_s > LEFT_S + self.slack_s:
            self.breach("left", now, history.name, f"sent to {node} {after_s:.3f} s after its client left")

    def _check_repeat(self, now: float, history: RequestHistory) -> None:
        if history.attempts > self.send_cap:
            self.breach("once", now, history.name, f"attempt {history.attempts} of at most {self.send_cap}")
        if history.effect == "fragile" and history.doubtful:
            self.breach("once", now, history.name, "sent again after an attempt that may have run")
        window_s = history.window_s + SLACK_S + self.slack_s
        late = history.doubtful_s is not None and now - history.doubtful_s > window_s
        if history.effect == "dedup" and late:
            self.breach("once", now, history.name, "sent again after its window")

    def _check_told(self, now: float, history: RequestHistory, node: str, told_ms: float) -> None:
        over_s = now + told_ms / 1000.0 - history.deadline_s
        if told_ms < 1 or over_s > TOLD_SLACK_S + self.slack_s:
            self.breach("told", now, history.name, f"told {node} {told_ms:g} ms, {over_s:.3f} s too much")

    def _check_drain(self, now: float, history: RequestHistory, node: str) -> None:
        told_s = self._told_to_go.get((history.proxy, node))
        if told_s is not None and now - told_s > self.rules.drain_s + DRAIN_SLACK_S + self.slack_s:
            why = f"sent to {node} {now - told_s:.2f} s after it was told to go"
            self.breach("drain", now, history.name, why)

    def left(self, now: float, name: str) -> None:
        """The client closes its connection, with no answer yet."""
        history = self.histories.get(name)
        if history is not None:
            history.left_s = now

    def settled(self, name: str) -> None:
        """A node has written its answer to an attempt, or seen the attempt's connection close."""
        history = self.histories.get(name)
        if history is not None and history.out:
            history.out -= 1

    def never_ran(self, name: str) -> None:
        """The last attempt was turned away unseen, or missed."""
        history = self.histories.get(name)
        if history is not None:
            history.doubtful -= 1
            if not history.doubtful:
                history.doubtful_s = None

    def answered(self, now: float, name: str, how: str, right: bool = True) -> None:
        """A final answer has reached the client: served, refused or failed."""
        history = self.histories.get(name)
        if history is None:
            return
        history.answers += 1
        if history.answers > 1:
            self.breach("answered", now, name, "answered twice")
        if not right:
            self.breach("answered", now, name, "served with what was not made for it")
        if how == "refused" and history.effect == "fragile" and history.doubtful:
            self.breach("once", now, name, "refused, though it may have run")
        if now > history.deadline_s + SLACK_S + self.slack_s:
            why = f"{now - history.deadline_s:.3f} s after its client gave up"
            self.breach("answered", now, name, why)

    def forget(self, name: str) -> None:
        """Drops a request that ended so long ago that nothing which was sent for it can still come in."""
        self.histories.pop(name, None)

    def lost(self, now: float, name: str, why: str) -> None:
        """The client will get no answer; that is a breach unless it has had one."""
        history = self.histories.get(name)
        if history is not None and not history.answers:
            self.breach("answered", now, name, why)

    # The nodes ----------------------------------------------------------------------------------

    def told(self, now: float, proxy: str, member: MemberRow) -> None:
        """A proxy is sent a row of the endpoint list."""
        pair = proxy, member["id"]
        if member["phase"] != IN_SERVICE:
            self._told_to_go.setdefault(pair, now)
        else:
            self._told_to_go.pop(pair, None)
            self._starts[pair] = member["up_since_ms"]

    def starts_with(self, proxy: str, members: Iterable[MemberRow]) -> None:
        """A proxy begins with this endpoint list."""
        self._starts |= {(proxy, member["id"]): member["up_since_ms"] for member in members}

    def knows_start(self, proxy: str, node: str, up_since_ms: int) -> bool:
        """Whether the proxy has been told that the node started then."""
        return self._starts.get((proxy, node), 0) >= up_since_ms

    def restarted(self, proxy: str) -> None:
        """A proxy that begins anew has been told no more than the list that it starts with."""
        self._told_to_go = {key: at for key, at in self._told_to_go.items() if key[0] != proxy}

    def work(
        self,
        now: float,
        node: str,
        asked_s: float,
        capacity: float,
        cold: bool,
        mean_s: float = MEAN_WORK_S,
        told: bool = True,
        done_s: float | None = None,
    ) -> None:
        """Work has come in at a node, in core seconds.

        `capacity`: what the node can do in a second; `mean_s`: the mean work of a request; `told`: whether
        the sender has been told of the node's start; `done_s`: what it costs the node, less where it misses.
        """
        if not cold:
            self._cold_nodes.pop(node, None)
            return
        load = self._cold_nodes.setdefault(node, ColdNodeLoad(self.rules))
        verdict = load.add(
            WorkSent(now, asked_s, told, asked_s if done_s is None else done_s), capacity, mean_s
        )
        self.fullest = max(self.fullest, verdict.fullness)
        if verdict.breach:
            self.breach("cold", now, node, verdict.breach)
