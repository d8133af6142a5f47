"""Reads one client's bytes: pauses reading, and knows for how long bytes may have been unread."""

from __future__ import annotations

from typing import Any

from cloverwell.codec.socket_state import PEEK_FLAGS, closed_by_peer
from cloverwell.codec.steady_socket import TryAgainError
from cloverwell.front.command_receiver import CommandReceiver
from cloverwell.front.connection_owner import ConnectionOwner
from cloverwell.memory_budget import Urgency
from cloverwell.timer_wheel import STALL_MS

# Read at once from a client that sends more commands than it has handled in a turn: the rest of them waits in
# the kernel rather than here. It is room for about 35 commands.
BACKLOG_READ_BYTES = 2 * 1024
MAX_READ_BYTES = 64 * 1024  # read at once from a client while there is memory
PROMPT_COMMAND_MS = 300.0  # A command that has not come whole in this time comes slowly.
DISCARD_PAUSE_MS = 5.0  # between two reads of input that is discarded because the connection is ending


class ClientReader(CommandReceiver):
    """Reads commands, unless reading is paused; a subclass handles them and sends the responses."""

    __slots__ = (
        "_awaits_turn",
        "_nothing_read",
        "_owner",
        "_partial_command_reported",
        "_reads_little",
        "_throttled",
        "peer",
    )

    transport: Any  # Twisted's TCP transport; as a producer, its reading can be paused

    def __init__(self, owner: ConnectionOwner[Any], peer: str) -> None:
        """Set up the reader of a connection that has just been accepted; `peer` is the client's address."""
        super().__init__(owner.classes, owner.tenants, owner.timer_wheel.work, owner.memory)
        self.peer = peer
        self._owner = owner
        self._throttled = False  # whether reading is paused for a fixed time, see `_throttle`
        self._nothing_read = True
        self._partial_command_reported = False
        self._reads_little = False  # whether `BACKLOG_READ_BYTES` are read at once
        self._awaits_turn = False  # whether commands wait until the scheduler calls `take_turn`
        self.allowance = owner.command_scheduler.allowance

    @property
    def read_bytes(self) -> int:
        """Return how many bytes are read from the socket at once."""
        if self._reads_little:
            return BACKLOG_READ_BYTES
        return self._memory.read_bytes(Urgency.SLOW, BACKLOG_READ_BYTES, MAX_READ_BYTES)

    @property
    def incoming_urgency(self) -> Urgency:
        """Return how urgent the memory for a partial command is: the command may come at once, or not."""
        age_ms = self._owner.timer_wheel.now() - self._arrival.first_byte_read_ms
        return Urgency.PROMPT if age_ms < PROMPT_COMMAND_MS else Urgency.SLOW

    @property
    def has_partial_command(self) -> bool:
        """Return whether no response is pending, and a part of a command has come."""
        raise NotImplementedError

    def send_responses(self) -> None:
        """Send the responses that are known; then close the connection if that is due, or resume reading."""
        raise NotImplementedError

    def waited_in_accept_queue(self, since_ms: float) -> None:
        """Record that the first bytes may have been unread since then, in the accept queue."""
        self._arrival.record_accepted(since_ms)

    def connectionMade(self) -> None:
        """Start reading."""
        super().connectionMade()
        self._check_buffer_empty()

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes have come from the client."""
        if self.ended or self._broken:
            # Input is read and dropped: a close over unread input would be a reset and might lose a response.
            self._throttle(DISCARD_PAUSE_MS)
            return
        unread_delay_ms = self._owner.timer_wheel.unread_delay_ms
        # After a wait in the accept queue or an event-loop stall, the client may have closed already.
        client_may_have_closed = self._nothing_read or unread_delay_ms > STALL_MS
        self._nothing_read = False
        if client_may_have_closed and closed_by_peer([self._socket]):
            self._owner.clients_disconnected([self])
            return
        if not self._held:  # While reading is paused, these bytes follow others that are not handled yet.
            self._arrival.record_read(self._owner.timer_wheel.now(), not self.is_mid_message, unread_delay_ms)
            self._check_buffer_empty()
        commands_before = self._work.commands
        super().dataReceived(data)
        if self._reads_little and not self._awaits_turn:
            self._reads_little = False
        self._commands_handled(commands_before)

    def _commands_handled(self, commands_before: int) -> None:
        """Count the commands that were handled in a row, and report a partial command behind them."""
        commands = self._work.commands - commands_before
        if commands > self._work.busiest_commands:
            self._work.busiest_client, self._work.busiest_commands = self.peer, commands
        reported = self._partial_command_reported
        self._partial_command_reported = self.has_partial_command
        if reported:
            self._owner.partial_command_grew(self)
        elif self._partial_command_reported:
            # A command's timeout runs from its first byte, so a client can't prolong it byte by byte.
            self._owner.no_open_request(self)

    def hold(self) -> None:
        """Pause reading until `release`."""
        super().hold()
        self._owner.paused_connections[self] = None
        self._arrival.record_reading_paused(self._owner.timer_wheel.now())

    def release(self) -> None:
        """Resume reading, once the commands that wait have been handled in this connection's turns."""
        if self._held and len(self._incoming) and not self.ended:
            self._await_turn(is_new=False)
        else:
            self._resume()

    def _resume(self) -> None:
        """Handle the commands that wait, and resume reading."""
        self._owner.paused_connections.pop(self, None)
        if self._held:
            self._check_buffer_empty()
        super().release()

    def allowance_used_up(self, has_passed_on_lines: bool) -> None:
        """Have the commands that were read wait for this connection's turn."""
        self.hold()
        self._reads_little = True
        # A command that was read counts as open, so that its connection is not taken for an idle one.
        self._owner.request_started(self)
        self._await_turn(is_new=not has_passed_on_lines)

    def _await_turn(self, is_new: bool) -> None:
        if not self._awaits_turn:
            self._awaits_turn = True
            self._owner.command_scheduler.wait(self, is_new)

    def take_turn(self) -> None:
        """Handle some of the commands that wait; the scheduler calls this."""
        self._awaits_turn = False
        if self.ended or self._broken or self._throttled:
            return
        commands_before = self._work.commands
        self._resume()
        self._commands_handled(commands_before)

    def _check_buffer_empty(self) -> None:
        if self._arrival.may_have_waited and not self.has_unread_bytes():
            self._arrival.record_buffer_empty()

    def _throttle(self, pause_ms: float) -> None:
        """Pause reading for a fixed time."""
        if not self._throttled:
            self._throttled = True
            self.transport.pauseProducing()
            timer_wheel = self._owner.timer_wheel
            timer_wheel.call_not_before(timer_wheel.now() + pause_ms, self._end_throttle)

    def _end_throttle(self) -> None:
        self._throttled = False
        if self.ended or self._broken:
            self.transport.resumeProducing()
        else:
            self.send_responses()

    def has_unread_bytes(self) -> bool:
        """Return whether the socket's buffer has unread bytes, perhaps a request that a close would lose."""
        try:
            return bool(self._socket.recv(1, PEEK_FLAGS))
        except TryAgainError:
            return True  # The check failed for the moment, so there may be some.
        except OSError:
            return False
