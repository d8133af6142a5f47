"""The only reading of the wall clock. It may be stepped at any moment, so no duration is computed from it."""

import time

from cloverwell.timer_wheel import monotonic_ms


def read_epoch_ms() -> float:
    """Return the reading of the monotonic clock at Unix time 0, in milliseconds, by the wall clock now.

    It converts the starts of cache nodes, which discovery gives in Unix time: see `membership.node_starts`.
    """
    return monotonic_ms() - time.time() * 1000.0
