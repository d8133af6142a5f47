"""What the machine tells of itself and of processes, from /proc."""

from __future__ import annotations

import os
import platform
import subprocess
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20


@dataclass(frozen=True, slots=True)
class Sample:
    """Of a process: CPU seconds since its start, resident memory now."""

    cpu_s: float
    rss_mb: float


def sample(pid: int) -> Sample | None:
    """None where it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    user_ticks, system_ticks, rss_pages = int(fields[11]), int(fields[12]), int(fields[21])
    if fields[0] in "ZX":
        return None
    return Sample((user_ticks + system_ticks) / _TICKS_PER_S, rss_pages * _PAGE_MB)


def memory_mb() -> float:
    """All of the machine's."""
    return os.sysconf("SC_PHYS_PAGES") * _PAGE_MB


def load_average() -> tuple[float, float, float]:
    """Over 1, 5 and 15 minutes."""
    return os.getloadavg()


def description() -> dict[str, object]:
    """For the results: cores, memory, system, Python."""
    return {
        "cores": os.cpu_count(),
        "memory_mb": round(memory_mb()),
        "system": f"{platform.system()} {platform.release()}",
        "architecture": platform.machine(),
        "python": platform.python_version(),
    }


def git_revision() -> str:
    """The commit that is checked out, with a `+` where files differ from it; empty outside a checkout."""
    try:
        commit = _git("rev-parse", "HEAD")
        changed = _git("status", "--porcelain", "--untracked-files=no")
    except (OSError, subprocess.CalledProcessError):
        return ""
    return commit + ("+" if changed else "")


def _git(*words: str) -> str:
    told = subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=True)
    return told.stdout.strip()
