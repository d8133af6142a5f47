"""A process of hollow proxies: whole proxies (`cloverwell.proxy.Proxy`) that no client can reach.

All of a proxy runs but its listening port: the watch, the decisions, the pools with their sweeps, the timer
wheel. Their reactor is one, as is their process.
"""

from __future__ import annotations

import io
import time
from collections.abc import Callable
from typing import Any, TextIO

from balancer.settings import read_settings
from cloverwell.config import Config, Limits
from cloverwell.facade import EndpointUpdate, EndpointUpdateFailed
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import EndpointList
from cloverwell.proxy import Proxy
from cloverwell.timer_wheel import monotonic_ms
from cloverwell.unix_time import read_epoch_ms
from lab.scale import control_clients, messages
from lab.scale.membership import digest

REPORT_EVERY_S = 0.25
NOWHERE = ("127.0.0.1", 0)


class NamedLog(io.TextIOBase):
    """A proxy's lines in its process's log, its name before each."""

    def __init__(self, name: str, log: TextIO) -> None:
        super().__init__()
        self._name = name
        self._log = log

    def write(self, text: str) -> int:
        """Takes a line without its end, or the end alone."""
        return self._log.write(text if text == "\n" else f"{self._name} {text}")

    def flush(self) -> None:
        """For each line: a process that is killed must have told."""
        self._log.flush()


class ClosedPort:
    """Stands for the port that a hollow proxy does not open."""

    def stopListening(self) -> None:
        """There is nothing to close."""


def no_port(*_: Any, **__: Any) -> ClosedPort:
    """Takes the place of `cloverwell.front.port.listen`."""
    return ClosedPort()


class HollowProxy:
    """One proxy; each list that its decisions have taken is told to `in_force`."""

    def __init__(
        self,
        reactor: Any,
        spec: messages.HollowSpec,
        known: EndpointList,
        log: TextIO,
        in_force: Callable[[messages.ActivationCount], None],
        incarnation: int,
    ) -> None:
        self.name = spec.name
        self.failed_calls = 0
        self._incarnation = incarnation
        self._in_force = in_force
        self._row: messages.ActivationCount | None = None  # what the answer in hand put in force
        config = Config(
            name=spec.name,
            listen=NOWHERE,
            discovery=spec.discovery,
            seed=spec.seed,
            limits=Limits(),
            known=known,
            settings=read_settings(spec.settings),
        )
        named_log = Log(monotonic_ms, NamedLog(spec.name, log))
        self.service = Proxy(reactor, config, named_log, monotonic_ms, read_epoch_ms)
        self._decide = self.service.endpoint_discovery.on_update
        self.service.endpoint_discovery.on_update = self._told
        self._take_answer = self.service.endpoint_discovery.answered
        self.service.endpoint_discovery.answered = self._answered
        context = control_clients.ProxyContext(spec.name, self.service, reactor, self._record)
        self._control_clients = [factory(context) for factory in control_clients.FACTORIES]

    def start(self) -> None:
        """Takes the list known at the start, and begins to follow discovery."""
        self.service.start(listen=no_port)
        for client in self._control_clients:
            client.start()

    def stop(self) -> None:
        """Ends what it follows."""
        for client in self._control_clients:
            client.stop()
        self.service.endpoint_discovery.stop()

    def _answered(self, status: int, body: bytes) -> None:
        self._row = None
        began_s = time.thread_time()
        self._take_answer(status, body)
        if self._row is not None:
            self._row.cpu_ms = 1000.0 * (time.thread_time() - began_s)

    def _told(self, told: EndpointUpdate | EndpointUpdateFailed) -> None:
        self._decide(told)
        if isinstance(told, EndpointUpdateFailed):
            self.failed_calls += 1
            return
        lines = len(told.entries)
        self._record(messages.SERVER_LIST, told.revision, told.complete, lines, told.held)

    def _record(self, source: str, revision: int, complete: bool, lines: int, held: bool = False) -> None:
        now = time.monotonic()
        row = messages.ActivationCount(
            self.name, self._incarnation, revision, now, complete, lines, held, source=source
        )
        self._row = row
        self._in_force(row)

    def final_list(self) -> messages.FinalList:
        """The list as the proxy would hand it to a successor."""
        listing = self.service.endpoint_discovery.listing()
        return messages.FinalList(self.name, listing.revision, digest(listing.members))


class HollowProcess:
    """The role of a process: so many hollow proxies on one reactor."""

    def __init__(
        self, reactor: Any, start: messages.StartHollow, report: Callable[[messages.Report], None]
    ) -> None:
        self._reactor = reactor
        self._report = report
        self._rows: list[messages.ActivationCount] = []
        self._log = open(f"{start.process}.proxies.log", "a")  # noqa: SIM115 (open as long as the process is)
        self._proxies = [
            HollowProxy(reactor, spec, start.known, self._log, self._rows.append, start.incarnation)
            for spec in start.proxies
        ]
        for proxy in self._proxies:
            proxy.start()
        self._most_lag_s = 0.0
        self._flush_due_s = time.monotonic()
        self._flush()
        report(messages.Ready())

    def _flush(self) -> None:
        now = time.monotonic()
        self._most_lag_s = max(self._most_lag_s, now - self._flush_due_s)
        self._flush_due_s = now + REPORT_EVERY_S
        self._send_rows()
        self._reactor.callLater(REPORT_EVERY_S, self._flush)

    def _send_rows(self) -> None:
        if self._rows:
            self._report(messages.InForceBatch(self._rows))
            self._rows.clear()

    def command(self, command: messages.Command) -> None:
        """It takes no commands but its end."""

    def finish(self) -> messages.HollowTotals:
        """The last rows, then the lists as they are now."""
        lists = [proxy.final_list() for proxy in self._proxies]
        failed_calls = sum(proxy.failed_calls for proxy in self._proxies)
        self._send_rows()
        for proxy in self._proxies:
            proxy.stop()
        return messages.HollowTotals(lists, failed_calls, round(1000.0 * self._most_lag_s, 1))
