"""What has become of the bytes that were written to a connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Delivery:
    """The bytes written to a connection since it was opened, by who holds them.

    Attributes:
        acknowledged_bytes: those that the peer's kernel has acknowledged.
        in_kernel_bytes: those that this machine's kernel has taken, and the peer's has not acknowledged.
        in_process_bytes: those that this process still buffers.

    """

    acknowledged_bytes: int
    in_kernel_bytes: int
    in_process_bytes: int

    @property
    def undelivered_bytes(self) -> int:
        """Return the number of bytes that the peer's kernel has not acknowledged."""
        return self.in_kernel_bytes + self.in_process_bytes
