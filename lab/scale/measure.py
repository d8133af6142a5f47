"""Measurements from the reports of a run: activation delays, the order of revisions, and costs. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import NamedTuple

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from lab.scale import messages

HIGHEST_DELAY_US = 600_000_000
HISTOGRAM_DIGITS = 3
MAX_NAMED_PROXIES = 10
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


@dataclass(slots=True)
class RevisionCounts:
    """Counts of revisions over all proxies; the first four are 0 in a good run.

    - `out_of_order`: revisions that came after a later one.
    - `repeated`: answers with changes that the proxy had applied already.
    - `lost`: changes that a proxy which was alive at the end never applied.
    - `wrong_lists`: proxies whose list at the end differs from discovery's; `behind` names some of them.
    - `merged`: revisions that came together with a later one, in one answer.
    - `taken`: answers with at least one new revision.
    - `not_followed`: changes whose proxy ended before it applied them.
    """

    out_of_order: int = 0
    repeated: int = 0
    lost: int = 0
    wrong_lists: int = 0
    merged: int = 0
    taken: int = 0
    not_followed: int = 0
    behind: list[str] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Whether nothing was lost and nothing came out of order."""
        return not (self.out_of_order or self.repeated or self.lost or self.wrong_lists)


class ProxyLife(NamedTuple):
    """A proxy since one of its starts."""

    proxy: str
    incarnation: int


class Comparison(NamedTuple):
    """The result of comparing changes with activations; the histogram has the delays in microseconds."""

    delays: HdrHistogram
    counts: RevisionCounts


class ActivationDelays(NamedTuple):
    """The delay of each change that a proxy applied, and the number of changes that it did not."""

    delays_s: list[float]
    missing: int


class ActivationMeasure:
    """Collects the revisions of one source and their activations, and compares them once the run is over."""

    def __init__(self) -> None:
        """Begins without revisions."""
        self.changes: list[messages.RevisionPublished] = []
        self._activations: dict[ProxyLife, list[messages.Activation]] = defaultdict(list)
        self._latest_revision: dict[str, int] = {}  # by proxy

    def add_revision(self, change: messages.RevisionPublished) -> None:
        """Adds a revision that the source has published."""
        self.changes.append(change)

    def add_activation(self, activation: messages.Activation) -> None:
        """Adds an activation; those of one proxy must come in their order."""
        self._activations[ProxyLife(activation.proxy, activation.incarnation)].append(activation)
        self._latest_revision[activation.proxy] = activation.revision

    def mean_cpu_ms(self) -> float | None:
        """Returns the mean CPU time of an activation that had something new; None if there was none."""
        costs = [
            activation.cpu_ms
            for activations in self._activations.values()
            for activation in activations
            if activation.lines and not activation.held
        ]
        return sum(costs) / len(costs) if costs else None

    def revision_of(self, proxy: str) -> int:
        """Returns the last revision that the proxy applied, or -1."""
        return self._latest_revision.get(proxy, -1)

    def compare(self, final: dict[str, messages.FinalEndpointList], revision: int, digest: str) -> Comparison:
        """Returns the delays and the counts of the run.

        `final` has the lists of all proxies that were alive at the end, by proxy; `revision` and `digest` are
        those of discovery's list at that time.
        """
        histogram = HdrHistogram(1, HIGHEST_DELAY_US, HISTOGRAM_DIGITS)
        counts = RevisionCounts()
        last_incarnations = self._last_incarnations()
        for life, activations in self._activations.items():
            _count_revisions(activations, counts)
            delays_s, missing = activation_delays(self.changes, activations)
            for delay_s in delays_s:
                histogram.record_value(min(HIGHEST_DELAY_US, max(1, round(1e6 * delay_s))))
            if life.proxy in final and life.incarnation == last_incarnations[life.proxy]:
                counts.lost += missing
            else:
                counts.not_followed += missing
        _count_wrong_lists(final, revision, digest, counts)
        return Comparison(histogram, counts)

    def _last_incarnations(self) -> dict[str, int]:
        last: dict[str, int] = {}
        for proxy, incarnation in self._activations:
            last[proxy] = max(incarnation, last.get(proxy, incarnation))
        return last


def activation_delays(
    changes: Sequence[messages.RevisionPublished], activations: Sequence[messages.Activation]
) -> ActivationDelays:
    """Returns the delays of one proxy since one start; a change made before the start is left out."""
    delays_s: list[float] = []
    index = 0
    for number, change in enumerate(changes):
        if change.at_s < activations[0].at_s:
            continue
        while index < len(activations) and activations[index].revision < change.revision:
            index += 1
        if index == len(activations):
            return ActivationDelays(delays_s, len(changes) - number)
        delays_s.append(max(0.0, activations[index].at_s - change.at_s))
    return ActivationDelays(delays_s, 0)


def _count_revisions(activations: Sequence[messages.Activation], counts: RevisionCounts) -> None:
    for before, activation in pairwise(activations):
        step = activation.revision - before.revision
        if step < 0:
            counts.out_of_order += 1
        elif step == 0:
            counts.repeated += activation.lines > 0 and not activation.complete
        else:
            counts.taken += 1
            counts.merged += step - 1


def _count_wrong_lists(
    final: dict[str, messages.FinalEndpointList], revision: int, digest: str, counts: RevisionCounts
) -> None:
    for listed in final.values():
        if (listed.revision, listed.digest) == (revision, digest):
            continue
        counts.wrong_lists += 1
        if len(counts.behind) < MAX_NAMED_PROXIES:
            counts.behind.append(listed.proxy)


def percentiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    """Returns `p50` and so on in ms; empty if nothing was recorded."""
    if not histogram.get_total_count():
        return {}
    return {f"p{share:g}": histogram.get_value_at_percentile(share) / 1000.0 for share in PERCENTILES}


@dataclass(frozen=True, slots=True)
class ProcessCost:
    """The cost of a process from the first change to the last.

    `cpu_s` is CPU time, `rss_mb` the most resident memory seen, and `proxies` the number of hollow proxies.
    """

    name: str
    cpu_s: float
    rss_mb: float
    proxies: int = 0


@dataclass(frozen=True, slots=True)
class HollowCost:
    """The cost of one hollow proxy, by difference to a process without any."""

    cpu_percent: float
    rss_mb: float


def hollow_cost(costs: list[ProcessCost], empty: ProcessCost, seconds: float) -> HollowCost | None:
    """Returns the mean cost of a hollow proxy over `seconds`; `empty` is a process without proxies.

    None stands for no process of hollow proxies that lasted from the first change to the last.
    """
    costs = [cost for cost in costs if cost.proxies]
    proxies = sum(cost.proxies for cost in costs)
    if not proxies:
        return None
    cpu_s = sum(cost.cpu_s - empty.cpu_s for cost in costs)
    rss_mb = sum(cost.rss_mb - empty.rss_mb for cost in costs)
    return HollowCost(100.0 * cpu_s / seconds / proxies, rss_mb / proxies)
