"""Connections to nodes, by what the nodes do with idle ones: learnt limits against one fixed idle time.

    python benchmarks/connections.py [--seconds 300] [--per-s 120] [--nodes 12] [--json]

Runs in virtual time, so the counts are the same on every machine; the CPU time is this machine's.
"""

import argparse
import json
import resource
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cloverwell.connections.metrics import ConnectionEvent
from lab.attempts import PATTERNS, Fixed, Rig


def cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def measure(name: str, policy: str, args: argparse.Namespace) -> dict[str, object]:
    """`idle_close_ms` is the platform's 5 s, half of which is the most that either policy keeps one."""
    back = Fixed if policy == "fixed" else None
    rig = Rig(args.nodes, args.descriptors, idle_close_ms=args.idle_close_ms, back=back)
    PATTERNS[name](rig)
    begun = cpu_s()
    rig.load(args.per_s, args.seconds)
    attempts = rig.tally.attempts
    return {
        "pattern": name,
        "policy": policy,
        "attempts": attempts,
        "stale_share": rig.stale / attempts,
        "dear_lost": rig.tally.costly_lost,
        "caught": rig.metrics.total(ConnectionEvent.CAUGHT),
        "handshakes_an_attempt": rig.handshakes / attempts,
        "p50_ms": rig.percentile(0.5),
        "p99_ms": rig.percentile(0.99),
        "cpu_us_an_attempt": 1e6 * (cpu_s() - begun) / attempts,
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--per-s", type=float, default=120.0)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--descriptors", type=int, default=512)
    parser.add_argument("--idle-close-ms", type=float, default=5000.0)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    rows = [measure(name, policy, args) for name in PATTERNS for policy in ("fixed", "learnt")]
    if args.json:
        print(json.dumps(rows, indent=1))
        return 0
    print(f"{'pattern':27} policy    attempts  stale %  dear lost  handshakes each  p50 ms  p99 ms  us each")
    for row in rows:
        print(
            f"{row['pattern']:27} {row['policy']:7} {row['attempts']:6d} {100 * row['stale_share']:8.3f}"
            f" {row['costly_lost']:10d} {row['handshakes_an_attempt']:15.3f} {row['p50_ms']:7.1f}"
            f" {row['p99_ms']:7.1f} {row['cpu_us_an_attempt']:7.0f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
