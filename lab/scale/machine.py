"""Facts about the machine and its processes, from /proc and the operating system."""

from __future__ import annotations

import os
import platform
import subprocess
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20

LoadAverage = tuple[float, float, float]  # over 1, 5 and 15 minutes


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """The CPU seconds of a process since its start, and its resident memory now."""

    cpu_s: float
    rss_mb: float


def sample_process(pid: int) -> ProcessSample | None:
    """Returns a sample of the process, or None if it has ended (see proc(5) for the fields of `stat`)."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    user_ticks, system_ticks, rss_pages = int(fields[11]), int(fields[12]), int(fields[21])
    if fields[0] in "ZX":
        return None
    return ProcessSample((user_ticks + system_ticks) / _TICKS_PER_S, rss_pages * _PAGE_MB)


def memory_mb() -> float:
    """Returns the size of the machine's memory."""
    return os.sysconf("SC_PHYS_PAGES") * _PAGE_MB


def load_average() -> LoadAverage:
    """Returns the machine's load averages."""
    return os.getloadavg()


def description() -> dict[str, object]:
    """Returns the cores, memory, system and Python version, as the results name them."""
    return {
        "cores": os.cpu_count(),
        "memory_mb": round(memory_mb()),
        "system": f"{platform.system()} {platform.release()}",
        "architecture": platform.machine(),
        "python": platform.python_version(),
    }


def git_revision() -> str:
    """Returns the checked-out commit, with a `+` if files differ from it; empty outside a checkout."""
    try:
        commit = _git("rev-parse", "HEAD")
        changed = _git("status", "--porcelain", "--untracked-files=no")
    except (OSError, subprocess.CalledProcessError):
        return ""
    return commit + ("+" if changed else "")


def _git(*arguments: str) -> str:
    finished = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=True)
    return finished.stdout.strip()
