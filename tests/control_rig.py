"""A small fleet for the control log's tests, in virtual time."""

from cloverwell.control.effects import ApplyEntry
from cloverwell.control.entry import START, Entry, EntryKind, LogState, Snapshot
from lab.control_world import ControlWorld

REGIONS = ("north", "south", "west")
NODES = {"n1": "north", "n2": "north", "s1": "south", "s2": "south", "w1": "west"}
IN_FORCE_MS = 8000.0


def world(proxies=12, seed=1, **settings):
    """Five control nodes in three regions that have a leader, and proxies that are caught up."""
    names = {f"p{number}": REGIONS[number % 3] for number in range(proxies)}
    played = ControlWorld(NODES, names, seed, **settings)
    played.run_until(lambda: played.leader() is not None, 10_000)
    for name in names:
        played.start_proxy(name)
    played.run_until(lambda: all(p.subscription.caught_up for p in played.proxies.values()), 5_000)
    played.run(2_000)
    return played


def change(played, proposal, payload=b"limits"):
    return played.change(played.leader().name, proposal, payload)


def serving(process):
    entry = process.serving.get(EntryKind.CONFIGURATION)
    return entry.proposal if entry else ""


def all_serve(played, proposal, proxies=None):
    chosen = played.proxies.values() if proxies is None else proxies
    return lambda: all(serving(process) == proposal for process in chosen if process.up)


def current(played, process):
    return process.subscription.current(process.clock.at(played.now))


def times_loaded(process, proposal):
    entries = [load.entry for load in process.loads if isinstance(load, ApplyEntry)]
    return sum(entry.proposal == proposal for entry in entries)


def run_checked(played, ms, step_ms=100.0):
    """Plays on, and asks every proxy on the way whether what it says of its lease is so."""
    until = played.now + ms
    while played.now < until:
        played.run(step_ms)
        played.check_leases()


def entry(index, term=1, payload=b"x"):
    """One of a log."""
    return Entry(index, term, "configuration", payload, f"p{index}")


def snapshot(*entries):
    """What the entries come to."""
    position, state = START, LogState()
    for one in entries:
        position, state = position.after(one), state.after(one)
    return Snapshot.of(position, entries[-1].term, state)
