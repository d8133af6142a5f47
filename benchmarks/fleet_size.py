"""What the number of boxes costs one proxy: its start, a change of the list, a quiet second, and memory.

    python benchmarks/fleet_size.py [--boxes 12 60 200] [--json]

Each size is measured in a process of its own, on the virtual network: CPU time and memory are this machine's.
"""

import argparse
import gc
import json
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

IDLE_S = 20
CHANGES = 20


def rss_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 1e6


def measure(boxes: int) -> dict[str, float]:
    import cloverwell.__main__  # what a real proxy holds, its reactor included
    from cloverwell.net.routing_table import Listing, Member
    from lab.proxy import World

    gc.collect()
    before_mb, begun = rss_mb(), time.process_time()
    world = World(boxes)
    start_ms = 1000.0 * (time.process_time() - begun)
    cloverwell.__main__.collect_garbage()
    world.net.run_for(1.0)
    begun = time.process_time()
    world.net.run_for(IDLE_S)
    idle_ms = 1000.0 * (time.process_time() - begun) / IDLE_S
    table, member = world.service.table, None
    begun = time.process_time()
    for number in range(CHANGES):
        phase = "terminated" if number % 2 else "in_service"
        member = member or Member("fresh", "127.0.9.9:99", flavor="large")
        member.phase = phase
        table._take(Listing(42 + number, False, [member]))
        world.service.dispatcher.settle()
    change_ms = 1000.0 * (time.process_time() - begun) / CHANGES
    return {
        "boxes": boxes,
        "start_ms": start_ms,
        "change_ms": change_ms,
        "idle_ms_per_s": idle_ms,
        "rss_mb": rss_mb(),
        "rss_grown_mb": rss_mb() - before_mb,
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--boxes", type=int, nargs="+", default=[12, 60, 200])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one:
        print(json.dumps(measure(args.one)))
        return 0
    rows = []
    for boxes in args.boxes:
        run = subprocess.run([sys.executable, __file__, "--one", str(boxes)], capture_output=True, check=True)
        rows.append(json.loads(run.stdout))
    if args.json:
        print(json.dumps(rows, indent=1))
        return 0
    print("boxes  start ms  change ms  idle ms/s  RSS MB  of it by the boxes")
    for row in rows:
        print(
            f"{row['boxes']:5d} {row['start_ms']:9.1f} {row['change_ms']:10.2f} {row['idle_ms_per_s']:10.2f}"
            f" {row['rss_mb']:7.1f} {row['rss_grown_mb']:8.1f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
