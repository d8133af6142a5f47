"""The only function that reads the wall clock, which may be stepped, so no duration is computed from it."""

import time

from cloverwell.timer_wheel import monotonic_ms


def read_epoch_ms() -> float:
    """Return the monotonic clock's reading in ms at Unix time 0, computed from both clocks' present readings.

    Discovery gives the starts of cache nodes in Unix time; `membership.node_starts` converts them with this.
    """
    return monotonic_ms() - time.time() * 1000.0
