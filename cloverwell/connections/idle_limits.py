"""After how much idle time a node has closed a connection without a word: learnt from the attempts
themselves.

Each attempt that is written to a connection that had stood idle for some time says something: it is answered
(the connection lived at that age), or it is reset at once (it did not). Where the share of the latter jumps
from one age on, that age is the limit. Resets that befall young connections alike are not this matter's:
they lower the jump, not the limit.

What one node shows counts for itself, and as a warning for its kind (caches, or the origin), since nodes of a
kind run the same software: beyond the kind's limit a node has to show first that it differs. Evidence
is forgotten, the slower the more often the same limit has been found again, so that a node that changes its
mind is noticed.
"""

import math
from bisect import bisect_right
from collections.abc import Callable

from cloverwell.connections.schedule import Schedule

# Ages in ms; each step is about a quarter. What is older counts as the last.
EDGES = (0, 8, 16, 25, 35, 45, 60, 80, 100, 125, 150, 190, 240, 300, 370, 460, 580, 720, 900)
EDGES += (1130, 1400, 1750, 2200, 2750, 3400, 4300, 5400, 6700, 8400, 10500, 13000, 16500, 20500)
EDGES += (25500, 32000, 40000, 50000, 62000, 78000, 98000, 122000)
EVIDENCE = (2.0, 6.0)  # log-likelihood by which a step must beat no step: like its kind's, and by itself
SOONEST = EDGES.index(60)  # no node closes idle connections sooner: what is lost there was lost otherwise
# By how much the share of stale ones must rise there; and where no reset tells of them, since silence has
# other causes, while a flow that something in between has dropped is dead for each attempt.
JUMP = (0.25, 0.6)
YOUNG = (1.0, 30.0)  # resets and attempts that are assumed before anything is seen
HALF_LIFE_MS = (30_000.0, 960_000.0)  # of the evidence: at first, and at the most
PROVEN = 4.0  # so many answered attempts at that age or older show that connections live so long
DOUBT = 0.2  # what is left of the proof of an age when one is lost there and hardly any elsewhere
KIND_WEIGHT = 0.25  # of an attempt at another node of the kind, as proof for this one
MARGIN = 0.85  # of the limit, which lies anywhere in its step and is not the same for each connection


def bucket(age_ms: float) -> int:
    return max(0, bisect_right(EDGES, age_ms) - 1)


def _log_like(bad: float, number: float) -> float:
    """Log-likelihood of `bad` in `number` at their own share."""
    if bad <= 0.0 or bad >= number:
        return 0.0
    share = bad / number
    return bad * math.log(share) + (number - bad) * math.log(1.0 - share)


class Ages:
    """Attempts by the idle age of their connection: how many, and how many of them were reset at once."""

    __slots__ = (
        "_bad",
        "_found",
        "_good",
        "_half_life_ms",
        "_silent",
        "_turned_ms",
        "gain",
        "limit_ms",
        "node",
    )

    def __init__(self, now: float, node: str | None = None) -> None:
        """`node`: whose they are; None for those of a kind."""
        self.node = node
        self._good = [0.0] * len(EDGES)
        self._bad = [0.0] * len(EDGES)
        self._silent = 0.0  # of the bad ones, those that were not reset
        self._half_life_ms = HALF_LIFE_MS[0]
        self._turned_ms = now
        self._found = 0.0  # the limit that was found last, though its evidence may be forgotten
        self.limit_ms = math.inf
        self.gain = 0.0  # the evidence of the limit

    def learn(self, age_ms: float, stale: bool, now: float, silent: bool = False) -> None:
        self.forget(now)
        self._silent += silent
        (self._bad if stale else self._good)[bucket(age_ms)] += 1.0
        # An answered attempt moves the limit only where one stands below its age.
        if stale or age_ms >= self.limit_ms:
            self._find()

    def forget(self, now: float) -> None:
        """Halves the evidence every half-life, in eighths."""
        if now - self._turned_ms < self._half_life_ms / 8.0:
            return
        factor = 0.5 ** min(8.0, (now - self._turned_ms) / self._half_life_ms)
        self._turned_ms = now
        self._good = [value * factor for value in self._good]
        self._bad = [value * factor for value in self._bad]
        self._silent *= factor
        self._find()

    @property
    def turns_ms(self) -> float:
        """When it forgets next."""
        return self._turned_ms + self._half_life_ms / 8.0

    @property
    def shown(self) -> tuple[float, bool]:
        """The limit, and whether its evidence stands by itself: all that the limits of nodes hang on."""
        return self.limit_ms, self.gain >= EVIDENCE[1]

    def doubt(self, age_ms: float) -> None:
        """What was known of connections so old holds no longer: they will have to show it again."""
        for place in range(bucket(age_ms), len(EDGES)):
            self._good[place] *= DOUBT

    def proof(self, age_ms: float) -> float:
        """Answered attempts whose connections were so old or older."""
        return sum(self._good[bucket(age_ms) :])

    def lost_by(self, age_ms: float) -> bool:
        """One was lost, not long ago, at that age or before."""
        return sum(self._bad[: bucket(age_ms) + 1]) >= 0.5

    def _find(self) -> None:
        """The step that explains the resets best, if any does: its edge is the limit."""
        good, bad = sum(self._good), sum(self._bad)
        number = good + bad
        jump = JUMP[1] if self._silent > 0.5 * bad else JUMP[0]
        none = _log_like(bad + YOUNG[0], number + YOUNG[1])
        best, limit = EVIDENCE[0], math.inf
        old_bad = old_number = 0.0
        for place in range(len(EDGES) - 1, SOONEST - 1, -1):
            old_bad += self._bad[place]
            old_number += self._bad[place] + self._good[place]
            if not self._bad[place]:
                continue
            young_bad, young_number = bad - old_bad + YOUNG[0], number - old_number + YOUNG[1]
            if old_bad / old_number < young_bad / young_number + jump:
                continue
            gain = _log_like(young_bad, young_number) + _log_like(old_bad, old_number) - none
            if gain > best:
                best, limit = gain, float(EDGES[place])
        if limit < math.inf and self.limit_ms == math.inf:
            # Found again where it was: it has not changed its mind, so the next look may be later.
            near = self._found and 0.5 <= limit / self._found <= 2.0
            longer = 2.0 * self._half_life_ms if near else HALF_LIFE_MS[0]
            self._half_life_ms = min(longer, HALF_LIFE_MS[1])
            self._found = limit
        self.limit_ms, self.gain = limit, best


class Limits:
    """The limit of each node, from its own attempts and its kind's."""

    def __init__(self, most_ms: float, now: float) -> None:
        """`most_ms`: after that the settings promise no more, whatever is seen."""
        self.most_ms = most_ms
        self._nodes: dict[str, Ages] = {}
        self._kinds: dict[str, Ages] = {}
        self._turns: Schedule[Ages] = Schedule()
        # Told when the limit of a node may have changed, or with None that of each.
        self.changed: Callable[[str | None], None] = lambda node: None

    def __len__(self) -> int:
        return len(self._nodes)

    def learn(
        self,
        node: str,
        kind: str,
        age_ms: float,
        stale: bool,
        now: float,
        surprise: bool = False,
        silent: bool = False,
    ) -> None:
        """`surprise`: one is lost where hardly any is: the node may have changed its mind; `silent`: no reset
        came."""
        for table, name, whose in ((self._nodes, node, node), (self._kinds, kind, None)):
            ages = table.get(name)
            if ages is None:
                ages = table[name] = Ages(now, whose)
                self._turns.add(ages)
            if surprise:
                ages.doubt(age_ms)
            before = ages.shown
            ages.learn(age_ms, stale, now, silent)
            self._learnt(ages, before)

    def _learnt(self, ages: Ages, before: tuple[float, bool]) -> None:
        self._turns.at(ages, ages.turns_ms)
        if ages.shown != before:
            self.changed(ages.node)

    def forget(self, node: str) -> None:
        """The node is gone."""
        ages = self._nodes.pop(node, None)
        if ages is not None:
            self._turns.discard(ages)

    def limit_ms(self, node: str, kind: str) -> float:
        """An idle connection that is older is of no use: the node itself has shown that."""
        own, kin = self._nodes.get(node), self._kinds.get(kind)
        if own is None or own.limit_ms == math.inf:
            return self.most_ms
        # Chance alone brings weak evidence to some of many nodes: it takes the kind's limit, or more of it.
        alike = kin is not None and kin.gain >= EVIDENCE[1] and 0.5 <= own.limit_ms / kin.limit_ms <= 2.0
        return min(self.most_ms, MARGIN * own.limit_ms) if alike or own.gain >= EVIDENCE[1] else self.most_ms

    def kin_limit_ms(self, kind: str) -> float:
        """The same, as other nodes of its kind have shown."""
        kin = self._kinds.get(kind)
        found = kin is not None and kin.gain >= EVIDENCE[1]
        return min(self.most_ms, MARGIN * kin.limit_ms if found else math.inf)

    def proven(self, node: str, kind: str, age_ms: float, times: float = 1.0) -> bool:
        """Connections of that age are known to live; `times`: by so many times the usual proof."""
        own, kin = self._nodes.get(node), self._kinds.get(kind)
        proof = own.proof(age_ms) if own is not None else 0.0
        like_kin = own is None or not own.lost_by(age_ms)
        if proof < times * PROVEN and kin is not None and like_kin and age_ms < self.kin_limit_ms(kind):
            proof += KIND_WEIGHT * kin.proof(age_ms)
        return proof >= times * PROVEN

    def has_lost(self, node: str) -> bool:
        """An attempt was lost on an idle connection to it, not long ago."""
        own = self._nodes.get(node)
        return own is not None and own.lost_by(EDGES[-1])

    def tick(self, now: float) -> None:
        """Forgets what is old."""
        for ages in self._turns.sweep(now):
            before = ages.shown
            ages.forget(now)
            self._learnt(ages, before)
