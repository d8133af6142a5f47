"""Plays crowds before a process, a line for each: `python -m lab.memory MB KIND:NUMBER[+KIND:NUMBER]`."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from lab.memory.run import CrowdPlan, CrowdResult, play


def parse_crowd(text: str) -> dict[str, int]:
    """Return the numbers of clients in `KIND:NUMBER+KIND:NUMBER`."""
    words = (word.partition(":") for word in text.split("+"))
    return {kind: int(number) for kind, _, number in words}


def format_result(text: str, result: CrowdResult) -> str:
    """Return one line on a run."""
    usual = result.usual
    ended = "" if result.exit_code is None else f", ENDED with {result.exit_code}"
    return (
        f"{result.memory_mb:g} MB {text}: rest {result.rest_mb:.1f}, peak {result.peak_mb:.1f}, "
        f"after {result.after_mb:.1f} MB; usual: {usual.served} served, {usual.rejected} rejected, "
        f"{usual.failed} failed, {usual.crossed} crossed, {usual.unconnected} unconnected, "
        f"{len(usual.lost)} lost, slowest {usual.slowest_s:.2f} s{ended}"
    )


def main() -> None:
    """Play the crowds of the command line one after the other; logs go below the folder `memory-logs`."""
    for text in sys.argv[2:]:
        folder = Path("memory-logs") / f"{sys.argv[1]}-{text}".replace(":", "-")
        result = asyncio.run(play(CrowdPlan(float(sys.argv[1]), parse_crowd(text)), folder))
        print(format_result(text, result), flush=True)


if __name__ == "__main__":
    main()
