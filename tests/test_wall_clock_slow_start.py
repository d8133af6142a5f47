"""Real proxies that started on machines whose wall clock was stepped: each lets a new cache node warm up."""

import asyncio
import time
from collections import Counter

from fleet_rig import Fleet

from lab.proxy_testbed import SETTINGS

HOUR_S = 3600.0
STEPS = [-HOUR_S, -5.0, 5.0, HOUR_S]
WARM_UP_MS = 20_000.0
START_CAPACITY = 0.14
COUNTED_S = 3.0  # after the update with the node, which has 0.27 of its capacity at the end of it
MAX_SHARE = 0.5  # of what a warm node gets
MIN_COUNTED = 40  # attempts to warm nodes, for each proxy, or there is nothing to compare with
COLD_SETTINGS = SETTINGS | {
    "guarantees": SETTINGS["guarantees"] | {"cold": WARM_UP_MS, "start-capacity": START_CAPACITY}
}


def test_a_node_that_joins_is_cold_whatever_step_a_proxy_has_started_on(tmp_path):
    arrived = Counter()

    async def play():
        fleet = Fleet(tmp_path, COLD_SETTINGS)
        try:
            await fleet.start(3, STEPS)
            for proxy in fleet.proxies:
                proxy.clients.kinds = {"slow": 1}
            fleet.load(leavers=0)
            await fleet.served(20)
            joined = await fleet.add_node()
            line = fleet.member(joined, up_since_ms=time.time() * 1000.0)
            for proxy in fleet.proxies:
                await proxy.discovery.change(line)
            await fleet.told(line)
            for node in fleet.nodes:
                node.arrived = lambda name, node=node: arrived.update(
                    [(fleet.judge.histories[name].proxy, node is joined)]
                )
            await asyncio.sleep(COUNTED_S)
            await fleet.quiet()
            fleet.check()
        finally:
            await fleet.close()

    asyncio.run(play())
    for number, step_s in enumerate(STEPS):
        proxy = f"p{number}"
        warm = arrived[proxy, False]
        assert warm >= MIN_COUNTED, arrived
        share = arrived[proxy, True] / (warm / 3)
        assert share < MAX_SHARE, f"started {step_s:+g} s: {share:.2f} of a warm node's part; {arrived}"
