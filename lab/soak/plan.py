"""What one run of the soak does: its processes, clients and faults, drawn from a seed or read from a file."""

from __future__ import annotations

import random
import tomllib
from collections.abc import Callable
from enum import Enum
from pathlib import Path

import msgspec

from lab.loopback.nodes import DiscoveryMode, NodeMode

COUNTED_DEADLINE_S = 3.0  # the longest that the platform counts
KILL_DELAY_S = 0.7
LONGEST_DEADLINES_S = (0.3, 0.4, 1.0, 2.5, 5.0)
NODES = 3
SOCKETS, CROWDED_SOCKETS = 384, 96
HOSTILE_SOCKETS = 1024  # as many as a page names with the least memory
MEMORY_MB = 192.0
CROWD_ONE_IN = 4  # so many runs have a crowd
FIRST_FAULT_S = 1.0
AFTER_LAST_S = 1.5  # the load goes on for so long behind the last fault
DRAIN_CHECK_S = 4.4  # a drain is judged 4 s after its call
MAX_SEED = 2**31


class SoakInputError(Exception):
    """A seed, option or fault file that can't be used; the text names what is wrong."""


class FaultKind(Enum):
    """What is done to a process, a node or discovery."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    RELOAD = "reload"  # SIGHUP behind a changed configuration
    TERMINATE = "terminate"  # SIGTERM; the kill comes at the earliest instant
    REPLACE = "replace"  # a second process; SIGTERM to the first once the second is ready
    KILL = "kill"
    START = "start"  # a process where the last one has ended
    PAUSE = "pause"  # SIGSTOP, and SIGCONT after `for_s`
    NODE = "node"  # a cache node's mode, for `for_s`
    ORIGIN = "origin"
    DISCOVERY = "discovery"  # one proxy's discovery, for `for_s`


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault: at `at_s` seconds, to the proxy or node of number `target`."""

    at_s: float
    kind: FaultKind
    target: int = 0
    mode: str = ""
    for_s: float = 0.0


class SoakPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run; `seed` draws what the plan leaves to chance."""

    seed: int = 1
    longest_deadline_s: float = 1.0
    proxies: int = 2
    crowd: bool = False
    hostile: dict[str, int] = msgspec.field(default_factory=dict)  # the number of each kind, at each proxy
    memory_mb: float = MEMORY_MB
    answer_forms: bool = True  # whether nodes and the origin send rare right and malformed answers
    faults: list[Fault] = msgspec.field(default_factory=list)

    @property
    def sockets(self) -> int:
        """The descriptors of each process."""
        if self.hostile:
            return HOSTILE_SOCKETS
        return CROWDED_SOCKETS if self.crowd else SOCKETS

    @property
    def kill_after_s(self) -> float:
        """When SIGKILL follows a SIGTERM at the earliest."""
        return min(self.longest_deadline_s, COUNTED_DEADLINE_S) + KILL_DELAY_S

    @property
    def duration_s(self) -> float:
        """When the load ends."""
        lasts_s = {
            FaultKind.DRAIN: DRAIN_CHECK_S,
            FaultKind.UNDRAIN: 2.5,
            FaultKind.TERMINATE: self.kill_after_s,
            FaultKind.REPLACE: self.kill_after_s + 2.0,
        }
        ends = [fault.at_s + max(fault.for_s, lasts_s.get(fault.kind, 0.0)) for fault in self.faults]
        return max(ends, default=FIRST_FAULT_S) + AFTER_LAST_S


Series = Callable[[random.Random, float], list[Fault]]  # of one proxy, from 0 s on; the time to the kill


def _drain_undrain_drain(draw: random.Random, _kill_s: float) -> list[Fault]:
    undrain_s = draw.choice([0.5, 1.5, DRAIN_CHECK_S])
    again_s = undrain_s + draw.choice([0.1, 2.3])
    return [
        Fault(0.0, FaultKind.DRAIN),
        Fault(undrain_s, FaultKind.UNDRAIN),
        Fault(again_s, FaultKind.DRAIN),
        Fault(again_s + DRAIN_CHECK_S, FaultKind.UNDRAIN),
    ]


def _drain_under_reload(draw: random.Random, _kill_s: float) -> list[Fault]:
    return [
        Fault(0.0, FaultKind.DRAIN),
        Fault(draw.uniform(0.1, 2.0), FaultKind.RELOAD),
        Fault(draw.uniform(2.0, 3.5), FaultKind.RELOAD),
        Fault(DRAIN_CHECK_S, FaultKind.UNDRAIN),
    ]


def _stop_in_a_drain(draw: random.Random, kill_s: float) -> list[Fault]:
    stop_s = draw.uniform(0.2, 3.9)
    return [
        Fault(0.0, FaultKind.DRAIN),
        Fault(stop_s, FaultKind.TERMINATE),
        Fault(stop_s + kill_s + 0.3, FaultKind.START),
    ]


def _repeated_stop(draw: random.Random, kill_s: float) -> list[Fault]:
    return [
        Fault(0.0, FaultKind.TERMINATE),
        Fault(draw.uniform(0.05, 0.9), FaultKind.TERMINATE),
        Fault(kill_s + 0.3, FaultKind.START),
    ]


def _stop_behind_a_reload(_draw: random.Random, kill_s: float) -> list[Fault]:
    return [
        Fault(0.0, FaultKind.RELOAD),
        Fault(0.01, FaultKind.TERMINATE),
        Fault(kill_s + 0.3, FaultKind.START),
    ]


def _replace(draw: random.Random, _kill_s: float) -> list[Fault]:
    return [Fault(draw.uniform(0.0, 0.5), FaultKind.REPLACE)]


def _replace_in_a_drain(draw: random.Random, _kill_s: float) -> list[Fault]:
    return [Fault(0.0, FaultKind.DRAIN), Fault(draw.uniform(0.2, 2.0), FaultKind.REPLACE)]


def _kill(draw: random.Random, kill_s: float) -> list[Fault]:
    return [
        Fault(0.0, FaultKind.KILL),
        Fault(draw.uniform(0.1, 0.6), FaultKind.START),
        Fault(2.5, FaultKind.TERMINATE),
        Fault(2.5 + kill_s + 0.3, FaultKind.START),
    ]


def _pause(draw: random.Random, kill_s: float) -> list[Fault]:
    return [
        Fault(0.0, FaultKind.PAUSE, for_s=draw.uniform(0.3, 1.2)),
        Fault(2.0, FaultKind.TERMINATE),
        Fault(2.0 + kill_s + 0.3, FaultKind.START),
    ]


def _pause_in_a_drain(draw: random.Random, _kill_s: float) -> list[Fault]:
    return [
        Fault(0.0, FaultKind.DRAIN),
        Fault(draw.uniform(0.3, 3.5), FaultKind.PAUSE, for_s=0.12),
        Fault(DRAIN_CHECK_S, FaultKind.UNDRAIN),
    ]


SERIES: tuple[Series, ...] = (
    _drain_undrain_drain,
    _drain_under_reload,
    _stop_in_a_drain,
    _repeated_stop,
    _stop_behind_a_reload,
    _replace,
    _replace_in_a_drain,
    _kill,
    _pause,
    _pause_in_a_drain,
)


def draw_plan(seed: int) -> SoakPlan:
    """Return the plan of a seed: a series of faults for each proxy, and faults of their neighbours."""
    draw = random.Random(seed)
    plan = SoakPlan(
        seed=seed,
        longest_deadline_s=draw.choice(LONGEST_DEADLINES_S),
        proxies=draw.randint(2, 4),
        crowd=draw.randrange(CROWD_ONE_IN) == 0,
    )
    faults: list[Fault] = []
    for target, series in enumerate(draw.sample(SERIES, plan.proxies)):
        begin_s = FIRST_FAULT_S + draw.uniform(0.0, 1.0)
        faults += [
            msgspec.structs.replace(fault, at_s=begin_s + fault.at_s, target=target)
            for fault in series(draw, plan.kill_after_s)
        ]
    ends_s = max(fault.at_s for fault in faults)
    faults += _neighbours_faults(draw, plan, ends_s)
    return msgspec.structs.replace(plan, faults=sorted(faults, key=lambda fault: fault.at_s))


def _neighbours_faults(draw: random.Random, plan: SoakPlan, ends_s: float) -> list[Fault]:
    faults = []
    for node in draw.sample(range(NODES), draw.randint(1, NODES - 1)):
        mode = draw.choice([mode for mode in NodeMode if mode is not NodeMode.NORMAL])
        at_s = draw.uniform(0.5, ends_s)
        faults.append(Fault(at_s, FaultKind.NODE, node, mode.value, draw.uniform(0.5, 4.0)))
    if draw.random() < 0.5:
        mode = draw.choice([NodeMode.HANG, NodeMode.RESET, NodeMode.LATE])
        faults.append(Fault(draw.uniform(0.5, ends_s), FaultKind.ORIGIN, 0, mode.value, 1.0))
    for proxy in range(plan.proxies):
        if draw.random() < 0.5:
            trouble = draw.choice([mode for mode in DiscoveryMode if mode is not DiscoveryMode.NORMAL])
            at_s = draw.uniform(0.0, ends_s)
            faults.append(Fault(at_s, FaultKind.DISCOVERY, proxy, trouble.value, draw.uniform(0.5, 5.0)))
    return faults


def load_plan(path: Path) -> SoakPlan:
    """Return the plan in a TOML file; raises `SoakInputError`, which names the field."""
    try:
        plan = msgspec.convert(tomllib.loads(path.read_text()), SoakPlan)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise SoakInputError(f"{path.name}: {error}".replace("\n", " ")) from None
    check_plan(plan, path.name)
    return plan


def check_plan(plan: SoakPlan, name: str) -> None:
    """Check what the types do not; raises `SoakInputError`."""
    if not 1 <= plan.proxies <= 8:
        raise SoakInputError(f"{name}: proxies: must be from 1 to 8")
    if not 0.1 <= plan.longest_deadline_s <= 10.0:
        raise SoakInputError(f"{name}: longest_deadline_s: must be from 0.1 to 10")
    targets = {FaultKind.NODE: NODES, FaultKind.ORIGIN: 1}
    modes = {FaultKind.NODE: NodeMode, FaultKind.ORIGIN: NodeMode, FaultKind.DISCOVERY: DiscoveryMode}
    for number, fault in enumerate(plan.faults):
        where = f"{name}: faults[{number}]"
        if not 0.0 <= fault.at_s <= 600.0 or not 0.0 <= fault.for_s <= 60.0:
            raise SoakInputError(f"{where}: at_s must be from 0 to 600, for_s from 0 to 60")
        if not 0 <= fault.target < targets.get(fault.kind, plan.proxies):
            raise SoakInputError(f"{where}: target: there is no number {fault.target}")
        known = modes.get(fault.kind)
        if known is not None and fault.mode not in {mode.value for mode in known}:
            raise SoakInputError(f"{where}: mode: unknown {fault.mode!r}")


def read_seeds(text: str) -> list[int]:
    """Return the seeds of `A..B` or `A`; raises `SoakInputError`."""
    first, dots, last = text.partition("..")
    try:
        low, high = int(first), int(last if dots else first)
    except ValueError:
        raise SoakInputError(f"--seeds: not A..B: {text[:40]!r}") from None
    if not 0 <= low <= high < MAX_SEED or high - low >= 10_000:
        raise SoakInputError(f"--seeds: must be A..B with 0 <= A <= B, 10,000 at most: {text[:40]!r}")
    return list(range(low, high + 1))
