"""Discovery of the simulation: the endpoint list, whole or as a watch that waits for what is newer."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.interfaces import IAddress

from lab.http_connection import HttpConnection, HttpRequest
from lab.listener import Address
from lab.member_row import TERMINATED, MemberRow
from lab.node_environment import NodeEnvironment
from lab.server import Server
from lab.simulated_node import SimulatedNode


class DiscoveryEnvironment(NodeEnvironment, Protocol):
    """What discovery needs."""

    def members(self) -> list[MemberRow]:
        """All endpoints, with their starts by the virtual clock."""

    def as_listed(self, rows: list[MemberRow]) -> list[MemberRow]:
        """The rows as discovery sends them, with the starts that the machines' wall clocks showed."""

    def proxy_of(self, connection: HttpConnection) -> str:
        """The name of the proxy at the other end of this connection."""


@dataclass(frozen=True, slots=True, eq=False)
class Watcher:
    """A call that waits for a revision after the one that it knows."""

    connection: HttpConnection
    after: int


class SimulatedDiscovery(SimulatedNode):
    """Discovery, which works through calls in turn and fails those that would wait too long."""

    def __init__(self, environment: DiscoveryEnvironment, address: Address) -> None:
        """Discovery listens at once."""
        super().__init__(environment, "discovery", address, Server(1, 1.0, 1))
        self.environment = environment
        self.revision = 1
        self._watchers: list[Watcher] = []
        self._changed_at: dict[str, int] = {}  # the revision of each endpoint's last change
        self._free_s = 0.0  # when all calls that have come are worked through
        self.calls: Counter[int] = Counter()  # by second
        self.first_calls: Counter[int] = Counter()  # on new connections, by tenth of a second
        self.failed = 0

    def buildProtocol(self, _addr: IAddress | None) -> HttpConnection:
        """A connection is up."""
        return HttpConnection(self, self.environment)

    def handle(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Answers the call when its turn comes, or fails it."""
        settings, now = self.environment.scenario.discovery, self.now
        self.calls[int(now)] += 1
        if not connection.used:
            self.first_calls[int(10.0 * now)] += 1
        connection.used = True
        if self._free_s - now > settings.wait_s:
            self.failed += 1
            self.environment.net.callLater(settings.wait_s, connection.answer, 503, "")
            return
        self._free_s = max(now, self._free_s) + 1.0 / settings.calls_per_s
        self.environment.net.callLater(self._free_s - now, self._work, connection, request.target)

    def changed(self, name: str) -> None:
        """The row of this endpoint has changed: the watchers are answered."""
        self.revision += 1
        self._changed_at[name] = self.revision
        watchers, self._watchers = self._watchers, []
        for watcher in watchers:
            self._send(watcher.connection, watcher.after)

    def _work(self, connection: HttpConnection, target: str) -> None:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if "=" in part)
        if "after" not in query:
            self._send(connection, None)
        elif int(query["after"]) < self.revision:
            self._send(connection, int(query["after"]))
        else:
            watcher = Watcher(connection, int(query["after"]))
            self._watchers.append(watcher)
            wait_s = int(query.get("wait_ms", 0)) / 1000.0
            self.environment.net.callLater(wait_s, self._end_watch, watcher)

    def _end_watch(self, watcher: Watcher) -> None:
        """The call has waited for as long as it asked to."""
        if watcher in self._watchers:
            self._watchers.remove(watcher)
            self._send(watcher.connection, watcher.after)

    def _send(self, connection: HttpConnection, after: int | None) -> None:
        """Sends what has changed after that revision; None: the whole list."""
        members = self.environment.members()
        if after is not None:
            members = [member for member in members if self._changed_at.get(member["id"], 0) > after]
        for member in members:
            self.environment.checker.told(self.now, self.environment.proxy_of(connection), member)
        sent = [member for member in members if after is not None or member["phase"] != TERMINATED]
        listed = self.environment.as_listed(sent)
        answer = {"revision": self.revision, "complete": after is None, "members": listed}
        connection.answer(200, json.dumps(answer))
