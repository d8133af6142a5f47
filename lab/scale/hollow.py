"""A child process of hollow proxies: whole proxies (`cloverwell.proxy.Proxy`) that no client can reach.

Everything of a proxy runs but its listening port: the watch, the decisions, the connection pools with their
sweeps, and the timer wheel. The proxies of a process share its reactor.
"""

from __future__ import annotations

import io
import time
from collections.abc import Callable
from typing import Any, TextIO, cast

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
from lab.scale.reactor import Report, ScaleReactor

REPORT_INTERVAL_S = 0.25
NO_ADDRESS = ("127.0.0.1", 0)


class NamedLog(io.TextIOBase):
    """A stream that writes a proxy's lines to its process's log, each with the proxy's name before it."""

    def __init__(self, name: str, log: TextIO) -> None:
        """Writes to `log`."""
        super().__init__()
        self._name = name
        self._log = log

    def write(self, text: str) -> int:
        """Writes a line without its end, or the end alone."""
        return self._log.write(text if text == "\n" else f"{self._name} {text}")

    def flush(self) -> None:
        """Flushes the log; each line must be, since the process may be killed at any time."""
        self._log.flush()


class ClosedPort:
    """Stands for the port that a hollow proxy does not open."""

    def stopListening(self) -> None:
        """Does nothing, since no port is open."""


def open_no_port(*_: object, **__: object) -> ClosedPort:
    """Takes the place of `cloverwell.front.port.listen`."""
    return ClosedPort()


class HollowProxy:
    """One hollow proxy; each list that its decisions have applied is passed to `on_activation`."""

    def __init__(
        self,
        reactor: ScaleReactor,
        spec: messages.HollowSpec,
        known: EndpointList,
        log: TextIO,
        on_activation: Callable[[messages.Activation], None],
        incarnation: int,
    ) -> None:
        """Makes the proxy without starting it; `known` is the list that it begins with."""
        self.name = spec.name
        self.failed_calls = 0
        self._incarnation = incarnation
        self._on_activation = on_activation
        self._activation: messages.Activation | None = None  # of the answer that is being handled
        stream = cast(TextIO, NamedLog(spec.name, log))
        config = _configuration(spec, known)
        log_of_proxy = Log(monotonic_ms, stream)
        # The process's reactor has all of a proxy's interface; `ScaleReactor` declares what the roles call.
        proxy_reactor = cast(Any, reactor)
        self.service = Proxy(proxy_reactor, config, log_of_proxy, monotonic_ms, read_epoch_ms)
        self._observe_discovery()
        context = control_clients.ProxyContext(spec.name, self.service, reactor, self._record)
        self._control_clients = [factory(context) for factory in control_clients.FACTORIES]

    def _observe_discovery(self) -> None:
        """Puts this object's methods in front of the proxy's own ones, which they call."""
        self._apply_update = self.service.endpoint_discovery.on_update
        self.service.endpoint_discovery.on_update = self._on_update
        self._handle_answer = self.service.endpoint_discovery.poll_answered
        self.service.endpoint_discovery.poll_answered = self._on_answer  # type: ignore[method-assign]

    def start(self) -> None:
        """Applies the list known at the start, and begins to follow discovery."""
        # A closed port has only the one method of a listening port that a proxy calls.
        self.service.start(listen=cast(Any, open_no_port))
        for client in self._control_clients:
            client.start()

    def stop(self) -> None:
        """Ends the control clients and the watch of discovery."""
        for client in self._control_clients:
            client.stop()
        self.service.endpoint_discovery.stop()

    def _on_answer(self, status: int, body: bytes) -> None:
        self._activation = None
        began_s = time.thread_time()
        self._handle_answer(status, body)
        if self._activation is not None:
            self._activation.cpu_ms = 1000.0 * (time.thread_time() - began_s)

    def _on_update(self, update: EndpointUpdate | EndpointUpdateFailed) -> None:
        self._apply_update(update)
        if isinstance(update, EndpointUpdateFailed):
            self.failed_calls += 1
            return
        lines = len(update.entries)
        self._record(messages.SERVER_LIST, update.revision, update.complete, lines, update.is_cached)

    def _record(self, source: str, revision: int, complete: bool, lines: int, held: bool = False) -> None:
        now = time.monotonic()
        activation = messages.Activation(
            self.name, self._incarnation, revision, now, complete, lines, held, source=source
        )
        self._activation = activation
        self._on_activation(activation)

    def final_list(self) -> messages.FinalEndpointList:
        """Returns the list as the proxy would hand it to a successor."""
        listing = self.service.endpoint_discovery.current_list()
        return messages.FinalEndpointList(self.name, listing.revision, digest(listing.members))


def _configuration(spec: messages.HollowSpec, known: EndpointList) -> Config:
    return Config(
        name=spec.name,
        listen=NO_ADDRESS,
        discovery=spec.discovery,
        seed=spec.seed,
        limits=Limits(),
        known=known,
        settings=read_settings(spec.settings),
    )


class HollowProcess:
    """The role of the process: hollow proxies on one reactor."""

    def __init__(self, reactor: ScaleReactor, start: messages.StartHollow, report: Report) -> None:
        """Starts all proxies of the start message, and reports that they run."""
        self._reactor = reactor
        self._report = report
        self._activations: list[messages.Activation] = []
        self._log = open(f"{start.process}.proxies.log", "a")  # noqa: SIM115 (open as long as the process is)
        self._proxies = [
            HollowProxy(reactor, spec, start.known, self._log, self._activations.append, start.incarnation)
            for spec in start.proxies
        ]
        for proxy in self._proxies:
            proxy.start()
        self._max_timer_delay_s = 0.0
        self._report_due_s = time.monotonic()
        self._report_periodically()
        report(messages.Ready())

    def _report_periodically(self) -> None:
        now = time.monotonic()
        self._max_timer_delay_s = max(self._max_timer_delay_s, now - self._report_due_s)
        self._report_due_s = now + REPORT_INTERVAL_S
        self._report_activations()
        self._reactor.callLater(REPORT_INTERVAL_S, self._report_periodically)

    def _report_activations(self) -> None:
        if self._activations:
            self._report(messages.ActivationBatch(self._activations))
            self._activations.clear()

    def command(self, command: messages.Command) -> None:
        """Does nothing: the process takes no commands but its end."""

    def finish(self) -> messages.HollowTotals:
        """Reports the last activations, stops the proxies, and returns the totals with their lists."""
        lists = [proxy.final_list() for proxy in self._proxies]
        failed_calls = sum(proxy.failed_calls for proxy in self._proxies)
        self._report_activations()
        for proxy in self._proxies:
            proxy.stop()
        return messages.HollowTotals(lists, failed_calls, round(1000.0 * self._max_timer_delay_s, 1))
