"""A bounded queue of bytes, which holds little more than it has to. Each connection has one a direction."""

from __future__ import annotations

from cloverwell.memory_budget import MemoryAccount


class ByteQueue:
    """Takes no more than fits its bound, and charges what it allocates to an account."""

    __slots__ = ("_account", "_data", "bound")

    def __init__(self, bound: int, account: MemoryAccount) -> None:
        """Start empty; `bound` is the most bytes that are held, and may be changed later."""
        self.bound = bound
        self._account = account
        self._data = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes in the queue."""
        return len(self._data)

    @property
    def room(self) -> int:
        """The number of bytes that can still be written."""
        return self.bound - len(self._data)

    @property
    def allocated_bytes(self) -> int:
        """The memory that the bytes take."""
        return self._account.held_bytes

    def write(self, data: bytes | memoryview) -> int:
        """Write as much of the data as there is room for, and return the number of bytes written."""
        written = min(len(data), self.room)
        if written:
            self._data += data[:written]
            self._account.hold(self._data.__alloc__())
        return written

    def peek(self, count: int) -> bytes:
        """Return at most `count` of the oldest bytes, and leave them in the queue."""
        with memoryview(self._data) as view:
            return bytes(view[:count])

    def last(self, count: int) -> bytes:
        """Return at most `count` of the newest bytes, and leave them in the queue."""
        return bytes(self._data[-count:])

    def read(self, count: int) -> bytes:
        """Remove and return at most `count` of the oldest bytes."""
        data = self.peek(count)
        if len(data) < len(self._data):
            del self._data[: len(data)]
            self._account.hold(self._data.__alloc__())
        else:
            self.clear()
        return data

    def clear(self) -> None:
        """Remove all bytes, and free their memory."""
        self._data = bytearray()
        self._account.hold(0)

    def find(self, pattern: bytes) -> int:
        """Return the number of bytes before the first occurrence of `pattern`, or -1 if there is none."""
        return self._data.find(pattern)
