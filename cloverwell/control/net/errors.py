"""Errors of the control log's transport. Each builds its message from its fields."""

from __future__ import annotations

from cloverwell.control.errors import ControlError
from cloverwell.control.net.address import Address, format_address


class ControlTransportError(ControlError):
    """Base class of the errors of this package."""


class FramingError(ControlTransportError):
    """The stream can no longer be split into frames, so the connection has to be closed."""


class FrameTooLongError(FramingError):
    """A frame's header announces, or a body to be sent has, more bytes than a frame may have."""

    def __init__(self, body_bytes: int, max_body_bytes: int) -> None:
        """Sets the size of the body and the largest size that is allowed."""
        super().__init__(f"frame body of {body_bytes} bytes exceeds the limit of {max_body_bytes} bytes")
        self.body_bytes = body_bytes
        self.max_body_bytes = max_body_bytes


class EmptyFrameError(FramingError):
    """A frame's header announces no body, or a body to be sent is empty. Every message has bytes."""

    def __init__(self) -> None:
        """Sets the message, which is always the same."""
        super().__init__("frame has no body")


class NoAnswerError(ControlTransportError):
    """A control node can't be reached, or has sent no answer or one that doesn't match the request."""

    def __init__(self, reason: str, address: Address | None = None) -> None:
        """Sets the reason, and the address of the node if the message is to name it."""
        super().__init__(reason if address is None else f"{format_address(address)}: {reason}")
        self.reason = reason
        self.address = address


class EntryRefusedError(ControlTransportError):
    """An entry can't be applied at this proxy. What was active before stays active."""

    def __init__(self, reason: str) -> None:
        """Sets the reason, which the control nodes show to operators."""
        super().__init__(reason)
        self.reason = reason
