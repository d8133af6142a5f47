"""The result of a scale run as text, for a person at a terminal."""

from __future__ import annotations

import msgspec

from lab.scale.messages import LoadTotals
from lab.scale.result import ScaleResult


def format_summary(name: str, result: ScaleResult) -> str:
    """Returns the summary that `lab scale run` prints; `name` is the scenario's."""
    scenario = result.scenario
    sizes = f"{scenario.hollow.count} hollow, {scenario.real.count} real proxies"
    lines = [f"{name}, seed {scenario.seed}: {sizes}, {scenario.nodes.count} nodes"]
    lines.append(f"  {len(result.server_list.changes)} changes in {result.seconds:.1f} s")
    lines += [f"  {fault}" for fault in result.faults]
    lines += [f"  {quantity:24} {value:g}" for quantity, value in result.quantities().items()]
    load_totals = result.totals.get("load")
    if isinstance(load_totals, LoadTotals):
        lines.append(f"  requests: {_format_requests(load_totals)}")
    lines.append(f"  revisions: {_format_revisions(result)}")
    lines.append(f"  latest timer of a hollow process: {result.most_lag_ms:g} ms")
    lines.append("  good" if result.good else f"  NOT GOOD ({result.unexpected} unexpected exceptions)")
    return "\n".join(lines)


def _format_requests(totals: LoadTotals) -> str:
    counts = msgspec.to_builtins(totals)
    return ", ".join(f"{key} {value}" for key, value in counts.items() if key not in ("type", "latency"))


def _format_revisions(result: ScaleResult) -> str:
    counts = msgspec.to_builtins(result.revision_counts)
    return ", ".join(f"{key} {value}" for key, value in counts.items() if value) or "none"
