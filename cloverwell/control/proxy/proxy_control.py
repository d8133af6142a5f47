"""A serving proxy under the control log: entries are put in force whole or refused, and its start waits.

Nothing else of a proxy imports `cloverwell.control`, and this is imported only where the configuration has a
`control` section.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from cloverwell.config import Config, ConfigError
from cloverwell.control.configuration import ConfigurationChange, digest, read_change
from cloverwell.control.entry import Entry, EntryKind
from cloverwell.control.net.errors import EntryRefusedError
from cloverwell.control.net.follower import Follower
from cloverwell.control.timing import SubscriptionTiming
from cloverwell.log import Log
from cloverwell.timer_wheel import Timer, TimerWheel

START_LOOK_MS = 50.0  # between two looks whether the start need not wait any longer
LOOK_MS = 1000.0  # between two looks how many proxies live


class ConfigurationTarget(Protocol):
    """What a version of the configuration changes in a running proxy."""

    def activate(self, discovery: tuple[str, int], peers_total: int) -> None:
        """Discovery's address, and by how many proxies fleet-wide bounds are divided."""

    def resize(self, peers_total: int) -> None:
        """The latter alone."""


@dataclass(slots=True, frozen=True)
class ActiveVersion:
    """What is in force: the index of its entry, 0 for the proxy's own file, and its digest."""

    index: int
    digest: str
    peers_total: int  # the most proxies that may live


class ProxyControl:
    """One proxy's part in the control log, from `start` to `stop`."""

    def __init__(
        self,
        reactor: Any,
        timer_wheel: TimerWheel,
        log: Log,
        config: Config,
        target: ConfigurationTarget,
        environ: Mapping[str, str] = os.environ,
    ) -> None:
        """`config.control` is there."""
        control = config.control
        assert control is not None
        self._wheel = timer_wheel
        self._log = log
        self._own = config.document
        self._target = target
        self._environ = environ
        self._ready: Callable[[], None] | None = None  # until it has been called
        self._timer: Timer | None = None
        self.version = ActiveVersion(0, digest(config.document), config.settings.peers_total)
        self._divided_by = config.settings.peers_total
        self.follower = Follower(
            reactor,
            (control.home, control.elsewhere),
            control.log,
            config.name,
            self.load,
            log,
            now=timer_wheel.now,
            timing=SubscriptionTiming(wait_ms=control.wait_ms),
        )

    def start(self, ready: Callable[[], None]) -> None:
        """`ready` is called once: when the proxy is caught up, or has waited for as long as it may."""
        self._ready = ready
        self.follower.start()
        self._look()

    def stop(self) -> None:
        """Takes leave of the control node; what is in force stays."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.follower.stop()

    def resume(self) -> None:
        """Follows the log again after `stop`; without one nothing changes."""
        if self._timer is None:
            self.follower.start()
            self._look()

    def describe(self) -> str:
        """One line for operators."""
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

    def load(self, entry: Entry) -> None:
        """Puts an entry in force. Raises `EntryRefusedError`: what was in force before still is."""
        if entry.kind != EntryKind.CONFIGURATION:
            raise EntryRefusedError(f"kind {entry.kind[:60]!r}: not known to this proxy")
        name = digest(entry.payload)
        try:
            change = read_change(self._own, entry.payload, self._environ)
        except ConfigError as error:
            reason = str(error).replace("\n", " ")
            stays = f"version {self.version.index} stays in force"
            self._log.warn("version", f"{entry.index} refused, digest {name}: {reason}; {stays}")
            raise EntryRefusedError(reason) from None
        self._put_in_force(ActiveVersion(entry.index, name, change.peers_total), change)

    def _put_in_force(self, version: ActiveVersion, change: ConfigurationChange) -> None:
        """The one point at which a version of the configuration takes effect."""
        self.version = version
        self._divided_by = self.follower.divide_by(version.peers_total)
        self._target.activate(change.discovery, self._divided_by)
        host, port = change.discovery
        told = f"discovery is at {host}:{port}, {version.peers_total} proxies"
        self._log.info("version", f"{version.index} in force, digest {version.digest}: {told}")

    # Looks at the subscription

    def _look(self) -> None:
        if self._ready is not None and self.follower.ready:
            self._end_wait()
        self._divide()
        pause_ms = START_LOOK_MS if self._ready is not None else LOOK_MS
        self._timer = self._wheel.not_before(self._wheel.now() + pause_ms, self._look)

    def _end_wait(self) -> None:
        assert self._ready is not None
        ready, self._ready = self._ready, None
        status = self.follower.status
        if status.caught_up:
            self._log.info("control", f"caught up at {status.position.index}")
        else:
            self._log.warn("control", f"serves without being caught up, at {status.position.index}")
        ready()

    def _divide(self) -> None:
        """Fleet-wide bounds are divided by the proxies that live, as far as that is known."""
        divided_by = self.follower.divide_by(self.version.peers_total)
        if divided_by != self._divided_by:
            self._divided_by = divided_by
            self._target.resize(divided_by)
            self._log.info("fleet", f"bounds are divided by {divided_by}")
