"""The front layer's choice of a proxy for a client's next request."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from random import Random

from lab.simulated_proxy import SimulatedProxy

NOTICE_S = 2.0  # after which the front layer sends no more to a proxy that refuses


class ProxySelector:
    """Spreads the requests of one zone over the proxies; it notices a dead proxy late."""

    def __init__(
        self, proxies: Sequence[SimulatedProxy], zone: int, spread: float, seed: int, rng: Random
    ) -> None:
        """`spread`: of the logarithms of the proxies' shares in the traffic; 0: all have the same share."""
        self._proxies = proxies
        self._zone = zone
        self._rng = rng
        self._shares = _draw_shares(proxies, spread, seed) if spread else None
        self._refuses_since_s: dict[str, float] = {}  # by the proxy's name

    def refused(self, proxy: SimulatedProxy, now: float) -> None:
        """The proxy did not take a connection."""
        self._refuses_since_s.setdefault(proxy.name, now)

    def connected(self, proxy: SimulatedProxy) -> None:
        """The proxy has taken a connection."""
        self._refuses_since_s.pop(proxy.name, None)

    def choose(self, now: float, has_idle: Callable[[str], bool]) -> SimulatedProxy:
        """A proxy, drawn by the seed. `has_idle`: whether a connection to the proxy of this name is idle."""
        candidates = self._candidates(now, has_idle)
        if self._shares is None:
            return self._rng.choice(candidates)
        return self._rng.choices(candidates, [self._shares[proxy.name] for proxy in candidates])[0]

    def _candidates(self, now: float, has_idle: Callable[[str], bool]) -> Sequence[SimulatedProxy]:
        """Those of the zone that are not known to be dead, else of any zone."""
        live = [
            proxy for proxy in self._proxies if now - self._refuses_since_s.get(proxy.name, now) < NOTICE_S
        ]
        local = [proxy for proxy in live if proxy.zone == self._zone]
        choice = local or live or self._proxies
        # Open connections are used for as long as they stand; only new ones avoid a proxy that is not ready.
        return (
            [proxy for proxy in choice if proxy.ready or has_idle(proxy.name)]
            or [proxy for proxy in live if proxy.ready]
            or choice
        )


def _draw_shares(proxies: Sequence[SimulatedProxy], spread: float, seed: int) -> dict[str, float]:
    """The proxies' shares in the traffic, by name; the same for the clients of every zone."""
    rng = Random(f"shares {seed}")
    return {proxy.name: math.exp(rng.gauss(0.0, spread)) for proxy in proxies}
