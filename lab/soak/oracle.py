"""Judges a run by what clients, nodes and operators see, by the rules of the operators' pages.

What crosses at nodes and clients goes to `lab.invariant_checker`; here stand the rules on connections and
processes, and the story of the connection for each breach.
"""

from __future__ import annotations

import re
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from lab.invariant_checker import InvariantChecker, RequestHistory
from lab.loopback.event_time import EventTime
from lab.loopback.requests import EFFECTS, Request
from lab.scenario import InvariantLimits
from lab.soak.story import ConnectionStory

NODE_DRAIN_S = 1.0  # of the testbed's settings
DEDUP_WINDOW_S = 1.5
# Beyond each bound: a proxy may be held up for 0.15 s between its clock and a write, and so may this process.
SLACK_S = 0.3
# A request that was sent so shortly before the end of its connection may have crossed it.
CROSSING_S = 0.15
LATE_S = 0.5  # an answer may come so late and only earns nothing
BAD_CLIENT_S = 3.0  # by then a client that stops in the middle has its error, or the close
FLUSHED_TOGETHER_S = 0.05  # answers that come so shortly behind another one may have waited for it
RECONNECTING_S = 0.35  # what a connection has that is opened when it should not be held
RECENT_S = 2.0  # of the page: a drained process holds no connection with a request so recent, or idle
REQUEST = re.compile(r"request (r\d+)")
MAX_LINE = 400


@dataclass(frozen=True)
class SoakBreach:
    """A broken rule: when (s since the run began), where, why, and the connection's story."""

    rule: str
    at_s: float
    where: str
    why: str
    story: str = ""


@dataclass
class SentRequest:
    """A request whose answer is due on its connection."""

    request: Request
    sent_s: float
    deadline_s: float


class Oracle:
    """Counts what happened, and collects the breaches of one run."""

    def __init__(self, event_time: EventTime, crowd: bool) -> None:
        """`crowd`: idle clients fill the descriptors, and new connections may be shut unread."""
        self.checker = InvariantChecker(rules=InvariantLimits(drain_s=NODE_DRAIN_S), slack_s=SLACK_S)
        self.event_time = event_time
        self.counts: Counter[str] = Counter()
        self.breaches: list[SoakBreach] = []
        self.zero_s = time.monotonic()
        self._crowd = crowd
        self._stories: dict[str, ConnectionStory] = {}  # by request
        self._died_s: dict[str, float] = {}  # when a process of a proxy was last killed
        self._paused_until_s: dict[str, float] = {}

    def breach(self, rule: str, where: str, why: str, story: ConnectionStory | None = None) -> None:
        """Record a broken rule."""
        at_s = time.monotonic() - self.zero_s
        self.breaches.append(SoakBreach(rule, at_s, where, why, self._text_of(story)))

    def _text_of(self, story: ConnectionStory | None) -> str:
        return "" if story is None else story.tell(self.zero_s)

    def killed(self, proxy: str) -> None:
        """Record that a process was killed: what it had taken is lost, and nobody is to blame for that."""
        self._died_s[proxy] = time.monotonic()

    def logged_fault(self, proxy: str, line: str) -> None:
        """Record a line of a process's log that must not be there, with the story of its request."""
        named = REQUEST.search(line)
        story = None if named is None else self._stories.get(named[1])
        self.breach("fault", proxy, line[:MAX_LINE], story)

    def paused(self, proxy: str, for_s: float) -> None:
        """Record that a process is stopped for so long: that counts against no request's time.

        The page has a proxy bear 0.15 s, which the slack covers.
        """
        self._paused_until_s[proxy] = time.monotonic() + for_s
        for history in self.checker.histories.values():
            if history.proxy == proxy and not history.answers:
                history.deadline_s += for_s

    # Requests -------------------------------------------------------------------------------------

    def sent(self, request: Request, story: ConnectionStory) -> SentRequest:
        """Record that a client has written a request."""
        now = time.monotonic()
        deadline_s = now + request.wait_ms / 1000.0
        effect = EFFECTS[request.class_name]
        history = RequestHistory(request.name, story.proxy, effect, now, deadline_s, DEDUP_WINDOW_S)
        history.deadline_s += max(0.0, self._paused_until_s.get(story.proxy, 0.0) - now)
        self.checker.taken(history)
        self._stories[request.name] = story
        story.sent(request.name, f"{request.kind} {request.class_name} {request.wait_ms} ms")
        self.counts["sent"] += 1
        return SentRequest(request, now, deadline_s)

    def answered(self, sent: SentRequest, answer: bytes, story: ConnectionStory, behind_s: float) -> None:
        """Record an answer; `behind_s`: since the answer before it on the connection."""
        name = sent.request.name
        served = answer.startswith((b"VA ", b"HD "))
        how = "served" if served else "refused" if answer.startswith(b"SERVER_ERROR busy") else "failed"
        right = answer == sent.request.right if served else answer.startswith(b"SERVER_ERROR ")
        story.note(f"{name} is {how}")
        self.counts[how] += 1
        came_s = self.event_time.came_s() - LATE_S
        if behind_s < FLUSHED_TOGETHER_S or self._crowd:
            came_s = min(came_s, sent.deadline_s)  # it may have waited for another, or to be accepted
        self.checker.answered(came_s, name, how, right)

    def left(self, pending: Iterable[SentRequest]) -> None:
        """Record that a client closes its connection."""
        for sent in pending:
            self.checker.left(time.monotonic(), sent.request.name)
            self.counts["left"] += 1

    def connection_ended(
        self, pending: Iterable[SentRequest], story: ConnectionStory, answers: int, how: str
    ) -> None:
        """Check the requests without an answer on a connection that the proxy ended."""
        ended_s = self.event_time.came_s()
        story.note(how)
        for sent in pending:
            if ended_s - self._died_s.get(story.proxy, -1.0e9) < RECENT_S:
                self.counts["died"] += 1
            elif not self._may_have_crossed(sent, ended_s, answers):
                open_s = ended_s - sent.sent_s
                forwarded = bool(self.checker.histories[sent.request.name].attempts)
                state = "forwarded" if forwarded else "not forwarded"
                why = f"{sent.request.name} ({state}) got no answer: {how} {open_s:.3f} s behind it"
                self.breach("lost", story.proxy, why, story)
            else:
                self.counts["crossed"] += 1
                self.checker.left(time.monotonic(), sent.request.name)

    def _may_have_crossed(self, sent: SentRequest, ended_s: float, answers: int) -> bool:
        history = self.checker.histories[sent.request.name]
        if history.attempts:
            return False  # it was read
        if self._crowd and not answers:
            return True  # a new connection, which may be shut unread
        return ended_s - sent.sent_s <= CROSSING_S + self.event_time.most_late_s

    def never_answered(self, sent: SentRequest, story: ConnectionStory) -> None:
        """Record that a request's time and more is over, and its connection still stands."""
        why = f"{sent.request.name} has no answer {time.monotonic() - sent.sent_s:.3f} s behind it"
        self.breach("lost", story.proxy, why, story)

    def kept_waiting(self, story: ConnectionStory, since_s: float) -> None:
        """Check on a client that stopped in the middle of a request, once it has its error or the close."""
        waited_s = self.event_time.came_s() - since_s
        if waited_s > BAD_CLIENT_S + SLACK_S:
            self.breach("bad client", story.proxy, f"it waited {waited_s:.3f} s for an error", story)

    # The end of a run -----------------------------------------------------------------------------

    def finish(self) -> list[SoakBreach]:
        """Return all breaches, those of the checker with the story of the request's connection."""
        for found in self.checker.breaches:
            story = self._stories.get(found["request"])
            at_s = found["at_s"] - self.zero_s
            text = self._text_of(story)
            self.breaches.append(SoakBreach(found["rule"], at_s, found["request"], found["why"], text))
        return sorted(self.breaches, key=lambda breach: breach.at_s)
