"""A process with 1,024 descriptors stays within its told memory, whatever crowd of hostile clients comes.

Real processes: the bound is `limits.memory_mb` itself. Usual clients are answered throughout, and the memory
comes down again behind the crowd.
"""

import asyncio

import pytest

from lab.memory.run import CrowdPlan, play

LEAST_MEMORY_MB = 32  # the least that an operators' page names
MIN_SERVED_SHARE = 0.5  # of the usual requests, as the operators' gate has it
# Of the memory between rest and the limit, at most so much is still held behind a crowd.
MAX_KEPT_SHARE = 0.5
CROWDS = {
    "slow_writes": {"slow_write": 300},
    "stopped_writes": {"stopped_write": 300},
    "unread_answers": {"read_nothing": 300},
    "slow_reads_of_long_values": {"slow_read": 300},
    "half_lines": {"half_line": 600},
    "long_lines": {"long_line": 600},
    "many_fields": {"many_fields": 100},
    "open_commands": {"open_commands": 300},
    "floods": {"flood": 20},
    "silence": {"silent": 600},
    "tiny_chunks": {"tiny_chunks": 4},
    "mixed": {
        "slow_write": 100,
        "stopped_write": 100,
        "read_nothing": 100,
        "half_line": 200,
        "slow_read": 60,
        "open_commands": 40,
    },
}


def check(crowd, memory_mb):
    """Plays a crowd, and checks the process's memory and the usual clients' answers."""
    result = asyncio.run(play(CrowdPlan(memory_mb, CROWDS[crowd], crowd_s=5.0, rest_s=1.0, after_s=3.0)))
    usual = result.usual
    described = f"rest {result.rest_mb:.1f}, peak {result.peak_mb:.1f}, after {result.after_mb:.1f}; {usual}"
    assert result.exit_code is None, result.log[-2000:]
    assert result.peak_mb <= memory_mb, described
    assert not usual.lost, described
    assert usual.served >= MIN_SERVED_SHARE * (usual.answered + usual.unconnected), described
    assert result.after_mb - result.rest_mb <= MAX_KEPT_SHARE * (memory_mb - result.rest_mb), described


@pytest.mark.parametrize("crowd", CROWDS)
def test_a_process_with_the_least_memory_stays_within_its_limit(crowd):
    check(crowd, LEAST_MEMORY_MB)


@pytest.mark.parametrize("memory_mb", [48, 64])
def test_a_process_stays_within_its_limit_under_a_mixed_crowd(memory_mb):
    check("mixed", memory_mb)
