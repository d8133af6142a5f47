"""A leader's side of replication during one term (sections 5.3 and 7 of the Raft paper).

A `Leadership` tracks how far each follower's log matches and when a quorum last confirmed the leader, and
composes the messages that followers are due. It neither appends to the log nor commits: `consensus` does.
"""

from __future__ import annotations

from cloverwell.control.effects import NodeEffect, SendToPeer
from cloverwell.control.messages import NO_TOKEN, AppendAnswer, AppendEntries, InstallSnapshot
from cloverwell.control.replicated_log import ReplicatedLog
from cloverwell.control.timing import LEASE_MS, ControlNodeTiming, lease_end_ms


class FollowerProgress:
    """The replication progress of one follower, as its leader knows it.

    `next_index` and `match_index` are those of the paper's figure 2. `last_echo_ms` is the time at which the
    latest message that the follower has answered was sent. `token` is the follower's latest one, for its
    lease, and `token_received_ms` is when that arrived. All times are of the leader's clock.
    """

    __slots__ = (
        "_timing",
        "last_echo_ms",
        "match_index",
        "next_index",
        "snapshot_sent_ms",
        "token",
        "token_received_ms",
    )

    def __init__(self, next_index: int, timing: ControlNodeTiming, now_ms: float) -> None:
        """Starts with nothing known of the follower's log; `next_index` is the first to be sent."""
        self._timing = timing
        self.next_index = next_index
        self.match_index = 0
        self.last_echo_ms = float("-inf")
        self.token = NO_TOKEN
        self.token_received_ms = now_ms
        self.snapshot_sent_ms = float("-inf")

    def is_snapshot_due(self, now_ms: float) -> bool:
        """Returns whether a snapshot may be sent again."""
        return now_ms >= self.snapshot_sent_ms + self._timing.snapshot_retry_interval_ms

    def record_match(self, index: int) -> None:
        """Records that the follower's log matches the leader's up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def record_mismatch(self, index: int) -> None:
        """Records that the follower rejected entries, and that its log may match up to `index`."""
        self.next_index = max(self.match_index, min(index, self.next_index - 1)) + 1


class Leadership:
    """One node's time as a leader, from its election in `term` on.

    The log is not kept here but passed to the methods that read it.
    """

    def __init__(
        self,
        node: str,
        term: int,
        peers: tuple[str, ...],
        quorum_size: int,
        last_index: int,
        timing: ControlNodeTiming,
        now_ms: float,
    ) -> None:
        """Starts at the election of `node`, whose own log ends at `last_index`."""
        self.progress = {peer: FollowerProgress(last_index + 1, timing, now_ms) for peer in peers}
        self._node = node
        self._term = term
        self._quorum_size = quorum_size
        self._timing = timing
        self._elected_at_ms = now_ms
        self._next_heartbeat_ms = now_ms + timing.heartbeat_interval_ms
        # The latest time at which a quorum is known to have accepted this node as its leader.
        self.quorum_confirmed_ms = now_ms if quorum_size == 1 else float("-inf")

    # Queries

    def next_deadline(self) -> float:
        """Returns the time in ms at which the next heartbeat is due."""
        return self._next_heartbeat_ms

    def is_heartbeat_due(self, now_ms: float) -> bool:
        """Returns whether it is time for a heartbeat."""
        return now_ms >= self._next_heartbeat_ms

    def has_quorum(self, now_ms: float) -> bool:
        """Returns whether a quorum has confirmed this leader lately enough to accept proposals."""
        return self._confirmed_within(self._timing.quorum_timeout_ms, now_ms)

    def must_step_down(self, now_ms: float) -> bool:
        """Returns whether no quorum has confirmed this leader for too long (dissertation, 6.2)."""
        return not self._confirmed_within(self._timing.step_down_timeout_ms, now_ms)

    def quorum_match_index(self, last_index: int) -> int:
        """Returns the highest index that a quorum has stored; this node has stored `last_index`."""
        match_indexes = [last_index, *(progress.match_index for progress in self.progress.values())]
        match_indexes.sort(reverse=True)
        return match_indexes[self._quorum_size - 1]

    def is_behind(self, peer: str, log: ReplicatedLog) -> bool:
        """Returns whether there are entries that were not sent to a follower yet."""
        return self.progress[peer].next_index <= log.last_index

    def lease_ms(self, log: ReplicatedLog, now_ms: float) -> float:
        """Returns what is left of the leader's lease (dissertation, 6.4.1), or 0."""
        if log.term_at(log.commit_index) != self._term:
            return 0.0  # Entries of earlier terms may be committed without this leader knowing it yet.
        return max(0.0, lease_end_ms(self.quorum_confirmed_ms, LEASE_MS) - now_ms)

    # Events

    def record_answer(self, message: AppendAnswer, now_ms: float) -> None:
        """Records a follower's answer in this term, whether it accepted the entries or rejected them."""
        progress = self.progress[message.follower]
        progress.last_echo_ms = max(progress.last_echo_ms, min(message.echo, now_ms))
        # The latest token counts, not the highest one, since a restart may set the follower's clock back.
        progress.token = message.token
        progress.token_received_ms = now_ms
        self._update_quorum_confirmed()
        if message.success:
            progress.record_match(message.match_index)
        else:
            progress.record_mismatch(message.match_index)

    def heartbeat(self, log: ReplicatedLog, now_ms: float) -> list[NodeEffect]:
        """Sends heartbeats, or entries where some are due, and schedules the next heartbeat."""
        self._next_heartbeat_ms = now_ms + self._timing.heartbeat_interval_ms
        if self._quorum_size == 1:
            self.quorum_confirmed_ms = now_ms
        return self.replicate(log, now_ms)

    def replicate(self, log: ReplicatedLog, now_ms: float) -> list[NodeEffect]:
        """Sends each follower the entries that it needs next, or a heartbeat."""
        return [effect for peer in self.progress for effect in self.replicate_to(peer, log, now_ms)]

    def replicate_to(self, peer: str, log: ReplicatedLog, now_ms: float) -> list[NodeEffect]:
        """Sends one follower the entries that it needs next, a heartbeat, or a snapshot.

        A follower whose next entry was discarded by compaction gets a snapshot (section 7), or nothing while
        one is on its way.
        """
        progress = self.progress[peer]
        previous_index = progress.next_index - 1
        previous_term = log.term_at(previous_index)
        if previous_term is None:
            return self._send_snapshot(peer, progress, log, now_ms)
        entries = log.entries_after(
            previous_index, self._timing.max_append_entries, self._timing.max_append_bytes
        )
        progress.next_index += len(entries)
        message = AppendEntries(
            self._term,
            self._node,
            previous_index,
            previous_term,
            entries,
            log.commit_index,
            now_ms,
            progress.token,
            self._follower_lease_ms(progress, log, now_ms),
        )
        return [SendToPeer(peer, message)]

    # Steps

    def _send_snapshot(
        self, peer: str, progress: FollowerProgress, log: ReplicatedLog, now_ms: float
    ) -> list[NodeEffect]:
        if not progress.is_snapshot_due(now_ms):
            return []
        progress.snapshot_sent_ms = now_ms
        return [SendToPeer(peer, InstallSnapshot(self._term, self._node, log.base, now_ms))]

    def _follower_lease_ms(self, progress: FollowerProgress, log: ReplicatedLog, now_ms: float) -> float:
        """Returns what is left of the leader's lease, counted from when the follower sent its token."""
        remaining_ms = self.lease_ms(log, now_ms)
        if not remaining_ms or progress.token == NO_TOKEN:
            return 0.0
        return remaining_ms + now_ms - progress.token_received_ms

    def _update_quorum_confirmed(self) -> None:
        echo_times_ms = sorted((progress.last_echo_ms for progress in self.progress.values()), reverse=True)
        followers_needed = self._quorum_size - 1  # the leader itself completes the quorum
        self.quorum_confirmed_ms = max(self.quorum_confirmed_ms, echo_times_ms[followers_needed - 1])

    def _confirmed_within(self, limit_ms: float, now_ms: float) -> bool:
        """Returns whether a quorum confirmed this leader, or elected it, within the last `limit_ms`."""
        return now_ms - max(self.quorum_confirmed_ms, self._elected_at_ms) <= limit_ms
