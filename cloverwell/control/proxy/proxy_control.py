"""The control log's part in a serving proxy. An entry is applied as a whole or refused as a whole.

A starting proxy waits for a bounded time until it has caught up with the log.

The other modules of a proxy import nothing else of `cloverwell.control`, and import this module only if the
configuration has a `control` section.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from cloverwell.config import Config, ConfigError
from cloverwell.control.configuration import (
    ConfigurationChange,
    document_digest,
    read_change,
    with_discovery,
)
from cloverwell.control.entry import Entry, EntryKind
from cloverwell.control.net.address import Address, format_address
from cloverwell.control.net.errors import EntryRefusedError
from cloverwell.control.net.follower import Follower
from cloverwell.control.net.reactor_types import Reactor
from cloverwell.control.timing import SubscriptionTiming
from cloverwell.log import Log
from cloverwell.timer_wheel import Timer, TimerWheel

# The time between two checks of the subscription: at the start, until the proxy has caught up, and after that
# for a change in the number of live proxies.
START_CHECK_INTERVAL_MS = 50.0
CHECK_INTERVAL_MS = 1000.0
MAX_QUOTED_CHARS = 60  # the most characters of an entry's kind that a refusal's reason quotes


class ConfigurationTarget(Protocol):
    """The parts of a running proxy that a version of the configuration changes."""

    def activate(self, discovery: Address, peers_total: int) -> None:
        """Changes discovery's address, and the number of proxies by which fleet-wide bounds are divided."""

    def set_peers_total(self, peers_total: int) -> None:
        """Changes the number of proxies by which fleet-wide bounds are divided."""


@dataclass(slots=True, frozen=True)
class ActiveVersion:
    """The active version of the configuration.

    `index` is the index of its entry, or 0 for the proxy's own file. `peers_total` is the largest number of
    proxies that may be alive.
    """

    index: int
    digest: str
    peers_total: int


class ProxyControl:
    """Follows the control log on behalf of one proxy, from `start` to `stop`, and applies the entries."""

    def __init__(
        self,
        reactor: Reactor,
        timer_wheel: TimerWheel,
        log: Log,
        config: Config,
        target: ConfigurationTarget,
        environ: Mapping[str, str] = os.environ,
    ) -> None:
        """Sets up the follower, without connecting yet. `config` must have a `control` section."""
        control = config.control
        assert control is not None
        self._timer_wheel = timer_wheel
        self._log = log
        # The file with which the proxy has started, with the address of discovery that is in force.
        self._own_document = with_discovery(config.document, config.discovery)
        self._target = target
        self._environ = environ
        self._on_ready: Callable[[], None] | None = None  # None before `start`, and once it has been called
        self._timer: Timer | None = None
        self.version = ActiveVersion(0, document_digest(config.document), config.settings.peers_total)
        self._divided_by = config.settings.peers_total
        self.follower = Follower(
            reactor,
            (control.local_nodes, control.remote_nodes),
            control.log,
            config.name,
            self.apply_entry,
            log,
            now=timer_wheel.now,
            timing=SubscriptionTiming(catch_up_timeout_ms=control.catch_up_timeout_ms),
        )

    def start(self, on_ready: Callable[[], None]) -> None:
        """Connects. `on_ready` is called once, when the proxy has caught up or the wait has timed out."""
        self._on_ready = on_ready
        self.follower.start()
        self._check()

    def stop(self) -> None:
        """Stops following the log, and says goodbye to the control node. The active version stays active."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.follower.stop()

    def resume(self) -> None:
        """Follows the log again after `stop`; does nothing if it was not stopped."""
        if self._timer is None:
            self.follower.start()
            self._check()

    def discovery_reloaded(self, discovery: tuple[str, int]) -> None:
        """Records the address in a replaced file, which versions that do not name one keep from now on."""
        self._own_document = with_discovery(self._own_document, discovery)

    def describe(self) -> str:
        """Returns the state in one line, for operators."""
        status = self.follower.status
        fields = {
            "version": self.version.index,
            "digest": self.version.digest,
            "position": status.position.index,
            "current": "yes" if status.current else "no",
            "node": status.node or "none",
            "divided_by": self._divided_by,
            "refused": status.refused_index,
        }
        return " ".join(f"{name}={value}" for name, value in fields.items())

    # Entries

    def apply_entry(self, entry: Entry) -> None:
        """Makes the configuration in an entry the active one.

        Raises `EntryRefusedError` if it can't; the version that was active before then stays active.
        """
        if entry.kind != EntryKind.CONFIGURATION:
            raise EntryRefusedError(f"kind {entry.kind[:MAX_QUOTED_CHARS]!r}: not known to this proxy")
        entry_digest = document_digest(entry.payload)
        try:
            change = read_change(self._own_document, entry.payload, self._environ)
        except ConfigError as error:
            reason = str(error).replace("\n", " ")
            self._log_refusal(entry.index, entry_digest, reason)
            raise EntryRefusedError(reason) from None
        self._activate(ActiveVersion(entry.index, entry_digest, change.peers_total), change)

    def _log_refusal(self, index: int, entry_digest: str, reason: str) -> None:
        unchanged = f"version {self.version.index} stays active"
        self._log.warn("version", f"{index} refused, digest {entry_digest}: {reason}; {unchanged}")

    def _activate(self, version: ActiveVersion, change: ConfigurationChange) -> None:
        """Makes a version active. No other code makes a version take effect."""
        self.version = version
        self._divided_by = self.follower.divide_by(version.peers_total)
        self._target.activate(change.discovery, self._divided_by)
        content = f"discovery is at {format_address(change.discovery)}, {version.peers_total} proxies"
        self._log.info("version", f"{version.index} active, digest {version.digest}: {content}")

    # Checks of the subscription

    def _check(self) -> None:
        """Ends the wait at the start if it may end, updates the divisor, and schedules the next check."""
        if self._on_ready is not None and self.follower.ready:
            self._end_wait()
        self._update_divisor()
        interval_ms = START_CHECK_INTERVAL_MS if self._on_ready is not None else CHECK_INTERVAL_MS
        self._timer = self._timer_wheel.call_not_before(self._timer_wheel.now() + interval_ms, self._check)

    def _end_wait(self) -> None:
        assert self._on_ready is not None
        on_ready, self._on_ready = self._on_ready, None
        status = self.follower.status
        if status.caught_up:
            self._log.info("control", f"caught up with the control log at index {status.position.index}")
        else:
            self._log.warn(
                "control",
                f"not caught up with the control log in time, serving at index {status.position.index}",
            )
        on_ready()

    def _update_divisor(self) -> None:
        """Divides fleet-wide bounds by the number of live proxies, if that is known."""
        divided_by = self.follower.divide_by(self.version.peers_total)
        if divided_by != self._divided_by:
            self._divided_by = divided_by
            self._target.set_peers_total(divided_by)
            self._log.info("fleet", f"fleet-wide bounds are now divided by {divided_by} proxies")
