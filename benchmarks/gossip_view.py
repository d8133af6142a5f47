"""How soon a tier knows a death, and what its datagrams cost: views in virtual time, over tiers and losses.

    python benchmarks/gossip_view.py [--tiers 2 16 64 256 480] [--losses 0 0.1] [--seeds 3] [--json]

Each tier starts at once; how long it takes to meet, and the most that a proxy sends in half a second of that,
stand apart. Then it is quiet, one proxy dies, and ten more seconds are played. Bytes are those of the
datagrams; their heads below (28 bytes each with IPv4 and UDP) come on top. CPU is this machine's, of all the
proxies of a tier together, divided by their number.
"""

import argparse
import json
import math
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab.datagrams import Datagrams
from lab.fit import fit

MEET_S, STEP_S = 60.0, 0.5  # the longest that a tier may take to meet; a look at it
SETTLE_S = 90.0  # in which the news of the start have gone round
QUIET_S, DEATH_S = 10.0, 10.0


@dataclass(slots=True, frozen=True)
class Row:
    """Of one tier and loss: all a proxy; seconds, datagrams, bytes and ms a second."""

    proxies: int
    loss: float
    seeds: int
    met_s: float  # the slowest of the seeds, as the two that follow
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


class Meter:
    """What a tier sends and costs since the last look, a proxy and second."""

    def __init__(self, net: Datagrams) -> None:
        self.net = net
        self._looked_s, self._before = net.now_s, self._sums()

    def _sums(self) -> tuple[float, float, float]:
        return sum(self.net.sent.values()), sum(self.net.bytes.values()), 1000.0 * time.process_time()

    def look(self) -> tuple[float, float, float]:
        """Datagrams, bytes and ms of CPU."""
        sums = self._sums()
        share = (self.net.now_s - self._looked_s) * len(self.net.hosts)
        rates = tuple((after - before) / share for after, before in zip(sums, self._before, strict=True))
        self._looked_s, self._before = self.net.now_s, sums
        return rates


def at(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else math.inf


def play(total: int, loss: float, seeds: int) -> Row:
    known, all_by, met, start, false = [], [], [], [], 0
    quiet, death = [0.0, 0.0, 0.0], [0.0, 0.0, 0.0]
    for seed in range(seeds):
        net = Datagrams(total, seed, loss)
        meter, most = Meter(net), 0.0
        while not net.agree(set(range(total))) and net.now_s < MEET_S:
            net.run(STEP_S)
            most = max(most, meter.look()[1])
        met.append(net.now_s)
        start.append(most)
        net.run(SETTLE_S - net.now_s)
        meter.look()
        net.run(QUIET_S)
        quiet = [sum(pair) for pair in zip(quiet, meter.look(), strict=True)]
        died_s = net.now_s
        net.crash(0)
        net.run(DEATH_S)
        death = [sum(pair) for pair in zip(death, meter.look(), strict=True)]
        times = [when - died_s for when, _, whom in net.deaths() if whom == 0]
        false += sum(whom != 0 for _, _, whom in net.deaths())
        known += times
        all_by.append(max(times) if len(times) == total - 1 else math.inf)
    return Row(
        total, loss, seeds, max(met), max(start), max(all_by), at(known, 0.5), at(known, 0.99), false,
        *(value / seeds for value in quiet), *(value / seeds for value in death),
    )  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--tiers", type=int, nargs="+", default=[2, 3, 4, 8, 16, 32, 64, 128, 256, 480])
    parser.add_argument("--losses", type=float, nargs="+", default=[0.0, 0.1])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    rows = [play(total, loss, args.seeds) for total in args.tiers for loss in args.losses]
    lines = {}
    for loss in args.losses if len(set(args.tiers)) >= 3 else ():
        some = [row for row in rows if row.loss == loss]
        lines[loss] = fit([row.proxies for row in some], [row.quiet_bytes_per_s for row in some])
    if args.json:
        fits = {loss: line.as_dict() for loss, line in lines.items()}
        told = {"rows": [asdict(row) for row in rows], "quiet_bytes_per_s_by_proxies": fits}
        print(json.dumps(told, indent=1))
        return
    print(f"{args.seeds} seeds each; by proxy and second, but for times (s) and false deaths")
    print(
        "proxies loss   met start B  p50   p99   all  false  quiet: sent   B  CPU ms  death: sent   B  CPU ms"
    )
    for row in rows:
        print(
            f"{row.proxies:7d} {row.loss:4.2f} {row.met_s:5.1f} {row.start_bytes_per_s:7.0f}"
            f" {row.death_p50_s:5.2f} {row.death_p99_s:5.2f} {row.death_all_s:5.2f} {row.false_deaths:6d}"
            f" {row.quiet_datagrams_per_s:12.1f} {row.quiet_bytes_per_s:5.0f} {row.quiet_cpu_ms_per_s:6.2f}"
            f" {row.death_datagrams_per_s:12.1f} {row.death_bytes_per_s:5.0f} {row.death_cpu_ms_per_s:6.2f}"
        )
    for loss, line in lines.items():
        print(
            f"loss {loss}: {line.at_zero:.0f} + {line.slope:.3g} (+- {line.slope_error:.2g}) bytes/s a proxy"
        )


if __name__ == "__main__":
    main()
