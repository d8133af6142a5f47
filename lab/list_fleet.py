"""Many whole proxies without traffic before one discovery, in virtual time: who learns what, and when.

Discovery is the lab's, of fixed capacity. Beyond that it can be down (connections are refused),
dead (connection attempts never end) and hung (it takes calls and answers none of them, not even later).
Times are seconds of the virtual clock unless a name ends in `_ms`.
"""

from __future__ import annotations

import io
from collections import Counter
from copy import deepcopy
from typing import Any

from balancer.settings import read_settings
from cloverwell.config import Config, Limits
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from cloverwell.proxy import Proxy
from lab.http_connection import HttpConnection, HttpRequest
from lab.listener import Address
from lab.net import Net
from lab.proxy_testbed import SETTINGS
from lab.scenario import DiscoveryCapacity, Scenario
from lab.simulated_discovery import SimulatedDiscovery

DISCOVERY: Address = ("10.1.255.2", 8500)
CHANGED = "node-0"  # whose phase is told as changed
EPOCH_MS = -1.0e9  # the virtual clock shows 0 then
STEP_S = 0.05


class ListDiscovery(SimulatedDiscovery):
    """The lab's discovery, which can also swallow calls, and answer with many nodes or indented."""

    hung = False

    def handle(self, connection: HttpConnection, request: HttpRequest) -> None:
        if self.hung:
            self.calls[int(self.now)] += 1
            return
        super().handle(connection, request)


class NoJudge:
    """The lab's discovery tells the judge what it tells; here nothing is judged by it."""

    def told(self, *_told: object) -> None:
        pass


class ProxyReactor:
    """One proxy's view of the network; its connection attempts to discovery are counted."""

    alive = True

    def __init__(self, fleet: ListFleet, host: str) -> None:
        self._fleet, self._host = fleet, host
        self.seconds = fleet.net.seconds
        self.callLater = fleet.net.callLater

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30.0, bindAddress: Any = None
    ) -> None:
        if (host, port) == DISCOVERY:
            self._fleet.attempts[int(10.0 * self.seconds())] += 1
        self._fleet.net.connectTCP(host, port, factory, timeout, (self._host, self))

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        return self._fleet.net.listenTCP(port, factory, backlog, interface, self)


class ListFleet:
    """`number` proxies before a discovery that works through `calls_per_s`."""

    def __init__(
        self,
        number: int,
        calls_per_s: float = 1000.0,
        wait_s: float = 1.0,
        nodes: int = 4,
        known: bool = True,
        changes: dict[str, Any] | None = None,
        granularity_ms: float = 50.0,
    ) -> None:
        """`wait_s`: what a call may wait for its turn; `known`: whether proxies start with the list;
        `changes`: settings in the place of the lab's own; `granularity_ms`: of the proxies' timers, coarse
        for speed."""
        self.net = Net()
        self.checker = NoJudge()
        self.scenario = Scenario(discovery=DiscoveryCapacity(calls_per_s=calls_per_s, wait_s=wait_s))
        self.rows = [self._row(place, "large") for place in range(nodes)]
        self.rows.append(self._row(nodes, "origin"))
        self.attempts: Counter[int] = Counter()  # connection attempts to discovery, by tenth of a second
        self.discovery = ListDiscovery(self, DISCOVERY)
        self.proxies: list[Proxy] = []
        self.logs: list[io.StringIO] = []
        listing = (
            EndpointList(1, True, [Endpoint(**row) for row in self.rows])
            if known
            else EndpointList(0, True, [])
        )
        settings = deepcopy(SETTINGS) | {"granularity": granularity_ms, "peers-total": number}
        for place in range(number):
            self._start(place, listing, settings | (changes or {}))

    @staticmethod
    def _row(place: int, flavor: str) -> dict[str, Any]:
        address = f"10.2.{place // 250}.{place % 250 + 1}:11211"
        return {"id": f"node-{place}", "host_port": address, "locality": "east", "flavor": flavor, "cell": 0,
                "phase": "in_service", "size": 1.0, "up_since_ms": 0.0}  # fmt: skip

    def _start(self, place: int, listing: EndpointList, settings: dict[str, Any]) -> None:
        host = f"10.1.{place // 250}.{place % 250 + 1}"
        config = Config(
            f"proxy-{place}",
            (host, 11211),
            DISCOVERY,
            1000 + place,
            Limits(),
            listing,
            read_settings(settings),
        )
        self.logs.append(io.StringIO())
        log = Log(self.net.now_ms, self.logs[-1])
        service = Proxy(ProxyReactor(self, host), config, log, self.net.now_ms, lambda: EPOCH_MS)
        service.start()
        self.proxies.append(service)

    # What the lab's discovery asks its world ---------------------------------------------------------

    def members(self) -> list[dict[str, Any]]:
        return self.rows

    def as_listed(self, rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """As `members`: no node of it has a wall clock of its own."""
        return rows

    def proxy_of(self, web: HttpConnection) -> str:
        return web.transport.getPeer().host

    # What happens ------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        self.net.run_for(seconds)

    def fail(self, how: str) -> None:
        """`down`, `dead` or `hung`; what stands ends in the first, and stays silent in the others."""
        if how == "down":
            self.discovery.die()
        elif how == "dead":
            self.net.path(DISCOVERY).silent = True
            self._forget_flows()
        else:
            self.discovery.hung = True
            self._forget_flows()

    def _forget_flows(self) -> None:
        for web in list(self.discovery.connections):
            web.transport.forget_flow()

    def restore(self, how: str) -> None:
        """It can be reached again; what was swallowed or is silent stays so."""
        if how == "down":
            self.discovery.live()
        elif how == "dead":
            self.net.path(DISCOVERY).silent = False
        else:
            self.discovery.hung = False

    def change(self) -> None:
        """A node begins to drain."""
        self.rows[0]["phase"] = "terminating"
        self.discovery.changed(CHANGED)

    def knowing(self) -> int:
        """How many proxies have discovery's present list."""
        revision = self.discovery.revision
        return sum(proxy.endpoint_discovery.listing().revision == revision for proxy in self.proxies)

    def learning_times(self, longest: float) -> list[float]:
        """After how many seconds from now the first, second.. proxy has the present list; those that do not
        within `longest` are left out."""
        times: list[float] = []
        begun = self.net.seconds()
        while len(times) < len(self.proxies) and self.net.seconds() - begun < longest:
            self.run(STEP_S)
            times += [self.net.seconds() - begun] * (self.knowing() - len(times))
        return times
