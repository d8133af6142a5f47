"""Where a hollow proxy's further control clients are plugged in: the one place for it.

A control client is what a proxy runs beside the watch for discovery's list, for instance the follower of a
configuration log. It must be the code that real proxies run, on real sockets. To add one, write a factory
and name it in `FACTORIES`; each hollow proxy then starts one, and stops it when its process ends. Its
stand-in server is a further process: a role in `lab.scale.child.ROLES`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from cloverwell.proxy import Proxy


@dataclass(frozen=True, slots=True)
class ProxyContext:
    """The hollow proxy that a control client belongs to."""

    name: str
    service: Proxy
    reactor: Any
    # To be called with the client's own name for its source, a revision, whether that came as a whole, and
    # its number of entries; the source's stand-in reports `Changed` under the same name.
    in_force: Callable[[str, int, bool, int], None]


class ControlClient(Protocol):
    """What a hollow proxy does with each of its control clients."""

    def start(self) -> None:
        """Begins to follow; the proxy's own parts run already."""

    def stop(self) -> None:
        """Ends its connections and timers; called once."""


ControlClientFactory = Callable[[ProxyContext], ControlClient]

FACTORIES: tuple[ControlClientFactory, ...] = ()
