"""When the endpoint list is asked for: at the start, and again with backoff after a failed call."""

from random import Random

from balancer.settings_types import Settings

# The time between the first calls of all balancers: the list is one service of fixed capacity.
CALL_SPACING_MS = 20.0
# The first and the longest backoff.
BACKOFF_MS, MAX_BACKOFF_MS = 400.0, 8000.0


class ListSubscription:
    """Returns the delays after which the list is to be asked for."""

    def __init__(self, settings: Settings, random: Random) -> None:
        """`random` is the balancer's generator, so that its decisions can be repeated."""
        self._ask_within_ms = settings.max_poll_interval_ms
        self._random = random
        self._backoff_ms = BACKOFF_MS

    def initial_delay_ms(self, peers_total: int) -> float:
        """The delay of the first call: calls of hundreds of balancers that start at once are spread out."""
        spread_ms = min(self._ask_within_ms / 2, CALL_SPACING_MS * peers_total)
        return spread_ms * self._random.random()

    def record_failure(self) -> float:
        """The delay after a failed call; the jitter keeps balancers from asking again in step."""
        delay_ms = self._backoff_ms * (0.5 + self._random.random())
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS, self._ask_within_ms)
        return delay_ms

    def record_success(self) -> None:
        """The next failure starts with the first backoff again."""
        self._backoff_ms = BACKOFF_MS
