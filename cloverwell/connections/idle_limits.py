"""The idle time after which a node has closed a connection without a word, learnt from the attempts.

Each attempt that is written to a connection that had stood idle for some time is evidence: it is answered
(the connection lived at that age), or it is reset at once (it did not). Where the share of resets jumps from
one age on, that age is the limit. Resets that are as frequent on young connections have other causes: they
lower the jump, not the limit.

The evidence of one node counts for itself, and as a warning for its type (caches, or the origin), since nodes
of a type run the same software: beyond the type's limit a node has to show first that it differs. Evidence is
forgotten, more slowly each time the same limit is found again, so that a node that changes its limit is
noticed.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable
from enum import Enum

from cloverwell.connections.schedule import Schedule

# The lower edges of the age buckets in ms, each about a quarter above the one before; the last is open.
EDGES: tuple[int, ...] = (
    *(0, 8, 16, 25, 35, 45, 60, 80, 100, 125, 150, 190, 240, 300, 370, 460, 580, 720, 900),
    *(1130, 1400, 1750, 2200, 2750, 3400, 4300, 5400, 6700, 8400, 10500, 13000, 16500, 20500),
    *(25500, 32000, 40000, 50000, 62000, 78000, 98000, 122000),
)
# The log-likelihood by which a jump must beat no jump, where the node's type shows the same limit, and alone.
MIN_GAIN_LIKE_TYPE, MIN_GAIN_ALONE = 2.0, 6.0
FIRST_LIMIT = EDGES.index(60)  # no node closes idle connections sooner: an earlier loss has another cause
# By how much the share of stale connections must rise at the limit. Silence has more other causes than a
# reset has, while a connection whose packets a device in between drops is dead for each attempt.
MIN_JUMP, MIN_JUMP_SILENT = 0.25, 0.6
SILENT_SHARE = 0.5  # of the stale connections, from which the jump for silent ones is asked for
PRIOR_RESETS, PRIOR_ATTEMPTS = 1.0, 30.0  # assumed at young ages before anything is seen
MIN_HALF_LIFE_MS, MAX_HALF_LIFE_MS = 30_000.0, 960_000.0  # of the evidence
STEPS_PER_HALF_LIFE = 8.0  # evidence is forgotten in so many steps
PROVEN = 4.0  # so many answered attempts at that age or older show that connections live so long
DOUBT_FACTOR = 0.2  # what is left of the proof of an age when a connection is lost there unexpectedly
TYPE_WEIGHT = 0.25  # of an attempt at another node of the type, as proof for this one
MARGIN = 0.85  # of the limit, which lies anywhere in its bucket and is not the same for each connection
SEEN = 0.5  # a decayed count that still stands for one connection


class IdleEvidence(Enum):
    """What became of an attempt on a connection that had stood idle."""

    ANSWERED = "answered"
    RESET = "reset"
    UNEXPECTED_RESET = "unexpected reset"  # where resets are rare: the node may have changed its limit
    SILENT = "silent"  # neither an answer nor a reset came


def bucket(age_ms: float) -> int:
    """Returns the place in `EDGES` of the bucket that an age falls into."""
    return max(0, bisect_right(EDGES, age_ms) - 1)


def _log_likelihood(stale: float, number: float) -> float:
    """Returns the log-likelihood of `stale` in `number` trials at their own share."""
    if stale <= 0.0 or stale >= number:
        return 0.0
    share = stale / number
    return stale * math.log(share) + (number - stale) * math.log(1.0 - share)


class IdleAgeHistogram:
    """Attempts by the idle age of their connection: those that were answered, and those that were lost."""

    __slots__ = (
        "_alive",
        "_forgot_ms",
        "_half_life_ms",
        "_last_found_ms",
        "_silent",
        "_stale",
        "gain",
        "limit_ms",
        "node",
    )

    def __init__(self, now: float, node: str | None = None) -> None:
        """Starts empty; `node` is whose attempts they are, None for those of a type of nodes."""
        self.node = node
        self._alive = [0.0] * len(EDGES)
        self._stale = [0.0] * len(EDGES)
        self._silent = 0.0  # of the stale ones, those that were not reset
        self._half_life_ms = MIN_HALF_LIFE_MS
        self._forgot_ms = now
        self._last_found_ms = 0.0  # the last finite limit, which stays when its evidence is forgotten
        self.limit_ms = math.inf
        self.gain = 0.0  # the log-likelihood of the limit over that of none

    def learn(self, age_ms: float, evidence: IdleEvidence, now: float) -> None:
        """Adds one attempt."""
        self.forget(now)
        if evidence is IdleEvidence.ANSWERED:
            self._alive[bucket(age_ms)] += 1.0
            # An answered attempt moves the limit only where one stands below its age.
            if age_ms >= self.limit_ms:
                self._find_limit()
            return
        if evidence is IdleEvidence.SILENT:
            self._silent += 1.0
        self._stale[bucket(age_ms)] += 1.0
        self._find_limit()

    def forget(self, now: float) -> None:
        """Decays the evidence, if an eighth of its half-life has passed since it was last decayed."""
        if now - self._forgot_ms < self._half_life_ms / STEPS_PER_HALF_LIFE:
            return
        factor = 0.5 ** min(8.0, (now - self._forgot_ms) / self._half_life_ms)
        self._forgot_ms = now
        self._alive = [value * factor for value in self._alive]
        self._stale = [value * factor for value in self._stale]
        self._silent *= factor
        self._find_limit()

    @property
    def forgets_ms(self) -> float:
        """When evidence is next forgotten."""
        return self._forgot_ms + self._half_life_ms / STEPS_PER_HALF_LIFE

    @property
    def is_certain(self) -> bool:
        """Whether the evidence of the limit stands by itself."""
        return self.gain >= MIN_GAIN_ALONE

    @property
    def shown(self) -> tuple[float, bool]:
        """The limit, and whether it is certain: all that the limits of nodes depend on."""
        return self.limit_ms, self.gain >= MIN_GAIN_ALONE

    def doubt(self, age_ms: float) -> None:
        """Discounts the proof that connections of that age or older live: it has to be shown again."""
        for place in range(bucket(age_ms), len(EDGES)):
            self._alive[place] *= DOUBT_FACTOR

    def proof(self, age_ms: float) -> float:
        """Returns the answered attempts whose connections were of that age or older."""
        return sum(self._alive[bucket(age_ms) :])

    def lost_by(self, age_ms: float) -> bool:
        """Tells whether a connection of that age or younger was lost of late."""
        return sum(self._stale[: bucket(age_ms) + 1]) >= SEEN

    def _find_limit(self) -> None:
        """Finds the edge whose jump explains the losses best, if any does: it is the limit."""
        stale = sum(self._stale)
        number = sum(self._alive) + stale
        jump = MIN_JUMP_SILENT if self._silent > SILENT_SHARE * stale else MIN_JUMP
        without_jump = _log_likelihood(stale + PRIOR_RESETS, number + PRIOR_ATTEMPTS)
        gain, limit_ms = MIN_GAIN_LIKE_TYPE, math.inf
        old_stale = old_number = 0.0
        for place in range(len(EDGES) - 1, FIRST_LIMIT - 1, -1):
            old_stale += self._stale[place]
            old_number += self._stale[place] + self._alive[place]
            if not self._stale[place]:
                continue
            young_stale, young_number = stale - old_stale + PRIOR_RESETS, number - old_number + PRIOR_ATTEMPTS
            if old_stale / old_number < young_stale / young_number + jump:
                continue
            with_jump = _log_likelihood(young_stale, young_number) + _log_likelihood(old_stale, old_number)
            if with_jump - without_jump > gain:
                gain, limit_ms = with_jump - without_jump, float(EDGES[place])
        if limit_ms < math.inf and self.limit_ms == math.inf:
            self._adapt_half_life(limit_ms)
        self.limit_ms, self.gain = limit_ms, gain

    def _adapt_half_life(self, limit_ms: float) -> None:
        """Keeps the evidence for longer where the limit has been found again about where it was."""
        found_again = self._last_found_ms and 0.5 <= limit_ms / self._last_found_ms <= 2.0
        half_life_ms = 2.0 * self._half_life_ms if found_again else MIN_HALF_LIFE_MS
        self._half_life_ms = min(half_life_ms, MAX_HALF_LIFE_MS)
        self._last_found_ms = limit_ms


def _ignore_change(_node: str | None) -> None:
    """The `on_change` callback where nobody asks for one."""


class IdleLimits:
    """The idle limit of each node, from its own attempts and those of its type."""

    def __init__(self, max_ms: float) -> None:
        """Starts empty; `max_ms` is the limit that the settings allow, whatever is seen."""
        self.max_ms = max_ms
        self._nodes: dict[str, IdleAgeHistogram] = {}
        self._types: dict[str, IdleAgeHistogram] = {}
        self._forgetting: Schedule[IdleAgeHistogram] = Schedule()
        # Called when the limit of a node may have changed, or with None when that of each may have.
        self.on_change: Callable[[str | None], None] = _ignore_change

    def __len__(self) -> int:
        """Returns the number of nodes with evidence."""
        return len(self._nodes)

    def learn(self, node: str, node_type: str, age_ms: float, evidence: IdleEvidence, now: float) -> None:
        """Adds one attempt on a connection to the node that had stood idle for `age_ms`."""
        for table, name, owner in ((self._nodes, node, node), (self._types, node_type, None)):
            histogram = table.get(name)
            if histogram is None:
                histogram = table[name] = IdleAgeHistogram(now, owner)
                self._forgetting.add(histogram)
            if evidence is IdleEvidence.UNEXPECTED_RESET:
                histogram.doubt(age_ms)
            before = histogram.shown
            histogram.learn(age_ms, evidence, now)
            self._updated(histogram, before)

    def _updated(self, histogram: IdleAgeHistogram, before: tuple[float, bool]) -> None:
        self._forgetting.visit_at(histogram, histogram.forgets_ms)
        if histogram.shown != before:
            self.on_change(histogram.node)

    def forget(self, node: str) -> None:
        """Drops the evidence of a node that has gone."""
        histogram = self._nodes.pop(node, None)
        if histogram is not None:
            self._forgetting.discard(histogram)

    def limit_ms(self, node: str, node_type: str) -> float:
        """Returns the age at which an idle connection is of no use, as the node itself has shown."""
        own = self._nodes.get(node)
        if own is None or own.limit_ms == math.inf:
            return self.max_ms
        # Among many nodes, some show weak evidence by chance: it counts only where their type's is alike.
        if own.gain >= MIN_GAIN_ALONE or self._is_like_type(own, node_type):
            return min(self.max_ms, MARGIN * own.limit_ms)
        return self.max_ms

    def _is_like_type(self, own: IdleAgeHistogram, node_type: str) -> bool:
        of_type = self._types.get(node_type)
        return of_type is not None and of_type.is_certain and 0.5 <= own.limit_ms / of_type.limit_ms <= 2.0

    def type_limit_ms(self, node_type: str) -> float:
        """Returns the age at which an idle connection is of no use, as the nodes of the type have shown."""
        of_type = self._types.get(node_type)
        if of_type is None or not of_type.is_certain:
            return self.max_ms
        return min(self.max_ms, MARGIN * of_type.limit_ms)

    def proven(self, node: str, node_type: str, age_ms: float, times: float = 1.0) -> bool:
        """Tells whether connections of that age are known to live, by `times` the usual proof."""
        wanted = times * PROVEN
        own, of_type = self._nodes.get(node), self._types.get(node_type)
        proof = own.proof(age_ms) if own is not None else 0.0
        if proof >= wanted:
            return True
        if of_type is None or age_ms >= self.type_limit_ms(node_type):
            return False
        if own is not None and own.lost_by(age_ms):
            return False
        return proof + TYPE_WEIGHT * of_type.proof(age_ms) >= wanted

    def has_lost(self, node: str) -> bool:
        """Tells whether an attempt was lost of late on an idle connection to the node."""
        own = self._nodes.get(node)
        return own is not None and own.lost_by(EDGES[-1])

    def decay_due(self, now: float) -> None:
        """Forgets the evidence whose time has come."""
        for histogram in self._forgetting.sweep(now):
            before = histogram.shown
            histogram.forget(now)
            self._updated(histogram, before)
