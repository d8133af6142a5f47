"""The times of calls for the endpoint list: one at the start, and retries with backoff after failures."""

from random import Random

from balancer.settings_types import Settings

# The mean time between the first calls of two balancers: the service that returns the list has a fixed
# capacity.
CALL_SPACING_MS = 20.0
# The first backoff and the longest one.
BACKOFF_MS, MAX_BACKOFF_MS = 400.0, 8000.0


class ListSubscription:
    """Computes the delays of the calls for the endpoint list."""

    def __init__(self, settings: Settings, random: Random) -> None:
        """Starts with the first backoff; `random` is seeded by the balancer, so that runs are repeatable."""
        self._max_poll_interval_ms = settings.max_poll_interval_ms
        self._random = random
        self._backoff_ms = BACKOFF_MS

    def initial_delay_ms(self, peers_total: int) -> float:
        """Returns the delay of the first call, which spreads the calls of balancers that start together."""
        spread_ms = min(self._max_poll_interval_ms / 2, CALL_SPACING_MS * peers_total)
        return spread_ms * self._random.random()

    def record_failure(self) -> float:
        """Returns the delay of the call after a failed one, and lengthens the backoff for the next failure.

        The jitter prevents balancers whose calls failed together from calling together again.
        """
        delay_ms = self._backoff_ms * (0.5 + self._random.random())
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS, self._max_poll_interval_ms)
        return delay_ms

    def record_success(self) -> None:
        """Resets the backoff."""
        self._backoff_ms = BACKOFF_MS
