"""Draws runs with little memory, crowds of hostile clients, and kills soon after a start."""

from __future__ import annotations

import random

import msgspec

from lab.soak.plan import Fault, FaultKind, SoakPlan, draw_plan

PROXIES = 2  # one with the first faults of the seed, and one that is killed soon after its start
DRAW_OFFSET = 1_000_003  # so that what a crowd does is drawn apart from the faults of the same seed
# Clients that send no whole request: what becomes of others is judged.
HOSTILE_KINDS = ("slow_write", "stopped_write", "half_line", "long_line", "many_fields", "silent")
HOSTILE_NUMBERS = (40, 80, 120)
MOST_KINDS = 3
MEMORY_MB = (32.0, 40.0, 48.0, 64.0)
REPLACED_MEMORY_MB = (72.0, 80.0, 96.0)  # two processes count as one proxy
RESTART_S = 1.0  # from a kill to the next start
EARLY_KILL_S = (0.1, 0.6, 1.2)  # from a start to the next kill


def draw_crowd_plan(seed: int) -> SoakPlan:
    """Return the plan of a seed with little memory, a hostile crowd, and a series of early kills.

    The first proxy has the faults that the seed draws for it without a crowd.
    """
    draw = random.Random(seed + DRAW_OFFSET)
    plan = draw_plan(seed)
    node_kinds = (FaultKind.NODE, FaultKind.ORIGIN)
    kept = [fault for fault in plan.faults if fault.kind in node_kinds or fault.target == 0]
    kinds = draw.sample(HOSTILE_KINDS, draw.randint(1, MOST_KINDS))
    hostile = {kind: draw.choice(HOSTILE_NUMBERS) for kind in kinds}
    faults = sorted([*kept, *_early_kills(draw, target=1)], key=lambda fault: fault.at_s)
    is_replaced = any(fault.kind is FaultKind.REPLACE for fault in kept)
    return msgspec.structs.replace(
        plan,
        proxies=PROXIES,
        crowd=False,
        hostile=hostile,
        memory_mb=draw.choice(REPLACED_MEMORY_MB if is_replaced else MEMORY_MB),
        faults=faults,
    )


def _early_kills(draw: random.Random, target: int) -> list[Fault]:
    """Return kills of one proxy, the second of them soon after a start."""
    killed_s = 1.0 + draw.uniform(0.0, 1.0)
    killed_again_s = killed_s + RESTART_S + draw.choice(EARLY_KILL_S)
    return [
        Fault(killed_s, FaultKind.KILL, target),
        Fault(killed_s + RESTART_S, FaultKind.START, target),
        Fault(killed_again_s, FaultKind.KILL, target),
        Fault(killed_again_s + RESTART_S, FaultKind.START, target),
    ]
