"""The lab's cut between one proxy and the origin: it is used again as soon as the cut ends."""

from collections import Counter

import msgspec
import pytest

from lab.invariant_checker import RULES
from lab.scenario import load
from lab.simulated_origin import SimulatedOrigin
from lab.simulation import Simulation

CUT_S = (4.0, 8.0)  # as the world has it


def fetches_by_proxy(monkeypatch, seed, between):
    """What each proxy asked of the origin between two times of the day, and the day's summary."""
    asked = Counter()
    real = SimulatedOrigin.handle

    def counted(origin, connection, request):
        if between[0] <= origin.now - 1000.0 < between[1]:
            asked[origin.environment.proxy_of(connection)] += 1
        real(origin, connection, request)

    monkeypatch.setattr(SimulatedOrigin, "handle", counted)
    world = msgspec.structs.replace(load("origin-cut"), seconds=10.0)
    return asked, Simulation(world, seed).run()


@pytest.mark.parametrize("seed", [2, 3, 4])
def test_an_origin_is_used_again_as_soon_as_its_cut_from_one_proxy_ends(monkeypatch, seed):
    _, end = CUT_S
    asked, summary = fetches_by_proxy(monkeypatch, seed, (end, end + 2.0))
    assert not [rule for rule in RULES if summary["rules"][rule]], summary["breaches"]
    assert not summary["origin_stops"]
    others = (asked["proxy-1"] + asked["proxy-2"]) / 2
    assert asked["proxy-0"] > 0.7 * others, asked


def test_nothing_of_the_proxy_that_is_cut_off_reaches_the_origin(monkeypatch):
    begin, end = CUT_S
    asked, _ = fetches_by_proxy(monkeypatch, 2, (begin + 0.001, end))
    assert not asked["proxy-0"]
    assert asked["proxy-1"] > 30
