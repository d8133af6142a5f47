"""Decides how many connections a node gets, and which are opened ahead, validated and retired. No I/O.

Times are milliseconds of one clock. A node is a name; its type is what it runs (`cache` or `origin`).

**Reuse.** The connection that was used last is used first, since it has been idle for the shortest time. The
connections that are not needed grow old and are retired.

**Validation.** A node may have closed a connection without the proxy knowing, and a request that is reset
may have run. So the last byte of an attempt is held back if its loss would be costly, or if its connection
has been idle for longer than any that is known to have stayed open. A node that has closed the connection
answers the other bytes with a reset. Without its last byte the request has not run, so it can be sent to
another connection. Validation costs one round trip.

**Opening ahead.** Connections are opened before attempts need them if attempts come so fast that the
connections will be used before they are too old, if handshakes are slow, and if the node is neither cold nor
leaving.
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

MIN_HOLD_BACK_MS, MAX_HOLD_BACK_MS = 4.0, 45.0  # limits of the time for which a last byte is held back
HOLD_BACK_FACTOR = 1.25  # a last byte is held back for this multiple of the longest recent reset time
YOUNG_MS = 50.0  # a connection that was idle for less counts as open, unless resets show otherwise
COSTLY_PROOF_FACTOR = 4.0  # how many times the usual proof of an age is needed for a costly attempt
COSTLY_CONNECT_MS = 3.0  # connections with faster handshakes are not worth opening ahead
MAX_OPENED_AHEAD = 2  # the most connections that are opened ahead for a node at once
MAX_AHEAD_IDLE_SHARE = 0.5  # the share of the idle limit within which a connection opened ahead must be used
UNRESPONSIVE_FACTOR = 4.0  # an attempt is overdue after this many mean answer times without an answer
MAX_CLOSE_DELAY_MS = 60.0  # a close that is sent now has reached its node after at most this time
MAX_RESET_MS = 60.0  # a reset that took longer interrupted the node's work, and did not answer a write
INITIAL_ANSWER_MS, INITIAL_GAP_MS = 50.0, 1000.0  # the running means before anything is known
MAX_GAP_MS = 10_000.0  # a longer gap between attempts counts as this long
# The weight of the last answer time, gap and handshake time in the running mean of each.
ANSWER_WEIGHT, GAP_WEIGHT, CONNECT_WEIGHT = 0.1, 0.1, 0.2


class ConnectionUse(Enum):
    """The ways to use a connection that an attempt may be written to."""

    WRITE_ALL = "whole"  # Write the whole attempt at once.
    HOLD_LAST_BYTE = "split"  # Write the attempt without its last byte, and that byte after `hold_back_ms`.
    RETIRE = "retire"  # Close the connection, which has been idle for too long.


@dataclass(slots=True)
class NodeState:
    """The facts that are known about one node."""

    node_type: str
    cold_until_ms: float = -math.inf
    left_ms: float | None = None  # when the endpoint list first had the node as draining, or without it
    mean_gap_ms: float = INITIAL_GAP_MS  # the running mean of the time between two attempts
    last_attempt_ms: float = -math.inf  # when the last attempt began
    mean_answer_ms: float = INITIAL_ANSWER_MS  # the running mean of the time that answers take
    last_answer_ms: float = -math.inf  # when the last answer came
    mean_connect_ms: float = 0.0  # the running mean of the time that handshakes take; 0 before the first one
    concurrency: ConcurrencyForecast = field(default_factory=ConcurrencyForecast)
    round_trip: RoundTripEstimate = field(default_factory=RoundTripEstimate)
    cap: ConnectionCap = field(default_factory=ConnectionCap)


class NodeConnectionPolicy:
    """Decides about the connections to all nodes, from the events that are recorded."""

    def __init__(self, max_idle_ms: float, grace_ms: float) -> None:
        """Starts without any node.

        `max_idle_ms` is the idle age at which any connection is retired; `grace_ms` is how long connections
        to a leaving node are still opened.
        """
        self.idle_limits = IdleLimits(max_idle_ms)
        self._grace_ms = grace_ms
        self._nodes: dict[str, NodeState] = {}
        self._types: dict[str, NodeTypeStatistics] = {}

    # Nodes --------------------------------------------------------------------------------------

    def record_listed(self, node: str, node_type: str, cold_until_ms: float = -math.inf) -> None:
        """Records that the endpoint list has the node, and not as draining."""
        entry = self._nodes.get(node)
        if entry is None:
            entry = self._nodes[node] = NodeState(node_type)
            self._types.setdefault(node_type, NodeTypeStatistics())
        entry.cold_until_ms = cold_until_ms
        entry.left_ms = None

    def record_left(self, node: str, now: float) -> None:
        """Records that the node drains or is off the endpoint list from now on."""
        entry = self._nodes.get(node)
        if entry is not None and entry.left_ms is None:
            entry.left_ms = now

    def forget(self, node: str) -> None:
        """Drops all that is known about a node."""
        self._nodes.pop(node, None)
        self.idle_limits.forget(node)

    def __len__(self) -> int:
        """Returns the number of known nodes."""
        return len(self._nodes)

    # Events -------------------------------------------------------------------------------------

    def record_attempt(self, node: str, in_use: int, now: float) -> None:
        """Records a new attempt; `in_use` connections carry an attempt now, this one included."""
        entry = self._nodes.get(node)
        if entry is None:
            return
        if entry.last_attempt_ms > -math.inf:
            entry.mean_gap_ms += GAP_WEIGHT * (
                min(now - entry.last_attempt_ms, MAX_GAP_MS) - entry.mean_gap_ms
            )
        entry.last_attempt_ms = now
        entry.concurrency.record(in_use, now)

    def record_connected(self, node: str, elapsed_ms: float, now: float) -> None:
        """Records a handshake that took `elapsed_ms`."""
        entry = self._nodes.get(node)
        if entry is not None:
            entry.round_trip.record(elapsed_ms, now)
            weight = CONNECT_WEIGHT if entry.mean_connect_ms else 1.0
            entry.mean_connect_ms += weight * (elapsed_ms - entry.mean_connect_ms)

    def record_connect_refused(self, node: str, open_count: int, now: float) -> None:
        """Records that the node refused a connection while `open_count` others were open."""
        entry = self._nodes.get(node)
        if entry is not None:
            entry.cap.record_refusal(open_count, now)

    def record_connect_timeout(self, node: str, open_count: int, asked_ms: float, now: float) -> None:
        """Records that a handshake begun at `asked_ms` timed out while `open_count` connections were open.

        A node at its cap still answers on its open connections, and then this counts as a refusal. A node
        that is cut off or has stopped answers nothing, which is no evidence about its cap: if it were capped
        at the connections open then, it would hardly get an attempt once it is back.
        """
        entry = self._nodes.get(node)
        if entry is not None and entry.last_answer_ms > asked_ms:
            entry.cap.record_refusal(open_count, now)

    def record_answer(self, node: str, idle_age_ms: float | None, elapsed_ms: float, now: float) -> None:
        """Records an answer that took `elapsed_ms`.

        Before the attempt the connection had been idle for `idle_age_ms`; None if it was new or busy.
        """
        entry = self._nodes.get(node)
        if entry is None:
            return
        entry.cap.refusal_count = 0
        entry.last_answer_ms = now
        entry.round_trip.record(elapsed_ms, now)
        entry.mean_answer_ms += ANSWER_WEIGHT * (elapsed_ms - entry.mean_answer_ms)
        self._types[entry.node_type].record_answer()
        if idle_age_ms is not None:
            self.idle_limits.learn(node, entry.node_type, idle_age_ms, IdleEvidence.ANSWERED, now)

    def record_loss(self, node: str, loss: ConnectionLoss, now: float) -> None:
        """Records that the node closed or reset a connection with an attempt on it."""
        entry = self._nodes.get(node)
        if entry is None or loss.answer_begun or loss.since_write_ms > MAX_RESET_MS:
            return
        statistics = self._types[entry.node_type]
        statistics.record_loss(loss.since_write_ms, loss.by_reset)
        if loss.idle_age_ms is None:
            return
        is_unexpected = statistics.resets_are_rare
        were_silent = statistics.losses_are_silent
        statistics.record_stale()
        self._report_limits_if(statistics.losses_are_silent != were_silent)
        evidence = IdleEvidence.UNEXPECTED_RESET if is_unexpected else IdleEvidence.RESET
        self.idle_limits.learn(node, entry.node_type, loss.idle_age_ms, evidence, now)

    def record_silence(self, node: str, idle_age_ms: float | None, elapsed_ms: float, now: float) -> None:
        """Records an attempt that was abandoned `elapsed_ms` after its first byte, with no byte of an answer.

        A network device may drop a connection's packets, so that no reset ever comes. An overloaded node
        leaves attempts on connections of any age without an answer, and that changes no idle limit.
        """
        entry = self._nodes.get(node)
        if entry is None or idle_age_ms is None:
            return
        if elapsed_ms <= UNRESPONSIVE_FACTOR * max(entry.mean_answer_ms, 1.0):
            return
        statistics = self._types[entry.node_type]
        were_silent = statistics.losses_are_silent
        statistics.record_silent_loss()
        self._report_limits_if(not were_silent)
        self.idle_limits.learn(node, entry.node_type, idle_age_ms, IdleEvidence.SILENT, now)

    def _report_limits_if(self, changed: bool) -> None:
        """Reports that the idle limits of all nodes may have changed, if `changed`.

        The argument tells whether `losses_are_silent` has changed, which decides how the limits are found.
        """
        if changed:
            self.idle_limits.on_change(None)

    # Decisions ----------------------------------------------------------------------------------

    def choose_use(self, node: str, idle_age_ms: float | None, costly: bool) -> ConnectionUse:
        """Decides how to use a connection that has been idle for `idle_age_ms`; None if it is new or busy.

        `costly` tells whether the loss of the attempt would be costly, since it may not run twice.
        """
        entry = self._nodes.get(node)
        if entry is None:
            return ConnectionUse.WRITE_ALL
        if idle_age_ms is not None and idle_age_ms >= self._limit_ms(entry, node):
            return ConnectionUse.RETIRE
        statistics = self._types[entry.node_type]
        if costly and statistics.resets_are_frequent:
            return ConnectionUse.HOLD_LAST_BYTE
        if idle_age_ms is None or idle_age_ms < YOUNG_MS:
            return ConnectionUse.WRITE_ALL
        if not costly and statistics.stale_are_rare and not self.idle_limits.has_lost(node):
            return ConnectionUse.WRITE_ALL
        proof_factor = COSTLY_PROOF_FACTOR if costly else 1.0
        proven = self.idle_limits.is_proven(node, entry.node_type, idle_age_ms, proof_factor)
        return ConnectionUse.WRITE_ALL if proven else ConnectionUse.HOLD_LAST_BYTE

    def hold_back_ms(self, node: str) -> float:
        """Returns how long in ms to wait for a reset before the last byte is written."""
        entry = self._nodes.get(node)
        if entry is None:
            return MIN_HOLD_BACK_MS
        wait_ms = HOLD_BACK_FACTOR * max(self._types[entry.node_type].reset_ms, entry.mean_connect_ms)
        return min(max(MIN_HOLD_BACK_MS, wait_ms), MAX_HOLD_BACK_MS)

    def close_delay_bound_ms(self, node: str) -> float:
        """Returns the longest time in ms that a close sent now takes to reach the node: a whole round trip.

        A close follows an attempt in flight, so at least the handshake of its connection has been measured.
        """
        entry = self._nodes.get(node)
        return MAX_CLOSE_DELAY_MS if entry is None else entry.round_trip.upper_bound_ms(MAX_CLOSE_DELAY_MS)

    def idle_limit_ms(self, node: str) -> float:
        """Returns the idle age in ms at which a connection to the node is retired."""
        entry = self._nodes.get(node)
        return self.idle_limits.max_ms if entry is None else self._limit_ms(entry, node)

    def _limit_ms(self, entry: NodeState, node: str) -> float:
        """Returns the node's own limit; if dead connections are silent, at most the limit of its type."""
        own_ms = self.idle_limits.limit_ms(node, entry.node_type)
        if self._types[entry.node_type].silent_share <= SILENT_SHARE:
            return own_ms
        return min(own_ms, self.idle_limits.type_limit_ms(entry.node_type))

    def is_unresponsive(self, node: str, written_ms: float, now: float) -> bool:
        """Tells whether an attempt written at `written_ms` is overdue, and no other was answered since."""
        entry = self._nodes.get(node)
        if entry is None:
            return False
        return entry.last_answer_ms < written_ms < now - UNRESPONSIVE_FACTOR * max(entry.mean_answer_ms, 1.0)

    def may_open(self, node: str, open_count: int, now: float) -> bool:
        """Tells whether one more connection may be opened.

        `open_count` is the number of connections to the node that are open or being opened.
        """
        entry = self._nodes.get(node)
        if entry is None:
            return True
        return not self.is_past_grace(node, now) and entry.cap.allows(open_count, now)

    def should_close_idle(self, node: str) -> bool:
        """Tells whether idle connections to the node should be closed, since it is at its cap or leaving."""
        entry = self._nodes.get(node)
        return entry is None or entry.left_ms is not None or entry.cap.is_limited

    def is_past_grace(self, node: str, now: float) -> bool:
        """Tells whether the node has been leaving for so long that no new attempt may be sent to it."""
        entry = self._nodes.get(node)
        if entry is None or entry.left_ms is None:
            return False
        return now - entry.left_ms >= self._grace_ms

    # Opening ahead ------------------------------------------------------------------------------

    def open_ahead_count(self, node: str, open_count: int, now: float) -> int:
        """Returns how many connections to open now before attempts need them, beside `open_count` others."""
        entry = self._nodes.get(node)
        if entry is None or not self._may_open_ahead(entry) or now < entry.cold_until_ms:
            return 0
        # Spare and busy connections are used alternately, so that each is used about once in `wanted` gaps.
        wanted = entry.concurrency.expected_peak(now)
        if wanted * entry.mean_gap_ms > MAX_AHEAD_IDLE_SHARE * self._limit_ms(entry, node):
            return 0
        return min(MAX_OPENED_AHEAD, max(0, wanted - open_count))

    def _may_open_ahead(self, entry: NodeState) -> bool:
        is_handshake_slow = entry.mean_connect_ms >= COSTLY_CONNECT_MS
        return is_handshake_slow and entry.left_ms is None and entry.cap.max_connections == math.inf

    def may_open_ahead(self, node: str) -> bool:
        """Tells whether connections may be opened ahead, so that an attempt may change `open_ahead_count`."""
        entry = self._nodes.get(node)
        return entry is not None and self._may_open_ahead(entry)

    def next_open_ahead_ms(self, node: str) -> float:
        """Returns the time until which `open_ahead_count` stays 0 if it is 0 now and no event is recorded."""
        entry = self._nodes.get(node)
        if entry is None or not self._may_open_ahead(entry):
            return math.inf
        return max(entry.cold_until_ms, entry.concurrency.window_end_ms)
