"""How many connections a node gets, which is used first, opened ahead, validated and retired. No I/O.

Times are milliseconds of one clock. A node is a name; its type is what it runs (`cache` or `origin`).

**Reuse.** The connection used last goes first: it is the youngest, and the surplus grows old and is retired.

**Validation.** A node may have closed a connection without the proxy knowing, and a request that is reset may
have run. So an attempt whose loss would be costly, or whose connection has an age that none has been seen to
reach, is written except for its last byte. A node that has closed the connection answers that with a reset;
without its last byte the request has not run, so it goes elsewhere at no loss. This costs one round trip.

**Opening ahead.** One connection more than is in use is kept open where attempts come so fast that it will be
used before it is too old, where handshakes are slow, and where the node is neither cold nor leaving.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from cloverwell.connections.concurrency_forecast import ConcurrencyForecast
from cloverwell.connections.connection_cap import ConnectionCap
from cloverwell.connections.connection_loss import ConnectionLoss
from cloverwell.connections.idle_limits import IdleEvidence, IdleLimits
from cloverwell.connections.node_type import SILENT_SHARE, NodeTypeStatistics
from cloverwell.connections.round_trip import RoundTripEstimate

MIN_HOLD_BACK_MS, MAX_HOLD_BACK_MS = 4.0, 45.0  # how long the last byte is held back
HOLD_TIMES = 1.25  # of the longest that resets have taken to arrive of late
YOUNG_MS = 50.0  # no node is taken to close a connection that was idle for less, until one is seen to
COSTLY_PROOF_TIMES = 4.0  # as much proof of an age is wanted for attempts that may not run twice
COSTLY_CONNECT_MS = 3.0  # a handshake that takes less is not worth opening ahead
MAX_OPENED_AHEAD = 2  # connections opened ahead for a node at once
MAX_AHEAD_IDLE_SHARE = 0.5  # of the idle limit, after which a connection opened ahead must have been used
UNRESPONSIVE_TIMES = 4.0  # mean answer times without an answer after which a connection is taken to be dead
MAX_CLOSE_DELAY_MS = 60.0  # a close that is sent now has reached its node by then
MAX_RESET_MS = 60.0  # a reset that took longer interrupted work, and is no answer to what was written
INITIAL_ANSWER_MS, INITIAL_GAP_MS = 50.0, 1000.0  # the running means before anything is known
MAX_GAP_MS = 10_000.0  # a longer pause between attempts counts as this
ANSWER_WEIGHT, GAP_WEIGHT, CONNECT_WEIGHT = 0.1, 0.1, 0.2  # of the last figure in the running mean


class ConnectionUse(Enum):
    """What to do with a connection that an attempt may be written to."""

    WRITE_ALL = "whole"  # write all of the attempt
    HOLD_LAST_BYTE = "split"  # write all but its last byte, and that after `hold_back_ms`
    RETIRE = "retire"  # close the connection: it is too old


@dataclass(slots=True)
class NodeState:
    """What is known of one node."""

    node_type: str
    cold_until_ms: float = -math.inf
    left_ms: float | None = None  # when the endpoint list had it draining, or no more
    gap_ms: float = INITIAL_GAP_MS  # between attempts, a running mean
    attempt_ms: float = -math.inf  # the last attempt
    answer_ms: float = INITIAL_ANSWER_MS  # what answers take, a running mean
    answered_ms: float = -math.inf  # the last answer of an attempt
    connect_ms: float = 0.0  # what a handshake takes, a running mean
    concurrency: ConcurrencyForecast = field(default_factory=ConcurrencyForecast)
    round_trip: RoundTripEstimate = field(default_factory=RoundTripEstimate)
    cap: ConnectionCap = field(default_factory=ConnectionCap)


class NodeConnectionPolicy:
    """Decides about the connections to all nodes, from what has happened on them."""

    def __init__(self, max_idle_ms: float, grace_ms: float) -> None:
        """Starts without any node.

        `max_idle_ms` is the age at which an idle connection is retired in any case; `grace_ms` is how long
        connections to a leaving node are still opened.
        """
        self.idle_limits = IdleLimits(max_idle_ms)
        self._grace_ms = grace_ms
        self._nodes: dict[str, NodeState] = {}
        self._types: dict[str, NodeTypeStatistics] = {}

    # What is known of nodes ---------------------------------------------------------------------

    def record_listed(self, node: str, node_type: str, cold_until_ms: float = -math.inf) -> None:
        """Records that the endpoint list has the node, ready."""
        entry = self._nodes.get(node)
        if entry is None:
            entry = self._nodes[node] = NodeState(node_type)
            self._types.setdefault(node_type, NodeTypeStatistics())
        entry.cold_until_ms = cold_until_ms
        entry.left_ms = None

    def record_left(self, node: str, now: float) -> None:
        """Records that the node drains, or is off the endpoint list, from now on."""
        entry = self._nodes.get(node)
        if entry is not None and entry.left_ms is None:
            entry.left_ms = now

    def forget(self, node: str) -> None:
        """Drops all that is known of a node."""
        self._nodes.pop(node, None)
        self.idle_limits.forget(node)

    def __len__(self) -> int:
        """Returns the number of known nodes."""
        return len(self._nodes)

    # What happens -------------------------------------------------------------------------------

    def record_attempt(self, node: str, in_use: int, now: float) -> None:
        """Records a new attempt; `in_use` connections carry one now, with it."""
        entry = self._nodes.get(node)
        if entry is None:
            return
        if entry.attempt_ms > -math.inf:
            entry.gap_ms += GAP_WEIGHT * (min(now - entry.attempt_ms, MAX_GAP_MS) - entry.gap_ms)
        entry.attempt_ms = now
        entry.concurrency.record(in_use, now)

    def record_connected(self, node: str, took_ms: float, now: float) -> None:
        """Records a handshake that took so long."""
        entry = self._nodes.get(node)
        if entry is not None:
            entry.round_trip.record(took_ms, now)
            weight = CONNECT_WEIGHT if entry.connect_ms else 1.0
            entry.connect_ms += weight * (took_ms - entry.connect_ms)

    def record_connect_refused(self, node: str, opened: int, now: float) -> None:
        """Records that the node refused a connection while `opened` others stood."""
        entry = self._nodes.get(node)
        if entry is not None:
            entry.cap.record_refusal(opened, now)

    def record_connect_timeout(self, node: str, opened: int, asked_ms: float, now: float) -> None:
        """Records that a connection asked for at `asked_ms` never came up, while `opened` others stood.

        A node at its cap still answers on those that stand. One that is cut off or gone answers nothing, and
        says nothing of its cap: capped at what stood then, it would hardly get an attempt once it is back.
        """
        entry = self._nodes.get(node)
        if entry is not None and entry.answered_ms > asked_ms:
            entry.cap.record_refusal(opened, now)

    def record_answer(self, node: str, age_ms: float | None, took_ms: float, now: float) -> None:
        """Records an answer; the connection had stood idle for `age_ms`, None on a fresh one."""
        entry = self._nodes.get(node)
        if entry is None:
            return
        entry.cap.refusal_count = 0
        entry.answered_ms = now
        entry.round_trip.record(took_ms, now)
        entry.answer_ms += ANSWER_WEIGHT * (took_ms - entry.answer_ms)
        self._types[entry.node_type].record_answer()
        if age_ms is not None:
            self.idle_limits.learn(node, entry.node_type, age_ms, IdleEvidence.ANSWERED, now)

    def record_loss(self, node: str, loss: ConnectionLoss, now: float) -> None:
        """Records that the node ended a connection with an attempt on it."""
        entry = self._nodes.get(node)
        if entry is None or loss.answer_begun or loss.since_write_ms > MAX_RESET_MS:
            return
        statistics = self._types[entry.node_type]
        statistics.record_loss(loss.since_write_ms, loss.by_reset)
        if loss.idle_age_ms is None:
            return
        unexpected = statistics.resets_are_rare
        were_silent = statistics.losses_are_silent
        statistics.record_stale()
        self._limits_changed_if(statistics.losses_are_silent != were_silent)
        evidence = IdleEvidence.UNEXPECTED_RESET if unexpected else IdleEvidence.RESET
        self.idle_limits.learn(node, entry.node_type, loss.idle_age_ms, evidence, now)

    def record_silence(self, node: str, age_ms: float | None, after_ms: float, now: float) -> None:
        """Records an attempt that was given up `after_ms` after its first byte, without a byte of an answer.

        A device in between may drop a connection's packets, so that no reset ever comes. An overload makes
        connections of any age silent, and moves no limit.
        """
        entry = self._nodes.get(node)
        if entry is None or age_ms is None:
            return
        if after_ms <= UNRESPONSIVE_TIMES * max(entry.answer_ms, 1.0):
            return
        statistics = self._types[entry.node_type]
        were_silent = statistics.losses_are_silent
        statistics.record_silent()
        self._limits_changed_if(not were_silent)
        self.idle_limits.learn(node, entry.node_type, age_ms, IdleEvidence.SILENT, now)

    def _limits_changed_if(self, changed: bool) -> None:
        """Whether losses are silent decides which limit holds for each node of the type."""
        if changed:
            self.idle_limits.on_change(None)

    # What to do ---------------------------------------------------------------------------------

    def choose_use(self, node: str, idle_age_ms: float | None, costly: bool) -> ConnectionUse:
        """Decides how to use a connection that has stood idle for `idle_age_ms`, None for a fresh one.

        `costly` tells that the attempt may not run twice.
        """
        entry = self._nodes.get(node)
        if entry is None:
            return ConnectionUse.WRITE_ALL
        if idle_age_ms is not None and idle_age_ms >= self._limit_ms(entry, node):
            return ConnectionUse.RETIRE
        statistics = self._types[entry.node_type]
        if costly and statistics.suspect:
            return ConnectionUse.HOLD_LAST_BYTE
        if idle_age_ms is None or idle_age_ms < YOUNG_MS:
            return ConnectionUse.WRITE_ALL
        if not costly and statistics.stale_are_rare and not self.idle_limits.has_lost(node):
            return ConnectionUse.WRITE_ALL
        times = COSTLY_PROOF_TIMES if costly else 1.0
        proven = self.idle_limits.proven(node, entry.node_type, idle_age_ms, times)
        return ConnectionUse.WRITE_ALL if proven else ConnectionUse.HOLD_LAST_BYTE

    def hold_back_ms(self, node: str) -> float:
        """Returns how long to wait for a reset before the last byte."""
        entry = self._nodes.get(node)
        if entry is None:
            return MIN_HOLD_BACK_MS
        wait_ms = HOLD_TIMES * max(self._types[entry.node_type].reset_ms, entry.connect_ms)
        return min(max(MIN_HOLD_BACK_MS, wait_ms), MAX_HOLD_BACK_MS)

    def close_delay_bound_ms(self, node: str) -> float:
        """Returns how long a close that is sent now takes to reach the node: at most a whole round trip
        there.

        An attempt in flight has a connection, so that its handshake at least has been measured.
        """
        entry = self._nodes.get(node)
        return MAX_CLOSE_DELAY_MS if entry is None else entry.round_trip.upper_bound_ms(MAX_CLOSE_DELAY_MS)

    def idle_limit_ms(self, node: str) -> float:
        """Returns the age at which an idle connection to the node is retired."""
        entry = self._nodes.get(node)
        return self.idle_limits.max_ms if entry is None else self._limit_ms(entry, node)

    def _limit_ms(self, entry: NodeState, node: str) -> float:
        """Where dead connections are silent, what the type has shown holds for each node; else its own."""
        own_ms = self.idle_limits.limit_ms(node, entry.node_type)
        if self._types[entry.node_type].silent_share <= SILENT_SHARE:
            return own_ms
        return min(own_ms, self.idle_limits.type_limit_ms(entry.node_type))

    def is_unresponsive(self, node: str, written_ms: float, now: float) -> bool:
        """Tells whether an attempt in flight, written then, is overdue, and no other was answered since."""
        entry = self._nodes.get(node)
        if entry is None:
            return False
        return entry.answered_ms < written_ms < now - UNRESPONSIVE_TIMES * max(entry.answer_ms, 1.0)

    def may_open(self, node: str, open_count: int, now: float) -> bool:
        """Tells whether one more may be open_count beside `open_count`, which includes those on their way."""
        entry = self._nodes.get(node)
        if entry is None:
            return True
        return not self.is_past_grace(node, now) and entry.cap.allows(open_count, now)

    def should_close_idle(self, node: str) -> bool:
        """Tells whether idle connections to the node should make room: it refuses some, or leaves."""
        entry = self._nodes.get(node)
        return entry is None or entry.left_ms is not None or entry.cap.is_limited

    def is_past_grace(self, node: str, now: float) -> bool:
        """Tells whether nothing new may be sent to the node any more."""
        entry = self._nodes.get(node)
        if entry is None or entry.left_ms is None:
            return False
        return now - entry.left_ms >= self._grace_ms

    # Opening ahead ------------------------------------------------------------------------------

    def open_ahead_count(self, node: str, open_count: int, now: float) -> int:
        """Returns how many connections to open now, before an attempt needs them."""
        entry = self._nodes.get(node)
        if entry is None or not self._may_open_ahead(entry) or now < entry.cold_until_ms:
            return 0
        # The spare ones take turns with those in use: each is used about once in `wanted` gaps.
        wanted = entry.concurrency.wanted(now)
        if wanted * entry.gap_ms > MAX_AHEAD_IDLE_SHARE * self._limit_ms(entry, node):
            return 0
        return min(MAX_OPENED_AHEAD, max(0, wanted - open_count))

    def _may_open_ahead(self, entry: NodeState) -> bool:
        is_worth_it = entry.connect_ms >= COSTLY_CONNECT_MS
        return is_worth_it and entry.left_ms is None and entry.cap.max_connections == math.inf

    def may_open_ahead(self, node: str) -> bool:
        """Tells whether each attempt to the node may change what `open_ahead_count` returns."""
        entry = self._nodes.get(node)
        return entry is not None and self._may_open_ahead(entry)

    def next_open_ahead_ms(self, node: str) -> float:
        """Returns until when `open_ahead_count` stays 0 after it was 0, if nothing happens at the node."""
        entry = self._nodes.get(node)
        if entry is None or not self._may_open_ahead(entry):
            return math.inf
        return max(entry.cold_until_ms, entry.concurrency.window_end_ms)
