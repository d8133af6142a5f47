"""Counts the windows in which a proxy refused most of its misses though it sent the origin next to nothing.

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
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

MIN_REFUSED = 30  # requests that were refused as `queue` in a window
MIN_OUTCOMES_SHARE = 0.2  # of these; with fewer outcomes at the origin the window is a lock-out
COUNT = re.compile(r"([\w.]+)=(\d+)")


@dataclass
class Day:
    """The sums over all proxies of one day.

    `windows` counts the lock-outs, and `locked` the requests that were taken in them.
    """

    windows: int = 0
    locked: int = 0
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, line: dict[str, int]) -> None:
        """Adds one line of counts, which is one proxy's window."""
        self.counts.update(line)
        refused = line.get("refused.queue", 0)
        outcomes = sum(count for name, count in line.items() if name.startswith("origin."))
        if refused >= MIN_REFUSED and outcomes < MIN_OUTCOMES_SHARE * refused:
            self.windows += 1
            self.locked += line.get("taken", 0)

    def __str__(self) -> str:
        """Returns the line that is printed for the day."""
        reasons = sorted(self._reasons(), reverse=True)
        listed = ", ".join(f"{name} {count}" for count, name in reasons)
        taken = self.counts["taken"]
        return f"{self.windows} windows, {self.locked} of {taken} requests in them; {listed}"

    def _reasons(self) -> Iterator[tuple[int, str]]:
        for name, count in self.counts.items():
            if name.startswith(("refused.", "failed.")):
                yield count, name


def read(folder: Path) -> Day:
    """Returns the sums of the logs in a folder. Raises OSError if a file can't be read."""
    day = Day()
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if " counts: " in line:
                day.add({name: int(count) for name, count in COUNT.findall(line)})
    return day


def main() -> None:
    """Prints a line for each folder, or ends with code 2 if one is missing."""
    folders = [Path(name) for name in sys.argv[1:]]
    if not folders or not all(folder.is_dir() for folder in folders):
        print("origin_lockouts.py: FOLDER: at least one is needed, each a folder of logs", file=sys.stderr)
        sys.exit(2)
    for folder in folders:
        print(f"{folder.name}: {read(folder)}")


if __name__ == "__main__":
    main()
