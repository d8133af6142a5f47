"""The membership views of a tier on a simulated datagram network, in virtual time.

Datagrams are late or lost, and links are cut; proxies crash, restart, stop and go on. A run is deterministic
by its seed. What the views exchange is encoded and decoded, so the codec is run as well. Times are seconds of
the virtual clock.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import NamedTuple

from cloverwell.gossip.composer import OutgoingDatagram
from cloverwell.gossip.member_table import MemberChange
from cloverwell.gossip.membership_view import MembershipView
from cloverwell.gossip.timing import GossipTiming
from cloverwell.gossip.wire import MemberStatus, decode, encode

TICK_S = 0.02
EPOCH_MS = 1_700_000_000_000  # Unix time at which the virtual clock shows 0.
RECEIVE_BUFFER_DATAGRAMS = 64  # How many datagrams the kernel keeps for a process that is stopped.


@dataclass(slots=True)
class ProxyProcess:
    """One proxy's process as its peers see it: `up` until it crashes, and `stopped` as by SIGSTOP."""

    view: MembershipView
    up: bool = True
    stopped: bool = False
    unread: list[tuple[int, bytes]] = field(default_factory=list)  # Pairs of sender and datagram.


@dataclass(slots=True, frozen=True)
class ObservedChange:
    """A change of a member's status, as the proxy `observer` held it from `at_s` on."""

    at_s: float
    observer: int
    change: MemberChange


@dataclass(slots=True, frozen=True)
class ObservedDeath:
    """The moment from which the proxy `observer` held the proxy `dead` for dead."""

    at_s: float
    observer: int
    dead: int


class _Event(NamedTuple):
    """A call that is due. `order` is unique, and keeps events of one moment in the order of scheduling."""

    at_s: float
    order: int
    call: Callable[[], None]


class DatagramNetwork:
    """A tier of proxies and the links between them, all up from time 0 on."""

    def __init__(
        self,
        total: int,
        seed: int,
        loss: float = 0.0,
        delay_s: tuple[float, float] = (0.001, 0.017),
        timing: GossipTiming | None = None,
    ) -> None:
        """`loss` is the share of lost datagrams; `delay_s` the least and the greatest delay one way."""
        self.now_s = 0.0
        self.timing = timing or GossipTiming()
        self.rng = Random(f"datagrams {seed}")
        self.loss = loss
        self.delay_s = delay_s
        self.cut_links: set[tuple[int, int]] = set()  # Pairs of sender and receiver.
        self.changes: list[ObservedChange] = []
        self.sent: Counter[int] = Counter()  # Datagrams by sender.
        self.sent_bytes: Counter[int] = Counter()
        self.addressed: Counter[int] = Counter()  # Datagrams by receiver, whether they reach it or not.
        self._events: list[_Event] = []
        self._order = itertools.count()
        self.processes = [self._start_process(number, total) for number in range(total)]
        for number in range(total):
            self._schedule(self.rng.uniform(0.0, TICK_S), partial(self._tick, number))

    def _start_process(self, number: int, total: int) -> ProxyProcess:
        incarnation = EPOCH_MS + int(1000 * self.now_s)
        seed = self.rng.getrandbits(32)
        return ProxyProcess(MembershipView(number, total, incarnation, seed, self.timing))

    # Faults -------------------------------------------------------------------------------------

    def crash(self, number: int) -> None:
        """End the proxy's process; what is sent to it from now on is lost."""
        self.processes[number].up = False

    def restart(self, number: int) -> None:
        """Start a new process in place of the proxy's old one."""
        self.processes[number] = self._start_process(number, len(self.processes))

    def stop(self, number: int) -> None:
        """Stop the proxy's process, as SIGSTOP does; its datagrams wait for it, up to a number."""
        self.processes[number].stopped = True

    def resume(self, number: int) -> None:
        """Let a stopped process go on, as SIGCONT does; it reads first what has waited for it."""
        process = self.processes[number]
        process.stopped = False
        unread, process.unread = process.unread, []
        for sender, data in unread:
            self._deliver(sender, number, data)

    def cut_link(self, sender: int, receiver: int, both: bool = True) -> None:
        """Lose every datagram from `sender` to `receiver`; with `both`, also in the other direction."""
        self.cut_links.add((sender, receiver))
        if both:
            self.cut_links.add((receiver, sender))

    # Time ---------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Let so much virtual time pass."""
        end_s = self.now_s + seconds
        while self._events and self._events[0].at_s <= end_s:
            event = heapq.heappop(self._events)
            self.now_s = event.at_s
            event.call()
        self.now_s = end_s

    def _schedule(self, delay_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, _Event(self.now_s + delay_s, next(self._order), call))

    def _tick(self, number: int) -> None:
        self._schedule(TICK_S, partial(self._tick, number))
        process = self.processes[number]
        if process.up and not process.stopped:
            self._send_all(number, process.view.tick(1000.0 * self.now_s))

    def _send_all(self, sender: int, datagrams: list[OutgoingDatagram]) -> None:
        changes = self.processes[sender].view.take_changes()
        self.changes += [ObservedChange(self.now_s, sender, change) for change in changes]
        for outgoing in datagrams:
            self._send(sender, outgoing.receiver, encode(outgoing.datagram))

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(data)
        self.addressed[receiver] += 1
        if (sender, receiver) not in self.cut_links and self.rng.random() >= self.loss:
            delay_s = self.rng.uniform(*self.delay_s)
            self._schedule(delay_s, partial(self._deliver, sender, receiver, data))

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        process = self.processes[receiver]
        if not process.up:
            return
        if process.stopped:
            if len(process.unread) < RECEIVE_BUFFER_DATAGRAMS:
                process.unread.append((sender, data))
            return
        self._send_all(receiver, process.view.receive(1000.0 * self.now_s, decode(data)))

    # Observations -------------------------------------------------------------------------------

    def deaths(self, since_s: float = 0.0) -> list[ObservedDeath]:
        """Return each change to dead that a proxy has observed since then."""
        return [
            ObservedDeath(observed.at_s, observed.observer, observed.change.proxy)
            for observed in self.changes
            if observed.change.status is MemberStatus.DEAD and observed.at_s >= since_s
        ]

    def agree(self, alive: set[int]) -> bool:
        """Whether each of these proxies holds exactly these for alive."""
        return all(self.processes[number].view.alive_proxies() == alive for number in alive)
