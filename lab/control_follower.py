"""Proxies that do nothing but follow the control log: `Follower` as real proxies run it, on real sockets.

`HollowFollower` is one of them, for whoever has a reactor. `python -m lab.control_follower` is a process of
many: it reads a `Start` from its first line of standard input, and writes an `ActivationCount` a line to
standard output until its input ends.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import msgspec

from cloverwell.control.entry import Entry
from cloverwell.control.net.follower import Follower

Address = tuple[str, int]
SOURCE = "control"  # the name of the log among what a hollow proxy follows


class Place(msgspec.Struct):
    """One proxy, and its region."""

    proxy: str
    region: str


class Start(msgspec.Struct):
    """`regions`: the control nodes of each region, by name."""

    log: str
    regions: dict[str, dict[str, Address]]
    places: list[Place]


class ActivationCount(msgspec.Struct):
    """A proxy has put the entry at `index` in force, at `at_s` of the machine's monotonic clock."""

    proxy: str
    index: int
    at_s: float


class HollowFollower:
    """One proxy without a service; `in_force` is told each entry in its order."""

    def __init__(
        self,
        reactor: Any,
        regions: Mapping[str, Mapping[str, Address]],
        region: str,
        proxy: str,
        in_force: Callable[[Entry], None],
        log_name: str = "fleet",
    ) -> None:
        """`regions`: the control nodes of each region; those of `region` are tried first."""
        self._follower = Follower(reactor, nearest_first(regions, region), log_name, proxy, in_force)

    def start(self) -> None:
        self._follower.start()

    def stop(self) -> None:
        self._follower.stop()


class FollowerOf(Protocol):
    """What a scale run tells of the hollow proxy that a follower belongs to."""

    name: str
    reactor: Any
    in_force: Callable[[str, int, bool, int], None]  # source, revision, whether it is whole, entries


def follower_factory(
    regions: Mapping[str, Mapping[str, Address]], region_of: Callable[[str], str], log_name: str = "fleet"
) -> Callable[[FollowerOf], HollowFollower]:
    """Makes the follower of each hollow proxy of a scale run; `region_of`: of the proxy of that name."""

    def make(context: FollowerOf) -> HollowFollower:
        def in_force(entry: Entry) -> None:
            context.in_force(SOURCE, entry.index, False, 1)

        region = region_of(context.name)
        return HollowFollower(context.reactor, regions, region, context.name, in_force, log_name)

    return make


def nearest_first(
    regions: Mapping[str, Mapping[str, Address]], region: str
) -> Sequence[Mapping[str, Address]]:
    """The own region's control nodes, then all others as one group."""
    others: dict[str, Address] = {}
    for name, nodes in regions.items():
        if name != region:
            others |= nodes
    return [dict(regions.get(region, {})), others]


def main() -> None:
    from cloverwell.descriptors import raise_descriptors
    from cloverwell.monotonic_reactor import install_reactor

    reactor = install_reactor()
    from twisted.internet import protocol, stdio  # `stdio` imports the reactor that is installed

    start = msgspec.json.decode(sys.stdin.buffer.readline(), type=Start)
    raise_descriptors(len(start.places) * 2 + 64)

    def told(proxy: str) -> Callable[[Entry], None]:
        def in_force(entry: Entry) -> None:
            row = ActivationCount(proxy, entry.index, time.monotonic())
            sys.stdout.buffer.write(msgspec.json.encode(row) + b"\n")
            sys.stdout.buffer.flush()

        return in_force

    class Input(protocol.Protocol):
        def connectionLost(self, reason: object = None) -> None:
            reactor.stop()

    followers = [
        HollowFollower(reactor, start.regions, place.region, place.proxy, told(place.proxy), start.log)
        for place in start.places
    ]
    for follower in followers:
        follower.start()
    stdio.StandardIO(Input())
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
