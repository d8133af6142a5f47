"""How many connections a node gets, which is used first, opened ahead, validated and retired: no I/O.

Times are milliseconds of one clock. A node is a name; its kind is what it runs (`cache` or `origin`).

**Reuse.** The connection used last goes first: it is the youngest, and the surplus grows old and is retired.

**Validation.** A connection may have been closed without a word, and a request that is reset may have run.
So an attempt whose loss would be dear, or whose connection has an age at which none has been seen to live, is
written but for its last byte; a node that has closed answers that with a reset, and without its last byte the
request never ran, so it goes elsewhere at no loss. What that costs is one way there and back.

**Ahead.** One more than is in use is kept at hand where attempts come fast enough that it will be used before
it is stale, where handshakes are dear, and where the node is neither cold nor leaving.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from cloverwell.connections.idle_limits import Limits

HOLD_MS = (4.0, 45.0)  # what the last byte is held back for, at least and at most
HOLD_TIMES = 1.25  # of the longest that resets take to come, of late
# resets per attempt of late, over which even fresh connections are validated for dear attempts
SUSPECT = 0.004
COMMON, LONG = 0.02, 0.005  # share over which one more reset tells nothing new of its node; its weight
YOUNG_MS = 50.0  # idle for less: no node closes so soon, until it is seen to
ALMOST = 0.03  # weight of an attempt in the share of resets
# a share of stale attempts under which every age is trusted; the weight of one in it
CALM, SLOW = 0.0005, 0.001
DEAR_TIMES = 4.0  # as much proof of an age is wanted for attempts that may not run twice
DEAR_MS = 3.0  # a handshake that takes less is not worth one ahead of need
AHEAD_EACH = 2  # opened ahead for a node at once
PEAK_MS = 250.0  # a window of the forecast
PEAK_WEIGHT = 0.15
WIDTHS = 1.5  # mean deviations of the peaks that are kept at hand above their mean
# mean answers: an attempt that has had none of one for so long is on a connection that is dead
SILENT_TIMES = 4.0
SILENT = 0.5  # a share over which dead connections of a kind are taken to say nothing
FULL = 4  # connections refused in a row, while others stand, that show a node to hold no more
CAP_BACK_MS = 2000.0  # a node that refused a connection is asked for one more after so long
ROUND_MS = 10_000.0  # the quickest round trip is the least of so long, and of as long before
MOST_REACH_MS = 60.0  # a close that we send has reached its node by then
QUICK_MS = 60.0  # a reset that takes longer fell on work, and says nothing of how long resets take to come


class ConnectionUse(Enum):
    WHOLE = "whole"  # write all of the attempt
    SPLIT = "split"  # write all but its last byte, and that after `hold_ms`
    RETIRE = "retire"  # close the connection: it is too old


@dataclass(slots=True)
class Node:
    kind: str
    cold_until_ms: float = -math.inf
    left_ms: float | None = None  # told that it drains or is gone
    in_use: int = 0
    peak: int = 0  # most in use in this window
    window_ms: float = -math.inf  # its end
    mean: float = 0.0  # of the peaks
    width: float = 0.0  # their mean deviation
    gap_ms: float = 1000.0  # between attempts, on average
    attempt_ms: float = -math.inf  # the last one
    answer_ms: float = 50.0  # what answers take: a running mean
    connect_ms: float = 0.0  # what a handshake takes: a running mean
    round_ms: float = math.inf  # the quickest handshake or answer in this window
    round_end_ms: float = -math.inf  # its end
    round_before_ms: float = math.inf  # the quickest in the one before
    refusals: int = 0  # in a row, while some stood
    cap: float = math.inf  # it has refused more
    cap_ms: float = 0.0  # when that was
    answered_ms: float = -math.inf  # the last answer of an attempt


@dataclass(slots=True)
class NodeTypeStatistics:
    """What nodes of a kind have in common."""

    resets: float = 0.0  # of late, per attempt
    share: float = 0.0  # the same over a longer time
    worry: float = 0.0  # stale attempts among all, over a long time
    drops: float = 0.0  # whether dead connections are silent rather than reset: then nothing validates them
    reset_ms: float = 0.0  # the longest that one took to come, sinking slowly


class NodeConnectionPolicy:
    def __init__(self, most_idle_ms: float, grace_ms: float, now: float) -> None:
        """`most_idle_ms`: an idle connection is retired by then; `grace_ms`: in which a leaving node is still
        opened to."""
        self.limits = Limits(most_idle_ms, now)
        self._grace_ms = grace_ms
        self._nodes: dict[str, Node] = {}
        self._kinds: dict[str, NodeTypeStatistics] = {}

    # What is known of nodes ---------------------------------------------------------------------

    def named(self, node: str, kind: str, cold_until_ms: float = -math.inf) -> None:
        """The server list has it, ready."""
        entry = self._nodes.get(node)
        if entry is None:
            entry = self._nodes[node] = Node(kind)
            self._kinds.setdefault(kind, NodeTypeStatistics())
        entry.cold_until_ms = cold_until_ms
        entry.left_ms = None

    def left(self, node: str, now: float) -> None:
        """It drains or is gone; told now."""
        entry = self._nodes.get(node)
        if entry is not None and entry.left_ms is None:
            entry.left_ms = now

    def forget(self, node: str) -> None:
        self._nodes.pop(node, None)
        self.limits.forget(node)

    def __len__(self) -> int:
        return len(self._nodes)

    # What happens -------------------------------------------------------------------------------

    def started(self, node: str, in_use: int, now: float) -> None:
        """An attempt begins; so many connections have one now, it included."""
        entry = self._nodes.get(node)
        if entry is None:
            return
        if entry.attempt_ms > -math.inf:
            entry.gap_ms += 0.1 * (min(now - entry.attempt_ms, 10_000.0) - entry.gap_ms)
        entry.attempt_ms = now
        self._turn(entry, now)
        entry.in_use = in_use
        entry.peak = max(entry.peak, in_use)

    def connected(self, node: str, took_ms: float, now: float) -> None:
        entry = self._nodes.get(node)
        if entry is not None:
            self._round(entry, took_ms, now)
            weight = 0.2 if entry.connect_ms else 1.0
            entry.connect_ms += weight * (took_ms - entry.connect_ms)

    def connect_refused(self, node: str, opened: int, now: float) -> None:
        """It refused a connection while so many stood: it takes no more, or is not there."""
        entry = self._nodes.get(node)
        if entry is None or not opened:
            return
        # One alone is a fault on the way; several without a success between are a node that is full.
        entry.refusals += 1
        if entry.refusals >= FULL:
            entry.cap, entry.cap_ms = float(opened), now

    def timed_out(self, node: str, opened: int, asked_ms: float, now: float) -> None:
        """A connection that was asked for at `asked_ms` never came up, while so many stood.

        A node that is full still answers on those that stand. One that is cut off or gone answers nothing,
        and tells nothing of its room: capped at what stood then, it would get hardly an attempt once it is
        back."""
        entry = self._nodes.get(node)
        if entry is not None and entry.answered_ms > asked_ms:
            self.connect_refused(node, opened, now)

    def answered(self, node: str, age_ms: float | None, took_ms: float, now: float) -> None:
        """An attempt got its answer; `age_ms`: its connection had stood idle so long, None on a fresh one."""
        entry = self._nodes.get(node)
        if entry is None:
            return
        entry.refusals, entry.answered_ms = 0, now
        self._round(entry, took_ms, now)
        entry.answer_ms += 0.1 * (took_ms - entry.answer_ms)
        kin = self._kinds[entry.kind]
        kin.resets *= 1.0 - ALMOST
        kin.share *= 1.0 - LONG
        kin.worry *= 1.0 - SLOW
        if age_ms is not None:
            self.limits.learn(node, entry.kind, age_ms, False, now)

    def lost(
        self, node: str, age_ms: float | None, after_ms: float, begun: bool, torn: bool, now: float
    ) -> None:
        """An attempt's connection broke so long after its last bytes; `begun`: an answer had begun; `torn`:
        by a reset, which answers what was written, and so tells how long that takes."""
        entry = self._nodes.get(node)
        if entry is None:
            return
        if begun or after_ms > QUICK_MS:
            return
        kin = self._kinds[entry.kind]
        kin.resets += ALMOST * (1.0 - kin.resets)
        kin.share += LONG * (1.0 - kin.share)
        if torn:
            kin.reset_ms = max(after_ms, 0.95 * kin.reset_ms + 0.05 * after_ms)
        if age_ms is not None:
            surprise = kin.share < COMMON
            kin.worry += SLOW * (1.0 - kin.worry)
            self._drops(kin, 0.5 * kin.drops)
            self.limits.learn(node, entry.kind, age_ms, True, now, surprise)

    def silent(self, node: str, age_ms: float | None, after_ms: float, now: float) -> None:
        """An attempt was given up so long after its first byte, with no byte of an answer.

        Something in between may drop a flow without a word, and no reset ever comes. In a jam this befalls
        connections of any age, and moves no limit."""
        entry = self._nodes.get(node)
        if entry is not None and age_ms is not None and after_ms > SILENT_TIMES * max(entry.answer_ms, 1.0):
            kin = self._kinds[entry.kind]
            self._drops(kin, 1.0)
            kin.share += LONG * (1.0 - kin.share)
            self.limits.learn(node, entry.kind, age_ms, True, now, silent=True)

    def mute(self, node: str, written_ms: float, now: float) -> bool:
        """An attempt written then, which is out, should long have its answer, and none has come of any
        since."""
        entry = self._nodes.get(node)
        if entry is None:
            return False
        return entry.answered_ms < written_ms < now - SILENT_TIMES * max(entry.answer_ms, 1.0)

    def _drops(self, kin: NodeTypeStatistics, drops: float) -> None:
        """Whether dead connections are silent decides which limit holds for each node of the kind."""
        before, kin.drops = kin.drops, drops
        if (before > SILENT) != (drops > SILENT):
            self.limits.changed(None)

    # What to do ---------------------------------------------------------------------------------

    def use(self, node: str, age_ms: float | None, dear: bool) -> ConnectionUse:
        """Of a connection that has stood idle so long, None for a fresh one; `dear`: the attempt may not run
        twice."""
        entry = self._nodes.get(node)
        if entry is None:
            return ConnectionUse.WHOLE
        if age_ms is not None and age_ms >= self.limit_ms(entry, node):
            return ConnectionUse.RETIRE
        if dear and self._kinds[entry.kind].resets > SUSPECT:
            return ConnectionUse.SPLIT
        if age_ms is None or age_ms < YOUNG_MS:
            return ConnectionUse.WHOLE
        calm = self._kinds[entry.kind].worry < CALM and not self.limits.has_lost(node)
        if calm and not dear:
            return ConnectionUse.WHOLE
        proven = self.limits.proven(node, entry.kind, age_ms, DEAR_TIMES if dear else 1.0)
        return ConnectionUse.WHOLE if proven else ConnectionUse.SPLIT

    def hold_ms(self, node: str) -> float:
        """How long to wait for a reset before the last byte."""
        entry = self._nodes.get(node)
        if entry is None:
            return HOLD_MS[0]
        wait = HOLD_TIMES * max(self._kinds[entry.kind].reset_ms, entry.connect_ms)
        return min(max(HOLD_MS[0], wait), HOLD_MS[1])

    def reach_ms(self, node: str) -> float:
        """How long a close that we send now may take to reach the node: at most a whole round trip there.

        An attempt that is out has a connection, so a handshake at least has told it. Of two windows the
        slower counts: a way that has grown longer is known as soon as anything came back on it."""
        entry = self._nodes.get(node)
        rounds = [] if entry is None else [entry.round_ms, entry.round_before_ms]
        return min(MOST_REACH_MS, max((ms for ms in rounds if ms < math.inf), default=MOST_REACH_MS))

    def idle_limit_ms(self, node: str) -> float:
        entry = self._nodes.get(node)
        return self.limits.most_ms if entry is None else self.limit_ms(entry, node)

    def limit_ms(self, entry: Node, node: str) -> float:
        """Where dead connections say nothing, what the kind has shown holds for each; else each shows it."""
        own = self.limits.limit_ms(node, entry.kind)
        silent = self._kinds[entry.kind].drops > SILENT
        return min(own, self.limits.kin_limit_ms(entry.kind)) if silent else own

    def may_open(self, node: str, opened: int, now: float) -> bool:
        """Whether the node may be asked for one more connection; `opened`: those it has, opening ones too."""
        entry = self._nodes.get(node)
        if entry is None:
            return True
        if entry.left_ms is not None and now - entry.left_ms >= self._grace_ms:
            return False
        if opened < entry.cap:
            return True
        if now - entry.cap_ms >= CAP_BACK_MS:  # perhaps it has room again: one more, and see
            entry.cap, entry.cap_ms = entry.cap + 1.0, now
            return opened < entry.cap
        return False

    def crammed(self, node: str) -> bool:
        """It has refused connections lately, or leaves: those that stand idle take others' places."""
        entry = self._nodes.get(node)
        return entry is None or entry.left_ms is not None or entry.refusals > 0 or entry.cap < math.inf

    def late(self, node: str, now: float) -> bool:
        """Nothing new may go to the node any more."""
        entry = self._nodes.get(node)
        return entry is not None and entry.left_ms is not None and now - entry.left_ms >= self._grace_ms

    def target(self, node: str, now: float) -> int:
        """So many connections its attempts will want at once, as far as the last windows tell."""
        entry = self._nodes.get(node)
        if entry is None:
            return 0
        self._turn(entry, now)
        return math.ceil(max(entry.mean + WIDTHS * entry.width, entry.peak))

    def ahead(self, node: str, opened: int, now: float) -> int:
        """How many to open now, before an attempt needs them."""
        entry = self._nodes.get(node)
        if entry is None or not self._may_want(entry) or now < entry.cold_until_ms:
            return 0
        # The spare ones take turns with those in use: each is used about once in `target` gaps.
        wanted = self.target(node, now)
        if wanted * entry.gap_ms > 0.5 * self.limit_ms(entry, node):
            return 0
        return min(AHEAD_EACH, max(0, wanted - opened))

    def _may_want(self, entry: Node) -> bool:
        """Whether connections to it may be opened ahead at all."""
        return entry.left_ms is None and entry.connect_ms >= DEAR_MS and entry.cap == math.inf

    def plans(self, node: str) -> bool:
        """Whether each attempt to the node may change what `ahead` says."""
        entry = self._nodes.get(node)
        return entry is not None and self._may_want(entry)

    def ahead_again_ms(self, node: str) -> float:
        """Until then `ahead` stays 0 where it was 0 just now, if nothing befalls the node meanwhile."""
        entry = self._nodes.get(node)
        if entry is None or not self._may_want(entry):
            return math.inf
        return max(entry.cold_until_ms, entry.window_ms)

    def _round(self, entry: Node, took_ms: float, now: float) -> None:
        if now >= entry.round_end_ms:
            entry.round_before_ms, entry.round_ms = entry.round_ms, math.inf
            entry.round_end_ms = now + ROUND_MS
        entry.round_ms = min(entry.round_ms, took_ms)

    def _turn(self, entry: Node, now: float) -> None:
        """Closes the windows that have ended."""
        if now < entry.window_ms:
            return
        if entry.window_ms > -math.inf:
            idle = min(40, int((now - entry.window_ms) / PEAK_MS))
            for peak in [entry.peak, *([entry.in_use] * idle)]:
                entry.width += PEAK_WEIGHT * (abs(peak - entry.mean) - entry.width)
                entry.mean += PEAK_WEIGHT * (peak - entry.mean)
        entry.peak = entry.in_use
        entry.window_ms = now + PEAK_MS
