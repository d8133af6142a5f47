"""A typed base for the simulation's line protocols, over Twisted's `LineReceiver`."""

from __future__ import annotations

from typing import Any

from twisted.protocols.basic import LineReceiver


class LineConnection(LineReceiver):
    """A connection that carries lines and, after some of them, a value of a known length."""

    delimiter = b"\r\n"
    transport: Any  # an `End` of the simulated network, which has more than `ITransport`

    def expect_value(self) -> None:
        """From now on bytes go to `rawDataReceived`."""
        LineReceiver.setRawMode(self)

    def expect_lines(self, rest: bytes = b"") -> None:
        """From now on lines go to `lineReceived`, those in `rest` first."""
        LineReceiver.setLineMode(self, rest)

    def receive(self, data: bytes) -> None:
        """Takes bytes as if they had come on the connection."""
        LineReceiver.dataReceived(self, data)

    def send_line(self, line: bytes) -> None:
        """Writes the line and the delimiter."""
        LineReceiver.sendLine(self, line)
