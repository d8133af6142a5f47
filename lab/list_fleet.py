"""Many whole proxies without traffic and one discovery, in virtual time: which proxy learns a change when.

Discovery is the lab's stand-in, of fixed capacity. Beyond that it can be down (it refuses connections), dead
(connection attempts never end) or hung (it accepts calls and answers none of them, not even later). Times
are seconds of the virtual clock unless a name ends in `_ms`.
"""

from __future__ import annotations

import io
from collections import Counter
from copy import deepcopy
from typing import Any, Literal

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
CHANGED = "node-0"  # the node whose phase changes
EPOCH_MS = -1.0e9  # the virtual clock shows 0 then
STEP_S = 0.05

DiscoveryFailure = Literal["down", "dead", "hung"]


class ListDiscovery(SimulatedDiscovery):
    """The lab's stand-in for discovery, which can also be hung."""

    hung = False

    def handle(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Counts and drops a call while discovery is hung, and handles it otherwise."""
        if self.hung:
            self.calls[int(self.now)] += 1
            return
        super().handle(connection, request)


class NoJudge:
    """Takes the place of the invariant checker, which the lab's discovery notifies of its answers."""

    def told(self, *_: object) -> None:
        """Does nothing: no invariant is checked here."""


class ProxyReactor:
    """A proxy's reactor, which is its view of the network; it counts connection attempts to discovery."""

    alive = True

    def __init__(self, fleet: ListFleet, host: str) -> None:
        """Connects from the address `host`."""
        self._fleet = fleet
        self._host = host
        self.seconds = fleet.net.seconds
        self.callLater = fleet.net.callLater

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30.0, bindAddress: Any = None
    ) -> None:
        """Begins a connection from this proxy, and counts it if it goes to discovery (`IReactorTCP`)."""
        if (host, port) == DISCOVERY:
            self._fleet.attempts[int(10.0 * self.seconds())] += 1
        self._fleet.net.connectTCP(host, port, factory, timeout, (self._host, self))

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Listens as this proxy (`IReactorTCP`)."""
        return self._fleet.net.listenTCP(port, factory, backlog, interface, self)


class ListFleet:
    """`number` proxies and a discovery that answers `calls_per_s`."""

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
        """Starts all proxies.

        A call waits for at most `wait_s` until it is answered. If `known` is set, the proxies start with the
        list of `nodes` cache nodes. `changes` are settings that override the lab's own, and `granularity_ms`
        is that of the proxies' timers, which is coarse for speed.
        """
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

    # What the lab's discovery needs of the simulation -------------------------------------------------

    def members(self) -> list[dict[str, Any]]:
        """Returns the entries of discovery's list."""
        return self.rows

    def as_listed(self, rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Returns the entries unchanged, since no node here has a wall clock of its own."""
        return rows

    def proxy_of(self, web: HttpConnection) -> str:
        """Returns the host of the proxy at the other end."""
        return web.transport.getPeer().host

    # The course of a test -----------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Runs the simulation for that long."""
        self.net.run_for(seconds)

    def fail(self, how: DiscoveryFailure) -> None:
        """Makes discovery fail; open connections end if it is down, and stay silent otherwise."""
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

    def restore(self, how: DiscoveryFailure) -> None:
        """Ends the failure; calls that were not answered and silent connections stay so."""
        if how == "down":
            self.discovery.live()
        elif how == "dead":
            self.net.path(DISCOVERY).silent = False
        else:
            self.discovery.hung = False

    def change(self) -> None:
        """Makes the node `CHANGED` drain."""
        self.rows[0]["phase"] = "terminating"
        self.discovery.changed(CHANGED)

    def knowing(self) -> int:
        """Returns how many proxies have discovery's present list."""
        revision = self.discovery.revision
        return sum(proxy.endpoint_discovery.current_list().revision == revision for proxy in self.proxies)

    def learning_times(self, longest: float) -> list[float]:
        """Runs until all proxies have the present list, or for `longest` seconds.

        Returns after how many seconds the first proxy, the second and so on had it.
        """
        times: list[float] = []
        begun = self.net.seconds()
        while len(times) < len(self.proxies) and self.net.seconds() - begun < longest:
            self.run(STEP_S)
            times += [self.net.seconds() - begun] * (self.knowing() - len(times))
        return times
