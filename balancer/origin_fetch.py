"""The queue for slots at the origin, and single flight: one fetch for all requests of a key."""

from bisect import bisect

from balancer.request_state import RequestState


class OriginQueue:
    """Requests that wait for a slot at the origin, in the order of priority and then of arrival."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, float, str, RequestState]] = []

    def __bool__(self) -> bool:
        return bool(self._entries)

    def push(self, now: float, request: RequestState, priority: float) -> int:
        """Enqueues the request; returns how many are ahead of it. Requests that are over leave the queue."""
        entry = (-priority, now, request.id, request)
        self._entries = [waiting for waiting in self._entries if not waiting[3].done]
        ahead = bisect(self._entries, entry)
        self._entries.insert(ahead, entry)
        return ahead

    def pop(self) -> RequestState:
        """The request of the highest priority; it may be over."""
        return self._entries.pop(0)[3]


class SingleFlight:
    """The fetches in flight, with the requests of the same key that wait for each."""

    def __init__(self) -> None:
        self.waiting: dict[str, list[RequestState]] = {}  # by key

    def begin(self, key: str, request: RequestState) -> None:
        """The request fetches the key for all."""
        self.waiting[key] = []
        request.fetching = True

    def end(self, key: str, request: RequestState) -> list[RequestState]:
        """The request's fetch is over; returns the requests that waited for it."""
        request.fetching = False
        return self.waiting.pop(key, [])
