"""Which clients' connections are kept, and which are closed for room. State in, choice out: no I/O.

A connection is a *guest* here, any hashable thing; the caller tells what happens to it and carries out what
`overdue` and `for_room` list. It may find that a guest can't be closed (a request stands unread in the
machine's buffer) and then says `spare`. Times are milliseconds of one clock that never goes back.

Closing between requests loses nothing (the client sends again what crossed it), but costs it a handshake;
so the question is always who is least likely to ask soon. That is learnt from the clients there are:

- how long after its connection a client sends its first request (`_asks_after`): one that is silent far
  beyond that is of a crowd that never asks, whatever it is there for;
- how often a client that has asked once, or a few times, or often, asks again (`IdleStatistics`).
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

QUIET_MS = 1900.0  # never asked: closed by then, whatever room there is (the platform's 2 s)
HALF_MS = 2400.0  # half a command: a client may take 2 s for it, and is owed an error within 3 s
KEEP_MS = 10_000.0  # has asked, and is quiet
LINGER_MS = 1000.0  # what a client may take to close its side once ours is closed,
PRESSED_LINGER_MS = 100.0  # and where descriptors are wanted
GRACE_MS = (40.0, 400.0)  # a new one is never closed for room sooner than the first; no need to wait longer
GRACE_TIMES = 3.0  # that much of the time that nearly all take to their first request
FIRST_GRACE_MS = 150.0  # while nothing is known
# Half a command under pressure: so long silent, or so old where clients have no more places.
HALF_GRACE_MS = 500.0
SETTLE_MS = 20.0  # an answer's way to its client: nobody is closed for room sooner after one
SILENT_SHARE = 0.5  # of the clients' part, for those that have not asked yet
RESERVE_MS = 150.0  # room is kept for the arrivals of so long
RESERVE = (4, 0.25)  # at least so many, and at most this share of the clients' part
RATE_MS = 300.0  # over which arrivals are averaged; a rise counts at once
TURN = 32  # accepted in one turn of the loop, at most: the others' requests wait meanwhile


class ClientStage(Enum):
    NEW = 0  # has asked nothing
    HALF = 1  # stands in the middle of a command
    BUSY = 2  # has a request open
    QUIET = 3  # has asked, and has nothing open
    CLOSING = 4  # our side is closed


class Reason(Enum):
    SILENT = "silent"  # never asked
    HALF = "half"  # half a command
    IDLE = "idle"  # asked, and quiet too long
    LINGER = "linger"  # did not close its side after ours
    ROOM = "room"  # asked and quiet, closed for another


@dataclass(slots=True, frozen=True)
class CloseClient:
    """`cut`: its descriptor is wanted now, without waiting for the client's close."""

    guest: Hashable
    reason: Reason
    cut: bool = False


@dataclass(slots=True)
class ClientState:
    source: str
    stage: ClientStage
    since_ms: float  # in this stage
    heard_ms: float = 0.0  # when bytes came last, of half a command
    asked: int = 0  # requests so far
    waits_ms: float = 0.0  # spared: not named again before then


class IdleStatistics:
    """How often those that have asked so many times ask again: a share that forgets."""

    WEIGHT = 0.02

    def __init__(self, share: float) -> None:
        self.share = share

    def learn(self, came_back: bool) -> None:
        self.share += self.WEIGHT * ((1.0 if came_back else 0.0) - self.share)


def group_of(asked: int) -> int:
    """Clients that have asked once, a few times, often."""
    return 0 if asked <= 1 else 1 if asked < 4 else 2


class PeakEstimate:
    """A value that about 19 of 20 samples stay under: it rises fast and sinks slowly, in constant memory."""

    SHARE = 0.95

    def __init__(self, first: float) -> None:
        self.value = first

    def learn(self, sample: float) -> None:
        # Stochastic approximation of the quantile, in steps relative to its size.
        step = 0.1 * max(self.value, 1.0)
        self.value = max(0.1, self.value + step * (self.SHARE if sample > self.value else self.SHARE - 1.0))


class ClientConnectionPolicy:
    """The guests by stage, longest in it first, and what is known of their habits."""

    def __init__(self, most: int, asking: int, now: float) -> None:
        """`most`: connections that clients may hold at the best; `asking`: that they open for requests. Where
        so many have asked and stand, a client with a request can't open another, whatever room there is."""
        self.most = most
        self.asking = asking
        self._guests: dict[Hashable, ClientState] = {}
        # BUSY ones need no order: they are never named. QUIET ones stand by group.
        self._new: OrderedDict[Hashable, None] = OrderedDict()
        self._half: OrderedDict[Hashable, None] = OrderedDict()
        self._quiet: list[OrderedDict[Hashable, None]] = [OrderedDict() for _ in range(3)]
        self._closing: OrderedDict[Hashable, None] = OrderedDict()
        self._busy = 0
        self._sources: Counter[str] = Counter()  # of those that have not asked
        self._habits = [IdleStatistics(0.3), IdleStatistics(0.7), IdleStatistics(0.9)]
        self._asks_after = PeakEstimate(FIRST_GRACE_MS / GRACE_TIMES)
        self._rate = 0.0  # arrivals a millisecond
        self._heard_ms = now

    # What happens -------------------------------------------------------------------------------

    def opened(self, guest: Hashable, now: float, source: str = "") -> None:
        self._guests[guest] = ClientState(source, ClientStage.NEW, now)
        self._new[guest] = None
        self._sources[source] += 1
        self._decay(now)
        self._rate += 1.0 / RATE_MS

    def asked(self, guest: Hashable, now: float) -> None:
        """A request of it has begun to be served."""
        entry = self._guests.get(guest)
        if entry is None or entry.stage is ClientStage.CLOSING:
            return
        if not entry.asked:
            self._asks_after.learn(now - entry.since_ms)
        elif entry.stage is ClientStage.QUIET:
            self._habits[group_of(entry.asked)].learn(True)
        self._move(guest, entry, ClientStage.BUSY, now)
        entry.asked += 1  # only now: it decides in which line a quiet one stands

    def quiet(self, guest: Hashable, now: float, half: bool, begun_ms: float = math.inf) -> None:
        """It has no open request; `half`: but a part of one, which may have begun behind the last one."""
        entry = self._guests.get(guest)
        if entry is None or entry.stage is ClientStage.CLOSING:
            return
        stage = ClientStage.HALF if half else ClientStage.QUIET if entry.asked else ClientStage.NEW
        if stage is entry.stage:
            return  # its time runs from its connection, its first byte or its answer on: an error wins none
        self._move(guest, entry, stage, now)
        if half and begun_ms < now:
            self._put_in_order(entry, begun_ms)

    def _put_in_order(self, entry: ClientState, begun_ms: float) -> None:
        """The part of a request that it has sent is that old: those that are younger stand behind it."""
        entry.since_ms = begun_ms
        for other in [one for one in self._half if self._guests[one].since_ms > begun_ms]:
            self._half.move_to_end(other)

    def more(self, guest: Hashable, now: float) -> None:
        """More bytes of half a command have come."""
        if (entry := self._guests.get(guest)) is not None:
            entry.heard_ms = now

    def closing(self, guest: Hashable, now: float) -> None:
        """Our side is closed."""
        entry = self._guests.get(guest)
        if entry is not None and entry.stage is not ClientStage.CLOSING:
            if entry.stage is ClientStage.QUIET:
                self._habits[group_of(entry.asked)].learn(False)
            self._move(guest, entry, ClientStage.CLOSING, now)

    def closed(self, guest: Hashable) -> None:
        entry = self._guests.pop(guest, None)
        if entry is not None:
            self._leave(guest, entry)

    def spare(self, guest: Hashable, now: float) -> None:
        """It could not be closed: a request stands unread, or an answer. Not named again for a while."""
        if (entry := self._guests.get(guest)) is not None:
            entry.waits_ms = now + SETTLE_MS

    def _move(self, guest: Hashable, entry: ClientState, stage: ClientStage, now: float) -> None:
        self._leave(guest, entry)
        entry.stage, entry.since_ms, entry.waits_ms, entry.heard_ms = stage, now, 0.0, now
        match stage:
            case ClientStage.BUSY:
                self._busy += 1
            case ClientStage.NEW:
                self._new[guest] = None
                self._sources[entry.source] += 1
            case _:
                self._line(entry)[guest] = None

    def _leave(self, guest: Hashable, entry: ClientState) -> None:
        if entry.stage is ClientStage.BUSY:
            self._busy -= 1
            return
        if entry.stage is ClientStage.NEW:
            self._sources[entry.source] -= 1
            if not self._sources[entry.source]:
                del self._sources[entry.source]
        self._line(entry).pop(guest, None)

    def _line(self, entry: ClientState) -> OrderedDict[Hashable, None]:
        match entry.stage:
            case ClientStage.NEW:
                return self._new
            case ClientStage.HALF:
                return self._half
            case ClientStage.QUIET:
                return self._quiet[group_of(entry.asked)]
        return self._closing

    # What is known ------------------------------------------------------------------------------

    def __len__(self) -> int:
        return len(self._guests)

    @property
    def busy(self) -> int:
        return self._busy

    def stage_of(self, guest: Hashable) -> ClientStage | None:
        entry = self._guests.get(guest)
        return None if entry is None else entry.stage

    def grace_ms(self) -> float:
        """How long a new one is waited for where others want its place."""
        return min(max(GRACE_MS[0], GRACE_TIMES * self._asks_after.value), GRACE_MS[1])

    def reserve(self, now: float) -> int:
        """Room to be kept for those that will connect before the next look."""
        self._decay(now)
        wanted = math.ceil(self._rate * RESERVE_MS)
        return int(min(max(RESERVE[0], wanted), max(1.0, RESERVE[1] * self.most)))

    def crowd(self) -> bool:
        """So many have not asked that it is no rush: those who come to be served ask at once."""
        return len(self._new) > SILENT_SHARE * self.most

    def _decay(self, now: float) -> None:
        self._rate *= math.exp((self._heard_ms - now) / RATE_MS)
        self._heard_ms = now

    # Who goes -----------------------------------------------------------------------------------

    def overdue(self, now: float) -> list[CloseClient]:
        """Those whose time is over, however much room there is."""
        found: list[CloseClient] = []
        lines = ((self._new, QUIET_MS, Reason.SILENT), (self._half, HALF_MS, Reason.HALF))
        lines += tuple((line, KEEP_MS, Reason.IDLE) for line in self._quiet)
        for line, most_ms, reason in lines:
            found += [CloseClient(guest, reason) for guest in self._older(line, now, most_ms)]
        found += [
            CloseClient(guest, Reason.LINGER, True) for guest in self._older(self._closing, now, LINGER_MS)
        ]
        return found

    def for_room(self, now: float, wanted: int, room: int) -> list[CloseClient]:
        """Up to twice `wanted` guests whose closing makes room, those first who are least likely to ask.

        `room`: what there is without. Those that are closing come free by themselves within moments, so
        they count as room; they are cut off only where there is none at all.
        """
        found: list[CloseClient] = []
        if room <= 0:
            found += [
                CloseClient(guest, Reason.LINGER, True)
                for guest in self._older(self._closing, now, PRESSED_LINGER_MS, wanted)
            ]
        else:
            wanted -= len(self._closing)
        most = 2 * wanted
        cut = room <= 0
        for candidates in (self._silent, self._halves, self._quiet_ones):
            if len(found) >= most:
                break
            found += candidates(now, most - len(found), cut)
        return found[: max(0, most)]

    def for_asking(self, now: float) -> list[CloseClient]:
        """Those to close so that clients can open as many as will be wanted for requests."""
        # Clients that write slowly ask too; who has sent one piece and no more does not look like one.
        slow = [guest for guest in self._half if (entry := self._guests[guest]).heard_ms > entry.since_ms]
        held = self._busy + sum(len(line) for line in self._quiet) + len(slow)
        wanted = min(self.reserve(now), self.asking // 2) - (self.asking - held)
        found = self._quiet_ones(now, max(0, wanted), False)
        # The last places: each that is held by half a command would serve many others meanwhile.
        wanted = RESERVE[0] - (self.asking - held) - len(found)
        old = [guest for guest in slow if now - self._guests[guest].since_ms >= HALF_GRACE_MS]
        return found + [CloseClient(guest, Reason.HALF) for guest in old[: max(0, wanted)]]

    def _older(
        self, line: OrderedDict[Hashable, None], now: float, age_ms: float, most: int = 1 << 30
    ) -> list[Hashable]:
        found = []
        for guest in line:
            entry = self._guests[guest]
            if now - entry.since_ms < age_ms or len(found) >= most:
                break
            if entry.waits_ms <= now:
                found.append(guest)
        return found

    def _silent(self, now: float, most: int, cut: bool) -> list[CloseClient]:
        # Where they are a crowd, their first moments must do: others wait behind them to be let in.
        age = GRACE_MS[0] if self.crowd() else self.grace_ms()
        old = self._older(self._new, now, age)
        if len(self._sources) > 1:
            # Fair between sources: the one that holds most without asking gives first. Sorting is stable.
            count = self._sources
            old.sort(key=lambda guest: -count[self._guests[guest].source])
        return [CloseClient(guest, Reason.SILENT, cut) for guest in old[:most]]

    def _halves(self, now: float, most: int, cut: bool) -> list[CloseClient]:
        # A client that writes slowly goes on writing; by age alone it would go before it is done.
        old = self._older(self._half, now, HALF_GRACE_MS)
        silent = [guest for guest in old if now - self._guests[guest].heard_ms >= HALF_GRACE_MS]
        silent.sort(key=lambda guest: self._guests[guest].heard_ms)
        return [CloseClient(guest, Reason.HALF, False) for guest in silent[:most]]

    def _quiet_ones(self, now: float, most: int, cut: bool) -> list[CloseClient]:
        """Longest quiet first, where a group that seldom asks again counts as quiet for longer."""
        found: list[tuple[float, int, Hashable]] = []
        for number, line in enumerate(self._quiet):
            weight = 1.05 - self._habits[number].share
            for guest in self._older(line, now, SETTLE_MS, most):
                found.append((-(now - self._guests[guest].since_ms) * weight, len(found), guest))
        found.sort()
        # A cut throws away what the client has not read yet: only where its answer has long been there.
        return [
            CloseClient(guest, Reason.ROOM, cut and now - self._guests[guest].since_ms >= PRESSED_LINGER_MS)
            for _, _, guest in found[:most]
        ]
