"""Sums the `counts` lines of a whole fleet's logs: what all proxies did together, by windows of time.

    python benchmarks/fleet_counts.py FOLDER [--window SECONDS]

FOLDER holds one log a proxy. The time of a line is the first word where that is a decimal number (a
collector's stamp, seconds), else the proxy's own stamp (milliseconds). Sums stand in each window and in all;
of values told with `<` the highest is kept. The last column is the sum per request taken.
"""

import argparse
import sys
from collections import defaultdict
from pathlib import Path


def read(line: str) -> tuple[float, list[str]] | None:
    """(seconds, the counts) of a line of counts, None of any other."""
    head, kind, told = line.partition(" info counts: ")
    words = head.split()
    if not kind or not words:
        return None
    return (float(words[0]) if "." in words[0] else float(words[-1]) / 1000.0), told.split()


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("folder", type=Path)
    parser.add_argument("--window", type=float, default=5.0, help="seconds (5)")
    args = parser.parse_args()
    logs = sorted(args.folder.glob("*.log")) if args.folder.is_dir() else []
    if not logs:
        print(f"folder: no *.log in {args.folder}", file=sys.stderr)
        return 2
    table: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
    for path in logs:
        for line in path.read_text(errors="replace").splitlines():
            if (told := read(line)) is None:
                continue
            # A line tells of the time before it.
            window = int((told[0] - 1e-3) / args.window)
            for word in told[1]:
                if "<" in word:
                    name, _, value = word.partition("<")
                    table["<" + name][window] = max(table["<" + name][window], float(value))
                else:
                    name, _, value = word.partition("=")
                    table[name][window] += float(value)
    windows = sorted({window for row in table.values() for window in row})
    taken = sum(table["taken"].values()) or 1.0
    print(
        f"{len(logs)} logs; seconds from".ljust(30),
        *(f"{w * args.window:7.0f}" for w in windows),
        "    all  each",
    )
    for name in sorted(table):
        row = table[name]
        most = name.startswith("<")
        total = max(row.values()) if most else sum(row.values())
        each = "" if most else f"{total / taken:6.3f}"
        print(name.ljust(30), *(f"{row[w]:7.0f}" for w in windows), f"{total:7.0f}", each)
    return 0


if __name__ == "__main__":
    sys.exit(main())
