"""The resident memory of this process, and the settings of the C library's allocator.

The limit of the platform counts resident memory. By default the allocator keeps what was freed, for later
requests: behind a crowd of clients that is tens of megabytes.
"""

from __future__ import annotations

import contextlib
import ctypes
import os

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Parameters of mallopt(3), by their numbers in glibc's malloc.h.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# A block of at least this size is mapped by itself, and its memory is given back when it is freed. It is more
# than what is read from a socket at once, since mapping costs more than such a read.
MAPPED_BLOCK_BYTES = 256 * 1024
# Free memory at the top of the heap beyond this size is given back at once.
KEPT_FREE_BYTES = 512 * 1024


def resident_bytes() -> int:
    """Return this process's resident memory; 0 if the kernel can't tell."""
    try:
        with open("/proc/self/statm", "rb") as statm:
            return int(statm.read().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def tune_allocator() -> None:
    """Have the allocator give back freed memory early; does nothing with another C library than glibc."""
    with contextlib.suppress(OSError, AttributeError):
        mallopt = ctypes.CDLL(None).mallopt
        mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
        mallopt(M_TRIM_THRESHOLD, KEPT_FREE_BYTES)
        mallopt(M_ARENA_MAX, 1)


def give_back_free_memory() -> None:
    """Give free pages back to the kernel, also those between blocks in use."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
