"""Measures how soon a tier detects a death, and what its gossip costs, in virtual time over tiers and losses.

    python benchmarks/gossip_view.py [--tiers 2 16 64 256 480] [--losses 0 0.1] [--seeds 3] [--json]

All proxies of a tier start at once. How long they take to agree on who is alive is reported by itself,
together with the greatest load of a proxy in half a second of that time. After a quiet time one proxy dies,
and ten more seconds are run. Bytes are those of the datagrams; IPv4 and UDP add headers of 28 bytes to each.
CPU time is that of all proxies of a tier together on this machine, divided by their number.
"""

from __future__ import annotations

import argparse
import json
import math
import sys
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab.datagrams import DatagramNetwork
from lab.fit import Line, fit

MAX_START_S = 60.0  # The longest time that a tier may take to agree after its start.
STEP_S = 0.5  # How often agreement is checked.
SETTLE_S = 90.0  # By then the updates of the start have been disseminated.
QUIET_S = 10.0
DEATH_S = 10.0
DEAD_PROXY = 0
MIN_TIERS_TO_FIT = 3


@dataclass(slots=True, frozen=True)
class TierMeasurement:
    """The result for one tier and loss: loads are by proxy and second, times in seconds.

    `met_s`, `start_bytes_per_s` and `death_all_s` are those of the worst seed.
    """

    proxies: int
    loss: float
    seeds: int
    met_s: float
    start_bytes_per_s: float
    death_all_s: float
    death_p50_s: float
    death_p99_s: float
    false_deaths: int
    quiet_datagrams_per_s: float
    quiet_bytes_per_s: float
    quiet_cpu_ms_per_s: float
    death_datagrams_per_s: float
    death_bytes_per_s: float
    death_cpu_ms_per_s: float


@dataclass(slots=True, frozen=True)
class Load:
    """What the proxies of a tier send and cost; as a total, or by proxy and second."""

    datagrams: float = 0.0
    sent_bytes: float = 0.0
    cpu_ms: float = 0.0

    def __add__(self, other: Load) -> Load:
        """Return the sum of both."""
        return Load(
            self.datagrams + other.datagrams,
            self.sent_bytes + other.sent_bytes,
            self.cpu_ms + other.cpu_ms,
        )

    def since(self, earlier: Load, divisor: float) -> Load:
        """Return the difference to an earlier total, divided by `divisor`."""
        return Load(
            (self.datagrams - earlier.datagrams) / divisor,
            (self.sent_bytes - earlier.sent_bytes) / divisor,
            (self.cpu_ms - earlier.cpu_ms) / divisor,
        )


class LoadMeter:
    """Measures the load of a tier between two readings."""

    def __init__(self, network: DatagramNetwork) -> None:
        """Start to measure at the network's present time."""
        self._network = network
        self._last_s = network.now_s
        self._last_total = self._total()

    def _total(self) -> Load:
        sent = sum(self._network.sent.values())
        sent_bytes = sum(self._network.sent_bytes.values())
        return Load(sent, sent_bytes, 1000.0 * time.process_time())

    def read(self) -> Load:
        """Return the load since the last reading, by proxy and second."""
        total = self._total()
        proxy_seconds = (self._network.now_s - self._last_s) * len(self._network.processes)
        load = total.since(self._last_total, proxy_seconds)
        self._last_s = self._network.now_s
        self._last_total = total
        return load


@dataclass(slots=True)
class SeedResults:
    """What was measured of one tier and loss, over all seeds so far."""

    met_s: list[float] = field(default_factory=list)
    start_bytes_per_s: list[float] = field(default_factory=list)
    death_all_s: list[float] = field(default_factory=list)
    death_s: list[float] = field(default_factory=list)  # Of each proxy that has detected the death.
    false_deaths: int = 0
    quiet: Load = field(default_factory=Load)
    death: Load = field(default_factory=Load)


def percentile(values: list[float], share: float) -> float:
    """Return the value below which this share of the values lies; infinity if there are none."""
    if not values:
        return math.inf
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_start(network: DatagramNetwork, meter: LoadMeter, results: SeedResults) -> None:
    """Run until all proxies hold each other for alive."""
    everybody = set(range(len(network.processes)))
    max_bytes_per_s = 0.0
    while not network.agree(everybody) and network.now_s < MAX_START_S:
        network.run(STEP_S)
        max_bytes_per_s = max(max_bytes_per_s, meter.read().sent_bytes)
    results.met_s.append(network.now_s)
    results.start_bytes_per_s.append(max_bytes_per_s)


def run_quiet(network: DatagramNetwork, meter: LoadMeter, results: SeedResults) -> None:
    """Run on until the start's updates have been disseminated, and measure the time after that."""
    network.run(SETTLE_S - network.now_s)
    meter.read()
    network.run(QUIET_S)
    results.quiet += meter.read()


def run_death(network: DatagramNetwork, meter: LoadMeter, results: SeedResults) -> None:
    """Let one proxy die, and measure when the others detect it."""
    died_s = network.now_s
    network.crash(DEAD_PROXY)
    network.run(DEATH_S)
    results.death += meter.read()
    deaths = network.deaths()
    detected_s = [death.at_s - died_s for death in deaths if death.dead == DEAD_PROXY]
    results.false_deaths += len(deaths) - len(detected_s)
    results.death_s += detected_s
    detected_by_all = len(detected_s) == len(network.processes) - 1
    results.death_all_s.append(max(detected_s) if detected_by_all else math.inf)


def measure_tier(total: int, loss: float, seeds: int) -> TierMeasurement:
    """Run a tier of `total` proxies with so many seeds."""
    results = SeedResults()
    for seed in range(seeds):
        network = DatagramNetwork(total, seed, loss)
        meter = LoadMeter(network)
        run_start(network, meter, results)
        run_quiet(network, meter, results)
        run_death(network, meter, results)
    return TierMeasurement(
        proxies=total,
        loss=loss,
        seeds=seeds,
        met_s=max(results.met_s),
        start_bytes_per_s=max(results.start_bytes_per_s),
        death_all_s=max(results.death_all_s),
        death_p50_s=percentile(results.death_s, 0.5),
        death_p99_s=percentile(results.death_s, 0.99),
        false_deaths=results.false_deaths,
        quiet_datagrams_per_s=results.quiet.datagrams / seeds,
        quiet_bytes_per_s=results.quiet.sent_bytes / seeds,
        quiet_cpu_ms_per_s=results.quiet.cpu_ms / seeds,
        death_datagrams_per_s=results.death.datagrams / seeds,
        death_bytes_per_s=results.death.sent_bytes / seeds,
        death_cpu_ms_per_s=results.death.cpu_ms / seeds,
    )


def fit_quiet_bytes(measurements: list[TierMeasurement], loss: float) -> Line:
    """Return the line of quiet bytes a second over the tier's size, at one loss."""
    chosen = [row for row in measurements if row.loss == loss]
    return fit([row.proxies for row in chosen], [row.quiet_bytes_per_s for row in chosen])


def print_table(measurements: list[TierMeasurement], fits: dict[float, Line], seeds: int) -> None:
    """Print a line for each tier and loss, and the fitted lines."""
    print(f"{seeds} seeds each; by proxy and second, but for times (s) and false deaths")
    print(
        "proxies loss   met start B  p50   p99   all  false  quiet: sent   B  CPU ms  death: sent   B  CPU ms"
    )
    for row in measurements:
        print(
            f"{row.proxies:7d} {row.loss:4.2f} {row.met_s:5.1f} {row.start_bytes_per_s:7.0f}"
            f" {row.death_p50_s:5.2f} {row.death_p99_s:5.2f} {row.death_all_s:5.2f} {row.false_deaths:6d}"
            f" {row.quiet_datagrams_per_s:12.1f} {row.quiet_bytes_per_s:5.0f} {row.quiet_cpu_ms_per_s:6.2f}"
            f" {row.death_datagrams_per_s:12.1f} {row.death_bytes_per_s:5.0f} {row.death_cpu_ms_per_s:6.2f}"
        )
    for loss, line in fits.items():
        print(
            f"loss {loss}: {line.at_zero:.0f} + {line.slope:.3g} (+- {line.slope_error:.2g}) bytes/s a proxy"
        )


def print_json(measurements: list[TierMeasurement], fits: dict[float, Line]) -> None:
    """Print the measurements and the fitted lines as JSON."""
    lines = {loss: line.as_dict() for loss, line in fits.items()}
    rows = [asdict(row) for row in measurements]
    print(json.dumps({"rows": rows, "quiet_bytes_per_s_by_proxies": lines}, indent=1))


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--tiers", type=int, nargs="+", default=[2, 3, 4, 8, 16, 32, 64, 128, 256, 480])
    parser.add_argument("--losses", type=float, nargs="+", default=[0.0, 0.1])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--json", action="store_true")
    return parser.parse_args()


def main() -> None:
    """Measure each tier with each loss, and print the results."""
    arguments = parse_arguments()
    measurements = [
        measure_tier(total, loss, arguments.seeds) for total in arguments.tiers for loss in arguments.losses
    ]
    fits = {}
    if len(set(arguments.tiers)) >= MIN_TIERS_TO_FIT:
        fits = {loss: fit_quiet_bytes(measurements, loss) for loss in arguments.losses}
    if arguments.json:
        print_json(measurements, fits)
    else:
        print_table(measurements, fits, arguments.seeds)


if __name__ == "__main__":
    main()
