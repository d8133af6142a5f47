"""A service that answers calls in turn, so many a second, with a bounded queue before it. No I/O."""


class CallQueue:
    """Tells when each call will have been answered; time is an argument, in seconds."""

    def __init__(self, calls_per_s: float, most_waiting: int) -> None:
        self._each_s = 1.0 / calls_per_s
        self._most_waiting = most_waiting
        self._free_s = 0.0  # when all that has come is answered
        self.longest = 0  # queue so far

    def waiting(self, now: float) -> int:
        """Calls that are not answered yet."""
        return max(0, round((self._free_s - now) / self._each_s))

    def offer(self, now: float) -> float | None:
        """When a call that comes now is answered; None: the queue is full."""
        if self.waiting(now) >= self._most_waiting:
            return None
        return self.put(now)

    def put(self, now: float) -> float:
        """The same for what may not be refused: the answer to a watch that was taken long ago."""
        self._free_s = max(now, self._free_s) + self._each_s
        self.longest = max(self.longest, self.waiting(now))
        return self._free_s
