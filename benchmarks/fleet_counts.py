"""Adds up the `counts` lines in the logs of a fleet: what all proxies did together, by windows of time.

    python benchmarks/fleet_counts.py FOLDER [--window SECONDS]

FOLDER holds one log for each proxy. The time of a line is its first word if that is a decimal number (the
stamp of a log collector, in seconds), else the proxy's own stamp (in milliseconds). Counters are added up in
each window and in all; of values marked with `<` the maximum is kept. The last column is the sum for each
request taken.
"""

from __future__ import annotations

import argparse
import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

REQUESTS = "taken"  # the counter of requests
MAXIMUM_MARK = "<"
NAME_COLUMNS = 30
# A line is about the time before it, so one exactly at the end of a window belongs to that window.
BEFORE_S = 1e-3


@dataclass(slots=True, frozen=True)
class CountsLine:
    """One line of counts: its time, and its words `name=sum` or `name<maximum`."""

    time_s: float
    words: list[str]


class WindowTable:
    """Counters and maxima of a fleet by name and window. Names of maxima begin with `<`."""

    def __init__(self, window_s: float) -> None:
        """Use windows of that length."""
        self.window_s = window_s
        self._rows: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))

    def add(self, line: CountsLine) -> None:
        """Add what one proxy counted."""
        window = int((line.time_s - BEFORE_S) / self.window_s)
        for word in line.words:
            if MAXIMUM_MARK in word:
                name, _, value = word.partition(MAXIMUM_MARK)
                row = self._rows[MAXIMUM_MARK + name]
                row[window] = max(row[window], float(value))
            else:
                name, _, value = word.partition("=")
                self._rows[name][window] += float(value)

    def print(self, title: str) -> None:
        """Print a row for each name and a column for each window, then all windows, then each request."""
        windows = sorted({window for row in self._rows.values() for window in row})
        requests = sum(self._rows[REQUESTS].values()) or 1.0
        starts = (f"{window * self.window_s:7.0f}" for window in windows)
        print(f"{title}; seconds from".ljust(NAME_COLUMNS), *starts, "    all  each")
        for name, row in sorted(self._rows.items()):
            is_maximum = name.startswith(MAXIMUM_MARK)
            total = max(row.values()) if is_maximum else sum(row.values())
            each = "" if is_maximum else f"{total / requests:6.3f}"
            values = (f"{row[window]:7.0f}" for window in windows)
            print(name.ljust(NAME_COLUMNS), *values, f"{total:7.0f}", each)


def read(line: str) -> CountsLine | None:
    """Parse a line of a log; return None if it is not one of counts."""
    head, separator, counts = line.partition(" info counts: ")
    stamps = head.split()
    if not separator or not stamps:
        return None
    time_s = float(stamps[0]) if "." in stamps[0] else float(stamps[-1]) / 1000.0
    return CountsLine(time_s, counts.split())


def table_of(logs: Iterable[Path], window_s: float) -> WindowTable:
    """Add up the counts in all logs."""
    table = WindowTable(window_s)
    for path in logs:
        for text in path.read_text(errors="replace").splitlines():
            line = read(text)
            if line is not None:
                table.add(line)
    return table


def main() -> int:
    """Print the table of a folder's logs; the exit code is 2 if it has none."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("folder", type=Path)
    parser.add_argument("--window", type=float, default=5.0, help="seconds (5)")
    options = parser.parse_args()
    logs = sorted(options.folder.glob("*.log")) if options.folder.is_dir() else []
    if not logs:
        print(f"folder: no *.log in {options.folder}", file=sys.stderr)
        return 2
    table_of(logs, options.window).print(f"{len(logs)} logs")
    return 0


if __name__ == "__main__":
    sys.exit(main())
