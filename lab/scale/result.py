"""What a run gave, and its results as JSON Lines.

The format: one object a line, its `kind` first. It is appended to and cut anywhere without being spoilt, and
read by any language and by eye; a run has a few hundred short lines, which no database is needed for.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from functools import cached_property
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from lab.scale import machine, messages
from lab.scale.measure import (
    HollowCost,
    InForceMeasure,
    Orders,
    ProcessCost,
    hollow_cost,
    percentiles_ms,
)
from lab.scale.membership import MemberList, digest
from lab.scale.scenario import World

LATENCY_SHARES = ("p50", "p99", "p100")


@dataclass(frozen=True)
class Outcome:
    """All that was counted and measured, between the first change and the last (`seconds`)."""

    world: World
    seconds: float
    measures: dict[str, InForceMeasure]  # by source
    replica: MemberList  # discovery's list at the end
    totals: dict[str, messages.Totals]
    costs: list[ProcessCost]
    empty_name: str
    faults: list[str]
    load_before: tuple[float, float, float]
    load_after: tuple[float, float, float]

    @property
    def server_list(self) -> InForceMeasure:
        """That of discovery's list."""
        return self.measures[messages.SERVER_LIST]

    @cached_property
    def _compared(self) -> tuple[HdrHistogram, Orders]:
        final = {
            listed.proxy: listed
            for totals in self.totals.values()
            if isinstance(totals, messages.HollowTotals)
            for listed in totals.lists
        }
        return self.server_list.compare(final, self.replica.revision, digest(self.replica.members.values()))

    @property
    def in_force(self) -> HdrHistogram:
        """Delays from a change to its being in force, in us, of each change at each hollow proxy."""
        return self._compared[0]

    @property
    def orders(self) -> Orders:
        """Lost, repeated and misplaced revisions."""
        return self._compared[1]

    @property
    def unexpected(self) -> int:
        """Exceptions in hollow processes that nothing expected."""
        hollow = (t for t in self.totals.values() if isinstance(t, messages.HollowTotals))
        return sum(totals.faults for totals in hollow)

    @property
    def most_lag_ms(self) -> float:
        """The latest that a hollow process's timer came."""
        hollow = (t for t in self.totals.values() if isinstance(t, messages.HollowTotals))
        return max((totals.most_lag_ms for totals in hollow), default=0.0)

    @property
    def good(self) -> bool:
        """Nothing was lost, misplaced or unexpected."""
        return self.orders.kept and not self.unexpected

    @property
    def hollow_cost(self) -> HollowCost | None:
        """By difference to the process without proxies."""
        empty = [cost for cost in self.costs if cost.name == self.empty_name]
        return hollow_cost(self.costs, empty[0], self.seconds) if empty else None

    def quantities(self) -> dict[str, float]:
        """What lines are fitted to, by name with its unit."""
        found: dict[str, float] = {}
        latency = percentiles_ms(self.in_force)
        found |= {f"in_force_{share}_ms": latency[share] for share in LATENCY_SHARES if share in latency}
        if (cpu_ms := self.server_list.mean_cpu_ms()) is not None:
            found["take_cpu_mean_ms"] = cpu_ms
        if (cost := self.hollow_cost) is not None:
            found |= {"hollow_cpu_percent": cost.cpu_percent, "hollow_rss_mb": cost.rss_mb}
        found |= self._discovery_quantities()
        real = [cost for cost in self.costs if cost.name.startswith("real-")]
        if real:
            found["real_cpu_percent"] = 100.0 * sum(c.cpu_s for c in real) / self.seconds / len(real)
            found["real_rss_mb"] = sum(cost.rss_mb for cost in real) / len(real)
        return {name: round(value, 4) for name, value in found.items()}

    def _discovery_quantities(self) -> dict[str, float]:
        totals = self.totals.get("discovery")
        if not isinstance(totals, messages.DiscoveryTotals) or not totals.seconds:
            return {}
        proxy_seconds = totals.seconds * self.world.proxies
        found = {
            "discovery_calls_per_s": totals.calls / totals.seconds,
            "bytes_to_proxy_per_s": totals.bytes_out / proxy_seconds,
            "bytes_from_proxy_per_s": totals.bytes_in / proxy_seconds,
        }
        for cost in self.costs:
            if cost.name == "discovery":
                found["discovery_cpu_percent"] = 100.0 * cost.cpu_s / self.seconds
                found["discovery_rss_mb"] = cost.rss_mb
        return found

    # As lines ----------------------------------------------------------------------------------

    def lines(self, name: str) -> list[dict[str, Any]]:
        """The results; `name` is the world's."""
        return [
            self._head(name),
            self._summary(),
            *(_in_force_line(source, histogram) for source, histogram in self._histograms().items()),
            {"kind": "orders"} | asdict(self.orders),
            *({"kind": "totals", "process": process} | _told(told) for process, told in self.totals.items()),
            *({"kind": "cost"} | asdict(cost) for cost in self.costs),
        ]

    def _histograms(self) -> dict[str, HdrHistogram]:
        """By source; lists at the end are compared for discovery's alone."""
        others = {source: m for source, m in self.measures.items() if source != messages.SERVER_LIST}
        found = {source: measure.compare({}, 0, "")[0] for source, measure in others.items()}
        return {messages.SERVER_LIST: self.in_force} | found

    def _summary(self) -> dict[str, Any]:
        return {
            "kind": "summary",
            "good": self.good,
            "most_lag_ms": self.most_lag_ms,
            "quantities": self.quantities(),
        }

    def _head(self, name: str) -> dict[str, Any]:
        return {
            "kind": "run",
            "world": name,
            "seed": self.world.seed,
            "git": machine.git_revision(),
            "machine": machine.description(),
            "load_average": {"before": self.load_before, "after": self.load_after},
            "seconds": round(self.seconds, 3),
            "proxies": {"hollow": self.world.hollow.count, "real": self.world.real.count},
            "nodes": self.world.nodes.count,
            "changes": len(self.server_list.changes),
            "faults": self.faults,
            "settings": msgspec.to_builtins(self.world),
        }


def _in_force_line(source: str, histogram: HdrHistogram) -> dict[str, Any]:
    return {
        "kind": "in-force",
        "source": source,
        "count": histogram.get_total_count(),
        "ms": percentiles_ms(histogram),
        "hdrhistogram_us": histogram.encode().decode(),
    }


def _told(totals: messages.Totals) -> dict[str, Any]:
    told = msgspec.to_builtins(totals)
    told.pop("type")
    told.pop("lists", None)  # compared already (`orders`), and long
    return told


def write_text(outcome: Outcome, name: str) -> str:
    """The results as JSON Lines."""
    return "".join(json.dumps(line) + "\n" for line in outcome.lines(name))
