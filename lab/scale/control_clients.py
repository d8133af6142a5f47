"""The further control clients of a hollow proxy: this is the one place where they are registered.

A control client is what a proxy runs beside the watch for discovery's list, for instance the follower of a
configuration log. It must be the code that real proxies run, on real sockets. To add one, write a factory
and name it in `FACTORIES`; each hollow proxy then starts one, and stops it when its process ends. Its
stand-in server is a further child process, with a role in `lab.scale.child.make_role`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cloverwell.proxy import Proxy
from lab.scale.reactor import ScaleReactor


class RecordActivation(Protocol):
    """Records that a proxy applied a revision of a source."""

    def __call__(self, source: str, revision: int, complete: bool, lines: int, /) -> None:
        """Records `lines` entries of the source, which is also the one that `RevisionPublished` names."""


@dataclass(frozen=True, slots=True)
class ProxyContext:
    """The hollow proxy that a control client belongs to; the client calls `record_activation`."""

    name: str
    service: Proxy
    reactor: ScaleReactor
    record_activation: RecordActivation


class ControlClient(Protocol):
    """The interface of a control client to its hollow proxy."""

    def start(self) -> None:
        """Begins to follow its source; the proxy's own parts run already."""

    def stop(self) -> None:
        """Ends its connections and timers; it is called once."""


ControlClientFactory = Callable[[ProxyContext], ControlClient]

FACTORIES: tuple[ControlClientFactory, ...] = ()
