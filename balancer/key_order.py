"""Per-key ordering: the requests for one key, of classes that ask for it, are sent one at a time.

They are sent in the order in which they arrived.
"""

from balancer.request_state import KeyQueue, RequestState


class KeyOrder:
    """The queues of all keys that have ordered requests."""

    def __init__(self) -> None:
        """Starts without queues."""
        self.queues: dict[str, KeyQueue] = {}

    def enqueue(self, key: str, request: RequestState) -> None:
        """Appends a request that has just arrived to the queue of its key."""
        request.key_queue = self.queues.setdefault(key, KeyQueue())
        request.key_queue.requests.append(request)

    def next_request(self, now: float, key: str) -> RequestState | float | None:
        """Returns the request of the key that may be sent now, or the time at which to ask again, or None.

        A request may be sent once the request before it and all attempts of that have ended, and no earlier
        attempt for the key may still be running.
        """
        queue = self.queues.get(key) or KeyQueue()
        if not queue.is_settled(now):
            return queue.settled_at_ms
        if not queue.requests:
            self.queues.pop(key, None)
            return None
        return queue.requests[0] if queue.requests[0].queued_for_key else None
