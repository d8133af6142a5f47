"""Proxies that do nothing but follow the control log: `Follower` as real proxies run it, on real sockets.

`HollowFollower` is one of them, for a process that has a reactor. `python -m lab.control_follower` is a
process of many: it reads a `Start` from the first line of standard input, and writes an `EntryApplied` a line
to standard output until its input ends.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Protocol

import msgspec

from cloverwell.control.entry import Entry
from cloverwell.control.net.address import Address
from cloverwell.control.net.follower import Follower
from cloverwell.control.net.reactor_types import Reactor

SOURCE = "control"  # the name of the log among what a hollow proxy follows
DEFAULT_LOG = "fleet"
SPARE_DESCRIPTORS = 64

RegionNodes = Mapping[str, Mapping[str, Address]]  # the control nodes of each region, by name


class Place(msgspec.Struct):
    """One proxy, and its region."""

    proxy: str
    region: str


class Start(msgspec.Struct):
    """What a process of hollow proxies is to do. `regions` has the control nodes of each region, by name."""

    log: str
    regions: dict[str, dict[str, Address]]
    places: list[Place]


class EntryApplied(msgspec.Struct):
    """A proxy has applied the entry at `index`, at `at_s` of the machine's monotonic clock."""

    proxy: str
    index: int
    at_s: float


class HollowFollower:
    """One proxy without a service. `apply_entry` is called for each entry in the log's order."""

    def __init__(
        self,
        reactor: Reactor,
        regions: RegionNodes,
        region: str,
        proxy: str,
        apply_entry: Callable[[Entry], None],
        log_name: str = DEFAULT_LOG,
    ) -> None:
        """Connects to nothing yet. The control nodes of `region` will be tried first."""
        self._follower = Follower(reactor, nearest_first(regions, region), log_name, proxy, apply_entry)

    def start(self) -> None:
        """Connects."""
        self._follower.start()

    def stop(self) -> None:
        """Says goodbye to the control node."""
        self._follower.stop()


class FollowerOf(Protocol):
    """The hollow proxy of a scale run that a follower belongs to."""

    name: str
    reactor: Reactor
    in_force: Callable[[str, int, bool, int], None]  # source, revision, whether it is complete, entries


def follower_factory(
    regions: RegionNodes, region_of: Callable[[str], str], log_name: str = DEFAULT_LOG
) -> Callable[[FollowerOf], HollowFollower]:
    """Returns what makes the follower of each hollow proxy of a scale run.

    `region_of` returns the region of the proxy of that name.
    """

    def make_follower(proxy: FollowerOf) -> HollowFollower:
        """Returns the follower of a hollow proxy."""

        def apply_entry(entry: Entry) -> None:
            """Reports an entry as applied."""
            proxy.in_force(SOURCE, entry.index, False, 1)

        return HollowFollower(
            proxy.reactor, regions, region_of(proxy.name), proxy.name, apply_entry, log_name
        )

    return make_follower


def nearest_first(regions: RegionNodes, region: str) -> Sequence[Mapping[str, Address]]:
    """Returns the control nodes of the region, then all others as one group."""
    others: dict[str, Address] = {}
    for name, nodes in regions.items():
        if name != region:
            others |= nodes
    return [dict(regions.get(region, {})), others]


def write_applied(proxy: str, entry: Entry) -> None:
    """Writes a line to standard output for an entry that a proxy has applied."""
    row = EntryApplied(proxy, entry.index, time.monotonic())
    sys.stdout.buffer.write(msgspec.json.encode(row) + b"\n")
    sys.stdout.buffer.flush()


def main() -> None:
    """Runs the process until its input ends."""
    from cloverwell.descriptors import raise_descriptor_limit
    from cloverwell.monotonic_reactor import install_reactor

    reactor = install_reactor()
    # Importing `stdio` imports the default reactor, which must be the installed one.
    from twisted.internet import protocol, stdio

    start = msgspec.json.decode(sys.stdin.buffer.readline(), type=Start)
    raise_descriptor_limit(len(start.places) * 2 + SPARE_DESCRIPTORS)

    class Input(protocol.Protocol):
        """Standard input, which the parent process closes to end this one."""

        def connectionLost(self, _reason: object = None) -> None:
            """Twisted: the input has ended."""
            reactor.stop()

    followers = [
        HollowFollower(
            reactor,
            start.regions,
            place.region,
            place.proxy,
            partial(write_applied, place.proxy),
            start.log,
        )
        for place in start.places
    ]
    for follower in followers:
        follower.start()
    stdio.StandardIO(Input())
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
