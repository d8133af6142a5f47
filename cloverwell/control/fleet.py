"""How many proxies live and how far they are, as the leader adds it up; and what fleet-wide bounds
divide by."""

from __future__ import annotations

from collections import Counter

import msgspec

from cloverwell.control.messages import FleetCount, RefusalCount, SubscriberReport

UNHEARD_MS = 2500.0  # without a report for so long a control node's subscribers are hidden: five reports


def divide_by(count: FleetCount, provisioned: int, current: bool) -> int:
    """By what a fleet-wide bound is divided, for all proxies together to stay within it.

    `provisioned`: the most proxies that may live (`peers-total`). `current`: whether this proxy's lease
    runs, so that `count` is what the leader knows now. Whoever can't know (no lease, no whole count)
    takes the least share that is ever right. Hidden proxies count as alive: too high a number only
    leaves some of the bound unused.
    """
    if not current or not count.complete:
        return max(provisioned, 1)
    return max(1, min(count.alive + count.hidden, max(provisioned, count.alive)))


class ActivationCount(msgspec.Struct, frozen=True):
    """Where the entry at an index is in force: at `applied` of `alive` proxies.

    `refused`: those that could not load it, not among the applied. `hidden`, `complete`: as in FleetCount.
    `oldest_index`: the furthest back that a live proxy is, None without any.
    """

    index: int
    applied: int
    refused: int
    alive: int
    hidden: int
    complete: bool
    oldest_index: int | None
    refusals: tuple[RefusalCount, ...] = ()


class FleetView:
    """The reports of all control nodes, at a leader, from the beginning of its term on."""

    def __init__(self, nodes: tuple[str, ...], forget_ms: float, now: float) -> None:
        self._nodes = nodes
        self._forget_ms = forget_ms
        self._since = now
        self._reports: dict[str, SubscriberReport] = {}
        self._heard_at: dict[str, float] = {}

    def take(self, report: SubscriberReport, now: float) -> None:
        if report.node in self._nodes:
            self._reports[report.node] = report
            self._heard_at[report.node] = now

    def count(self, now: float) -> FleetCount:
        alive = hidden = 0
        for node, report in self._reports.items():
            if self._heard(node, now):
                alive += report.alive
                hidden += report.lost
            elif now - self._heard_at[node] <= self._forget_ms:
                hidden += report.alive + report.lost
        complete = len(self._reports) == len(self._nodes) or now - self._since > self._forget_ms
        return FleetCount(alive, hidden, complete)

    def in_force(self, index: int, now: float) -> ActivationCount:
        """Who has the entry at an index; a proxy that refused it and has gone on past it is no such."""
        heard = [report for node, report in self._reports.items() if self._heard(node, now)]
        positions: Counter[int] = Counter()
        for report in heard:
            for position in report.positions:
                positions[position.index] += position.proxies
        refusals = tuple(refusal for report in heard for refusal in report.refusals)
        refused = sum(refusal.proxies for refusal in refusals if refusal.index == index)
        reached = sum(proxies for at, proxies in positions.items() if at >= index)
        count = self.count(now)
        return ActivationCount(
            index,
            max(0, reached - refused),
            refused,
            count.alive,
            count.hidden,
            count.complete,
            min(positions, default=None),
            refusals,
        )

    def _heard(self, node: str, now: float) -> bool:
        return now - self._heard_at[node] <= UNHEARD_MS
