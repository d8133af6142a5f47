"""The six rules, checked from the outside: by what crossed the sockets, not by what the proxy says.

1. *answered*: each request that a live proxy took gets exactly one final answer before its client gives up,
   and what serves it was made for it by a cache node or the origin.
2. *once*: a request that must not run twice has one attempt that may have run, and is not refused after it; a
   keyed one is not sent again after its window; nobody sends more attempts than allowed; where second copies
   are refused, no attempt reaches a node while another is out at one.
3. *drain*: nothing new to a node later than the world's `drain_s` after the proxy was told that it drains or
   is gone.
4. *cold*: within any `fall_s` no cold node is given more than 1.05 times `fall_times` what it can do; nor is
   it sent, by proxies that were told of its start, more than N + 2 x root of N + 2 requests of mean work, N
   being `fall_asked_times` what it can do, where a miss counts as what it asked for.
5. *told*: no attempt tells its node more time than its client has left when its last byte comes in there.
6. *left*: no attempt, first or further, comes in more than `LEFT_S` after its client has closed.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field

from lab.scenario import InvariantLimits

SLACK_S = 0.07  # 20 ms of the rule and 50 ms of sockets
DRAIN_SLACK_S = 0.05
TOLD_SLACK_S = 0.02  # the ways from the client, to the node, and the clock's whole milliseconds
FALL_SLACK = 1.05
TOLD_SHARE = 2.0 / 3.0  # of what made a cold node fall, from proxies that knew: more of it breaks the rule
LEFT_S = 0.1  # the ways from the client and to the node included
RULES = ("answered", "once", "drain", "cold", "told", "left")
MOST_BREACHES = 50


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
    doubtful: int = 0
    answers: int = 0
    out: int = 0  # attempts that a node has taken whole and neither answered nor seen closed
    left_s: float | None = None  # when its client closed


@dataclass
class InvariantChecker:
    send_cap: int = 3
    copies: bool = True  # whether a request may have two attempts out together
    rules: InvariantLimits = field(default_factory=InvariantLimits)
    slack_s: float = 0.0  # added to each bound of time: none in virtual time, some for real processes
    histories: dict[str, RequestHistory] = field(default_factory=dict)
    breaches: list[dict] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    fullest: float = 0.0  # the most that a cold node was sent, as a part of what makes it fall
    _told: dict[tuple[str, str], float] = field(default_factory=dict)
    _starts: dict[tuple[str, str], int] = field(default_factory=dict)  # of nodes, as proxies were told
    _sent: dict[str, deque] = field(default_factory=dict)

    def breach(self, rule: str, now: float, name: str, why: str) -> None:
        self.counts[rule] += 1
        if len(self.breaches) < MOST_BREACHES:
            self.breaches.append({"rule": rule, "at_s": round(now, 4), "request": name, "why": why})

    # What crosses the sockets -------------------------------------------------------------------

    def taken(self, case: RequestHistory) -> None:
        self.histories[case.name] = case

    def attempt(self, now: float, name: str, node: str, told_ms: float) -> None:
        """A whole command has come in at a cache node or the origin, which it told to work for so long at
        most."""
        case = self.histories.get(name)
        if case is None:
            return self.breach("answered", now, name, f"{node} was sent a request that no client sent")
        case.attempts += 1
        if case.out and not self.copies:
            self.breach("once", now, name, f"at {node} while an attempt is still out")
        case.out += 1
        if case.left_s is not None and now - case.left_s > LEFT_S + self.slack_s:
            self.breach("left", now, name, f"sent to {node} {now - case.left_s:.3f} s after its client left")
        if case.attempts > self.send_cap:
            self.breach("once", now, name, f"attempt {case.attempts} of at most {self.send_cap}")
        if case.effect == "fragile" and case.doubtful:
            self.breach("once", now, name, "sent again after an attempt that may have run")
        late = case.doubtful_s is not None and now - case.doubtful_s > case.window_s + SLACK_S + self.slack_s
        if case.effect == "dedup" and late:
            self.breach("once", now, name, "sent again after its window")
        case.doubtful += 1
        case.doubtful_s = now if case.doubtful_s is None else case.doubtful_s
        over_s = now + told_ms / 1000.0 - case.deadline_s
        if told_ms < 1 or over_s > TOLD_SLACK_S + self.slack_s:
            self.breach("told", now, name, f"told {node} {told_ms:g} ms, {over_s:.3f} s too much")
        told = self._told.get((case.proxy, node))
        if told is not None and now - told > self.rules.drain_s + DRAIN_SLACK_S + self.slack_s:
            self.breach("drain", now, name, f"sent to {node} {now - told:.2f} s after it was told to go")
        return None

    def left(self, now: float, name: str) -> None:
        """The client closes its connection, with no answer yet."""
        case = self.histories.get(name)
        if case is not None:
            case.left_s = now

    def settled(self, name: str) -> None:
        """A node has written its answer to an attempt, or seen the attempt's connection close."""
        case = self.histories.get(name)
        if case is not None and case.out:
            case.out -= 1

    def never_ran(self, name: str) -> None:
        """The last attempt was turned away unseen, or missed."""
        case = self.histories.get(name)
        if case is not None:
            case.doubtful -= 1
            if not case.doubtful:
                case.doubtful_s = None

    def answered(self, now: float, name: str, how: str, right: bool = True) -> None:
        """A final answer has reached the client: served, refused or failed."""
        case = self.histories.get(name)
        if case is None:
            return
        case.answers += 1
        if case.answers > 1:
            self.breach("answered", now, name, "answered twice")
        if not right:
            self.breach("answered", now, name, "served with what was not made for it")
        if how == "refused" and case.effect == "fragile" and case.doubtful:
            self.breach("once", now, name, "refused, though it may have run")
        if now > case.deadline_s + SLACK_S + self.slack_s:
            self.breach("answered", now, name, f"{now - case.deadline_s:.3f} s after its client gave up")

    def forget(self, name: str) -> None:
        """Long over: nothing that was sent for it can still come in."""
        self.histories.pop(name, None)

    def lost(self, now: float, name: str, why: str) -> None:
        case = self.histories.get(name)
        if case is not None and not case.answers:
            self.breach("answered", now, name, why)

    # The nodes ----------------------------------------------------------------------------------

    def told(self, now: float, proxy: str, member: dict) -> None:
        """A proxy is sent a line of the list."""
        pair = proxy, member["id"]
        if member["phase"] != "in_service":
            self._told.setdefault(pair, now)
        else:
            self._told.pop(pair, None)
            self._starts[pair] = member["up_since_ms"]

    def starts_with(self, proxy: str, members: list[dict]) -> None:
        """A proxy begins with this list."""
        self._starts |= {(proxy, member["id"]): member["up_since_ms"] for member in members}

    def knows_start(self, proxy: str, node: str, up_since_ms: int) -> bool:
        """Whether the proxy has been told that the node started then."""
        return self._starts.get((proxy, node), 0) >= up_since_ms

    def restarted(self, proxy: str) -> None:
        """A proxy that begins anew has been told no more than the list that it starts with."""
        self._told = {key: at for key, at in self._told.items() if key[0] != proxy}

    def work(
        self,
        now: float,
        node: str,
        asked_s: float,
        capacity: float,
        cold: bool,
        mean_s: float = 0.02,
        told: bool = True,
        done_s: float | None = None,
    ) -> None:
        """Work has come in at a node, in core seconds; `capacity`: what it can do in a second; `mean_s`: of
        one request, in core seconds; `told`: whether its sender has been told of the node's start; `done_s`:
        what it costs the node, less where it misses."""
        if not cold:
            self._sent.pop(node, None)
            return
        sent = self._sent.setdefault(node, deque())
        sent.append((now, asked_s, told, asked_s if done_s is None else done_s))
        while sent[0][0] < now - self.rules.fall_s:
            sent.popleft()
        asked = sum(entry[1] for entry in sent)
        done = sum(entry[3] for entry in sent)
        knowing = sum(entry[1] for entry in sent if entry[2]) > TOLD_SHARE * asked
        allowed = self.rules.fall_times * capacity * self.rules.fall_s  # core seconds
        requests = self.rules.fall_asked_times * capacity * self.rules.fall_s / mean_s
        most = mean_s * (requests + 2.0 * math.sqrt(requests) + 2.0)
        self.fullest = max(self.fullest, knowing * asked / most)
        if done > FALL_SLACK * allowed or (asked > most and knowing):
            why = f"{asked:.1f} core s in {self.rules.fall_s:g} s, it can do {capacity:.1f} in one"
            self.breach("cold", now, node, why)
            sent.clear()
        elif asked > most:
            sent.clear()  # it falls, and comes back empty
