"""The process that takes over: it asks before it serves, and learns when its predecessor has gone."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

from cloverwell.handover import messages
from cloverwell.handover.messages import HandoverError, HandoverState, Hello, Serves
from cloverwell.handover.sockets import is_ours, short
from cloverwell.log import Log
from cloverwell.system_calls import MOMENTARY
from cloverwell.timer_wheel import monotonic_ms

TELL_AGAIN_S = 0.02  # a message that the machine does not take is sent again
WAIT_S = 1.0  # for a silent predecessor: the platform waits 6 s for the first yes


@implementer(IReadDescriptor)
@dataclass(eq=False)
class Predecessor:
    """What it has left us, and the conversation that ends with it."""

    handover_state: HandoverState
    listening: int  # the descriptor of the socket that clients' connections wait in
    _socket: socket.socket
    _gone: Callable[[], None] = lambda: None
    _reactor: object = None

    def watch(self, reactor: object, gone: Callable[[], None]) -> None:
        """We serve from now on; `gone` is called once, when it has ended."""
        self._reactor, self._gone = reactor, gone
        self._socket.setblocking(False)
        reactor.addReader(self)
        self._tell(messages.encode(Serves(True)))

    def _tell(self, data: bytes) -> None:
        """Until it knows that we serve, it takes connections too."""
        try:
            data = data[self._socket.send(data) :]
        except OSError as error:
            if not (error.errno in MOMENTARY or isinstance(error, BlockingIOError)):
                return  # it has gone by now, and we shall read so
        if data:
            self._reactor.callLater(TELL_AGAIN_S, self._tell, data)

    # IReadDescriptor ----------------------------------------------------------------------------

    def fileno(self) -> int:
        return self._socket.fileno()

    def logPrefix(self) -> str:
        return "predecessor"

    def doRead(self) -> None:
        try:
            if self._socket.recv(4096):
                return  # a later version may say more
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno in MOMENTARY:
                return
        self._reactor.removeReader(self)
        self._socket.close()
        self._gone()

    def connectionLost(self, reason: Failure) -> None:
        """The reactor ends."""


def ask(path: str, listen: tuple[str, int], log: Log, wait_s: float = WAIT_S) -> Predecessor | None:
    """Blocks for `wait_s` at the most. None: nobody is there, or nobody that can be understood."""
    own: socket.socket | None = None
    held: list[int] = []
    until_s = time.monotonic() + wait_s
    try:
        own = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        own.settimeout(wait_s)
        with short(path) as name:
            try:
                own.connect(name)
            except FileNotFoundError:
                return None
            except ConnectionRefusedError:
                raise HandoverError("the process that left its socket there has gone") from None
        if not is_ours(own):
            raise HandoverError("the process there is another user's")
        own.settimeout(_left_s(until_s))
        asked_ms = monotonic_ms()
        own.sendall(messages.encode(Hello(messages.VERSION, f"{listen[0]}:{listen[1]}")))
        handover_state = messages.decode(_line(own, held, until_s), HandoverState)
        if not handover_state.keep_starts_of(asked_ms, monotonic_ms()):
            log.warn("handover", "the predecessor reads another clock: its nodes' starts are not taken over")
        if len(held) != 1:
            raise HandoverError(f"{len(held)} sockets came, not one")
        with socket.socket(fileno=os.dup(held[0])) as listening:
            if listening.getsockname() != listen or not listening.getsockopt(
                socket.SOL_SOCKET, socket.SO_ACCEPTCONN
            ):
                raise HandoverError("the socket that came does not listen at our address")
    except (OSError, HandoverError) as error:
        log.warn("handover", f"nothing is taken over: {error}".replace("\n", " "))
        if own is not None:
            own.close()
        for fd in held:
            os.close(fd)
        return None
    return Predecessor(handover_state, held[0], own)


def _left_s(until_s: float) -> float:
    """0 would be a socket that does not wait, and raises another error."""
    return max(0.001, until_s - time.monotonic())


def _line(own: socket.socket, held: list[int], until_s: float) -> bytes:
    """One message; the descriptors that come with it go to `held`."""
    data = b""
    while messages.END not in data:
        own.settimeout(_left_s(until_s))
        piece, fds, _, _ = socket.recv_fds(own, 65536, 4)
        held += fds
        data += piece
        if not piece or len(data) > messages.MAX_ESTATE:
            raise HandoverError("the answer is cut off" if not piece else "the answer is too long")
    return data.partition(messages.END)[0]
