"""A fault of a scenario, as the scenario's TOML file describes it, and the kinds of faults."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from lab.field_types import Count, NotNegative, Positive, Share

Kind = Literal[
    "hang",
    "crash",
    "drain",
    "proxy_crash",
    "proxy_restart",
    "proxy_drain",
    "proxy_replace",
    "flush",
    "hot_key",
    "discovery_down",
    "zone_lost",
    "origin_slow",
    "origin_cut",
    "clients_leave",
    "burst",
    "clock_step",
    "connect_fails",
    "accept_fails",
    "send_fails",
    "receive_fails",
    "short_calls",
    "connections_break",
]
ErrorName = Literal[
    "EADDRNOTAVAIL",
    "ECONNABORTED",
    "EHOSTUNREACH",
    "EMFILE",
    "ENETUNREACH",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
    "ETIMEDOUT",
]

ON_NODES = ("hang", "crash", "drain")
# Kinds of failing system calls, each with the errors that it may fail by.
SYSTEM_CALLS: dict[str, tuple[ErrorName, ...]] = {
    "connect_fails": ("ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "ENFILE", "EMFILE"),
    "accept_fails": ("ECONNABORTED", "ENFILE", "ENOBUFS", "ENOMEM"),
    "send_fails": ("ENOBUFS", "ENOMEM"),
    "receive_fails": ("ENOBUFS", "ENOMEM"),
    "short_calls": (),
    "connections_break": ("ETIMEDOUT", "EHOSTUNREACH"),
}
ON_MACHINES = ("clock_step", *SYSTEM_CALLS)
ON_PROXIES = ("proxy_crash", "proxy_restart", "proxy_drain", "proxy_replace", "origin_cut", *SYSTEM_CALLS)
MOST_STEP_S = 86_400.0  # of a wall clock
MOST_REPEATS = 10_000  # of one fault


class Fault(Struct, forbid_unknown_fields=True):
    """One fault of a scenario; which fields count depends on its kind."""

    kind: Kind
    at_s: NotNegative
    for_s: NotNegative = 0.0
    part: Share = 0.0  # of the nodes, the proxies or the clients that wait, drawn by the seed
    whom: list[str] = []  # or these by name: node-3, proxy-0, zone-1
    size: Share = 0.2  # of the traffic (hot_key), of the keys (flush), of its speed left (origin_slow)
    times: Positive = 1.5  # the traffic (burst)
    by_s: Annotated[float, Meta(ge=-MOST_STEP_S, le=MOST_STEP_S)] | None = None  # the step; none: drawn
    every_s: NotNegative = 0.0  # in `for_s` it happens so often (clock_step, connections_break); 0: once
    rate: Share = 0.0  # of the calls that fail, or of the connections that break
    errors: list[ErrorName] = []  # that they fail by; none: all of its kind
    most_bytes: Count = 1  # that a short read or write takes (short_calls)

    def error_names(self) -> list[ErrorName]:
        """The errors by which the calls of this fault fail."""
        return self.errors or list(SYSTEM_CALLS[self.kind])

    def instants(self) -> list[float]:
        """When the fault happens, in seconds from the begin of the simulation."""
        repeats = int(self.for_s / self.every_s) if self.every_s else 0
        return [self.at_s + repeat * self.every_s for repeat in range(repeats + 1)]
