"""Per-key ordering: requests of a class that asks for it run one at a time for each key, as they arrived."""

from balancer.request_state import KeyQueue, RequestState


class KeyOrder:
    """The queues of all keys that have such requests."""

    def __init__(self) -> None:
        """No key has requests yet."""
        self.queues: dict[str, KeyQueue] = {}

    def enqueue(self, key: str, request: RequestState) -> None:
        """Appends a request that has just arrived to the queue of its key."""
        request.key_queue = self.queues.setdefault(key, KeyQueue())
        request.key_queue.requests.append(request)

    def next(self, now: float, key: str) -> RequestState | float | None:
        """The request of the key that may run now, or the time at which to ask again, or None.

        A request runs once the one before it and all its attempts are over and the key has settled.
        """
        queue = self.queues.get(key) or KeyQueue()
        if now < queue.settled_ms:
            return queue.settled_ms
        if not queue.requests:
            self.queues.pop(key, None)
            return None
        return queue.requests[0] if queue.requests[0].queued else None
