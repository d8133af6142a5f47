"""Counts the windows in which a proxy refused most of its misses though the origin was asked next to nothing.

    python benchmarks/origin_lockouts.py FOLDER...

Each FOLDER holds the logs of one day, one file `NAME.log` a proxy. A window is what one line of counts
covers (5 s). It is a lock-out if at least 30 requests were refused as `queue` and fewer than a fifth as many
attempts at the origin ended in any way. Prints a line a folder: windows, requests taken in them, requests of
the day, and the sums of the day's refusals and failures by reason.
"""

from __future__ import annotations

import re
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

REFUSED_MIN = 30  # requests refused as `queue` in a window
OUTCOMES_PART = 0.2  # of them: at least so many outcomes at the origin, or it is a lock-out
COUNT = re.compile(r"([\w.]+)=(\d+)")


@dataclass
class Day:
    """The sums over all proxies of one day."""

    windows: int = 0
    locked: int = 0  # requests taken in those windows
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, line: dict[str, int]) -> None:
        """One line of counts: what one proxy counted in one window."""
        self.counts.update(line)
        refused = line.get("refused.queue", 0)
        outcomes = sum(count for name, count in line.items() if name.startswith("origin."))
        if refused >= REFUSED_MIN and outcomes < OUTCOMES_PART * refused:
            self.windows += 1
            self.locked += line.get("taken", 0)

    def __str__(self) -> str:
        reasons = sorted(
            (
                (count, name)
                for name, count in self.counts.items()
                if name.startswith(("refused.", "failed."))
            ),
            reverse=True,
        )
        told = ", ".join(f"{name} {count}" for count, name in reasons)
        taken = self.counts["taken"]
        return f"{self.windows} windows, {self.locked} of {taken} requests in them; {told}"


def read(folder: Path) -> Day:
    """The logs of one day. Raises OSError if a file can't be read."""
    day = Day()
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if " counts: " in line:
                day.add({name: int(count) for name, count in COUNT.findall(line)})
    return day


def main() -> None:
    folders = [Path(name) for name in sys.argv[1:]]
    if not folders or not all(folder.is_dir() for folder in folders):
        print("origin_lockouts.py: FOLDER: at least one is needed, each a folder of logs", file=sys.stderr)
        sys.exit(2)
    for folder in folders:
        print(f"{folder.name}: {read(folder)}")


if __name__ == "__main__":
    main()
