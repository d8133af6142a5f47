"""What the control log costs and how soon a change is in force: 480 proxies, 7 control nodes, 6 regions.

.venv-dev/bin/python benchmarks/control_cost.py [SECONDS]

Virtual time: 1 to 2 ms one way within a region, 40 to 80 ms between two, nothing fails. Bytes are of
messages, without what a stream adds. Processor time is measured: a proxy's part of one message, with
coding and decoding.
"""

import sys
import time
from random import Random

from cloverwell.control.effects import ApplyEntry, ConnectToNode
from cloverwell.control.entry import Entry, EntryKind
from cloverwell.control.messages import Entries, FleetCount, Heartbeat, Propose, decode, encode
from cloverwell.control.subscription import Subscription
from lab.control_world import ControlWorld

PROXIES, NODES, REGIONS = 480, 7, 6
PURGES_PER_S, PURGE_BYTES = 3.4, 200


def fleet(proxies_total: int = PROXIES, seed: int = 1) -> ControlWorld:
    nodes = {f"node{number}": f"region{number % REGIONS}" for number in range(NODES)}
    proxies = {f"proxy{number}": f"region{number % REGIONS}" for number in range(proxies_total)}
    world = ControlWorld(nodes, proxies, seed)
    world.run_until(lambda: world.leader() is not None, 10_000)
    for name in proxies:
        world.start_proxy(name)
    world.run(5_000)
    return world


def bytes_per_second(
    world: ControlWorld, seconds: float, purges_per_s: float
) -> tuple[float, float, list[float]]:
    """Mean and most of a proxy, both ways; and how long each purge took until all proxies had it."""
    before = dict(world.sent_bytes)
    times: list[float] = []
    until = world.now + 1000 * seconds
    while world.now < until:
        began = world.now
        if purges_per_s:
            leader = world.leader()
            assert leader is not None
            world.propose(leader.name, Propose(f"purge{began}", EntryKind.PURGE, bytes(PURGE_BYTES)))
            index = leader.node.consensus.log.last_index
            waiting = [process.subscription for process in world.proxies.values()]

            def everywhere(waiting: list = waiting, index: int = index) -> bool:
                while waiting and waiting[-1].position.index >= index:
                    waiting.pop()
                return not waiting

            times.append(world.run_until(everywhere, 10_000))
        world.run(max(0.0, began + 1000 / (purges_per_s or 1.0) - world.now))
    spent = [(world.sent_bytes[name] - before[name]) / seconds for name in world.proxies]
    return sum(spent) / len(spent), max(spent), times


def after_a_leaders_death(seeds: int) -> list[float]:
    """How long until a change is everywhere whose leader's machine dies between its commit and the
    fan-out."""
    times = []
    for seed in range(seeds):
        world = fleet(60, seed)
        leader = world.leader()
        assert leader is not None
        before = len(world.rules.log)
        world.change(leader.name, "change")
        world.run_until(lambda world=world, before=before: len(world.rules.log) > before, 1_000)
        world.kill_node(leader.name, machine=True)
        index = len(world.rules.log)
        subscriptions = [process.subscription for process in world.proxies.values()]
        times.append(
            world.run_until(
                lambda waiting=subscriptions, index=index: all(
                    each.position.index >= index for each in waiting
                ),
                60_000,
            )
        )
    return sorted(times)


def processor_ms(messages: int = 20_000) -> tuple[float, float]:
    """Of a heartbeat with an acknowledgement, and of an entry that is given out, loaded and acknowledged."""
    subscription = Subscription("proxy", 1, "main", (("node",),), Random(1), 0.0)
    attempt = next(each.attempt for each in subscription.start(0.0) if isinstance(each, ConnectToNode))
    subscription.connected(attempt, 0.0)
    heartbeat = encode(Heartbeat(subscription.position, 0.0, 5000.0, FleetCount(480, 0, True)))
    acknowledged = 0
    began = time.process_time()
    for number in range(1, messages + 1):
        subscription.receive(attempt, decode(heartbeat), 1000.0 * number)
        for effect in subscription.tick(1000.0 * number):
            acknowledged += len(encode(effect.message)) > 0
    beat = time.process_time() - began
    chain = []
    position = subscription.position
    for index in range(1, messages + 1):
        entry = Entry(index, 1, EntryKind.PURGE, bytes(PURGE_BYTES), f"purge{index}")
        chain.append(encode(Entries(position, (entry,))))
        position = position.after(entry)
    now = 1000.0 * messages
    began = time.process_time()
    for data in chain:
        for effect in subscription.receive(attempt, decode(data), now):
            if isinstance(effect, ApplyEntry):
                for answer in subscription.loaded(effect.entry.index, now):
                    acknowledged += len(encode(answer.message)) > 0
    entries = time.process_time() - began
    assert acknowledged == 2 * messages
    return 1000 * beat / messages, 1000 * entries / messages


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    world = fleet()
    mean, most, _ = bytes_per_second(world, seconds, 0.0)
    print(f"idle: {mean:.0f} bytes a second and proxy, at most {most:.0f}")
    mean, most, times = bytes_per_second(world, seconds, PURGES_PER_S)
    times.sort()
    print(f"{PURGES_PER_S} purges of {PURGE_BYTES} bytes a second: {mean:.0f} bytes, at most {most:.0f}")
    print(
        f"everywhere within {times[len(times) // 2]:.0f} ms (half), {times[-1]:.0f} ms (all of {len(times)})"
    )
    times = after_a_leaders_death(50)
    print(
        f"its leader's machine dies before the fan-out (60 proxies, {len(times)} seeds): everywhere within"
        f" {times[len(times) // 2]:.0f} ms (half), {times[-1]:.0f} ms (all)"
    )
    beat, entry = processor_ms()
    share = (beat + PURGES_PER_S * entry) / 1000
    print(
        f"a proxy's processor time: {beat:.4f} ms a heartbeat, {entry:.4f} ms an entry; {share:.4%} of a core"
    )


if __name__ == "__main__":
    main()
