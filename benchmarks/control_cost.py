"""The cost of the control log, and its delay: 480 proxies, 7 control nodes, 6 regions.

.venv-dev/bin/python benchmarks/control_cost.py [SECONDS]

Delays are in virtual time: 1 to 2 ms one way within a region, 40 to 80 ms between two; nothing fails. Bytes
are those of messages, without the overhead of a stream. Processor time is measured: a proxy's share of one
message, with encoding and decoding.
"""

import sys
import time
from random import Random
from typing import NamedTuple

from cloverwell.control.effects import ApplyEntry, ConnectToNode, ProxyEffect, SendToControlNode
from cloverwell.control.entry import Entry, EntryKind, Position
from cloverwell.control.messages import (
    Entries,
    FleetCount,
    Heartbeat,
    NodeMessage,
    Propose,
    decode,
    encode,
)
from cloverwell.control.subscription import Subscription
from lab.control_world import ControlWorld

PROXIES, NODES, REGIONS = 480, 7, 6
PURGES_PER_S, PURGE_BYTES = 3.4, 200


class Traffic(NamedTuple):
    """Bytes a second and proxy in both directions, and how long each purge took to reach all proxies."""

    mean: float
    most: float
    purge_ms: list[float]


class ProcessorTime(NamedTuple):
    """A proxy's processor time in ms for a heartbeat, and for an entry, with their acknowledgements."""

    heartbeat_ms: float
    entry_ms: float


def fleet(proxies_total: int = PROXIES, seed: int = 1) -> ControlWorld:
    """Returns a fleet in which there is a leader and the proxies have been started."""
    nodes = {f"node{number}": f"region{number % REGIONS}" for number in range(NODES)}
    proxies = {f"proxy{number}": f"region{number % REGIONS}" for number in range(proxies_total)}
    world = ControlWorld(nodes, proxies, seed)
    world.run_until(lambda: world.leader() is not None, 10_000)
    for name in proxies:
        world.start_proxy(name)
    world.run(5_000)
    return world


def measure_traffic(world: ControlWorld, seconds: float, purges_per_s: float) -> Traffic:
    """Plays for a while with so many purges a second, or none, and returns the traffic."""
    before = dict(world.sent_bytes)
    times: list[float] = []
    until = world.now + 1000 * seconds
    while world.now < until:
        began = world.now
        if purges_per_s:
            times.append(play_purge(world, f"purge{began}"))
        world.run(max(0.0, began + 1000 / (purges_per_s or 1.0) - world.now))
    spent = [(world.sent_bytes[name] - before[name]) / seconds for name in world.proxies]
    return Traffic(sum(spent) / len(spent), max(spent), times)


def play_purge(world: ControlWorld, proposal: str) -> float:
    """Proposes a purge at the leader; returns how many ms it took to reach all proxies."""
    leader = world.leader()
    assert leader is not None
    assert leader.node is not None
    world.propose(leader.name, Propose(proposal, EntryKind.PURGE, bytes(PURGE_BYTES)))
    return run_until_everywhere(world, leader.node.consensus.log.last_index, 10_000)


def run_until_everywhere(world: ControlWorld, index: int, most_ms: float) -> float:
    """Plays until all proxies have applied the log up to `index`; returns how many ms that took."""
    waiting = [process.subscription for process in world.proxies.values() if process.subscription is not None]

    def is_everywhere() -> bool:
        """Returns whether no proxy is waiting for the entry any more."""
        while waiting and waiting[-1].position.index >= index:
            waiting.pop()
        return not waiting

    return world.run_until(is_everywhere, most_ms)


def measure_leader_failure(seeds: int) -> list[float]:
    """Plays the crash of the leader's machine between the commit of a change and its fan-out.

    Returns, for each seed, how many ms the change took to reach all proxies, in ascending order.
    """
    times = []
    for seed in range(seeds):
        world = fleet(60, seed)
        leader = world.leader()
        assert leader is not None
        world.change(leader.name, "change")
        run_until_committed(world, len(world.rules.log) + 1)
        world.kill_node(leader.name, machine=True)
        times.append(run_until_everywhere(world, len(world.rules.log), 60_000))
    return sorted(times)


def run_until_committed(world: ControlWorld, index: int) -> None:
    """Plays until the entry at an index is committed."""
    world.run_until(lambda: len(world.rules.log) >= index, 1_000)


def measure_processor_time(messages: int = 20_000) -> ProcessorTime:
    """Measures so many heartbeats and entries at one proxy, each acknowledged."""
    subscription = Subscription("proxy", 1, "main", (("node",),), Random(1), 0.0)
    attempt = next(each.attempt for each in subscription.start(0.0) if isinstance(each, ConnectToNode))
    subscription.connected(attempt, 0.0)
    heartbeat = encode(Heartbeat(subscription.position, 0.0, 5000.0, FleetCount(480, 0, True)))
    acknowledged = 0
    began = time.process_time()
    for number in range(1, messages + 1):
        subscription.receive(attempt, decode_from_node(heartbeat), 1000.0 * number)
        acknowledged += count_sent(subscription.tick(1000.0 * number))
    heartbeats_s = time.process_time() - began
    now = 1000.0 * messages
    entries = encoded_entries(subscription.position, messages)
    began = time.process_time()
    for data in entries:
        for effect in subscription.receive(attempt, decode_from_node(data), now):
            if isinstance(effect, ApplyEntry):
                acknowledged += count_sent(subscription.applied(effect.entry.index, now))
    entries_s = time.process_time() - began
    assert acknowledged == 2 * messages
    return ProcessorTime(1000 * heartbeats_s / messages, 1000 * entries_s / messages)


def encoded_entries(position: Position, count: int) -> list[bytes]:
    """Returns so many messages after a position, each with one entry."""
    encoded = []
    for index in range(1, count + 1):
        entry = Entry(index, 1, EntryKind.PURGE, bytes(PURGE_BYTES), f"purge{index}")
        encoded.append(encode(Entries(position, (entry,))))
        position = position.after(entry)
    return encoded


def decode_from_node(data: bytes) -> NodeMessage:
    """Decodes a message of a control node."""
    message = decode(data)
    assert isinstance(message, NodeMessage)
    return message


def count_sent(effects: list[ProxyEffect]) -> int:
    """Encodes the messages among the effects; returns how many there are."""
    messages = [encode(effect.message) for effect in effects if isinstance(effect, SendToControlNode)]
    return len(messages)


def main() -> None:
    """Measures all and prints the figures."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    world = fleet()
    idle = measure_traffic(world, seconds, 0.0)
    print(f"idle: {idle.mean:.0f} bytes a second and proxy, at most {idle.most:.0f}")
    busy = measure_traffic(world, seconds, PURGES_PER_S)
    print(
        f"{PURGES_PER_S} purges of {PURGE_BYTES} bytes a second:"
        f" {busy.mean:.0f} bytes, at most {busy.most:.0f}"
    )
    times = sorted(busy.purge_ms)
    print(
        f"everywhere within {times[len(times) // 2]:.0f} ms (half), {times[-1]:.0f} ms (all of {len(times)})"
    )
    times = measure_leader_failure(50)
    print(
        f"its leader's machine dies before the fan-out (60 proxies, {len(times)} seeds): everywhere within"
        f" {times[len(times) // 2]:.0f} ms (half), {times[-1]:.0f} ms (all)"
    )
    processor = measure_processor_time()
    share = (processor.heartbeat_ms + PURGES_PER_S * processor.entry_ms) / 1000
    print(
        f"a proxy's processor time: {processor.heartbeat_ms:.4f} ms a heartbeat,"
        f" {processor.entry_ms:.4f} ms an entry; {share:.4%} of a core"
    )


if __name__ == "__main__":
    main()
