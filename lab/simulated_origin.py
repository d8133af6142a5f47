"""The one slow origin of the simulation: reads and writes by HTTP; it stops for a while under overload."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from twisted.internet.interfaces import IAddress

from lab.http_connection import HttpConnection, HttpRequest
from lab.listener import Address
from lab.node_answers import deadline_ms_of
from lab.node_environment import NodeEnvironment
from lab.request_catalog import RequestCatalog
from lab.server import Server
from lab.simulated_node import SimulatedNode


class OriginEnvironment(NodeEnvironment, Protocol):
    """What the origin needs."""

    catalog: RequestCatalog

    def fetched(self, request_id: str, key: str) -> None:
        """The origin has answered a read."""

    def written(self, key: str) -> None:
        """The origin has done a write."""

    def note(self, text: str) -> None:
        """Adds a line to the notes of the summary."""


class SimulatedOrigin(SimulatedNode):
    """The origin with its overload protection."""

    def __init__(self, environment: OriginEnvironment, address: Address, server: Server) -> None:
        """The origin listens at once."""
        super().__init__(environment, "origin", address, server)
        self.environment = environment
        self._settings = environment.scenario.origin
        self._recent_work: deque[tuple[float, float]] = deque()  # when it came, and its core seconds
        self._stopped_until_s = -1.0
        self.stops = 0

    def buildProtocol(self, _addr: IAddress | None) -> HttpConnection:
        """A connection is up."""
        return HttpConnection(self, self.environment)

    def handle(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Takes the request, or says that it was not started."""
        request_id = request.headers["request-id"]
        deadline_ms = deadline_ms_of(request.headers["request-info"])
        self.environment.checker.attempt(self.now, request_id, "origin", deadline_ms)
        connection.request_id = request_id
        work_s = self.environment.catalog.work_s(request_id) * self._settings.work_factor
        self._stop_if_overloaded(work_s)
        job_name = self.job_name(request_id)
        stopped = self.now < self._stopped_until_s
        if stopped or not self.offer(job_name, work_s, lambda: self._finish(connection, request)):
            self.environment.checker.never_ran(request_id)
            connection.answer(503, "", (("Not-Started", "1"),))

    def _finish(self, connection: HttpConnection, request: HttpRequest) -> None:
        request_id, key = request.headers["request-id"], request.target[1:]
        if request.method == "PUT":
            self.environment.written(key)
            connection.answer(200, self.environment.catalog.receipt(request_id))
        else:
            self.environment.fetched(request_id, key)
            connection.answer(200, self.environment.catalog.value(request_id))

    def _stop_if_overloaded(self, work_s: float) -> None:
        """Counts the work that comes in, and stops when it is too much in `stops_after_s`."""
        settings = self._settings
        self._recent_work.append((self.now, work_s))
        while self._recent_work[0][0] < self.now - settings.stops_after_s:
            self._recent_work.popleft()
        limit_s = settings.stops_at * self.server.capacity(self.now) * settings.stops_after_s
        if sum(work for _, work in self._recent_work) > limit_s:
            self._recent_work.clear()
            self.stops += 1
            self._stopped_until_s = self.now + settings.down_s
            self.environment.note("origin stops")
