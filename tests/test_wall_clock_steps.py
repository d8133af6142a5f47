"""Real proxies whose wall clock is stepped in the middle of their work: all rules hold, judged from outside.

Each proxy of a fleet has another step, so that one play shows them all.
"""

import asyncio
import contextlib
import signal

import pytest
from fleet_rig import Fleet

HOUR_S = 3600.0
STEPS = [-HOUR_S, -5.0, 5.0, HOUR_S]
UNSTEPPED = [0.0] * len(STEPS)
NODES = 3
BEFORE = 20  # served by each proxy before a step


@contextlib.asynccontextmanager
async def fleet_in(folder, before=UNSTEPPED, settings=None):
    """`before`: the step of each proxy's clock before its start."""
    fleet = Fleet(folder, settings)
    try:
        await fleet.start(NODES, before)
        yield fleet
    finally:
        await fleet.close()


def test_in_the_middle_of_traffic(tmp_path):
    async def play():
        async with fleet_in(tmp_path) as fleet:
            fleet.load()
            await fleet.served(BEFORE)
            await fleet.step(STEPS)
            await fleet.judged()

    asyncio.run(play())


def test_several_times(tmp_path):
    async def play():
        async with fleet_in(tmp_path) as fleet:
            fleet.load()
            for turn in range(2 * len(STEPS)):
                await fleet.served(BEFORE)
                await fleet.step([STEPS[(turn + place) % len(STEPS)] for place in range(len(STEPS))])
            await fleet.judged()

    asyncio.run(play())


def test_just_before_the_start_and_set_right_under_load(tmp_path):
    async def play():
        async with fleet_in(tmp_path, before=STEPS) as fleet:
            fleet.load()
            await fleet.served(BEFORE)
            await fleet.step([-step_s for step_s in STEPS])
            await fleet.judged()

    asyncio.run(play())


def test_while_a_planned_end_answers_what_was_taken(tmp_path):
    async def play():
        async with fleet_in(tmp_path) as fleet:
            fleet.load()
            await fleet.served(BEFORE)
            fleet.signal(signal.SIGTERM)
            await fleet.step(STEPS)
            await fleet.quiet()
            fleet.check()
            for proxy in fleet.proxies:
                assert await proxy.ends(proxy.processes[-1]) == 0

    asyncio.run(play())


@pytest.mark.parametrize("silent", [False, True], ids=["followed", "silent"])
def test_with_a_watch_that_falls_silent_and_a_node_that_drains(tmp_path, silent):
    """What the list says of a drain is followed in real time, also where the watch has to be opened anew."""

    async def play():
        async with fleet_in(tmp_path) as fleet:
            fleet.load()
            await fleet.served(BEFORE)
            for proxy in fleet.proxies:
                proxy.discovery.silent = silent
            await fleet.step(STEPS)
            leaving = fleet.member(fleet.nodes[0], "terminating")
            for proxy in fleet.proxies:
                await proxy.discovery.change(leaving)
            calls = [proxy.discovery.calls for proxy in fleet.proxies]
            await fleet.calls_of_discovery(calls)  # the silent watch is found out
            for proxy in fleet.proxies:
                proxy.discovery.silent = False
            await fleet.told(leaving)
            await fleet.judged()

    asyncio.run(play())


def test_while_new_configurations_move_discovery(tmp_path):
    async def play():
        async with fleet_in(tmp_path) as fleet:
            fleet.load()
            for turn in range(3):
                await fleet.served(BEFORE)
                await fleet.move_discovery()
                await fleet.step([step_s * (-1) ** turn for step_s in STEPS])
                await fleet.told(fleet.member(fleet.nodes[0]))
            await fleet.judged()

    asyncio.run(play())


def test_while_another_process_takes_over(tmp_path):
    async def play():
        async with fleet_in(tmp_path) as fleet:
            fleet.load()
            await fleet.served(BEFORE)
            before = [proxy.processes[-1] for proxy in fleet.proxies]
            for proxy in fleet.proxies:
                proxy.spawn()
            await fleet.step(STEPS)
            for proxy in fleet.proxies:
                await proxy.ready()
                proxy.clients.ending = True
            for process in before:
                process.send_signal(signal.SIGTERM)
            await fleet.step([-step_s for step_s in STEPS])
            for proxy, process in zip(fleet.proxies, before, strict=True):
                assert await proxy.ends(process) == 0
            await fleet.judged()

    asyncio.run(play())
