"""What a run's reports come to: delays until changes were in force, the order of revisions, costs. No I/O."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

from hdrh.histogram import HdrHistogram

from lab.scale import messages

HIGHEST_US = 600_000_000
DIGITS = 3
MOST_NAMED = 10
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


@dataclass(slots=True)
class Orders:
    """Counts over all proxies; the first four are 0 where all is well."""

    out_of_order: int = 0  # a revision came after a later one
    repeated: int = 0  # the same changes came again
    lost: int = 0  # changes that a proxy alive at the end never had in force
    wrong_lists: int = 0  # proxies whose list at the end is not discovery's
    merged: int = 0  # revisions that came together with a later one, in one answer
    taken: int = 0  # answers that had something new
    not_followed: int = 0  # changes whose proxy ended before it had them
    behind: list[str] = field(default_factory=list)  # some of the proxies with wrong lists, by name

    @property
    def kept(self) -> bool:
        """Nothing was lost or came out of order."""
        return not (self.out_of_order or self.repeated or self.lost or self.wrong_lists)


class InForceMeasure:
    """Collects one source's changes and what proxies took of them, and compares both once the run is over."""

    def __init__(self) -> None:
        self.changes: list[messages.Changed] = []
        self._rows: dict[tuple[str, int], list[messages.ActivationCount]] = defaultdict(list)
        self._latest: dict[str, int] = {}

    def changed(self, change: messages.Changed) -> None:
        """Discovery has a new revision."""
        self.changes.append(change)

    def took(self, row: messages.ActivationCount) -> None:
        """A proxy took a revision; each proxy's come in their order."""
        self._rows[row.proxy, row.incarnation].append(row)
        self._latest[row.proxy] = row.revision

    def mean_cpu_ms(self) -> float | None:
        """CPU time of a proxy to take an answer with something new; None where there was none."""
        costs = [row.cpu_ms for rows in self._rows.values() for row in rows if row.lines and not row.held]
        return sum(costs) / len(costs) if costs else None

    def revision_of(self, proxy: str) -> int:
        """The last one that it took; -1 before the first."""
        return self._latest.get(proxy, -1)

    def compare(
        self, final: dict[str, messages.FinalList], revision: int, digest: str
    ) -> tuple[HdrHistogram, Orders]:
        """Delays in us, and the counts; `final` has the lists of all proxies that were there at the end."""
        histogram, orders = HdrHistogram(1, HIGHEST_US, DIGITS), Orders()
        latest: dict[str, int] = {}
        for proxy, incarnation in self._rows:
            latest[proxy] = max(incarnation, latest.get(proxy, incarnation))
        for (proxy, incarnation), rows in self._rows.items():
            _count_order(rows, orders)
            delays, missing = delays_s(self.changes, rows)
            for delay_s in delays:
                histogram.record_value(min(HIGHEST_US, max(1, round(1e6 * delay_s))))
            if proxy in final and incarnation == latest[proxy]:
                orders.lost += missing
            else:
                orders.not_followed += missing
        for listed in final.values():
            if (listed.revision, listed.digest) != (revision, digest):
                orders.wrong_lists += 1
                orders.behind += [listed.proxy] if len(orders.behind) < MOST_NAMED else []
        return histogram, orders


def delays_s(
    changes: list[messages.Changed], rows: list[messages.ActivationCount]
) -> tuple[list[float], int]:
    """Of one proxy since one start: the delay of each change that it had in force, and how many it had not.

    A change made before the proxy's start is no change to it.
    """
    delays, place = [], 0
    for number, change in enumerate(changes):
        if change.at_s < rows[0].at_s:
            continue
        while place < len(rows) and rows[place].revision < change.revision:
            place += 1
        if place == len(rows):
            return delays, len(changes) - number
        delays.append(max(0.0, rows[place].at_s - change.at_s))
    return delays, 0


def _count_order(rows: list[messages.ActivationCount], orders: Orders) -> None:
    for before, row in pairwise(rows):
        step = row.revision - before.revision
        if step < 0:
            orders.out_of_order += 1
        elif step == 0:
            orders.repeated += row.lines > 0 and not row.complete
        else:
            orders.taken += 1
            orders.merged += step - 1


def percentiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    """`p50` and so on, in ms; empty where nothing was recorded."""
    if not histogram.get_total_count():
        return {}
    return {f"p{share:g}": histogram.get_value_at_percentile(share) / 1000.0 for share in PERCENTILES}


@dataclass(frozen=True, slots=True)
class ProcessCost:
    """Of one process from the first change to the last: CPU seconds, and the most resident memory seen."""

    name: str
    cpu_s: float
    rss_mb: float
    proxies: int = 0  # hollow ones in it


@dataclass(frozen=True, slots=True)
class HollowCost:
    """Of one hollow proxy, by difference to a process without any."""

    cpu_percent: float
    rss_mb: float


def hollow_cost(costs: list[ProcessCost], empty: ProcessCost, seconds: float) -> HollowCost | None:
    """None where no process of hollow proxies lasted from the first change to the last."""
    costs = [cost for cost in costs if cost.proxies]
    proxies = sum(cost.proxies for cost in costs)
    if not proxies:
        return None
    cpu_s = sum(cost.cpu_s - empty.cpu_s for cost in costs)
    rss_mb = sum(cost.rss_mb - empty.rss_mb for cost in costs)
    return HollowCost(100.0 * cpu_s / seconds / proxies, rss_mb / proxies)
