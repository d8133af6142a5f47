"""System calls that fail on a proxy's machine, or do less than they were asked to, as faults of a scenario.

They come to the proxy as Twisted reports them: a connect that fails is a `ConnectError`, or a
`ConnectBindError` where no socket could be had; a connection that breaks is a `ConnectionLost`, whatever its
error number is, while the proxy's own calls on its socket raise the `OSError`.
"""

from __future__ import annotations

import errno
import os
from collections import Counter
from dataclasses import dataclass
from random import Random

from twisted.internet.error import ConnectBindError, ConnectError, getConnectError

from lab.fault import Fault

TURN_S = 0.0002  # a turn of a program's loop: what a call did not do is tried again in the next
NO_SOCKET = (errno.ENFILE, errno.EMFILE)  # these fail `socket`, before `connect`


@dataclass(frozen=True, slots=True)
class FailingCall:
    """A kind of call that fails from now on."""

    rate: float  # share of the calls
    error_numbers: tuple[int, ...]
    most_bytes: int  # that a short call takes


class SystemCalls:
    """The calls of one machine's programs; `lab.fault.SYSTEM_CALLS` has the kinds that may fail."""

    def __init__(self, name: str, seed: int) -> None:
        """No call fails before `begin`."""
        self._rng = Random(f"system calls {seed} {name}")
        self._failing: dict[str, FailingCall] = {}
        self.failed: Counter[str] = Counter()  # by kind: calls that failed or were short, broken connections

    def begin(self, fault: Fault) -> None:
        """From now on calls fail as the fault says."""
        numbers = tuple(getattr(errno, name) for name in fault.error_names())
        self._failing[fault.kind] = FailingCall(fault.rate, numbers, fault.most_bytes)

    def end(self, kind: str) -> None:
        """Calls do not fail any more by faults of this kind."""
        self._failing.pop(kind, None)

    def connect_error(self) -> ConnectError | None:
        """How the connect that is made now fails, if it does."""
        number = self._error_number("connect_fails")
        if number is None:
            return None
        if number in NO_SOCKET:
            return ConnectBindError(number, os.strerror(number))
        error: ConnectError = getConnectError((number, os.strerror(number)))
        return error

    def accept_error_number(self, waited: bool) -> int | None:
        """How the accept that is made now fails, if it does.

        `waited`: the connection has waited in the queue; its client does not give it up there."""
        failing = self._drawn("accept_fails")
        if failing is None:
            return None
        numbers = [one for one in failing.error_numbers if not (waited and one == errno.ECONNABORTED)]
        return self._rng.choice(numbers) if numbers else None

    def raise_if_fails(self, kind: str) -> None:
        """`kind`: the fault that the send or receive which is made now may meet."""
        number = self._error_number(kind)
        if number is not None:
            raise OSError(number, os.strerror(number))

    def length(self, wanted: int) -> int:
        """How many bytes a read or a write takes, of those that it could."""
        failing = self._drawn("short_calls")
        return wanted if failing is None else min(wanted, self._rng.randint(1, failing.most_bytes))

    def broken(self, connections: int, fault: Fault) -> list[int]:
        """Which of so many connections break now, by their places."""
        hit = [place for place in range(connections) if self._rng.random() < fault.rate]
        self.failed[fault.kind] += len(hit)
        return hit

    def break_error(self, fault: Fault) -> OSError:
        """The error by which a connection breaks, drawn by the seed."""
        number = getattr(errno, self._rng.choice(fault.error_names()))
        return OSError(number, os.strerror(number))

    def _error_number(self, kind: str) -> int | None:
        failing = self._drawn(kind)
        return None if failing is None else self._rng.choice(failing.error_numbers)

    def _drawn(self, kind: str) -> FailingCall | None:
        """What fails the call that is made now; nothing is drawn where no fault is on."""
        failing = self._failing.get(kind)
        if failing is None or self._rng.random() >= failing.rate:
            return None
        self.failed[kind] += 1
        return failing


SOUND = SystemCalls("sound", 0)  # of all machines whose calls never fail


def calls_of(owner: object) -> SystemCalls:
    """Those of the process `owner`."""
    return getattr(owner, "system_calls", SOUND)
