"""What the simulated nodes need of the simulation that they are part of."""

from __future__ import annotations

from typing import Any, Protocol

from lab.invariant_checker import InvariantChecker
from lab.member_row import MemberRow
from lab.net import Net
from lab.request_catalog import RequestCatalog
from lab.scenario import Scenario


class NodeEnvironment(Protocol):
    """What every node needs: the network, the scenario's settings, and the invariant checker."""

    net: Net
    scenario: Scenario
    checker: InvariantChecker


class CacheNodeEnvironment(NodeEnvironment, Protocol):
    """What a cache node needs. `request_id` is the id that the client gave the request."""

    catalog: RequestCatalog

    def attempt(self, request_id: str, node: Any, deadline_ms: float) -> None:
        """A whole command has come in at a cache node, with so much time to answer it."""

    def record_work(self, node: Any, request_id: str, work_s: float, done_s: float) -> None:
        """Work has come in at a node, in core seconds: what was asked for, and what it costs the node."""

    def missed(self, request_id: str, node: Any) -> None:
        """The cache node does not have the request's key."""


class OriginEnvironment(NodeEnvironment, Protocol):
    """What the origin needs."""

    catalog: RequestCatalog

    def fetched(self, request_id: str, key: str) -> None:
        """The origin has answered a read."""

    def written(self, key: str) -> None:
        """The origin has done a write."""

    def note(self, text: str) -> None:
        """Adds a line to the notes of the summary."""


class DiscoveryEnvironment(NodeEnvironment, Protocol):
    """What discovery needs."""

    def members(self) -> list[MemberRow]:
        """All endpoints, with their starts by the virtual clock."""

    def as_listed(self, rows: list[MemberRow]) -> list[MemberRow]:
        """The rows as discovery sends them, with the starts that the machines' wall clocks showed."""

    def proxy_of(self, web: Any) -> str:
        """The name of the proxy at the other end of this connection."""
