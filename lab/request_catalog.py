"""What each request of the simulation costs, and what its right answer is."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from lab.scenario import Traffic, TrafficClass

UNKNOWN_WORK_S = 0.01  # of a request that was forgotten, or that no client sent


@dataclass(frozen=True, slots=True)
class RequestContent:
    """What a client asked for. `work_s`: in core seconds of a machine of speed 1."""

    traffic_class: TrafficClass
    work_s: float
    key: str


class RequestCatalog:
    """The requests that may still come in at a node, by their ids. Answers are drawn by seed and id alone."""

    def __init__(self, traffic: Traffic, seed: int) -> None:
        """`traffic`: says how many values are long, and how long they are."""
        self._traffic = traffic
        self._seed = seed
        self._requests: dict[str, RequestContent] = {}

    def add(self, request_id: str, content: RequestContent) -> None:
        """Adds the request when it is sent."""
        self._requests[request_id] = content

    def forget(self, request_id: str) -> None:
        """Removes the request when no attempt of it can come in any more."""
        self._requests.pop(request_id, None)

    def work_s(self, request_id: str) -> float:
        """The work of the request in core seconds."""
        content = self._requests.get(request_id)
        return UNKNOWN_WORK_S if content is None else content.work_s

    def value(self, request_id: str) -> str:
        """The value that answers a read: always the same for one request; some values are long."""
        rng = Random(f"value {self._seed} {request_id}") if self._traffic.long_share else None
        if rng is None or rng.random() >= self._traffic.long_share:
            return f"value of {request_id}"
        size = int(1024 * rng.uniform(*self._traffic.long_kb)) + 1
        return (f"value of {request_id} " * (1 + size // len(request_id)))[:size]

    @staticmethod
    def receipt(request_id: str) -> str:
        """The receipt that answers a write."""
        return f"receipt-{request_id}"
