"""What one connection of a client went through, for the report of a breach."""

from __future__ import annotations

import time
from collections import deque

REMEMBERED = 40


class ConnectionStory:
    """The last events of one connection."""

    def __init__(self, client: str, proxy: str, port: int) -> None:
        """`client`: what kind it is; `port`: its own port."""
        self.client = client
        self.proxy = proxy
        self.port = port
        self.opened_s = time.monotonic()
        self.last_request_s = -1.0e9
        self.first_request_s: float | None = None
        self._events: deque[tuple[float, str]] = deque(maxlen=REMEMBERED)

    def note(self, text: str) -> None:
        """Record an event."""
        self._events.append((time.monotonic(), text))

    def sent(self, name: str, what: str) -> None:
        """Record a request; `what` it is."""
        self.last_request_s = time.monotonic()
        if self.first_request_s is None:
            self.first_request_s = self.last_request_s
        self.note(f"sends {name} ({what})")

    def tell(self, zero_s: float) -> str:
        """Return the story as a line; times count from `zero_s`."""
        events = "; ".join(f"{at_s - zero_s:.3f} {text}" for at_s, text in self._events)
        opened = f"opened at {self.opened_s - zero_s:.3f}"
        return f"{self.client} to {self.proxy}, port {self.port}, {opened}: {events}"
