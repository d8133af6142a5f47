"""The leader's view of the fleet, and the divisor for fleet-wide bounds.

Control nodes report their subscribers to the leader, which adds up how many proxies are alive and how far
they have applied the log.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from cloverwell.control.messages import FleetCount, RefusalCount, SubscriberReport

REPORT_TIMEOUT_MS = 2500.0  # after five missed reports, a node's subscribers count as hidden


def bound_divisor(fleet_count: FleetCount, provisioned: int, has_lease: bool) -> int:
    """Returns the number by which a fleet-wide bound is divided, for all proxies together to stay within it.

    `provisioned` is the largest number of proxies that may be alive (`peers-total`). `has_lease` says
    whether this proxy holds a lease, so that `fleet_count` is the leader's current one. A proxy without a
    lease or a complete count divides by `provisioned`, which gives the smallest safe share. Hidden proxies
    count as alive: too high a number only leaves some of the bound unused.
    """
    if not has_lease or not fleet_count.complete:
        return max(provisioned, 1)
    return max(1, min(fleet_count.alive + fleet_count.hidden, max(provisioned, fleet_count.alive)))


class ActivationCount(msgspec.Struct, frozen=True):
    """The number of proxies at which the entry at an index is active: `applied` of `alive`.

    `refused` counts those that could not apply it, which are not among the applied. `hidden` and `complete`
    are as in `FleetCount`. `oldest_index` is that of the proxy furthest behind, None without any proxy.
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
    """The latest reports of all control nodes, at a leader, from the beginning of its term on."""

    def __init__(self, nodes: tuple[str, ...], forget_after_ms: float, now_ms: float) -> None:
        """Starts without reports; a node's subscribers are forgotten `forget_after_ms` after its last one."""
        self._nodes = nodes
        self._forget_after_ms = forget_after_ms
        self._started_at_ms = now_ms
        self._reports: dict[str, SubscriberReport] = {}
        self._reported_at_ms: dict[str, float] = {}

    def record_report(self, report: SubscriberReport, now_ms: float) -> None:
        """Records the report of a control node; one of an unknown node is ignored."""
        if report.node in self._nodes:
            self._reports[report.node] = report
            self._reported_at_ms[report.node] = now_ms

    def fleet_count(self, now_ms: float) -> FleetCount:
        """Returns how many proxies are alive and hidden."""
        alive = hidden = 0
        for node, report in self._reports.items():
            if self._has_reported_lately(node, now_ms):
                alive += report.alive
                hidden += report.lost
            elif now_ms - self._reported_at_ms[node] <= self._forget_after_ms:
                hidden += report.alive + report.lost
        all_reported = len(self._reports) == len(self._nodes)
        # A node that is gone for good must not keep the count incomplete for ever.
        complete = all_reported or now_ms - self._started_at_ms > self._forget_after_ms
        return FleetCount(alive, hidden, complete)

    def activation_count(self, index: int, now_ms: float) -> ActivationCount:
        """Returns at how many proxies the entry at an index is active.

        A proxy that has refused it and gone on past it does not count as having applied it.
        """
        reports = [
            report for node, report in self._reports.items() if self._has_reported_lately(node, now_ms)
        ]
        positions: Counter[int] = Counter()
        for report in reports:
            for position in report.positions:
                positions[position.index] += position.proxies
        refusals = tuple(refusal for report in reports for refusal in report.refusals)
        refused = sum(refusal.proxies for refusal in refusals if refusal.index == index)
        reached_count = sum(proxies for reached_index, proxies in positions.items() if reached_index >= index)
        fleet_count = self.fleet_count(now_ms)
        return ActivationCount(
            index,
            max(0, reached_count - refused),
            refused,
            fleet_count.alive,
            fleet_count.hidden,
            fleet_count.complete,
            min(positions, default=None),
            refusals,
        )

    def _has_reported_lately(self, node: str, now_ms: float) -> bool:
        return now_ms - self._reported_at_ms[node] <= REPORT_TIMEOUT_MS
