"""What the process frees goes back to the kernel, in a process of its own."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
BUFFERS = 200
BUFFER_BYTES = 60_000
# Frees every buffer but the last one, which keeps the heap from shrinking at its top.
SCRIPT = f"""
from cloverwell.process_memory import give_back_free_memory, resident_bytes, tune_allocator
tune_allocator()
before = resident_bytes()
buffers = [bytearray(b"x" * {BUFFER_BYTES}) for _ in range({BUFFERS})]
held = resident_bytes()
del buffers[:-1]
give_back_free_memory()
print(before, held, resident_bytes())
"""


def test_freed_buffers_are_given_back():
    # The fault: behind a crowd of clients most of what its buffers had taken stayed with the process.
    command = [sys.executable, "-c", SCRIPT]
    printed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    before, held, after = (int(word) for word in printed.split())
    assert held - before >= BUFFERS * BUFFER_BYTES
    assert after - before <= 0.1 * BUFFERS * BUFFER_BYTES
