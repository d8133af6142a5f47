"""Control nodes whose wall clocks are stepped: commits and elections go on in real time."""

import signal
import sys

import pytest
from control_fleet_rig import Fleet, discovery
from fleet_rig import START, WallClock

from lab.processes import wait_for

HOUR_S = 3600.0


class SteppedFleet(Fleet):
    """Each control node has a wall clock of its own. There are no proxies."""

    def __init__(self, folder):
        super().__init__(folder)
        self.proxies = []
        self.clocks = {node.name: WallClock(folder / f"{node.name}.clock") for node in self.nodes.nodes}
        for node in self.nodes.nodes:
            clock = str(self.clocks[node.name].path)
            node.command = [sys.executable, str(START), clock, "cloverwell.cli.main:main", "control"]

    def step(self, by_s):
        totals = [(clock, clock.step(by_s)) for clock in self.clocks.values()]
        for clock, total_s in totals:
            wait_for(lambda clock=clock, total_s=total_s: clock.seen(total_s), "the step is not seen")


@pytest.fixture
def fleet(tmp_path):
    made = SteppedFleet(tmp_path)
    yield made
    made.close()


@pytest.mark.parametrize("by_s", [-HOUR_S, -5.0, 5.0, HOUR_S])
def test_a_leader_that_dies_right_after_a_step_is_followed_by_another(fleet, by_s):
    fleet.start()
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery())
    fleet.step(by_s)
    leader.end(signal.SIGKILL)
    others = fleet.nodes.others(leader)
    fleet.nodes.leader(others)
    assert fleet.commit(others[0], discovery()) > first


def test_a_leader_keeps_its_followers_over_many_steps(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    version = fleet.commit(leader, discovery())
    for by_s in (HOUR_S, -HOUR_S, -HOUR_S, 5.0, -5.0):
        fleet.step(by_s)
        version, before = fleet.commit(fleet.nodes.leader(), discovery()), version
        assert version > before
