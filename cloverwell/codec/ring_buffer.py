"""A bounded ring of bytes, of which each connection has one per direction."""

from __future__ import annotations

MIN_RING_BYTES = 4096  # bytes of a ring at first and after use, so that idle connections need little memory


class RingBuffer:
    """A ring that doubles up to its bound; the caller has to hold back what does not fit."""

    def __init__(self, bound: int) -> None:
        """Starts empty; `bound` is the most bytes that it takes, and may be changed later."""
        self.bound = bound
        self._data = bytearray()  # none before the first byte, since many connections stay silent
        self._head = 0  # where the oldest byte is
        self._size = 0

    def __len__(self) -> int:
        """Returns the number of bytes in the ring."""
        return self._size

    @property
    def room(self) -> int:
        """How many more bytes fit."""
        return self.bound - self._size

    def write(self, data: bytes | memoryview) -> int:
        """Takes as much of the data as there is room for, and returns how many bytes that was."""
        taken = min(len(data), self.room)
        if not taken:
            return 0
        if self._size + taken > len(self._data):
            self._grow(self._size + taken)
        start = (self._head + self._size) % len(self._data)
        first = min(taken, len(self._data) - start)
        self._data[start : start + first] = data[:first]
        self._data[: taken - first] = data[first:taken]
        self._size += taken
        return taken

    def _grow(self, needed: int) -> None:
        size = len(self._data) or MIN_RING_BYTES
        while size < needed:
            size *= 2
        kept = self.peek(self._size)
        self._data = bytearray(min(size, self.bound))
        self._data[: len(kept)] = kept
        self._head = 0

    def peek(self, number: int) -> bytes:
        """Returns at most `number` of the oldest bytes, and leaves them in the ring."""
        number = min(number, self._size)
        end = self._head + number
        if end <= len(self._data):
            return bytes(self._data[self._head : end])
        return bytes(self._data[self._head :] + self._data[: end - len(self._data)])

    def read(self, number: int) -> bytes:
        """Removes and returns at most `number` of the oldest bytes."""
        data = self.peek(number)
        self._size -= len(data)
        if self._size:
            self._head = (self._head + len(data)) % len(self._data)
        else:
            self._head = 0
            if len(self._data) > MIN_RING_BYTES:  # one large value must not cost its memory for good
                self._data = bytearray()
        return data

    def clear(self) -> None:
        """Removes all bytes."""
        self._data, self._head, self._size = bytearray(), 0, 0

    def find(self, mark: bytes) -> int:
        """Returns how many bytes stand before the first such mark, or -1 if there is none."""
        end = self._head + self._size
        if end <= len(self._data):
            place = self._data.find(mark, self._head, end)
            return place - self._head if place >= 0 else -1
        return self.peek(self._size).find(mark)
