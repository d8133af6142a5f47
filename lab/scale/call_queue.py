"""A service that answers calls one after the other at a fixed rate, with a bounded queue. No I/O."""


class CallQueue:
    """Computes when each call is answered; `now` is an argument, in seconds."""

    def __init__(self, calls_per_s: float, max_waiting: int) -> None:
        """Begins with an empty queue that holds at most `max_waiting` calls."""
        self._service_time_s = 1.0 / calls_per_s
        self._max_waiting = max_waiting
        self._idle_at_s = 0.0  # when every call so far is answered
        self.longest = 0  # the longest that the queue has been

    def waiting(self, now: float) -> int:
        """Returns the number of calls that are not answered yet."""
        return max(0, round((self._idle_at_s - now) / self._service_time_s))

    def offer(self, now: float) -> float | None:
        """Returns when a call that comes now is answered, or None if the queue is full."""
        if self.waiting(now) >= self._max_waiting:
            return None
        return self.put(now)

    def put(self, now: float) -> float:
        """Returns when a call is answered that must not be refused, such as an accepted watch."""
        self._idle_at_s = max(now, self._idle_at_s) + self._service_time_s
        self.longest = max(self.longest, self.waiting(now))
        return self._idle_at_s
