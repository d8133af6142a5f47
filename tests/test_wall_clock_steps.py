"""Real proxies whose wall clock is stepped in the middle of their work: all rules hold, judged from outside.

Each proxy of a fleet has another step, so that one play shows them all.
"""

import asyncio
import signal

import pytest
from fleet_rig import Fleet

from lab.loopback.nodes import DiscoveryMode

HOUR_S = 3600.0
STEPS = [-HOUR_S, -5.0, 5.0, HOUR_S]
BACK = [-step_s for step_s in STEPS]
UNSTEPPED = [0.0] * len(STEPS)
NODES = 3
BEFORE = 20  # served by each proxy before a step


def play(folder, story, before=UNSTEPPED):
    """Has the story of a fleet under load, and all rules looked at behind it; `before`: the step of each
    proxy's clock before its start."""

    async def run():
        fleet = Fleet(folder)
        try:
            await fleet.start(NODES, before)
            fleet.load()
            await fleet.served(BEFORE)
            await story(fleet)
            await fleet.judged()
        finally:
            await fleet.close()

    asyncio.run(run())


def test_in_the_middle_of_traffic(tmp_path):
    async def story(fleet):
        await fleet.step(STEPS)

    play(tmp_path, story)


def test_several_times(tmp_path):
    async def story(fleet):
        for turn in range(2 * len(STEPS)):
            await fleet.step([STEPS[(turn + place) % len(STEPS)] for place in range(len(STEPS))])
            await fleet.served(BEFORE)

    play(tmp_path, story)


def test_just_before_the_start_and_set_right_under_load(tmp_path):
    async def story(fleet):
        await fleet.step(BACK)

    play(tmp_path, story, before=STEPS)


def test_while_a_planned_end_answers_what_was_taken(tmp_path):
    async def story(fleet):
        ending = [proxy.processes[-1] for proxy in fleet.proxies]
        fleet.signal(signal.SIGTERM)
        await fleet.step(STEPS)
        for proxy, process in zip(fleet.proxies, ending, strict=True):
            assert await proxy.ends(process) == 0
            proxy.spawn()
        for proxy in fleet.proxies:
            await proxy.ready()

    play(tmp_path, story)


@pytest.mark.parametrize("silent", [False, True], ids=["followed", "silent"])
def test_with_a_watch_that_falls_silent_and_a_node_that_drains(tmp_path, silent):
    """What the list says of a drain is followed in real time, also where the watch has to be opened anew."""

    async def story(fleet):
        for proxy in fleet.proxies:
            proxy.discovery.mode = DiscoveryMode.SILENT if silent else DiscoveryMode.NORMAL
        await fleet.step(STEPS)
        leaving = fleet.member(fleet.nodes[0], "terminating")
        for proxy in fleet.proxies:
            await proxy.discovery.change(leaving)
        calls = [proxy.discovery.calls for proxy in fleet.proxies]
        await fleet.calls_of_discovery(calls)  # the silent watch is found out
        for proxy in fleet.proxies:
            proxy.discovery.mode = DiscoveryMode.NORMAL
        await fleet.told(leaving)

    play(tmp_path, story)


def test_while_new_configurations_move_discovery(tmp_path):
    async def story(fleet):
        for steps in (STEPS, BACK, STEPS):
            await fleet.move_discovery()
            await fleet.step(steps)
            await fleet.told(fleet.member(fleet.nodes[0]))
            await fleet.served(BEFORE)

    play(tmp_path, story)


def test_while_another_process_takes_over(tmp_path):
    async def story(fleet):
        before = [proxy.processes[-1] for proxy in fleet.proxies]
        for proxy in fleet.proxies:
            proxy.spawn()
        await fleet.step(STEPS)
        for proxy in fleet.proxies:
            await proxy.ready()
            proxy.clients.ending = True
        for process in before:
            process.send_signal(signal.SIGTERM)
        await fleet.step(BACK)
        for proxy, process in zip(fleet.proxies, before, strict=True):
            assert await proxy.ends(process) == 0

    play(tmp_path, story)
