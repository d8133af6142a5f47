"""The result of a run, and its form as JSON Lines.

The format is one object a line, its `kind` first. A file stays readable when lines are appended or cut off,
in any language and by eye; a run has a few hundred short lines, for which no database is needed.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from functools import cached_property
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from lab.scale import machine, messages
from lab.scale.measure import (
    ActivationMeasure,
    Comparison,
    HollowCost,
    ProcessCost,
    RevisionCounts,
    hollow_cost,
    percentiles_ms,
)
from lab.scale.membership import MemberList, digest
from lab.scale.scenario import ScaleScenario

DELAY_SHARES = ("p50", "p99", "p100")


@dataclass(frozen=True)
class ScaleResult:
    """Everything that was counted and measured between the first change and the last, `seconds` later.

    `measures` are by source, `totals` by process, `replica` is discovery's list at the end, `empty_name` the
    process without hollow proxies, and `faults` describes the scenario's faults in the order they began.
    """

    scenario: ScaleScenario
    seconds: float
    measures: dict[str, ActivationMeasure]
    replica: MemberList
    totals: dict[str, messages.Totals]
    costs: list[ProcessCost]
    empty_name: str
    faults: list[str]
    load_before: machine.LoadAverage
    load_after: machine.LoadAverage

    @property
    def server_list(self) -> ActivationMeasure:
        """The measure of discovery's list."""
        return self.measures[messages.SERVER_LIST]

    @property
    def _hollow_totals(self) -> list[messages.HollowTotals]:
        return [totals for totals in self.totals.values() if isinstance(totals, messages.HollowTotals)]

    @cached_property
    def _comparison(self) -> Comparison:
        final = {listed.proxy: listed for totals in self._hollow_totals for listed in totals.lists}
        return self.server_list.compare(final, self.replica.revision, digest(self.replica.members.values()))

    @property
    def activation_delays(self) -> HdrHistogram:
        """The delay in us from each change to its activation at each hollow proxy."""
        return self._comparison.delays

    @property
    def revision_counts(self) -> RevisionCounts:
        """The counts of lost, repeated and misplaced revisions."""
        return self._comparison.counts

    @property
    def unexpected(self) -> int:
        """The number of unexpected exceptions in hollow processes."""
        return sum(totals.faults for totals in self._hollow_totals)

    @property
    def most_lag_ms(self) -> float:
        """The greatest delay of a timer of a hollow process."""
        return max((totals.most_lag_ms for totals in self._hollow_totals), default=0.0)

    @property
    def good(self) -> bool:
        """Whether nothing was lost, misplaced or unexpected."""
        return self.revision_counts.kept and not self.unexpected

    @property
    def hollow_cost(self) -> HollowCost | None:
        """The cost of a hollow proxy, by difference to the process without proxies; None if unknown."""
        empty = [cost for cost in self.costs if cost.name == self.empty_name]
        return hollow_cost(self.costs, empty[0], self.seconds) if empty else None

    def quantities(self) -> dict[str, float]:
        """Returns the quantities that lines are fitted to, by name with its unit."""
        delays = percentiles_ms(self.activation_delays)
        found = {f"in_force_{share}_ms": delays[share] for share in DELAY_SHARES if share in delays}
        if (cpu_ms := self.server_list.mean_cpu_ms()) is not None:
            found["take_cpu_mean_ms"] = cpu_ms
        if (cost := self.hollow_cost) is not None:
            found |= {"hollow_cpu_percent": cost.cpu_percent, "hollow_rss_mb": cost.rss_mb}
        found |= self._discovery_quantities()
        real = [cost for cost in self.costs if cost.name.startswith("real-")]
        if real:
            found["real_cpu_percent"] = 100.0 * sum(cost.cpu_s for cost in real) / self.seconds / len(real)
            found["real_rss_mb"] = sum(cost.rss_mb for cost in real) / len(real)
        return {name: round(value, 4) for name, value in found.items()}

    def _discovery_quantities(self) -> dict[str, float]:
        totals = self.totals.get("discovery")
        if not isinstance(totals, messages.DiscoveryTotals) or not totals.seconds:
            return {}
        proxy_seconds = totals.seconds * self.scenario.proxies
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
        """Returns the objects of the lines; `name` is the scenario's."""
        return [
            self._head(name),
            self._summary(),
            *(_delays_line(source, histogram) for source, histogram in self._histograms().items()),
            {"kind": "orders"} | asdict(self.revision_counts),
            *(
                {"kind": "totals", "process": process} | _totals_fields(totals)
                for process, totals in self.totals.items()
            ),
            *({"kind": "cost"} | asdict(cost) for cost in self.costs),
        ]

    def _histograms(self) -> dict[str, HdrHistogram]:
        """Returns the delays by source; the lists at the end are compared for discovery alone."""
        histograms = {messages.SERVER_LIST: self.activation_delays}
        for source, measure in self.measures.items():
            if source != messages.SERVER_LIST:
                histograms[source] = measure.compare({}, 0, "").delays
        return histograms

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
            "seed": self.scenario.seed,
            "git": machine.git_revision(),
            "machine": machine.description(),
            "load_average": {"before": self.load_before, "after": self.load_after},
            "seconds": round(self.seconds, 3),
            "proxies": {"hollow": self.scenario.hollow.count, "real": self.scenario.real.count},
            "nodes": self.scenario.nodes.count,
            "changes": len(self.server_list.changes),
            "faults": self.faults,
            "settings": msgspec.to_builtins(self.scenario),
        }


def _delays_line(source: str, histogram: HdrHistogram) -> dict[str, Any]:
    return {
        "kind": "in-force",
        "source": source,
        "count": histogram.get_total_count(),
        "ms": percentiles_ms(histogram),
        "hdrhistogram_us": histogram.encode().decode(),
    }


def _totals_fields(totals: messages.Totals) -> dict[str, Any]:
    fields: dict[str, Any] = msgspec.to_builtins(totals)
    del fields["type"]
    fields.pop("lists", None)  # they are long, and were compared already (`orders`)
    return fields


def write_text(result: ScaleResult, name: str) -> str:
    """Returns the result as JSON Lines; `name` is the scenario's."""
    return "".join(json.dumps(line) + "\n" for line in result.lines(name))
