"""Compares learnt idle limits of node connections with one fixed idle time, for several kinds of nodes.

    python benchmarks/connections.py [--seconds 300] [--per-s 120] [--nodes 12] [--json]

Runs in virtual time, so the counts are the same on every machine; the CPU time is this machine's.
"""

import argparse
import json
import resource
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cloverwell.connections.metrics import ConnectionEvent
from lab.attempts import PATTERNS, Fixed, Rig


def cpu_s() -> float:
    """Returns the CPU seconds of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


@dataclass(slots=True, frozen=True)
class PolicyRow:
    """The result of one policy for one kind of nodes.

    `stale_share` is the share of attempts that were lost on a stale connection, `dear_lost` the number of
    those that must not be retried, and `caught` the stale connections that were found in time.
    """

    pattern: str
    policy: str
    attempts: int
    stale_share: float
    dear_lost: int
    caught: int
    handshakes_an_attempt: float
    p50_ms: float
    p99_ms: float
    cpu_us_an_attempt: float


def measure(name: str, policy: str, args: argparse.Namespace) -> PolicyRow:
    """Measures a policy, `fixed` or `learnt`, for the kind of nodes with this name.

    Either policy keeps a connection idle for at most half of `args.idle_close_ms`, the platform's limit.
    """
    make_policy = Fixed if policy == "fixed" else None
    rig = Rig(args.nodes, args.descriptors, idle_close_ms=args.idle_close_ms, make_policy=make_policy)
    PATTERNS[name](rig)
    began_s = cpu_s()
    rig.load(args.per_s, args.seconds)
    attempts = rig.tally.attempts
    return PolicyRow(
        pattern=name,
        policy=policy,
        attempts=attempts,
        stale_share=rig.stale / attempts,
        dear_lost=rig.tally.costly_lost,
        caught=rig.metrics.total(ConnectionEvent.STALE_DETECTED),
        handshakes_an_attempt=rig.handshakes / attempts,
        p50_ms=rig.percentile(0.5),
        p99_ms=rig.percentile(0.99),
        cpu_us_an_attempt=1e6 * (cpu_s() - began_s) / attempts,
    )


def main() -> int:
    """Measures each pattern of the nodes under both policies, and prints the rows."""
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
        print(json.dumps([asdict(row) for row in rows], indent=1))
        return 0
    print(f"{'pattern':27} policy    attempts  stale %  dear lost  handshakes each  p50 ms  p99 ms  us each")
    for row in rows:
        print(
            f"{row.pattern:27} {row.policy:7} {row.attempts:6d} {100 * row.stale_share:8.3f}"
            f" {row.dear_lost:10d} {row.handshakes_an_attempt:15.3f} {row.p50_ms:7.1f}"
            f" {row.p99_ms:7.1f} {row.cpu_us_an_attempt:7.0f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
