"""A small simulated fleet in virtual time, entries and snapshots for the control log's tests."""

from cloverwell.control.effects import ApplyEntry
from cloverwell.control.entry import START_POSITION, Entry, EntryKind, LogState, Snapshot
from lab.control_world import ControlWorld

REGIONS = ("north", "south", "west")
NODES = {"n1": "north", "n2": "north", "s1": "south", "s2": "south", "w1": "west"}
ACTIVATION_MS = 8000.0  # the time within which a committed entry is active everywhere


def start_world(proxies=12, seed=1, **settings):
    """Returns five control nodes in three regions that have a leader, and proxies that are caught up."""
    names = {f"p{number}": REGIONS[number % 3] for number in range(proxies)}
    world = ControlWorld(NODES, names, seed, **settings)
    world.run_until(lambda: world.leader() is not None, 10_000)
    for name in names:
        world.start_proxy(name)
    world.run_until(lambda: all(process.subscription.caught_up for process in world.proxies.values()), 5_000)
    world.run(2_000)
    return world


def propose_change(world, proposal, payload=b"limits"):
    """Proposes a configuration at the leader; returns the number of the request."""
    return world.change(world.leader().name, proposal, payload)


def served_proposal(process):
    """Returns the proposal of the configuration that is active at a proxy, "" for none."""
    entry = process.serving.get(EntryKind.CONFIGURATION)
    return entry.proposal if entry else ""


def all_serve(world, proposal, proxies=None):
    """Returns a condition: the configuration of `proposal` is active at all proxies, or at those given."""
    chosen = world.proxies.values() if proxies is None else proxies
    return lambda: all(served_proposal(process) == proposal for process in chosen if process.up)


def is_current(world, process):
    """Returns whether a proxy says that it is current."""
    return process.subscription.is_current(process.clock.at(world.now))


def times_applied(process, proposal):
    """Returns how often a proxy was given the entry of a proposal in this run."""
    entries = [effect.entry for effect in process.loads if isinstance(effect, ApplyEntry)]
    return sum(entry.proposal == proposal for entry in entries)


def run_checking_leases(world, ms, step_ms=100.0):
    """Runs the world for `ms`, and checks the leases of all proxies after each step."""
    end_ms = world.now + ms
    while world.now < end_ms:
        world.run(step_ms)
        world.check_leases()


def entry(index, term=1, payload=b"x"):
    """Returns an entry of a log."""
    return Entry(index, term, "configuration", payload, f"p{index}")


def snapshot(*entries):
    """Returns a snapshot of the state that the entries amount to."""
    position, state = START_POSITION, LogState()
    for each_entry in entries:
        position, state = position.after(each_entry), state.after(each_entry)
    return Snapshot.of(position, entries[-1].term, state)
