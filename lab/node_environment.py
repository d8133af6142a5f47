"""What the nodes of a world need of the play that they are part of."""

from __future__ import annotations

from typing import Any, Protocol

from lab.invariant_checker import InvariantChecker
from lab.net import Net
from lab.scenario import Scenario


class NodeEnvironment(Protocol):
    """`name`: a request's id. The nodes and the connections themselves are of `lab.nodes`."""

    world: Scenario
    net: Net
    judge: InvariantChecker

    def attempt(self, name: str, node: Any, told_ms: float) -> None:
        """A whole command has come to a cache node, which it told to work for so long at most."""

    def judge_work(self, node: Any, name: str, work_s: float, done_s: float, cold: bool) -> None:
        """Work has come in at a cache node: asked for, and done."""

    def missed(self, name: str, node: Any) -> None:
        """The cache node has not the request's key."""

    def fetched(self, name: str, key: str) -> None:
        """The origin has answered a read."""

    def written(self, key: str) -> None:
        """The origin has taken a write."""

    def work_of(self, name: str) -> float:
        """In core seconds."""

    def body_of(self, name: str) -> str: ...

    def receipt_of(self, name: str) -> str: ...

    def members(self) -> list[dict[str, Any]]:
        """The list of servers, with their starts by the virtual clock."""

    def as_listed(self, rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """As discovery tells them: each start is what the machine's wall clock showed then."""

    def proxy_of(self, web: Any) -> str:
        """The name of the proxy at the other end."""

    def note(self, text: str) -> None: ...
