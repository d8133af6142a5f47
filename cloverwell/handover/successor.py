"""The successor's side of a handover: takes over the listening socket, and notices the predecessor's exit."""

from __future__ import annotations

import contextlib
import os
import socket
import time
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

from cloverwell.handover import messages
from cloverwell.handover.messages import HandoverError, HandoverState, Hello, Serves
from cloverwell.handover.sockets import is_same_user, short_path
from cloverwell.id_claims import ClaimMessage
from cloverwell.log import Log
from cloverwell.system_calls import TRANSIENT_ERRORS
from cloverwell.timer_wheel import monotonic_ms

ANSWER_TIMEOUT_S = 1.0  # For the whole exchange: the platform requires that a new process serves within 6 s.
RESEND_INTERVAL_S = 0.02  # The delay before data is sent again that the kernel did not take.
MIN_TIMEOUT_S = 0.001  # A timeout of 0 would make a socket non-blocking.
MAX_RECEIVED_BYTES = 65536  # The limit of one call.
MAX_RECEIVED_DESCRIPTORS = 4  # The limit of one call.


class TakeoverProblem(Enum):
    """The reasons why nothing can be taken over; the values are written to the log."""

    PREDECESSOR_EXITED = "the process that created the socket has exited"
    OTHER_USER = "the process at the socket runs as another user"
    ANSWER_INCOMPLETE = "the answer is incomplete"
    ANSWER_TOO_LONG = "the answer is too long"
    NOT_LISTENING = "the received socket does not listen at this address"


class TakeoverError(HandoverError):
    """Nothing can be taken over, for the reason `problem`."""

    def __init__(self, problem: TakeoverProblem) -> None:
        """The error's text is the value of `problem`."""
        super().__init__(problem.value)
        self.problem = problem


class DescriptorCountError(HandoverError):
    """The answer came with `count` descriptors instead of one."""

    def __init__(self, count: int) -> None:
        """`count` is the number of received descriptors."""
        super().__init__(f"{count} sockets were received instead of one")
        self.count = count


class ReadingReactor(Protocol):
    """The part of Twisted's `IReactorFDSet` and `IReactorTime` that a `Predecessor` needs."""

    addReader: Callable[[Predecessor], None]
    removeReader: Callable[[Predecessor], None]
    callLater: Callable[..., object]


@implementer(IReadDescriptor)
class Predecessor:
    """The predecessor's state and listening socket, and the connection that ends when it exits.

    `listening_descriptor` is the descriptor of the socket in whose accept queue clients' connections wait.
    """

    _reactor: ReadingReactor
    _on_exit: Callable[[], None]
    on_claim: Callable[[ClaimMessage], None]  # called with each message on the claim of an id

    def __init__(
        self,
        handover_state: HandoverState,
        listening_descriptor: int,
        connection: socket.socket,
        received: bytes = b"",
    ) -> None:
        """`connection` is the one on which the state was received; `received` has come behind the state."""
        self.handover_state = handover_state
        self.listening_descriptor = listening_descriptor
        self._connection = connection
        self._received = received
        self._unsent = b""
        self._sends_later = False
        self.on_claim = lambda _message: None

    def watch(self, reactor: ReadingReactor, on_exit: Callable[[], None]) -> None:
        """Tell the predecessor that this process serves from now on; `on_exit` is called once, at
        the predecessor's exit."""
        self._reactor = reactor
        self._on_exit = on_exit
        self._connection.setblocking(False)
        reactor.addReader(self)
        self._handle_messages()
        self._send(messages.encode(Serves(True)))

    def send_claim(self, message: ClaimMessage) -> None:
        """Send a message on the claim of an id."""
        self._send(messages.encode(message))

    def _send(self, data: bytes) -> None:
        """Send until all is sent: the predecessor goes on accepting connections until it has the message."""
        self._unsent += data
        if not self._sends_later:
            self._send_unsent()

    def _send_unsent(self) -> None:
        self._sends_later = False
        try:
            sent = self._connection.send(self._unsent)
        except OSError as error:
            if not _is_transient(error):
                return  # The predecessor has exited, and `doRead` will notice.
            sent = 0
        self._unsent = self._unsent[sent:]
        if self._unsent:
            self._sends_later = True
            self._reactor.callLater(RESEND_INTERVAL_S, self._send_unsent)

    # IReadDescriptor ----------------------------------------------------------------------------

    def fileno(self) -> int:
        """Return the connection's descriptor."""
        return self._connection.fileno()

    def logPrefix(self) -> str:
        """Return the name under which Twisted logs faults of this reader."""
        return "predecessor"

    def doRead(self) -> None:
        """Handle the predecessor's messages, and notice the end of the connection."""
        try:
            data = self._connection.recv(MAX_RECEIVED_BYTES)
        except OSError as error:
            if _is_transient(error):
                return
            data = b""
        if data:
            self._received += data
            self._handle_messages()
            return
        self._reactor.removeReader(self)
        self._connection.close()
        self._on_exit()

    def _handle_messages(self) -> None:
        *lines, self._received = self._received.split(messages.MESSAGE_END)
        for line in lines:
            # A later release may send other messages, which are ignored.
            with contextlib.suppress(HandoverError):
                self.on_claim(messages.decode(line, ClaimMessage))

    def connectionLost(self, reason: Failure) -> None:
        """Do nothing when the reactor ends, since the process exits with it."""


def request_handover(
    path: str, listen: tuple[str, int], log: Log, wait_s: float = ANSWER_TIMEOUT_S
) -> Predecessor | None:
    """Take over from the process that serves at `listen` and waits for a successor at `path`.

    Blocks for at most `wait_s`. Returns None if no process is there, or none whose answer can be used; the
    reason for the latter is logged.
    """
    deadline_s = time.monotonic() + wait_s
    try:
        with contextlib.ExitStack() as cleanup:
            connection = cleanup.enter_context(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
            if not _connect(connection, path, deadline_s):
                return None
            descriptors: list[int] = []
            cleanup.callback(_close_all, descriptors)
            handover_state, received = _exchange(connection, listen, descriptors, deadline_s, log)
            listening = _checked_listening_socket(descriptors, listen)
            cleanup.pop_all()
    except (OSError, HandoverError) as error:
        log.warn("handover", f"the handover failed: {error}".replace("\n", " "))
        return None
    return Predecessor(handover_state, listening, connection, received)


def _connect(connection: socket.socket, path: str, deadline_s: float) -> bool:
    """Connect to the predecessor; return False if there is none."""
    connection.settimeout(_remaining_s(deadline_s))
    with short_path(path) as name:
        try:
            connection.connect(name)
        except FileNotFoundError:
            return False
        except ConnectionRefusedError:
            raise TakeoverError(TakeoverProblem.PREDECESSOR_EXITED) from None
    if not is_same_user(connection):
        raise TakeoverError(TakeoverProblem.OTHER_USER)
    return True


def _exchange(
    connection: socket.socket, listen: tuple[str, int], descriptors: list[int], deadline_s: float, log: Log
) -> tuple[HandoverState, bytes]:
    """Send the hello; return the answer, and what has come behind it.

    The descriptors that come with it are added to `descriptors`."""
    connection.settimeout(_remaining_s(deadline_s))
    requested_ms = monotonic_ms()
    connection.sendall(messages.encode(Hello(messages.PROTOCOL_VERSION, f"{listen[0]}:{listen[1]}", True)))
    line, received = _receive_line(connection, descriptors, deadline_s)
    handover_state = messages.decode(line, HandoverState)
    if not handover_state.check_clock(requested_ms, monotonic_ms()):
        log.warn("handover", "the predecessor reads another clock: its starts of nodes are not used")
    return handover_state, received


def _receive_line(
    connection: socket.socket, descriptors: list[int], deadline_s: float
) -> tuple[bytes, bytes]:
    """Return the first line that comes, and what has come behind it."""
    data = b""
    while messages.MESSAGE_END not in data:
        connection.settimeout(_remaining_s(deadline_s))
        received, received_descriptors, _, _ = socket.recv_fds(
            connection, MAX_RECEIVED_BYTES, MAX_RECEIVED_DESCRIPTORS
        )
        descriptors += received_descriptors
        if not received:
            raise TakeoverError(TakeoverProblem.ANSWER_INCOMPLETE)
        data += received
        if len(data) > messages.MAX_STATE_BYTES:
            raise TakeoverError(TakeoverProblem.ANSWER_TOO_LONG)
    line, _, received = data.partition(messages.MESSAGE_END)
    return line, received


def _checked_listening_socket(descriptors: list[int], listen: tuple[str, int]) -> int:
    """Return the one descriptor, after checking that it is a socket that listens at this address."""
    if len(descriptors) != 1:
        raise DescriptorCountError(len(descriptors))
    with socket.socket(fileno=os.dup(descriptors[0])) as listening:
        is_listening = listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        if not is_listening or listening.getsockname() != listen:
            raise TakeoverError(TakeoverProblem.NOT_LISTENING)
    return descriptors[0]


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


def _remaining_s(deadline_s: float) -> float:
    return max(MIN_TIMEOUT_S, deadline_s - time.monotonic())


def _is_transient(error: OSError) -> bool:
    """Return whether the call may succeed when it is repeated."""
    return error.errno in TRANSIENT_ERRORS or isinstance(error, BlockingIOError)
