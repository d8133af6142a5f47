"""Proxies' views over datagrams in virtual time: late, lost, cut links, deaths, stops, restarts, by a seed.

What crosses is bytes, so the codec is played too. Times are seconds of the virtual clock.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from random import Random

from cloverwell.gossip.membership_view import GossipTiming, MemberChange, MembershipView, OutgoingDatagram
from cloverwell.gossip.wire import MemberStatus, decode, encode

TICK_S = 0.02
EPOCH_MS = 1_700_000_000_000  # Unix time when the virtual clock shows 0
HELD = 64  # datagrams that the machine of a stopped process keeps for it


class Host:
    """One proxy's process, as far as its peers see it."""

    def __init__(self, view: MembershipView) -> None:
        self.view = view
        self.up, self.stopped = True, False
        self.held: list[tuple[int, bytes]] = []


class Datagrams:
    def __init__(
        self,
        total: int,
        seed: int,
        loss: float = 0.0,
        delay_s: tuple[float, float] = (0.001, 0.017),
        figures: GossipTiming | None = None,
    ) -> None:
        self.now_s = 0.0
        self.figures = figures or GossipTiming()
        self.rng = Random(f"datagrams {seed}")
        self.loss, self.delay_s = loss, delay_s
        self.cut: set[tuple[int, int]] = set()  # from, to
        self.changes: list[tuple[float, int, MemberChange]] = []  # when, who noticed, what
        self.sent, self.bytes = Counter(), Counter()
        self.received = Counter()  # datagrams sent to each, whether they reach it or not
        self._events: list = []
        self._order = itertools.count()
        self.hosts = [self._process(number, total) for number in range(total)]
        for number in range(total):
            self._later(self.rng.uniform(0.0, TICK_S), self._tick, number)

    def _process(self, number: int, total: int) -> Host:
        born = EPOCH_MS + int(1000 * self.now_s)
        return Host(MembershipView(number, total, born, self.rng.getrandbits(32), self.figures))

    # What befalls them --------------------------------------------------------------------------

    def crash(self, number: int) -> None:
        self.hosts[number].up = False

    def restart(self, number: int) -> None:
        self.hosts[number] = self._process(number, len(self.hosts))

    def stop(self, number: int) -> None:
        self.hosts[number].stopped = True

    def go_on(self, number: int) -> None:
        host = self.hosts[number]
        host.stopped = False
        held, host.held = host.held, []
        for sender, data in held:
            self._deliver(sender, number, data)

    def sever(self, here: int, there: int, both: bool = True) -> None:
        self.cut |= {(here, there), (there, here)} if both else {(here, there)}

    # Time ---------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        end = self.now_s + seconds
        while self._events and self._events[0][0] <= end:
            self.now_s, _, what, args = heapq.heappop(self._events)
            what(*args)
        self.now_s = end

    def _later(self, after_s: float, what, *args) -> None:
        heapq.heappush(self._events, (self.now_s + after_s, next(self._order), what, args))

    def _tick(self, number: int) -> None:
        self._later(TICK_S, self._tick, number)
        host = self.hosts[number]
        if host.up and not host.stopped:
            self._carry_out(number, host.view.tick(1000.0 * self.now_s))

    def _carry_out(self, number: int, outs: list[OutgoingDatagram]) -> None:
        view = self.hosts[number].view
        self.changes += [(self.now_s, number, change) for change in view.take_changes()]
        for out in outs:
            data = encode(out.message)
            self.sent[number] += 1
            self.bytes[number] += len(data)
            self.received[out.to] += 1
            if (number, out.to) not in self.cut and self.rng.random() >= self.loss:
                self._later(self.rng.uniform(*self.delay_s), self._deliver, number, out.to, data)

    def _deliver(self, sender: int, to: int, data: bytes) -> None:
        host = self.hosts[to]
        if host.up and host.stopped:
            host.held = [*host.held, (sender, data)][:HELD]
        elif host.up:
            self._carry_out(to, host.view.receive(1000.0 * self.now_s, decode(data)))

    # What they hold -----------------------------------------------------------------------------

    def deaths(self, since_s: float = 0.0) -> list[tuple[float, int, int]]:
        """When, who noticed, and whom."""
        return [
            (at, who, c.proxy)
            for at, who, c in self.changes
            if c.state is MemberStatus.DEAD and at >= since_s
        ]

    def agree(self, living: set[int]) -> bool:
        """Whether each of these holds just these for alive."""
        return all(self.hosts[number].view.alive() == living for number in living)
