"""A small simulated fleet for the control log's tests, in virtual time."""

from cloverwell.control.effects import ApplyEntry
from cloverwell.control.entry import START_POSITION, Entry, EntryKind, LogState, Snapshot
from lab.control_world import ControlWorld

REGIONS = ("north", "south", "west")
NODES = {"n1": "north", "n2": "north", "s1": "south", "s2": "south", "w1": "west"}
ACTIVATION_MS = 8000.0  # within which a committed entry is active everywhere


def world(proxies=12, seed=1, **settings):
    """Returns five control nodes in three regions that have a leader, and proxies that are caught up."""
    names = {f"p{number}": REGIONS[number % 3] for number in range(proxies)}
    played = ControlWorld(NODES, names, seed, **settings)
    played.run_until(lambda: played.leader() is not None, 10_000)
    for name in names:
        played.start_proxy(name)
    played.run_until(lambda: all(p.subscription.caught_up for p in played.proxies.values()), 5_000)
    played.run(2_000)
    return played


def change(played, proposal, payload=b"limits"):
    """Proposes a configuration at the leader; returns the number of the answer."""
    return played.change(played.leader().name, proposal, payload)


def serving(process):
    """Returns the proposal of the configuration that a proxy serves by, "" for none."""
    entry = process.serving.get(EntryKind.CONFIGURATION)
    return entry.proposal if entry else ""


def all_serve(played, proposal, proxies=None):
    """Returns a condition that holds when all proxies, or those given, serve by a proposal."""
    chosen = played.proxies.values() if proxies is None else proxies
    return lambda: all(serving(process) == proposal for process in chosen if process.up)


def current(played, process):
    """Returns whether a proxy says that it is current."""
    return process.subscription.is_current(process.clock.at(played.now))


def times_applied(process, proposal):
    """Returns how often a proxy was given the entry of a proposal in this run."""
    entries = [effect.entry for effect in process.loads if isinstance(effect, ApplyEntry)]
    return sum(entry.proposal == proposal for entry in entries)


def run_checked(played, ms, step_ms=100.0):
    """Plays for so many ms, and checks the leases of all proxies on the way."""
    until = played.now + ms
    while played.now < until:
        played.run(step_ms)
        played.check_leases()


def entry(index, term=1, payload=b"x"):
    """Returns an entry of a log."""
    return Entry(index, term, "configuration", payload, f"p{index}")


def snapshot(*entries):
    """Returns a snapshot of the state that the entries amount to."""
    position, state = START_POSITION, LogState()
    for one in entries:
        position, state = position.after(one), state.after(one)
    return Snapshot.of(position, entries[-1].term, state)
