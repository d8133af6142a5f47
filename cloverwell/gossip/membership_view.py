"""Which proxies of the tier live, after SWIM (Das, Gupta, Motivala 2002): messages and time in, messages out.

In each period one other proxy is pinged, each once before any a second time. One that does not answer is
asked for through others, so that a cut link between two is not taken for a death. One that answers nobody is
suspected, and dead only when the suspicion has stood: it hears of it, and denies it by a higher incarnation.
What is news rides on the pings and acks, a bounded number of times.

What a proxy sends in a second does not grow with the tier: each calls few of those who are lost to it, and of
all who hear of a suspicion few ping the suspect, since a whole tier would drown it.

Proxies are known by their number in the tier, not by address: an address differs from one proxy to another.
An incarnation is the start's Unix time in ms, and one more for each denial; denials are rarer than that,
so a restart's is higher, unless the clock was stepped back between the two starts. Then it is dropped as of
an old process, until its silence makes it a suspect; it hears so, with the incarnation that is held of it,
and denies it by a higher one. All other times are milliseconds of one monotonic clock.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from random import Random

from cloverwell.gossip.wire import (
    MOST_INCARNATION,
    MOST_PROXIES,
    MOST_RUMOURS,
    NOBODY,
    DatagramKind,
    MembershipUpdate,
    MemberStatus,
    Message,
)


@dataclass(slots=True, frozen=True)
class GossipTiming:
    """The defaults: for datagrams that take up to 17 ms one way."""

    period_ms: float = 200.0  # one ping
    answer_ms: float = 80.0  # without an ack so long, others are asked
    helpers: int = 3  # how many of them
    suspect_ms: float = 600.0  # a suspicion that stands so long is a death
    call_ms: float = 1000.0  # between calls to those who have not been heard of or are dead
    calls: int = 16  # to how many of them at once: each has its turn
    suspect_pings: int = 16  # a suspect gets from the whole tier, on average, in each `answer_ms`


@dataclass(slots=True, frozen=True)
class OutgoingDatagram:
    """A message to be sent to a proxy, by its number."""

    to: int
    message: Message


@dataclass(slots=True, frozen=True)
class MemberChange:
    proxy: int
    state: MemberStatus
    incarnation: int


@dataclass(slots=True)
class MemberState:
    """What is held of one other proxy."""

    incarnation: int
    state: MemberStatus
    since_ms: float  # of that state
    asked_ms: float = -math.inf  # while it is suspected: its last ping
    ours: bool = False  # it is suspected since it did not answer this proxy


@dataclass(slots=True)
class PendingProbe:
    """The ping that is out."""

    whom: int
    sequence: int
    begun_ms: float
    asked: bool = False  # others, too
    answered: bool = False


@dataclass
class MembershipView:
    """`number`: this proxy's among `total`; deterministic by its seed."""

    number: int
    total: int
    incarnation: int
    seed: int
    figures: GossipTiming = field(default_factory=GossipTiming)
    known: dict[int, MemberState] = field(default_factory=dict)  # by number; at most `total` - 1
    changes: list[MemberChange] = field(default_factory=list)  # since they were taken last
    stale: int = 0  # messages of an incarnation that has been overtaken

    def __post_init__(self) -> None:
        if not 0 <= self.number < self.total <= MOST_PROXIES:
            raise ValueError(f"number: must be under total, and total at most {MOST_PROXIES}")
        self._rng = Random(self.seed)
        self._turn: list[int] = []  # whom to ping in this round yet
        self._trial: PendingProbe | None = None
        self._sequence = 0
        self._errands: dict[int, tuple[int, int, float]] = {}  # our sequence -> (asker, its sequence, when)
        self._news: dict[int, int] = {}  # number -> how often its state is to be told yet
        self._call_ms = -math.inf
        self._lost = set(range(self.total)) - {self.number}  # not heard of yet, or dead
        self._suspects: set[int] = set()
        self._call_turn: list[int] = []  # whom of the lost to call in this round yet
        self._ticked_ms = math.inf  # the last tick; none yet

    # What is known ------------------------------------------------------------------------------

    def alive(self) -> set[int]:
        """Those not known to be dead, and this proxy itself: a suspect still lives."""
        return {self.number} | {n for n, known in self.known.items() if known.state is not MemberStatus.DEAD}

    def take_changes(self) -> list[MemberChange]:
        taken, self.changes = self.changes, []
        return taken

    # What comes in ------------------------------------------------------------------------------

    def receive(self, now: float, message: Message) -> list[OutgoingDatagram]:
        """A message, already decoded; one that names numbers outside the tier is dropped whole."""
        numbers = {message.sender, *(rumour.proxy for rumour in message.rumours)}
        if message.sender == self.number or max(numbers) >= self.total:
            return []
        held = self.known.get(message.sender)
        if held is not None and message.incarnation < held.incarnation:
            self.stale += 1  # of a process that has been replaced, or sent before its denial
            return []
        self._hear(now, MembershipUpdate(message.sender, message.incarnation, MemberStatus.ALIVE))
        for rumour in message.rumours:
            self._hear(now, rumour)
        match message.kind:
            case DatagramKind.PING:
                return [self._out(message.sender, DatagramKind.ACK, message.sequence, self.number)]
            case DatagramKind.ASK if message.whom < self.total and message.whom != self.number:
                return self._run_errand(now, message)
            case DatagramKind.ACK:
                return self._take_ack(message)
        return []

    def _run_errand(self, now: float, message: Message) -> list[OutgoingDatagram]:
        old = [n for n, (_, _, at) in self._errands.items() if now - at > self.figures.period_ms]
        for sequence in old:
            del self._errands[sequence]
        if len(self._errands) >= self.total:
            return []
        sequence = self._next_sequence()
        self._errands[sequence] = (message.sender, message.sequence, now)
        return [self._out(message.whom, DatagramKind.PING, sequence)]

    def _take_ack(self, message: Message) -> list[OutgoingDatagram]:
        errand = self._errands.pop(message.sequence, None)
        if errand is not None:
            asker, sequence, _ = errand
            return [self._out(asker, DatagramKind.ACK, sequence, message.sender)]
        trial = self._trial
        if trial is not None and trial.sequence == message.sequence and trial.whom == message.whom:
            trial.answered = True
        return []

    def _hear(self, now: float, rumour: MembershipUpdate) -> None:
        if rumour.proxy == self.number:
            if rumour.state is not MemberStatus.ALIVE and rumour.incarnation >= self.incarnation:
                # Said of this process, or of one before it whose clock was ahead: it lives.
                # The head of whatever it sends says so.
                self.incarnation = min(MOST_INCARNATION, rumour.incarnation + 1)
            return
        held = self.known.get(rumour.proxy)
        if held is not None and (rumour.incarnation, rumour.state) <= (held.incarnation, held.state):
            return
        self._hold(now, rumour)

    def _hold(self, now: float, rumour: MembershipUpdate, ours: bool = False) -> None:
        """What is news: it is told on, so often that all hear it with hardly any doubt."""
        self.known[rumour.proxy] = MemberState(rumour.incarnation, rumour.state, now, ours=ours)
        for state, numbers in ((MemberStatus.DEAD, self._lost), (MemberStatus.SUSPECT, self._suspects)):
            if rumour.state is state:
                numbers.add(rumour.proxy)
            else:
                numbers.discard(rumour.proxy)
        self.changes.append(MemberChange(rumour.proxy, rumour.state, rumour.incarnation))
        self._news[rumour.proxy] = 3 * math.ceil(math.log2(self.total + 1))

    # What goes out ------------------------------------------------------------------------------

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """To be called at least a few times in each period."""
        self._make_up(now)
        out = self._judge(now) + self._advance(now)
        if self._lost and now - self._call_ms >= self.figures.call_ms:
            # Whoever has just started, or comes back, learns of us and we of it.
            self._call_ms = now
            out += self._call()
        return out

    def _make_up(self, now: float) -> None:
        """What came while this process was held up is not read yet: that time counts against nobody."""
        held_up_ms, self._ticked_ms = now - self._ticked_ms, now
        if held_up_ms <= self.figures.period_ms:
            return
        for number in self._suspects:
            self.known[number].since_ms += held_up_ms
        if self._trial is not None:
            self._trial.begun_ms += held_up_ms

    def _call(self) -> list[OutgoingDatagram]:
        """Calls some of the lost ones, each once before any a second time. News would be lost on them."""
        called: set[int] = set()
        while len(called) < min(self.figures.calls, len(self._lost)):
            if not self._call_turn:
                self._call_turn = sorted(self._lost)
                self._rng.shuffle(self._call_turn)
            called |= {self._call_turn.pop()} & self._lost
        return [
            OutgoingDatagram(
                number,
                self._message(DatagramKind.PING, self._next_sequence(), NOBODY, self._told_dead(number)),
            )
            for number in sorted(called)
        ]

    def _told_dead(self, number: int) -> tuple[MembershipUpdate, ...]:
        """What one that lives has to hear of itself, if it is held for dead or suspected."""
        held = self.known.get(number)
        if held is None or held.state is MemberStatus.ALIVE:
            return ()
        return (MembershipUpdate(number, held.incarnation, held.state),)

    def _judge(self, now: float) -> list[OutgoingDatagram]:
        """A suspect is pinged again and again, since a lost datagram must not stand for it; then it dies."""
        out = []
        for number in sorted(self._suspects):
            known = self.known[number]
            if now - known.since_ms >= self.figures.suspect_ms:
                self._hold(now, MembershipUpdate(number, known.incarnation, MemberStatus.DEAD))
            elif now - known.asked_ms >= self.figures.answer_ms:
                known.asked_ms = now
                if known.ours or self._rng.random() * self.total < self.figures.suspect_pings:
                    out.append(self._out(number, DatagramKind.PING, self._next_sequence()))
        return out

    def _advance(self, now: float) -> list[OutgoingDatagram]:
        trial = self._trial
        if trial is None:
            return self._begin(now)
        if not trial.answered and not trial.asked and now - trial.begun_ms >= self.figures.answer_ms:
            trial.asked = True
            others = sorted(self.alive() - {self.number, trial.whom})
            helpers = self._rng.sample(others, min(self.figures.helpers, len(others)))
            return [self._out(helper, DatagramKind.ASK, trial.sequence, trial.whom) for helper in helpers]
        if now - trial.begun_ms < self.figures.period_ms:
            return []
        known = self.known[trial.whom]
        if not trial.answered and known.state is MemberStatus.ALIVE:
            self._hold(now, MembershipUpdate(trial.whom, known.incarnation, MemberStatus.SUSPECT), ours=True)
        return self._begin(now)

    def _begin(self, now: float) -> list[OutgoingDatagram]:
        """Pings the next one: each once in an order drawn anew, so that a death is met within a round."""
        self._trial = None
        while self._turn and self._turn[-1] in self._lost:
            self._turn.pop()
        if not self._turn:
            self._turn = sorted(self.alive() - {self.number})
            self._rng.shuffle(self._turn)
        if not self._turn:
            return []
        whom = self._turn.pop()
        self._trial = PendingProbe(whom, self._next_sequence(), now)
        return [self._out(whom, DatagramKind.PING, self._trial.sequence)]

    def _out(self, to: int, kind: DatagramKind, sequence: int, whom: int = NOBODY) -> OutgoingDatagram:
        return OutgoingDatagram(to, self._message(kind, sequence, whom, self._rumours(to)))

    def _message(
        self, kind: DatagramKind, sequence: int, whom: int, rumours: tuple[MembershipUpdate, ...]
    ) -> Message:
        return Message(kind, self.number, self.incarnation, sequence, whom, rumours)

    def _rumours(self, to: int) -> tuple[MembershipUpdate, ...]:
        """What is to be told yet, the least told first; a suspect always hears that it is one."""
        told = list(self._told_dead(to))
        room = MOST_RUMOURS - len(told)
        for number in heapq.nsmallest(room, self._news, key=lambda n: (-self._news[n], n)):
            self._news[number] -= 1
            if not self._news[number]:
                del self._news[number]
            known = self.known[number]
            if number != to:
                told.append(MembershipUpdate(number, known.incarnation, known.state))
        return tuple(told)

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % 2**16
        return self._sequence
