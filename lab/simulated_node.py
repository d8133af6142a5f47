"""What simulated cache nodes, the origin and discovery have in common: jobs, hangs and ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from lab.listener import Address
from lab.node_environment import NodeEnvironment
from lab.server import Job, Server

HANG_CHECK_S = 0.05  # a hung node's jobs look so often whether it goes on


class SimulatedNode(Factory):
    """A process that listens on one address and works on a server's cores."""

    noisy = False

    def __init__(self, environment: NodeEnvironment, name: str, address: Address, server: Server) -> None:
        """The node listens at once on its address."""
        self._net = environment.net
        self.name, self.address, self.server = name, address, server
        self.connections: dict[Any, None] = {}  # in their order: a set's order differs from run to run
        self.hung = False  # takes requests, answers none
        self.down = False
        self._on_end: dict[str, Callable[[], None]] = {}  # by the job's name
        self._job_count = 0
        self._net.listenTCP(address[1], self, interface=address[0])

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return self._net.seconds()

    def job_name(self, request_id: str) -> str:
        """A name of its own for each attempt: the same request may come twice."""
        self._job_count += 1
        return f"{request_id}#{self._job_count}"

    def offer(self, job_name: str, work_s: float, done: Callable[[], None]) -> bool:
        """Takes the job if the server has room, and calls `done` at its end."""
        begun = self.server.offer(self.now, job_name, work_s)
        if begun is None:
            return False
        self._on_end[job_name] = done
        self._begin(begun)
        return True

    def cancel(self, job_name: str) -> None:
        """Takes the job off the server, if it has not ended."""
        if self._on_end.pop(job_name, None) is not None:
            self._begin(self.server.finish(self.now, job_name))

    def die(self) -> None:
        """Ends the process: its jobs are lost, its connections reset, its port closed."""
        self.down = True
        self.server.clear()
        self._on_end.clear()
        self._net.listeners.pop(self.address, None)
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def live(self) -> None:
        """Starts the process again, on the same address."""
        self.down = self.hung = False
        self._net.listenTCP(self.address[1], self, interface=self.address[0])

    def _begin(self, jobs: list[Job]) -> None:
        for job in jobs:
            self._net.callLater(max(0.0, job.ends_s - self.now), self._end, job)

    def _end(self, job: Job) -> None:
        if self.server.running.get(job.name) is not job:
            return  # cancelled, or the node has ended since
        if self.hung:
            self._net.callLater(HANG_CHECK_S, self._end, job)
            return
        done = self._on_end.pop(job.name)
        self._begin(self.server.finish(self.now, job.name))
        done()
