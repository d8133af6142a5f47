"""A bounded ring of bytes: each connection has one a direction."""

SMALLEST = 4096  # a ring starts with so much and goes back to it: idle connections cost little memory


class RingBuffer:
    """Grows by doubling up to its bound and never beyond; what does not fit is the caller's to hold back."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self._data = bytearray()  # none before the first byte: many connections say nothing
        self._head = 0  # where the oldest byte is
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def room(self) -> int:
        return self.bound - self._size

    def write(self, data: bytes | memoryview) -> int:
        """Takes as much of the data as there is room for, and tells how much that was."""
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
        size = len(self._data) or SMALLEST
        while size < needed:
            size *= 2
        kept = self.peek(self._size)
        self._data = bytearray(min(size, self.bound))
        self._data[: len(kept)] = kept
        self._head = 0

    def peek(self, number: int) -> bytes:
        """The oldest bytes, left where they are."""
        number = min(number, self._size)
        end = self._head + number
        if end <= len(self._data):
            return bytes(self._data[self._head : end])
        return bytes(self._data[self._head :] + self._data[: end - len(self._data)])

    def read(self, number: int) -> bytes:
        data = self.peek(number)
        self._size -= len(data)
        if self._size:
            self._head = (self._head + len(data)) % len(self._data)
        else:
            self._head = 0
            if len(self._data) > SMALLEST:  # one large value must not cost its memory for good
                self._data = bytearray()
        return data

    def clear(self) -> None:
        self._data, self._head, self._size = bytearray(), 0, 0

    def find(self, mark: bytes) -> int:
        """How many bytes stand before the first such mark, or -1."""
        end = self._head + self._size
        if end <= len(self._data):
            place = self._data.find(mark, self._head, end)
            return place - self._head if place >= 0 else -1
        return self.peek(self._size).find(mark)
