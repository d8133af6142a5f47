"""A line receiver with two bounded queues, one for incoming and one for outgoing bytes."""

from __future__ import annotations

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from cloverwell.codec.byte_queue import ByteQueue
from cloverwell.codec.delivery import Delivery
from cloverwell.codec.discarded_value import DiscardedValue
from cloverwell.codec.errors import MalformedMessageError, MalformedReason
from cloverwell.codec.line_allowance import unlimited_allowance
from cloverwell.codec.socket_state import unacknowledged_bytes
from cloverwell.codec.steady_socket import install_steady_socket
from cloverwell.codec.transport import StreamTransport
from cloverwell.codec.write_result import CommandWriteResult, WriteResult
from cloverwell.memory_budget import (
    CONNECTION_BYTES,
    MemoryAccount,
    MemoryBudget,
    MemoryUse,
    Urgency,
    unlimited_memory,
)

MAX_LINE_BYTES = 2048
MAX_VALUE_BYTES = 1024 * 1024  # the longest value that is buffered until it is complete
MAX_WRITE_BYTES = 64 * 1024  # the longest value in a client's write command
PIECE_BYTES = 64 * 1024  # the most bytes that are written to the transport at once


@implementer(IPullProducer)
class BufferedLineReceiver(LineReceiver):
    """Cuts incoming bytes into lines, whole values and pieces of long values, and sends outgoing bytes.

    A subclass gets each line by `lineReceived` and each whole value by `valueReceived`. Complete messages are
    cut from the data as it was read; an incomplete one stays in the bounded queue of incoming bytes. Outgoing
    bytes are written to the socket at once; those that it does not take are buffered in the queue of outgoing
    bytes, whose bound is the most that is buffered for a slow reader. All of it is drawn from the process's
    budget of memory. A subclass gives up an incomplete message in `memory_refused`.
    """

    # There are many connections, and a slot takes less memory than an entry of a dict.
    __slots__ = (
        "_awaited_bytes",
        "_broken",
        "_connection_account",
        "_held",
        "_incoming",
        "_memory",
        "_outgoing",
        "_parsing",
        "_returned_bytes",
        "_socket",
        "_streamed_bytes_left",
        "_transport_account",
        "_transport_bytes",
        "_unbuffered_bytes",
        "_writing",
        "_written_bytes",
        "ended",
        "unparsed_bytes",
    )
    transport: StreamTransport  # type: ignore[assignment]  # Twisted declares only some of its methods.

    delimiter = b"\r\n"
    MAX_LENGTH = MAX_LINE_BYTES
    max_incoming_bytes = max_outgoing_bytes = MAX_VALUE_BYTES + 2 * MAX_LINE_BYTES
    piece_bytes = PIECE_BYTES
    incoming_use = MemoryUse.NODE_ANSWERS
    outgoing_use = MemoryUse.ATTEMPTS
    allowance = unlimited_allowance()  # limits the lines that are passed on; a subclass may set its own

    def __init__(self, memory: MemoryBudget | None = None) -> None:
        """Starts with two empty queues, before the first line; `memory` is the process's budget, if any."""
        self._memory = memory or unlimited_memory()
        self._incoming = ByteQueue(self.max_incoming_bytes, MemoryAccount(self._memory, self.incoming_use))
        self._outgoing = ByteQueue(self.max_outgoing_bytes, MemoryAccount(self._memory, self.outgoing_use))
        self._transport_account = MemoryAccount(self._memory, self.outgoing_use)
        self._connection_account = MemoryAccount(self._memory, MemoryUse.CONNECTIONS)
        self._awaited_bytes = 0  # the size of the value that comes next, with its line end; 0 before a line
        self._streamed_bytes_left = 0  # the number of bytes of a long value that have not arrived
        self._returned_bytes = 0  # the number of bytes of the last piece that `return_bytes` gave back
        self._unbuffered_bytes = 0  # the number of bytes read from the socket that are not in the queue yet
        self.unparsed_bytes = 0  # the number of bytes after the message that is being handled
        self._held = False  # whether `hold` has paused the reading
        self._writing = False  # whether the transport has bytes that it has not sent yet
        self._transport_bytes = 0  # the number of bytes that were handed to the transport last
        self._written_bytes = 0  # the number of bytes that `try_write` has accepted since the beginning
        self._parsing = False  # whether `_parse_messages` is running; it is not reentrant
        self._broken = False  # whether the received bytes were malformed: further data is discarded
        self.ended = False  # whether the connection was lost, or this side has begun to close it

    def connectionMade(self) -> None:
        """Registers as the transport's producer, so that outgoing bytes that were buffered are sent."""
        self.transport.setTcpNoDelay(True)
        self._socket = install_steady_socket(self.transport)
        self.transport.registerProducer(self, False)
        self._connection_account.hold(CONNECTION_BYTES)

    @property
    def is_mid_message(self) -> bool:
        """Whether a message has come in part."""
        return bool(len(self._incoming) or self._awaited_bytes or self._streamed_bytes_left)

    @property
    def held_bytes(self) -> int:
        """The memory that is held for this connection, besides the connection itself."""
        queued_bytes = self._incoming.allocated_bytes + self._outgoing.allocated_bytes
        return queued_bytes + self._transport_account.held_bytes

    def fileno(self) -> int:
        """Returns the descriptor of the connection's socket."""
        return int(self._socket.fileno())

    # Incoming --------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        """Passes on the complete messages, and keeps the bytes after them."""
        if not (len(self._incoming) or self._held or self._broken or self.ended):
            data = self._parse_messages(data)
        while data and not (self.ended or self._broken):
            if self._held:  # The transport was told to pause, so that only this read exceeds the bound.
                self._incoming.bound = max(self._incoming.bound, len(self._incoming) + len(data))
            written_count = self._incoming.write(data)
            if not written_count:
                self.framingLost(MalformedMessageError(MalformedReason.MESSAGE_TOO_LONG))
                return
            data = data[written_count:]
            self._unbuffered_bytes = len(data)
            self.parse()
            if len(self._incoming) and not self._held and not self._memory.grants(self.incoming_urgency):
                data = self._give_up_message(data)

    @property
    def incoming_urgency(self) -> Urgency:
        """How urgent the memory for an incomplete message is."""
        return Urgency.PROMPT

    def _give_up_message(self, data: bytes) -> bytes:
        """Gives up the incomplete message at the beginning of `data`; returns the bytes behind it."""
        self.memory_refused()
        return b"" if self.ended or self._broken else self._parse_messages(data)

    def memory_refused(self) -> None:
        """Is called when there is no memory for more of an incomplete message.

        It has to call `discard_value` if a value is incomplete, or to end the connection.
        """
        raise NotImplementedError

    def discard_value(self) -> DiscardedValue:
        """Drops what has come of the incomplete value; the rest of it goes to `pieceReceived` as it comes."""
        discarded = DiscardedValue(self._incoming.last(len(self.delimiter)))
        self._streamed_bytes_left = self._awaited_bytes - len(self._incoming)
        self._awaited_bytes = 0
        self._incoming.clear()
        return discarded

    def parse(self) -> None:
        """Passes on the complete messages in the queue, until there is none or the subclass calls `hold`."""
        if (
            self._parsing
            or self._held
            or self._broken
            or not len(self._incoming) >= max(1, self._awaited_bytes)
        ):
            return
        remainder = self._parse_messages(self._incoming.read(len(self._incoming)))
        if not self._broken:
            self._incoming.write(remainder)

    def _parse_messages(self, data: bytes) -> bytes:
        """Passes on the complete messages in `data`, and returns the bytes after them."""
        position, end = 0, len(data)
        allowance = self.allowance
        lines_left = allowance.at_once
        self._parsing = True
        try:
            while position < end and not (self.ended or self._held or self._broken):
                start = position
                if self._streamed_bytes_left:
                    position = min(end, start + self._streamed_bytes_left)
                    self._streamed_bytes_left -= position - start
                    self.unparsed_bytes = end - position + self._unbuffered_bytes
                    self.pieceReceived(data[start:position])
                    position -= self._returned_bytes
                    self._returned_bytes = 0
                elif self._awaited_bytes:
                    position += self._awaited_bytes
                    if position > end:
                        return data[start:]
                    self._awaited_bytes, self.unparsed_bytes = 0, end - position + self._unbuffered_bytes
                    self.valueReceived(data[start:position])
                else:
                    line_end = data.find(b"\r\n", start)
                    if line_end - start > self.MAX_LENGTH or (line_end < 0 and end - start > self.MAX_LENGTH):
                        raise MalformedMessageError(MalformedReason.LINE_TOO_LONG)
                    if line_end < 0:
                        return data[start:]
                    if not lines_left or allowance.left <= 0:
                        self.allowance_used_up(lines_left < allowance.at_once)
                        return data[start:]
                    lines_left -= 1
                    allowance.left -= 1
                    position = line_end + 2
                    self.unparsed_bytes = end - position + self._unbuffered_bytes
                    self.lineReceived(data[start:line_end])
        except MalformedMessageError as error:
            self.framingLost(error)
        finally:
            self._parsing = False
        return data[position:]

    def expect_value(self, size_bytes: int) -> None:
        """Makes the next message a value of `size_bytes`, which is passed on whole by `valueReceived`."""
        self._awaited_bytes = size_bytes

    def expect_pieces(self, size_bytes: int) -> None:
        """Makes the next message a long value, which is passed on by `pieceReceived` as it arrives."""
        self._streamed_bytes_left = size_bytes

    def end_pieces(self, unused_bytes: int) -> None:
        """Ends a long value; the last `unused_bytes` of the piece that is being handled follow it."""
        self._streamed_bytes_left = 0
        self._returned_bytes = unused_bytes
        self.unparsed_bytes += unused_bytes

    def return_bytes(self, count: int) -> None:
        """Gives the last `count` bytes of the piece that is being handled back, to be passed on again."""
        self._returned_bytes = count
        self.unparsed_bytes += count

    def hold(self) -> None:
        """Stops reading and passing on messages until `release`, so that the sender has to wait."""
        if not self._held:
            self._held = True
            self.transport.pauseProducing()

    def release(self) -> None:
        """Continues reading and passing on messages after `hold`."""
        if self._held and not self.ended:
            self._held = False
            self._incoming.bound = self.max_incoming_bytes
            self.transport.resumeProducing()
            self.parse()

    def allowance_used_up(self, has_passed_on_lines: bool) -> None:
        """Is called when a line has to wait, since the allowance is used up; it has to call `hold`.

        `has_passed_on_lines`: whether lines before it were passed on just now.
        """
        raise NotImplementedError

    def lineReceived(self, line: bytes) -> None:
        """Is called with each line, without its line end."""
        raise NotImplementedError

    def valueReceived(self, data: bytes) -> None:
        """Is called with the whole value that `expect_value` announced."""
        raise NotImplementedError

    def pieceReceived(self, data: bytes) -> None:
        """Is called with each piece of the long value that `expect_pieces` announced."""
        raise NotImplementedError

    def framingLost(self, error: MalformedMessageError) -> None:
        """Is called when the received bytes are malformed; all that follow are discarded."""
        raise NotImplementedError

    # Outgoing --------------------------------------------------------------------------------

    def try_write(self, data: bytes) -> WriteResult:
        """Sends or buffers all of the data, or nothing of it."""
        if self.ended:
            return WriteResult.CLOSED
        size_bytes = len(data)
        if size_bytes > (self._outgoing.room if self._writing else self._outgoing.bound):
            return WriteResult.NO_ROOM
        unsent = self._send_now(data)
        if unsent is None:
            return WriteResult.CLOSED
        self._written_bytes += size_bytes
        if unsent:
            self._append_outgoing(unsent)
        return WriteResult.ACCEPTED

    def try_write_command(self, data: bytes) -> CommandWriteResult:
        """Sends or buffers a command, except its last byte if the socket does not take all of it at once.

        Without its last byte a command can't run at the node. The caller has to send that byte later.
        """
        if self.ended:
            return CommandWriteResult.CLOSED
        if len(data) > (self._outgoing.room if self._writing else self._outgoing.bound):
            return CommandWriteResult.NO_ROOM
        unsent = self._send_now(data)
        if unsent is None:
            return CommandWriteResult.CLOSED
        if not unsent:
            return CommandWriteResult.SENT
        if len(unsent) > 1:
            self._append_outgoing(unsent[:-1])
        return CommandWriteResult.LAST_BYTE_UNSENT

    def _send_now(self, data: bytes) -> bytes | None:
        """Writes what the socket accepts at once; returns the other bytes, or None if it is closed."""
        if self._writing:
            return data
        # A write through the reactor costs two more system calls and an iteration of the event loop.
        try:
            return data[self._socket.send(data) :]
        except BlockingIOError:
            return data
        except OSError:
            return None

    def _append_outgoing(self, data: bytes) -> None:
        self._outgoing.write(data)
        if not self._writing:
            self._write_next_piece()
            self.outgoing_blocked()

    def outgoing_blocked(self) -> None:
        """Is called when the kernel has not taken all that was written: the rest is buffered from now on."""

    def _write_next_piece(self) -> None:
        self._writing = bool(len(self._outgoing))
        if not self._writing:
            self._transport_account.hold(0)
            return
        piece = self._outgoing.read(self.piece_bytes)
        self._transport_bytes = len(piece)
        self._transport_account.hold(len(piece))
        self.transport.write(piece)

    def delivery(self) -> Delivery:
        """Returns what has become of the bytes that `try_write` has accepted.

        A close of the sending side counts as one more byte for the kernel, which is left out here. The kernel
        has it once all bytes before it have left the process.
        """
        sent_bytes = getattr(self._socket, "sent_bytes", None)
        if sent_bytes is None:  # A transport in memory does not count its bytes.
            unsent_bytes = len(self._outgoing) + (self._transport_bytes if self._writing else 0)
            sent_bytes = self._written_bytes - unsent_bytes
        in_process_bytes = max(0, self._written_bytes - sent_bytes)
        close_bytes = 1 if self.ended and not in_process_bytes else 0
        in_kernel_bytes = min(sent_bytes, max(0, unacknowledged_bytes(self._socket) - close_bytes))
        return Delivery(
            acknowledged_bytes=sent_bytes - in_kernel_bytes,
            in_kernel_bytes=in_kernel_bytes,
            in_process_bytes=in_process_bytes,
        )

    def resumeProducing(self) -> None:
        """Is called when the transport has sent all that it had: gives it the next bytes."""
        self._write_next_piece()
        self.roomMade()

    def stopProducing(self) -> None:
        """Is called when the connection is lost; does nothing, since `connectionLost` is called as well."""

    def roomMade(self) -> None:
        """Is called when the transport has sent what it had, so that the outgoing queue has room again."""

    def end(self, abort: bool = False, half_close: bool = False) -> None:
        """Closes the connection once all that was written has been sent.

        With `abort` it is reset at once. With `half_close` only this side is closed; data of the other side
        is read until that closes too.
        """
        if self.ended:
            return
        self.ended = True
        if abort:
            self.transport.abortConnection()
            return
        if len(self._outgoing):
            rest = self._outgoing.read(len(self._outgoing))
            self._transport_account.hold(self._transport_account.held_bytes + len(rest))
            self.transport.write(rest)
        self.transport.unregisterProducer()
        if half_close:
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Marks the connection as ended when it has been closed or lost, and frees its buffers."""
        self.ended = True
        self._incoming.clear()
        self._outgoing.clear()
        self._transport_account.hold(0)
        self._connection_account.hold(0)
