"""Ids of requests that must not run twice, here and at the other process of an upgrade. No I/O but a link.

A request that must not run twice holds its id from before its first attempt until nothing that was sent for
it can run any more: its client may leave and come again, or come to the other process that serves the same
address. The two processes tell each other which ids they hold, over one ordered link. Each tells the other of
an id first, and then asks it to confirm all messages so far: of two processes that take the same id at once,
at least one learns of the other's before it sends anything.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from cloverwell.timer_wheel import Timer, TimerWheel

# A node may begin what it was sent up to so long behind the client's deadline, and a client may come again.
HOLD_BEYOND_DEADLINE_MS = 1000.0
CONFIRM_TIMEOUT_MS = 150.0  # how long the other process may take to confirm
EXPIRY_INTERVAL_MS = 1000.0


class ClaimMessage(msgspec.Struct, omit_defaults=True):
    """One message between the two processes; one of its fields is set.

    Attributes:
        held: an id that the sender holds from now on, for at most `for_ms`.
        released: an id that the sender holds no more.
        confirm: the number of a request to confirm all messages so far.
        confirmed: the number of a request that is confirmed.

    """

    held: str = ""
    for_ms: float = 0.0
    released: str = ""
    confirm: int = 0
    confirmed: int = 0


class ClaimResult(Enum):
    """What became of a claim."""

    GRANTED = "granted"
    HELD = "held"  # The id is held already, here or at the other process.
    UNCONFIRMED = "unconfirmed"  # The other process did not answer in time.


class ClaimLink(Protocol):
    """The link to the other process, which keeps the order of the messages."""

    def send_claim(self, message: ClaimMessage) -> None:
        """Send a message."""


class HeldIds:
    """Ids with the times until which they are held."""

    def __init__(self) -> None:
        """Start without an id."""
        self._until_ms: dict[str, float] = {}

    def hold(self, request_id: str, until_ms: float) -> None:
        """Hold an id until a time in ms."""
        self._until_ms[request_id] = until_ms

    def release(self, request_id: str) -> None:
        """Hold an id no more."""
        self._until_ms.pop(request_id, None)

    def is_held(self, request_id: str, now: float) -> bool:
        """Return whether an id is held."""
        return self._until_ms.get(request_id, now) > now

    def remaining_ms(self, now: float) -> dict[str, float]:
        """Return for how many ms each id is still held."""
        return {name: until_ms - now for name, until_ms in self._until_ms.items() if until_ms > now}

    def expire(self, now: float) -> None:
        """Forget the ids that are held no more."""
        self._until_ms = {name: until_ms for name, until_ms in self._until_ms.items() if until_ms > now}


@dataclass(slots=True)
class _PendingClaim:
    """A claim that the other process has not confirmed yet."""

    request_id: str
    on_result: Callable[[ClaimResult], None]
    timer: Timer


class IdClaims:
    """The ids that this process holds, and those of the other process as far as it has told them."""

    def __init__(self, timer_wheel: TimerWheel) -> None:
        """Start without another process."""
        self._timer_wheel = timer_wheel
        self._own = HeldIds()
        self._others = HeldIds()
        self._link: ClaimLink | None = None
        self._waits_for_confirmation = False
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingClaim] = {}
        self._expire_periodically()

    def claim(self, request_id: str, deadline_ms: float, on_result: Callable[[ClaimResult], None]) -> None:
        """Hold an id for a request, and call `on_result`, perhaps at once."""
        now = self._timer_wheel.now()
        if self._own.is_held(request_id, now) or self._others.is_held(request_id, now):
            on_result(ClaimResult.HELD)
            return
        until_ms = deadline_ms + HOLD_BEYOND_DEADLINE_MS
        self._own.hold(request_id, until_ms)
        if self._link is None:
            on_result(ClaimResult.GRANTED)
            return
        self._link.send_claim(ClaimMessage(held=request_id, for_ms=until_ms - now))
        if not self._waits_for_confirmation:
            on_result(ClaimResult.GRANTED)
            return
        number = next(self._numbers)
        timer = self._timer_wheel.call_not_before(now + CONFIRM_TIMEOUT_MS, lambda: self._time_out(number))
        self._pending[number] = _PendingClaim(request_id, on_result, timer)
        self._link.send_claim(ClaimMessage(confirm=number))

    def release(self, request_id: str) -> None:
        """Hold an id no more, since nothing was sent for its request that could run."""
        self._own.release(request_id)
        if self._link is not None:
            self._link.send_claim(ClaimMessage(released=request_id))

    def held_for_ms(self) -> dict[str, float]:
        """Return the ids that this process holds, with the ms for which it does."""
        return self._own.remaining_ms(self._timer_wheel.now())

    # The other process ------------------------------------------------------------------------------

    def connect(self, link: ClaimLink, held_for_ms: dict[str, float] | None = None) -> None:
        """Tell the other process of each id from now on; `held_for_ms`: the ids that it holds."""
        self._link = link
        now = self._timer_wheel.now()
        for request_id, for_ms in (held_for_ms or {}).items():
            self._others.hold(request_id, now + for_ms)

    def other_serves(self) -> None:
        """Wait for the other process's confirmations from now on, since it accepts requests too."""
        self._waits_for_confirmation = self._link is not None

    def disconnect(self) -> None:
        """Record that the other process has ended; what it holds may still run for a while."""
        self._link = None
        self._waits_for_confirmation = False
        for number in list(self._pending):
            self._end(number)

    def message_received(self, message: ClaimMessage) -> None:
        """Handle a message of the other process."""
        if message.held:
            self._others.hold(message.held, self._timer_wheel.now() + message.for_ms)
        if message.released:
            self._others.release(message.released)
        if message.confirm and self._link is not None:
            self._link.send_claim(ClaimMessage(confirmed=message.confirm))
        if message.confirmed:
            self._end(message.confirmed)

    def _end(self, number: int) -> None:
        """End a pending claim; all that the other process had sent before has been handled."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        pending.timer.cancel()
        if self._others.is_held(pending.request_id, self._timer_wheel.now()):
            self.release(pending.request_id)
            pending.on_result(ClaimResult.HELD)
        else:
            pending.on_result(ClaimResult.GRANTED)

    def _time_out(self, number: int) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            self.release(pending.request_id)
            pending.on_result(ClaimResult.UNCONFIRMED)

    def _expire_periodically(self) -> None:
        now = self._timer_wheel.now()
        self._own.expire(now)
        self._others.expire(now)
        self._timer_wheel.call_by(now + EXPIRY_INTERVAL_MS, self._expire_periodically)
