"""Starts a program with a wall clock that a test steps: `stepped_start.py CLOCK_FILE MODULE[:FUNCTION] ...`.

What the process reads as wall clock is replaced before anything else is imported, so that also what a library
binds at its import (`from time import time`) is stepped. The monotonic clock is left alone. CLOCK_FILE holds
two doubles that both processes map: the step in seconds, which the test writes, and the step that is seen
through Twisted's own binding, which a thread here writes all the time: the control that the stepping works.
"""

import importlib
import mmap
import os
import runpy
import struct
import sys
import threading
import time

DOUBLE = struct.Struct("d")
STEP_AT, SEEN_AT, SIZE = 0, 8, 16
CONTROL_EVERY_S = 0.02
NANOSECONDS = 1_000_000_000

real_time = time.time
real_clock_gettime = time.clock_gettime


class SteppedClock:
    """The wall clock, moved by what stands in the shared file."""

    def __init__(self, path: str) -> None:
        with open(path, "r+b") as file:
            self._shared = mmap.mmap(file.fileno(), SIZE)

    def step_s(self) -> float:
        return DOUBLE.unpack_from(self._shared, STEP_AT)[0]

    def time(self) -> float:
        return real_time() + self.step_s()

    def time_ns(self) -> int:
        return int(self.time() * NANOSECONDS)

    def clock_gettime(self, clock: int) -> float:
        return real_clock_gettime(clock) + (self.step_s() if clock == time.CLOCK_REALTIME else 0.0)

    def clock_gettime_ns(self, clock: int) -> int:
        return int(self.clock_gettime(clock) * NANOSECONDS)

    def show(self, seen_s: float) -> None:
        DOUBLE.pack_into(self._shared, SEEN_AT, seen_s)


def replace_wall_clock(clock: SteppedClock) -> None:
    """The ways in which Python code asks `time` for the time of day. `datetime` asks the system itself and is
    left alone: the program may not use it so (`test_clock_sources.py`)."""
    assert "twisted" not in sys.modules, "a library has bound the real clock already"
    time.time = clock.time
    time.time_ns = clock.time_ns
    time.clock_gettime = clock.clock_gettime
    time.clock_gettime_ns = clock.clock_gettime_ns


def show_what_twisted_sees(clock: SteppedClock) -> None:
    from twisted.python.runtime import seconds

    def watch() -> None:
        while True:
            clock.show(seconds() - real_time())
            time.sleep(CONTROL_EVERY_S)

    threading.Thread(target=watch, daemon=True).start()


def main() -> None:
    _, path, module, *rest = sys.argv
    clock = SteppedClock(path)
    replace_wall_clock(clock)
    show_what_twisted_sees(clock)
    sys.path.insert(0, os.getcwd())
    sys.argv = [module, *rest]
    module, _, function = module.partition(":")
    if function:
        getattr(importlib.import_module(module), function)()
    else:
        runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
