"""The clients of one zone, behind a plain front layer that spreads them over the zone's proxies.

Arrivals are open-loop: drawn ahead, whatever becomes of earlier ones. A request's retries belong to it; each
try has a new id. The front layer notices a dead proxy late.
"""

from __future__ import annotations

import math
from bisect import bisect
from collections import defaultdict
from dataclasses import dataclass
from itertools import accumulate
from random import Random
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from cloverwell.streamed_value import LONG
from lab.invariant_checker import InvariantChecker, RequestHistory
from lab.net import Net
from lab.scenario import Scenario, TrafficClass
from lab.simulated_proxy import SimulatedProxy

NOTICE_S = 2.0  # after which the front layer sends no more to a proxy that refuses
WINDOW_S = 10.0
LEFT = "left"  # how a request ends whose client closes: nothing is owed for it
HELD_S = 2.0  # the rest of a long value may not be held back for so long
CROSSED_S = 0.05  # a request that is younger may have crossed the close of its connection


class ClientEnvironment(Protocol):
    """What the clients need of the play."""

    world: Scenario
    seed: int
    net: Net
    judge: InvariantChecker
    proxies: list[SimulatedProxy]
    requests: dict[str, tuple[TrafficClass, float, str]]  # name -> class, work in s, key

    def body_of(self, name: str) -> str: ...

    def receipt_of(self, name: str) -> str: ...

    def record(self, *what: object) -> None: ...


@dataclass(slots=True)
class PlannedRequest:
    """What a client wants, over all its tries."""

    cls: TrafficClass
    tenant: str
    key: str
    work_s: float
    asked_s: float
    number: int
    tries: int = 0
    ran_s: float | None = None  # when a try was sent that may have run
    worth: float = 0.0  # earned
    end: str = ""


class SimulatedClient(LineReceiver):
    delimiter = b"\r\n"

    def __init__(self, people: ClientPopulation, proxy: SimulatedProxy) -> None:
        self.people, self.proxy = people, proxy
        self.try_: tuple[str, PlannedRequest] | None = None
        self._value = bytearray()
        self._left = 0  # bytes of a value that is coming
        self.began_s: float | None = None  # when it began
        self.heard_s = 0.0  # and went on
        self.left = False  # its client has closed, and reads no more

    def connectionMade(self) -> None:
        self.people.tills.append(self)
        self.people.up(self)

    def dataReceived(self, data: bytes) -> None:
        if not self.left:
            super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:
        text = line.decode()
        if text.startswith("VA "):
            self._left, self.began_s = int(text.split()[1]) + 2, self.people.now
            self.setRawMode()
            return None
        if text.startswith("HD "):
            return self._end("served", text.split()[-1][1:])
        if text.startswith("SERVER_ERROR busy"):
            words = text.split()
            return self._end("refused", words[2] if len(words) > 2 else "0")
        return self._end("failed", text)

    def rawDataReceived(self, data: bytes) -> None:
        taken, rest = data[: self._left], data[self._left :]
        self._left -= len(taken)
        self._value += taken
        self.heard_s = self.people.now
        if self._left:
            self._slow_down(len(taken))
            return
        value, self._value = bytes(self._value), bytearray()
        self._end("served", value[:-2].decode() if value.endswith(b"\r\n") else "spoilt")
        self.setLineMode(rest)

    def _slow_down(self, number: int) -> None:
        """It reads no faster than its line is."""
        wait_s = number / 1024.0 / self.people.traffic.read_kb_s
        if wait_s >= 0.0005:
            self.transport.pauseProducing()
            self.people.play.net.callLater(wait_s, self.transport.resumeProducing)

    def _end(self, how: str, text: str) -> None:
        began_s, self.began_s = self.began_s, None
        if self.try_ is None:
            play = self.people.play
            return play.judge.breach("answered", self.people.now, "", "an answer that nobody waits for")
        (name, wish), self.try_ = self.try_, None
        return self.people.ended(self, name, wish, how, text, began_s)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.people.down(self)


class _Opener(ClientFactory):
    noisy = False

    def __init__(self, people: ClientPopulation, proxy: SimulatedProxy, wish: PlannedRequest) -> None:
        self.people, self.proxy, self.wish = people, proxy, wish

    def buildProtocol(self, addr: Any) -> SimulatedClient:
        till = SimulatedClient(self.people, self.proxy)
        self.people.opening[till] = self.wish
        return till

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.people.refused(self.proxy, self.wish)


class ClientPopulation:
    def __init__(self, play: ClientEnvironment, zone: int) -> None:
        self.play, self.zone = play, zone
        self.rng = Random(f"people {play.seed} {zone}")
        self.traffic = play.world.traffic
        shares = self.traffic.zone_shares or [1.0 / play.world.zones] * play.world.zones
        self._per_s = self.traffic.per_s * shares[zone]  # arrivals in this zone
        self._shares = self._draw_shares()
        self.wishes: list[PlannedRequest] = []
        self.hot = 0.0  # share of the traffic that asks for one key
        self.opening: dict[SimulatedClient, PlannedRequest] = {}
        self.tills: list[SimulatedClient] = []
        self._idle: dict[str, list[SimulatedClient]] = defaultdict(list)
        self._dead: dict[str, float] = {}  # proxy -> since when it refuses
        self._count = 0
        self._weights = list(
            accumulate(1.0 / (rank + 5) ** self.traffic.zipf for rank in range(self.traffic.keys))
        )
        self._classes = list(accumulate(cls.share for cls in self.traffic.classes))
        self._tenants = list(accumulate(tenant.share for tenant in self.traffic.tenants))

    @property
    def now(self) -> float:
        return self.play.net.seconds()

    def _draw_shares(self) -> dict[str, float]:
        """The proxies' shares in the traffic, by name; alike in every zone's eyes."""
        rng, spread = Random(f"shares {self.play.seed}"), self.traffic.proxy_spread
        return {proxy.name: math.exp(rng.gauss(0.0, spread)) for proxy in self.play.proxies}

    def _pick(self, proxies: list[SimulatedProxy]) -> SimulatedProxy:
        if not self.traffic.proxy_spread:
            return self.rng.choice(proxies)
        return self.rng.choices(proxies, [self._shares[proxy.name] for proxy in proxies])[0]

    def speed_up(self, times: float) -> None:
        self._per_s *= times

    def popular(self) -> list[str]:
        """Keys that are kept when the day begins, the most popular last."""
        room = self.play.world.nodes.keys * self.play.world.nodes.count // 2
        return [f"k{rank}" for rank in reversed(range(min(self.traffic.keys, room)))]

    def start(self) -> None:
        self.play.net.callLater(self._gap(), self._arrive)

    def _gap(self) -> float:
        return self.rng.expovariate(self._per_s)

    def _draw(self, sums: list[float]) -> int:
        return min(len(sums) - 1, bisect(sums, self.rng.random() * sums[-1]))

    def _arrive(self) -> None:
        if self.now - 1000.0 >= self.play.world.seconds:
            return
        cls = self.traffic.classes[self._draw(self._classes)]
        tenant = self.traffic.tenants[self._draw(self._tenants)].name
        key = "k-hot" if self.rng.random() < self.hot else f"k{self._draw(self._weights)}"
        mean = self.rng.uniform(*cls.work_ms) / 1000.0
        work = min(8.0 * mean, self.rng.expovariate(1.0 / mean))
        wish = PlannedRequest(cls, tenant, key, work, self.now, len(self.wishes))
        self.wishes.append(wish)
        self._try(wish)
        self.play.net.callLater(self._gap(), self._arrive)

    # Tries --------------------------------------------------------------------------------------

    def _proxies(self) -> list[SimulatedProxy]:
        """Those of the zone that are not known to be dead, else of any zone."""
        live = [
            proxy for proxy in self.play.proxies if self.now - self._dead.get(proxy.name, self.now) < NOTICE_S
        ]
        mine = [proxy for proxy in live if proxy.zone == self.zone]
        choice = mine or live or self.play.proxies
        # Open connections are used for as long as they stand; new ones go where they are wanted.
        return (
            [p for p in choice if p.watch.wanted or self._idle[p.name]]
            or [p for p in live if p.watch.wanted]
            or choice
        )

    def _try(self, wish: PlannedRequest) -> None:
        left = wish.asked_s + wish.cls.deadline_ms / 1000.0 - self.now
        if left <= 0.02 or wish.tries > self.traffic.retries:
            wish.end = wish.end or "gave up"
            return
        wish.tries += 1
        proxy = self._pick(self._proxies())
        idle = self._idle[proxy.name]
        if idle:
            self._send(idle.pop(), wish)
        else:
            address = proxy.address
            host = f"10.{1 + self.zone}.200.1"
            self.play.net.connectTCP(*address, _Opener(self, proxy, wish), 1.0, (host, None))

    def up(self, till: SimulatedClient) -> None:
        self._dead.pop(till.proxy.name, None)
        self._send(till, self.opening.pop(till))

    def _send(self, till: SimulatedClient, wish: PlannedRequest) -> None:
        self._count += 1
        name, cls = f"z{self.zone}r{self._count}", wish.cls
        left = wish.asked_s + cls.deadline_ms / 1000.0 - self.now
        wait_ms = int(1000.0 * left)
        if wait_ms <= 0:
            self._idle[till.proxy.name].append(till)
            wish.end = wish.end or "gave up"
            return
        self.play.requests[name] = (cls, wish.work_s, wish.key)
        self.play.judge.taken(
            RequestHistory(
                name, till.proxy.name, cls.effect, self.now, self.now + left, cls.window_ms / 1000.0
            )
        )
        self.play.record("ask", name, cls.name, wish.key, till.proxy.name)
        till.try_ = (name, wish)
        wish.ran_s = self.now if wish.ran_s is None else wish.ran_s
        mark = ",r=1" if wish.tries > 1 else ""
        info = f"c={cls.name},t={wish.tenant},d={wait_ms}{mark}"
        info += f",k=z{self.zone}i{wish.number}" if cls.effect == "dedup" else ""
        if cls.write:
            till.transport.write(f"ms {wish.key} 5 O{name} P{info}\r\nhello\r\n".encode())
        else:
            till.transport.write(f"mg {wish.key} v O{name} P{info}\r\n".encode())
        self.play.net.callLater(left + 0.1, self._overdue, till, name, wish)
        if self.traffic.leave_share and self.rng.random() < self.traffic.leave_share:
            after_s = self.rng.uniform(*self.traffic.leave_ms) / 1000.0
            self.play.net.callLater(after_s, self._leave, till, name)

    def burst(self, part: float) -> None:
        """So many of the clients that wait for an answer close at one instant."""
        for till in [one for one in self.tills if one.try_ is not None]:
            if self.rng.random() < part:
                self._leave(till, till.try_[0])

    def _leave(self, till: SimulatedClient, name: str) -> None:
        if till.try_ is None or till.try_[0] != name or till.began_s is not None:
            return
        self._give_up(till)
        till.transport.loseConnection()

    def cut_off(self, till: SimulatedClient) -> None:
        """Its connection has broken."""
        if till.try_ is not None:
            self._give_up(till)
        till.transport.abortConnection()

    def _give_up(self, till: SimulatedClient) -> None:
        (name, wish), till.try_ = till.try_, None
        till.left = True
        self.play.judge.left(self.now, name)
        self.play.record("left", name)
        self._done(name, wish, LEFT)

    def _overdue(self, till: SimulatedClient, name: str, wish: PlannedRequest) -> None:
        if till.try_ is not None and till.try_[0] == name:
            if till.began_s is not None and self.now - till.heard_s < HELD_S:  # the rest of a long value
                self.play.net.callLater(0.5, self._overdue, till, name, wish)
                return
            self.play.judge.lost(self.now, name, "no answer when its time ran out")
            self._done(name, wish, "unanswered")
            till.try_ = None
            till.transport.abortConnection()

    def ended(
        self,
        till: SimulatedClient,
        name: str,
        wish: PlannedRequest,
        how: str,
        text: str,
        began_s: float | None,
    ) -> None:
        play, cls = self.play, wish.cls
        long = len(text) > LONG
        at_s = began_s if long else self.now  # a long value counts from its first byte
        right = how != "served" or text == (play.receipt_of(name) if cls.write else play.body_of(name))
        play.judge.answered(at_s, name, how, right)
        play.record("end", name, how)
        self._idle[till.proxy.name].append(till)
        took_ms = 1000.0 * (at_s - wish.asked_s)
        if how == "served":
            wish.worth = cls.worth if took_ms <= cls.aim_ms else cls.worth * cls.late_worth
        else:
            wait = float(text) / 1000.0 if how == "refused" else self.traffic.back_off_ms / 1000.0
            in_window = wish.ran_s is not None and self.now + wait < wish.ran_s + cls.window_ms / 1000.0
            safe = cls.effect == "retryable" or how == "refused" or (cls.effect == "dedup" and in_window)
            if safe and wish.tries <= self.traffic.retries:
                play.net.callLater(wait + 0.001 + 0.02 * self.rng.random(), self._try, wish)
        self._done(name, wish, how)

    def _done(self, name: str, wish: PlannedRequest, how: str) -> None:
        wish.end = how
        # What is out at a node for it may still come in: it is known a while longer.
        self.play.net.callLater(8.0, self._forget, name)

    def _forget(self, name: str) -> None:
        self.play.requests.pop(name, None)
        self.play.judge.forget(name)

    def refused(self, proxy: SimulatedProxy, wish: PlannedRequest) -> None:
        self._dead.setdefault(proxy.name, self.now)
        wish.end = "connect_refused"
        self.play.net.callLater(0.05, self._try, wish)

    def down(self, till: SimulatedClient) -> None:
        if till in self.tills:
            self.tills.remove(till)
        if till in self.opening:
            self.refused(till.proxy, self.opening.pop(till))
        idle = self._idle[till.proxy.name]
        if till in idle:
            idle.remove(till)
        if till.try_ is None:
            return
        (name, wish), till.try_ = till.try_, None
        # What crossed a close is sent once more; what was there before has been taken, and is lost.
        case = self.play.judge.cases.get(name)
        if till.proxy.service is not None and case is not None and self.now - case.sent_s > CROSSED_S:
            self.play.judge.lost(self.now, name, "its connection ended without an answer")
        self._done(name, wish, "lost")
        if wish.cls.effect == "retryable":
            self.play.net.callLater(0.05, self._try, wish)

    # Figures ------------------------------------------------------------------------------------

    @staticmethod
    def metrics(everybody: list[ClientPopulation], world: Scenario) -> dict[str, Any]:
        """Shares of the worth asked for that was answered in time: whole, worst window, class and tenant."""
        everything = [wish for people in everybody for wish in people.wishes]
        wishes = [wish for wish in everything if wish.end != LEFT]

        def share(some: list[PlannedRequest]) -> float:
            asked = sum(wish.cls.worth for wish in some)
            return sum(wish.worth for wish in some) / asked if asked else 1.0

        by_class = {
            cls.name: share([w for w in wishes if w.cls.name == cls.name]) for cls in world.traffic.classes
        }
        by_tenant = [share([w for w in wishes if w.tenant == t.name]) for t in world.traffic.tenants]
        starts = range(max(1, int(world.seconds - WINDOW_S) + 1))
        windows = [
            share([w for w in wishes if start <= w.asked_s - 1000.0 < start + WINDOW_S]) for start in starts
        ]
        ends: dict[str, int] = defaultdict(int)
        for wish in everything:
            ends[wish.end] += 1
        service = (
            0.3 * share(wishes) + 0.3 * min(windows) + 0.3 * min(by_class.values()) + 0.1 * min(by_tenant)
        )
        return {
            "requests": len(everything),
            "service": round(service, 4),
            "classes": {name: round(value, 4) for name, value in by_class.items()},
            "worst_window": round(min(windows), 4),
            "ends": dict(sorted(ends.items())),
        }
