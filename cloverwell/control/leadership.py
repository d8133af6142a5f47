"""What a leader keeps of its followers during its term: how far each is, and since when a quorum has
answered."""

from __future__ import annotations

from cloverwell.control.messages import NO_TOKEN, AppendAnswer
from cloverwell.control.timing import Timing


class Progress:
    """How far one follower is, as its leader knows it."""

    __slots__ = ("_timing", "echoed_at", "match_index", "next_index", "snapshot_sent_at", "token", "token_at")

    def __init__(self, next_index: int, timing: Timing, now: float) -> None:
        self._timing = timing
        self.next_index = next_index
        self.match_index = 0
        self.echoed_at = float("-inf")  # when the latest message that it answered was sent
        self.token = NO_TOKEN  # its latest, and when that came
        self.token_at = now
        self.snapshot_sent_at = float("-inf")

    def snapshot_due(self, now: float) -> bool:
        return now >= self.snapshot_sent_at + self._timing.snapshot_retry_ms

    def matched(self, index: int) -> None:
        """Its log is the leader's up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def fall_back(self, index: int) -> None:
        """It refused entries; its log may be the leader's up to `index`."""
        self.next_index = max(self.match_index, min(index, self.next_index - 1)) + 1


class Leadership:
    """One node's time as a leader, from its election on."""

    def __init__(
        self, peers: tuple[str, ...], quorum: int, last_index: int, timing: Timing, now: float
    ) -> None:
        self.progress = {peer: Progress(last_index + 1, timing, now) for peer in peers}
        self._quorum = quorum
        self._timing = timing
        self._since = now
        self._heartbeat_at = now + timing.heartbeat_ms
        self.confirmed_at = now if quorum == 1 else float("-inf")

    def next_deadline(self) -> float:
        return self._heartbeat_at

    def heartbeat_due(self, now: float) -> bool:
        return now >= self._heartbeat_at

    def heartbeat_sent(self, now: float) -> None:
        self._heartbeat_at = now + self._timing.heartbeat_ms
        if self._quorum == 1:
            self.confirmed_at = now

    def answered(self, message: AppendAnswer, now: float) -> None:
        """A follower's answer in this term, whether it took the entries or not."""
        progress = self.progress[message.follower]
        progress.echoed_at = max(progress.echoed_at, min(message.echo, now))
        progress.token, progress.token_at = (
            message.token,
            now,
        )  # not the highest: a restart may set its clock back
        echoes = sorted((peer.echoed_at for peer in self.progress.values()), reverse=True)
        self.confirmed_at = max(self.confirmed_at, echoes[self._quorum - 2])

    def has_quorum(self, now: float) -> bool:
        return self._confirmed(now, self._timing.quorum_ms)

    def may_go_on(self, now: float) -> bool:
        return self._confirmed(now, self._timing.step_down_ms)

    def held_by_quorum(self, last_index: int) -> int:
        """The highest index that a quorum holds, this node with it."""
        held = sorted((last_index, *(peer.match_index for peer in self.progress.values())), reverse=True)
        return held[self._quorum - 1]

    def _confirmed(self, now: float, within_ms: float) -> bool:
        """Since when a quorum is known to have had this node for leader; its election counts as such."""
        return now - max(self.confirmed_at, self._since) <= within_ms
