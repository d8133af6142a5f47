"""Steps of the wall clocks of control nodes, which must not disturb commits and elections."""

import signal
import sys

import pytest
from control_fleet_rig import Fleet, discovery_change
from fleet_rig import START, WallClock

from lab.processes import wait_for

HOUR_S = 3600.0


class SteppedFleet(Fleet):
    """Control nodes with a wall clock each, which the test can step, and no proxies."""

    def __init__(self, folder):
        super().__init__(folder)
        self.proxies = []
        self.clocks = {node.name: WallClock(folder / f"{node.name}.clock") for node in self.nodes.nodes}
        for node in self.nodes.nodes:
            clock = str(self.clocks[node.name].path)
            node.command = [sys.executable, str(START), clock, "cloverwell.cli.main:main", "control"]

    def step(self, by_s):
        """Steps all wall clocks, and waits until each process sees the step."""
        totals = [(clock, clock.step(by_s)) for clock in self.clocks.values()]
        for clock, total_s in totals:
            wait_for(lambda clock=clock, total_s=total_s: clock.seen(total_s), "the step is not seen")


@pytest.fixture
def fleet(tmp_path):
    new_fleet = SteppedFleet(tmp_path)
    yield new_fleet
    new_fleet.close()


@pytest.mark.parametrize("by_s", [-HOUR_S, -5.0, 5.0, HOUR_S])
def test_a_leader_killed_right_after_a_step_is_replaced(fleet, by_s):
    fleet.start()
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery_change())
    fleet.step(by_s)
    leader.end(signal.SIGKILL)
    others = fleet.nodes.others(leader)
    fleet.nodes.leader(others)
    assert fleet.commit(others[0], discovery_change()) > first


def test_commits_succeed_after_each_of_many_steps(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    version = fleet.commit(leader, discovery_change())
    for by_s in (HOUR_S, -HOUR_S, -HOUR_S, 5.0, -5.0):
        fleet.step(by_s)
        version, previous = fleet.commit(fleet.nodes.leader(), discovery_change()), version
        assert version > previous
