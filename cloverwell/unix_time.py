"""The only reading of the wall clock. It may be stepped at any moment: no duration is reckoned by it."""

import time

from cloverwell.timer_wheel import monotonic_ms


def read_epoch_ms() -> float:
    """What the monotonic clock showed when Unix time was 0, as the wall clock has it now.

    For the starts of cache nodes, which discovery tells in Unix time: see `membership.node_starts`."""
    return monotonic_ms() - time.time() * 1000.0
