"""Errors of the control log's transport. Each makes its message from its fields."""

from __future__ import annotations

from cloverwell.control.errors import ControlError
from cloverwell.control.net.address import Address, format_address


class ControlTransportError(ControlError):
    """Base class of the errors of this package."""


class FramingError(ControlTransportError):
    """The stream can't be cut into frames any more; the connection has to be closed."""


class FrameTooLongError(FramingError):
    """A frame announces, or a body has, more bytes than a frame may have."""

    def __init__(self, body_bytes: int, max_body_bytes: int) -> None:
        """Takes the size of the body and the largest size that is allowed."""
        super().__init__(f"a body of {body_bytes} bytes, {max_body_bytes} at most")
        self.body_bytes = body_bytes
        self.max_body_bytes = max_body_bytes


class EmptyFrameError(FramingError):
    """A frame announces no body, or a body to be sent is empty: no message has no bytes."""

    def __init__(self) -> None:
        """Takes nothing: the message is always the same."""
        super().__init__("a frame without a body")


class NoAnswerError(ControlTransportError):
    """A control node can't be reached, or has not given the answer that belongs to the request."""

    def __init__(self, reason: str, address: Address | None = None) -> None:
        """Takes the reason, and the address of the node where the message should name it."""
        super().__init__(reason if address is None else f"{format_address(address)}: {reason}")
        self.reason = reason
        self.address = address


class EntryRefusedError(ControlTransportError):
    """An entry can't be applied at this proxy, and what was active before still is."""

    def __init__(self, reason: str) -> None:
        """Takes the reason, which operators see at the control nodes."""
        super().__init__(reason)
        self.reason = reason
