"""The CPU time and the memory of a process, from proc(5)."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_s(pid: int) -> float:
    """Returns the CPU seconds of the process since its start. Raises OSError if it has ended."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Returns the resident memory of the process in 10^6 bytes. Raises OSError if it has ended."""
    resident_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return resident_pages * PAGE_BYTES / 1e6
