"""Observes what the process takes: corrects the budget of memory, gives freed memory back, and logs both."""

from __future__ import annotations

import gc
from collections.abc import Callable

from cloverwell.front.client_connections import ClientConnections
from cloverwell.front.memory_report import describe_holders
from cloverwell.log import Log
from cloverwell.memory_budget import BUDGET_SHARE, BYTES_PER_MB, MIN_BUDGET_BYTES, MemoryBudget, MemoryUse
from cloverwell.process_memory import give_back_free_memory, resident_bytes
from cloverwell.timer_wheel import TimerWheel

CHECK_INTERVAL_MS = 50.0
LOG_INTERVAL_MS = 5000.0
# Between two calls that give memory back, which take some ms; the longer one behind calls without effect.
GIVE_BACK_INTERVALS_MS = (500.0, 10_000.0)
# So much memory may be free in the process, or taken by what no account knows, before it is given back.
KEPT_FREE_BYTES = 512 * 1024


class MemoryMonitor:
    """Compares the process's resident memory with what the accounts of the budget hold."""

    def __init__(
        self,
        timer_wheel: TimerWheel,
        log: Log,
        memory: MemoryBudget,
        client_connections: ClientConnections,
        limit_mb: float,
        read_resident_bytes: Callable[[], int] = resident_bytes,
    ) -> None:
        """Set up a monitor that observes nothing before `start`; `limit_mb` is `limits.memory_mb`."""
        self._timer_wheel = timer_wheel
        self._log = log
        self._memory = memory
        self._client_connections = client_connections
        self._read_resident_bytes = read_resident_bytes
        self._limit_bytes = limit_mb * BYTES_PER_MB
        self._rest_bytes = 0
        self._highest_bytes = 0  # since the last line of the log
        self._gave_back_ms = 0.0
        self._give_back_interval_ms = GIVE_BACK_INTERVALS_MS[0]
        self._is_started = False

    def start(self) -> None:
        """Size the budget by what the process takes now, at rest, and begin to observe."""
        self._rest_bytes = self._read_resident_bytes()
        if not self._rest_bytes:
            self._log.warn("memory", "the kernel does not tell the resident memory: a usual size is assumed")
            return
        self._is_started = True
        self.limit(self._limit_bytes / BYTES_PER_MB)
        self._check()
        self._log_periodically()

    def limit(self, limit_mb: float) -> None:
        """Set another limit, as another process of the same proxy starts or ends."""
        self._limit_bytes = limit_mb * BYTES_PER_MB
        if not self._is_started:
            return
        self._memory.resize(self._limit_bytes, self._rest_bytes)
        rest, total = self._rest_bytes / BYTES_PER_MB, self._memory.total_bytes / BYTES_PER_MB
        self._log.info(
            "memory", f"{rest:.1f} MB at rest of {limit_mb:g}, {total:.1f} MB for connections and buffers"
        )
        lacking_mb = (MIN_BUDGET_BYTES / BUDGET_SHARE + self._rest_bytes - self._limit_bytes) / BYTES_PER_MB
        if lacking_mb > 0.0:
            self._log.warn("memory", f"{lacking_mb:.1f} MB more are needed than the limit of {limit_mb:g} MB")

    def _check(self) -> None:
        now = self._timer_wheel.now()
        self._timer_wheel.call_by(now + CHECK_INTERVAL_MS, self._check)
        before_bytes = self._observe()
        unaccounted_bytes = before_bytes - self._rest_bytes - self._memory.held_bytes
        if self._memory.is_exceeded:
            self._give_back_interval_ms = GIVE_BACK_INTERVALS_MS[0]
        if unaccounted_bytes <= KEPT_FREE_BYTES or now - self._gave_back_ms < self._give_back_interval_ms:
            return
        self._gave_back_ms = now
        if self._memory.is_exceeded:
            gc.collect()
        give_back_free_memory()
        has_effect = before_bytes - self._observe() >= KEPT_FREE_BYTES // 4
        shortest_ms, longest_ms = GIVE_BACK_INTERVALS_MS
        longer_ms = min(longest_ms, 2.0 * self._give_back_interval_ms)
        self._give_back_interval_ms = shortest_ms if has_effect else longer_ms

    def _observe(self) -> int:
        resident = self._read_resident_bytes()
        self._highest_bytes = max(self._highest_bytes, resident)
        self._memory.observe(resident, self._rest_bytes)
        return resident

    def _log_periodically(self) -> None:
        self._timer_wheel.call_by(self._timer_wheel.now() + LOG_INTERVAL_MS, self._log_periodically)
        memory = self._memory
        sizes = zip(MemoryUse, memory.held_by_use, strict=True)
        uses = " ".join(f"{use.name.lower()}={size}" for use, size in sizes if size)
        self._log.info(
            "memory",
            f"resident {self._read_resident_bytes() / BYTES_PER_MB:.1f} MB, "
            f"highest {self._highest_bytes / BYTES_PER_MB:.1f}, "
            f"held {memory.held_bytes} of {memory.total_bytes:.0f} bytes, "
            f"highest {memory.highest_held_bytes}: {uses or 'nothing'}; "
            f"{describe_holders(self._client_connections.connections)}",
        )
        self._highest_bytes = 0
        memory.highest_held_bytes = memory.held_bytes
