"""Parses a client's bytes into memcache meta commands with their values."""

from __future__ import annotations

from collections.abc import Mapping

from cloverwell.codec.discarded_value import DiscardedValue
from cloverwell.codec.errors import MalformedMessageError
from cloverwell.codec.lines import MAX_LINE_BYTES, MAX_WRITE_BYTES, BufferedLineReceiver
from cloverwell.codec.meta import CommandError, CommandFields
from cloverwell.connections.arrival import CommandArrival
from cloverwell.front.meta_commands import LostFramingError, parse_get, parse_set, parse_value_length
from cloverwell.loop_work import LoopWork
from cloverwell.memory_budget import MemoryBudget, MemoryUse

BAD_VALUE = "bad data chunk"  # The value is not followed by its line end.


class CommandReceiver(BufferedLineReceiver):
    """Calls `request_received` for each complete request, and `probe_received` for each `mn`.

    A malformed command goes to `reject_command`, or to `reject_and_close` if it is not known where the next
    command begins.
    """

    __slots__ = (
        "_arrival",
        "_classes",
        "_discard_reason",
        "_discarded",
        "_pending_write",
        "_tenants",
        "_work",
    )

    max_incoming_bytes = MAX_WRITE_BYTES + 2 * MAX_LINE_BYTES
    incoming_use = MemoryUse.COMMANDS
    outgoing_use = MemoryUse.RESPONSES

    def __init__(
        self,
        classes: Mapping[str, int],
        tenants: Mapping[str, int],
        work: LoopWork,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Set up the parser, which counts its commands in `work`; `memory` is the process's budget, if any.

        `classes` and `tenants` map the names of classes and tenants to their numbers.
        """
        super().__init__(memory)
        self._work = work
        self._classes = classes
        self._tenants = tenants
        self._arrival = CommandArrival()
        self._pending_write: CommandFields | None = None  # a write whose value has not come yet
        self._discarded = DiscardedValue()  # the value of a rejected write, while it arrives
        self._discard_reason = ""  # why a command is rejected once its value has been discarded

    def request_received(self, fields: CommandFields, write: bool, value: bytes) -> None:
        """Handle a request; `value` is empty for a read."""
        raise NotImplementedError

    def probe_received(self) -> None:
        """Handle the command `mn`, which asks whether this process serves."""
        raise NotImplementedError

    def reject_command(self, reason: str) -> None:
        """Handle a malformed command after which the next command can be found."""
        raise NotImplementedError

    def reject_and_close(self, reason: str) -> None:
        """Handle a malformed command after which the next command can't be found."""
        raise NotImplementedError

    def lineReceived(self, line: bytes) -> None:
        """Handle a command's line, which a value may follow."""
        self._work.commands += 1
        if not line.isascii():
            self.reject_command("not ASCII")
            return
        words = line.decode().split(" ")
        match words[0]:
            case "mn" if len(words) == 1:
                self.probe_received()
            case "mg":
                self._handle_get(words)
            case "ms":
                self._handle_set(words)
            case _:
                self.reject_command("unknown command")
        if not self._awaited_bytes and not self._streamed_bytes_left:
            self._arrival.record_command_complete()

    def _handle_get(self, words: list[str]) -> None:
        try:
            fields = parse_get(words, self._classes, self._tenants)
        except CommandError as error:
            self.reject_command(str(error))
            return
        self.request_received(fields, False, b"")

    def _handle_set(self, words: list[str]) -> None:
        try:
            length_bytes = parse_value_length(words)
        except LostFramingError as error:
            self.reject_and_close(str(error))
            return
        value_bytes = length_bytes + 2  # The value ends with CR LF.
        try:
            self._pending_write = parse_set(words, length_bytes, self._classes, self._tenants)
        except CommandError as error:
            # The length is known, so the value is discarded and parsing goes on after it.
            self._discard_reason = str(error)
            self._discarded = DiscardedValue()
            self.expect_pieces(value_bytes)
            return
        self.expect_value(value_bytes)

    def memory_refused(self) -> None:
        """Reject the write whose value is incomplete and discard the rest of it, or end half a line."""
        fields, self._pending_write = self._pending_write, None
        if fields is None:
            self.reject_half_line()
        else:
            self._discarded = self.discard_value()
            self.reject_write(fields)

    def reject_half_line(self) -> None:
        """Handle the beginning of a line that there is no memory for."""
        raise NotImplementedError

    def reject_write(self, fields: CommandFields) -> None:
        """Handle a write that there is no memory for; its value is discarded."""
        raise NotImplementedError

    def pieceReceived(self, data: bytes) -> None:
        """Drop a piece of a value, and reject a malformed command behind the last one."""
        self._discarded.receive(data)
        if self._streamed_bytes_left:
            return
        if not self._discarded.has_line_end:
            self.reject_and_close(BAD_VALUE)
            return
        if self._discard_reason:
            reason, self._discard_reason = self._discard_reason, ""
            self.reject_command(reason)
        self._arrival.record_command_complete()

    def valueReceived(self, data: bytes) -> None:
        """Handle a command's value."""
        fields, self._pending_write = self._pending_write, None
        assert fields is not None
        if not data.endswith(b"\r\n"):
            self.reject_and_close(BAD_VALUE)
            return
        self.request_received(fields, True, data[:-2])
        self._arrival.record_command_complete()

    def framingLost(self, error: MalformedMessageError) -> None:
        """Handle a line or value that is too long, after which the next command can't be found."""
        self.reject_and_close(str(error))
