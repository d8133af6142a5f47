"""Learns the idle time after which a node closes connections without notice. No I/O.

Each attempt that is written to a connection that had been idle for some time is evidence: if it is
answered, the connection was open at that idle age; if it is reset at once, it was not. If the share of resets
jumps from one age on, that age is the limit. Resets that are as frequent on young connections have other
causes: they lower the jump, not the limit.

The evidence of one node counts for the node itself and for its type (caches, or the origin), since the nodes
of a type run the same software. Beyond the limit of the type, connections of a node are trusted only after
the node itself has answered on connections of that age. Evidence decays, so that a node that changes its
limit is noticed; it decays more slowly each time the same limit is found again.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable
from enum import Enum

from cloverwell.connections.schedule import Schedule

# The lower edges of the buckets of idle ages in ms, each about a quarter above the one before. The last
# bucket has no upper edge.
BUCKET_EDGES_MS: tuple[int, ...] = (
    *(0, 8, 16, 25, 35, 45, 60, 80, 100, 125, 150, 190, 240, 300, 370, 460, 580, 720, 900),
    *(1130, 1400, 1750, 2200, 2750, 3400, 4300, 5400, 6700, 8400, 10500, 13000, 16500, 20500),
    *(25500, 32000, 40000, 50000, 62000, 78000, 98000, 122000),
)
# The least log-likelihood ratio of a jump at the limit over no jump: if the node's type shows about the same
# limit, and if the evidence of the node stands alone.
MIN_GAIN_LIKE_TYPE, MIN_GAIN_ALONE = 2.0, 6.0
# The first bucket that may be the limit. No node closes idle connections sooner: earlier losses have another
# cause.
FIRST_LIMIT_BUCKET = BUCKET_EDGES_MS.index(60)
# The least rise of the share of stale connections at the limit. The rise must be greater if most of them were
# silent: silence has more other causes than a reset has, and if a network device drops the packets of a
# connection, all attempts on it are lost.
MIN_JUMP, MIN_JUMP_SILENT = 0.25, 0.6
SILENT_SHARE = 0.5  # the share of silent connections among the stale ones that counts as most of them
PRIOR_RESETS, PRIOR_ATTEMPTS = 1.0, 30.0  # the losses and attempts at young ages that are assumed at first
MIN_HALF_LIFE_MS, MAX_HALF_LIFE_MS = 30_000.0, 960_000.0  # the limits of the half-life of the evidence
STEPS_PER_HALF_LIFE = 8.0  # the number of steps in which evidence decays during one half-life
MIN_PROOF = 4.0  # how many answered attempts at an idle age or above prove that connections live so long
DOUBT_FACTOR = 0.2  # the share of the proof of an age that remains after an unexpected loss at that age
TYPE_WEIGHT = 0.25  # the weight of an attempt at another node of the type in the proof for a node
# Connections are retired at this share of the limit, which may lie anywhere in its bucket and is not the same
# for each connection.
LIMIT_MARGIN = 0.85
MIN_LOSS_COUNT = 0.5  # the least decayed count of losses that still counts as a loss


class IdleEvidence(Enum):
    """The outcome of an attempt on a connection that had been idle."""

    ANSWERED = "answered"  # The node answered.
    RESET = "reset"  # The node reset or closed the connection at once.
    UNEXPECTED_RESET = "unexpected reset"  # Resets were rare before: the node may have changed its limit.
    SILENT = "silent"  # Neither an answer nor a reset came.


def bucket_index(age_ms: float) -> int:
    """Returns the index in `BUCKET_EDGES_MS` of the bucket that contains the age."""
    return max(0, bisect_right(BUCKET_EDGES_MS, age_ms) - 1)


def _log_likelihood(stale: float, total: float) -> float:
    """Returns the log-likelihood of `stale` losses in `total` attempts, at the share `stale / total`."""
    if stale <= 0.0 or stale >= total:
        return 0.0
    share = stale / total
    return stale * math.log(share) + (total - stale) * math.log(1.0 - share)


class IdleAgeHistogram:
    """Counts the answered and the lost attempts by the idle age of their connections, and finds the limit."""

    __slots__ = (
        "_answered",
        "_decayed_ms",
        "_half_life_ms",
        "_last_limit_ms",
        "_silent",
        "_stale",
        "gain",
        "limit_ms",
        "node",
    )

    def __init__(self, now: float, node: str | None = None) -> None:
        """Starts empty; `node` is the node whose attempts are counted, None for all nodes of a type."""
        self.node = node
        self._answered = [0.0] * len(BUCKET_EDGES_MS)
        self._stale = [0.0] * len(BUCKET_EDGES_MS)
        self._silent = 0.0  # the number of stale connections that were not reset
        self._half_life_ms = MIN_HALF_LIFE_MS
        self._decayed_ms = now  # when the evidence was last decayed
        self._last_limit_ms = 0.0  # the last finite limit, which stays when its evidence is forgotten
        self.limit_ms = math.inf  # infinite while no limit is found
        self.gain = 0.0  # the log-likelihood ratio of the limit over no limit

    def learn(self, age_ms: float, evidence: IdleEvidence, now: float) -> None:
        """Counts one attempt on a connection that had been idle for `age_ms`."""
        self.decay(now)
        if evidence is IdleEvidence.ANSWERED:
            self._answered[bucket_index(age_ms)] += 1.0
            # An answered attempt changes the limit only if the limit is below its age.
            if age_ms >= self.limit_ms:
                self._find_limit()
            return
        if evidence is IdleEvidence.SILENT:
            self._silent += 1.0
        self._stale[bucket_index(age_ms)] += 1.0
        self._find_limit()

    def decay(self, now: float) -> None:
        """Decays the evidence, if an eighth of its half-life has passed since it was last decayed."""
        if now - self._decayed_ms < self._half_life_ms / STEPS_PER_HALF_LIFE:
            return
        factor = 0.5 ** min(8.0, (now - self._decayed_ms) / self._half_life_ms)
        self._decayed_ms = now
        self._answered = [value * factor for value in self._answered]
        self._stale = [value * factor for value in self._stale]
        self._silent *= factor
        self._find_limit()

    @property
    def next_decay_ms(self) -> float:
        """Returns the time in ms at which the evidence decays next."""
        return self._decayed_ms + self._half_life_ms / STEPS_PER_HALF_LIFE

    @property
    def is_certain(self) -> bool:
        """Tells whether the evidence for the limit suffices without that of the node's type."""
        return self.gain >= MIN_GAIN_ALONE

    @property
    def finding(self) -> tuple[float, bool]:
        """Returns the limit and whether it is certain, which is all that the limits of nodes depend on."""
        return self.limit_ms, self.gain >= MIN_GAIN_ALONE

    def doubt(self, age_ms: float) -> None:
        """Discounts the proof that connections stay open at that age or above, so that it is needed anew."""
        for index in range(bucket_index(age_ms), len(BUCKET_EDGES_MS)):
            self._answered[index] *= DOUBT_FACTOR

    def proof(self, age_ms: float) -> float:
        """Returns the decayed number of answered attempts on connections of that age or above."""
        return sum(self._answered[bucket_index(age_ms) :])

    def has_loss_up_to(self, age_ms: float) -> bool:
        """Tells whether an attempt was lost lately on a connection of that age or below."""
        return sum(self._stale[: bucket_index(age_ms) + 1]) >= MIN_LOSS_COUNT

    def _find_limit(self) -> None:
        """Sets the limit to the edge at which a jump explains the losses best, or to none."""
        stale = sum(self._stale)
        total = sum(self._answered) + stale
        jump = MIN_JUMP_SILENT if self._silent > SILENT_SHARE * stale else MIN_JUMP
        without_jump = _log_likelihood(stale + PRIOR_RESETS, total + PRIOR_ATTEMPTS)
        gain, limit_ms = MIN_GAIN_LIKE_TYPE, math.inf
        old_stale = old_total = 0.0
        for index in range(len(BUCKET_EDGES_MS) - 1, FIRST_LIMIT_BUCKET - 1, -1):
            old_stale += self._stale[index]
            old_total += self._stale[index] + self._answered[index]
            if not self._stale[index]:
                continue
            young_stale, young_total = stale - old_stale + PRIOR_RESETS, total - old_total + PRIOR_ATTEMPTS
            if old_stale / old_total < young_stale / young_total + jump:
                continue
            with_jump = _log_likelihood(young_stale, young_total) + _log_likelihood(old_stale, old_total)
            if with_jump - without_jump > gain:
                gain, limit_ms = with_jump - without_jump, float(BUCKET_EDGES_MS[index])
        if limit_ms < math.inf and self.limit_ms == math.inf:
            self._adapt_half_life(limit_ms)
        self.limit_ms, self.gain = limit_ms, gain

    def _adapt_half_life(self, limit_ms: float) -> None:
        """Doubles the half-life of the evidence if about the same limit is found again, else resets it."""
        found_again = self._last_limit_ms and 0.5 <= limit_ms / self._last_limit_ms <= 2.0
        half_life_ms = 2.0 * self._half_life_ms if found_again else MIN_HALF_LIFE_MS
        self._half_life_ms = min(half_life_ms, MAX_HALF_LIFE_MS)
        self._last_limit_ms = limit_ms


def _ignore_change(_node: str | None) -> None:
    """Ignores a change of limits; the value of `on_change` until a callback is set."""


class IdleLimits:
    """Keeps the idle limit of each node, learnt from its own attempts and those of its type."""

    def __init__(self, max_ms: float) -> None:
        """Starts empty; `max_ms` is the greatest limit, which the settings give."""
        self.max_ms = max_ms
        self._nodes: dict[str, IdleAgeHistogram] = {}
        self._types: dict[str, IdleAgeHistogram] = {}
        self._decays: Schedule[IdleAgeHistogram] = Schedule()
        # Called with the node whose limit may have changed, or with None if that of each node may have.
        self.on_change: Callable[[str | None], None] = _ignore_change

    def __len__(self) -> int:
        """Returns the number of nodes with evidence."""
        return len(self._nodes)

    def learn(self, node: str, node_type: str, age_ms: float, evidence: IdleEvidence, now: float) -> None:
        """Counts one attempt on a connection to the node that had been idle for `age_ms`."""
        for table, name, owner in ((self._nodes, node, node), (self._types, node_type, None)):
            histogram = table.get(name)
            if histogram is None:
                histogram = table[name] = IdleAgeHistogram(now, owner)
                self._decays.add(histogram)
            if evidence is IdleEvidence.UNEXPECTED_RESET:
                histogram.doubt(age_ms)
            previous = histogram.finding
            histogram.learn(age_ms, evidence, now)
            self._report_update(histogram, previous)

    def _report_update(self, histogram: IdleAgeHistogram, previous: tuple[float, bool]) -> None:
        self._decays.visit_at(histogram, histogram.next_decay_ms)
        if histogram.finding != previous:
            self.on_change(histogram.node)

    def forget(self, node: str) -> None:
        """Drops the evidence of a node that has gone."""
        histogram = self._nodes.pop(node, None)
        if histogram is not None:
            self._decays.discard(histogram)

    def limit_ms(self, node: str, node_type: str) -> float:
        """Returns the idle age in ms from which connections of the node are retired, by its own evidence."""
        own = self._nodes.get(node)
        if own is None or own.limit_ms == math.inf:
            return self.max_ms
        # Among many nodes, some have weak evidence by chance: it counts only if the type shows the same.
        if own.gain >= MIN_GAIN_ALONE or self._is_like_type(own, node_type):
            return min(self.max_ms, LIMIT_MARGIN * own.limit_ms)
        return self.max_ms

    def _is_like_type(self, own: IdleAgeHistogram, node_type: str) -> bool:
        of_type = self._types.get(node_type)
        return of_type is not None and of_type.is_certain and 0.5 <= own.limit_ms / of_type.limit_ms <= 2.0

    def type_limit_ms(self, node_type: str) -> float:
        """Returns the idle age in ms from which connections are retired, by the evidence of the type."""
        of_type = self._types.get(node_type)
        if of_type is None or not of_type.is_certain:
            return self.max_ms
        return min(self.max_ms, LIMIT_MARGIN * of_type.limit_ms)

    def is_proven(self, node: str, node_type: str, age_ms: float, proof_factor: float = 1.0) -> bool:
        """Tells whether enough answered attempts show that connections of that idle age are still open.

        `proof_factor` is how many times the usual number of answered attempts (`MIN_PROOF`) is needed.
        """
        needed_proof = proof_factor * MIN_PROOF
        own, of_type = self._nodes.get(node), self._types.get(node_type)
        proof = own.proof(age_ms) if own is not None else 0.0
        if proof >= needed_proof:
            return True
        if of_type is None or age_ms >= self.type_limit_ms(node_type):
            return False
        if own is not None and own.has_loss_up_to(age_ms):
            return False
        return proof + TYPE_WEIGHT * of_type.proof(age_ms) >= needed_proof

    def has_lost(self, node: str) -> bool:
        """Tells whether an attempt was lost lately on an idle connection to the node."""
        own = self._nodes.get(node)
        return own is not None and own.has_loss_up_to(BUCKET_EDGES_MS[-1])

    def decay_due(self, now: float) -> None:
        """Decays the evidence whose decay is due."""
        for histogram in self._decays.sweep(now):
            previous = histogram.finding
            histogram.decay(now)
            self._report_update(histogram, previous)
