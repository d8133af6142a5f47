"""A bounded ring buffer of bytes. Each connection has one for each direction."""

from __future__ import annotations

MIN_RING_BYTES = 4096  # the first allocation: it is small, so that idle connections need little memory


class RingBuffer:
    """A ring buffer that doubles its size when needed, up to a bound; it takes no more than fits."""

    def __init__(self, bound: int) -> None:
        """Starts empty; `bound` is the most bytes that it holds, and may be changed later."""
        self.bound = bound
        self._data = bytearray()  # empty until the first write, since many connections never send anything
        self._head = 0  # the index of the oldest byte
        self._size = 0  # the number of bytes in the ring

    def __len__(self) -> int:
        """Returns the number of bytes in the ring."""
        return self._size

    @property
    def room(self) -> int:
        """The number of bytes that can still be written."""
        return self.bound - self._size

    def write(self, data: bytes | memoryview) -> int:
        """Writes as much of the data as there is room for, and returns the number of bytes written."""
        written = min(len(data), self.room)
        if not written:
            return 0
        if self._size + written > len(self._data):
            self._grow(self._size + written)
        start = (self._head + self._size) % len(self._data)
        before_wrap = min(written, len(self._data) - start)
        self._data[start : start + before_wrap] = data[:before_wrap]
        self._data[: written - before_wrap] = data[before_wrap:written]
        self._size += written
        return written

    def _grow(self, needed: int) -> None:
        size = len(self._data) or MIN_RING_BYTES
        while size < needed:
            size *= 2
        kept = self.peek(self._size)
        self._data = bytearray(min(size, self.bound))
        self._data[: len(kept)] = kept
        self._head = 0

    def peek(self, count: int) -> bytes:
        """Returns at most `count` of the oldest bytes, and leaves them in the ring."""
        count = min(count, self._size)
        end = self._head + count
        if end <= len(self._data):
            return bytes(self._data[self._head : end])
        return bytes(self._data[self._head :] + self._data[: end - len(self._data)])

    def read(self, count: int) -> bytes:
        """Removes and returns at most `count` of the oldest bytes."""
        data = self.peek(count)
        self._size -= len(data)
        if self._size:
            self._head = (self._head + len(data)) % len(self._data)
        else:
            self._head = 0
            if len(self._data) > MIN_RING_BYTES:  # The memory for one large value must not stay allocated.
                self._data = bytearray()
        return data

    def clear(self) -> None:
        """Removes all bytes."""
        self._data, self._head, self._size = bytearray(), 0, 0

    def find(self, pattern: bytes) -> int:
        """Returns the number of bytes before the first occurrence of `pattern`, or -1 if there is none."""
        end = self._head + self._size
        if end <= len(self._data):
            index = self._data.find(pattern, self._head, end)
            return index - self._head if index >= 0 else -1
        return self.peek(self._size).find(pattern)
