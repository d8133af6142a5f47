"""A whole proxy on the virtual network, before stand-in nodes that hold every key."""

import io

from balancer.settings import read_settings
from cloverwell.config import Config, Limits
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from cloverwell.proxy import Proxy
from lab.cache_nodes import CacheNode
from lab.listener import Address
from lab.net import Net

LISTEN: Address = ("127.0.0.1", 11211)
SETTINGS = {
    "classes": [
        {"name": "page", "objective": 500.0, "deadline": 2000.0, "effect": "retryable", "late-value": 0.2},
        {"name": "adjust", "objective": 500.0, "deadline": 2000.0, "effect": "dedup", "window": 1500.0},
        {"name": "order", "objective": 500.0, "deadline": 2000.0, "effect": "fragile"},
    ],
    "tenants": [{"name": "acme"}, {"name": "bravo"}],
    "zones": ["east"],
    "machine-types": ["large", "origin"],
    "membership-mode": "on_request",
    "granularity": 5.0,
    "peers-total": 1,
    "guarantees": {"ask-within": 10000.0, "cold": 1000.0, "start-capacity": 0.5, "drain-grace": 1000.0},
    "limits": {
        "cancel": True,
        "send-cap": 3,
        "connect-timeout": 250.0,
        "idle-close": 5000.0,
        "streams-per-conn": 2,
        "retry-after": True,
        "max-retry-after": 2000.0,
    },
    "specifics": {"mode": "aside", "origin-kind": 1},
}


class ProxyTestbed:
    """One proxy and its nodes; discovery refuses, so that the list known at the start stays."""

    def __init__(self, nodes: int = 4, sockets: int = 384, listen: Address = LISTEN) -> None:
        """Starts the proxy at once, with `nodes` stand-ins and an origin that refuses."""
        self.net = Net()
        self.log = io.StringIO()
        self.nodes = [CacheNode(self.net, (f"127.0.1.{n}", 1000 + n), seed=n) for n in range(nodes)]
        members = [
            Endpoint(f"s{n}", f"{node.address[0]}:{node.address[1]}") for n, node in enumerate(self.nodes)
        ]
        members.append(Endpoint("origin", "127.0.2.1:80", flavor="origin"))
        config = Config(
            "p",
            listen,
            ("127.0.3.1", 8500),
            1,
            Limits(sockets=sockets),
            EndpointList(41, True, members),
            read_settings(SETTINGS),
        )
        now = self.net.now_ms
        self.service = Proxy(self.net, config, Log(now, self.log), now, lambda: -1.0e9)
        self.service.start()
        self.listen = listen
        self.sockets = sockets
