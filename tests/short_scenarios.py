"""Shipped scenarios, cut short for tests, and which rules a summary shows as broken."""

import msgspec

from lab.invariant_checker import RULES
from lab.scenario import load
from lab.simulation import Simulation


def short(name, seconds=5.0, faults=None, per_s=200.0, **more):
    """A shipped scenario, cut short."""
    world = load(name)
    traffic = msgspec.structs.replace(world.traffic, per_s=per_s)
    faults = world.faults if faults is None else faults
    return msgspec.structs.replace(world, seconds=seconds, faults=faults, traffic=traffic, **more)


def broken(summary):
    """The names of the rules that were broken."""
    return {rule for rule in RULES if summary["rules"][rule]}


def operated(name, seconds):
    """A shipped scenario of many proxies, cut short with the faults that end in time."""
    world = load(name)
    faults = [fault for fault in world.faults if fault.at_s < seconds - 2.0]
    return short(name, seconds, faults, min(world.traffic.per_s, 200.0 if world.proxies < 16 else 480.0))


def zones(seed, seconds=11.0, **more):
    """The summary of the scenario of three zones, cut short."""
    return Simulation(short("zones", seconds, **more), seed).run()
