"""Receive buffer of a connection: grows as needed, and is compacted in place."""

from __future__ import annotations


class ReceiveBuffer:
    """Received bytes that are not consumed yet.

    The buffer doubles from `initial_size` up to `doubling_limit`, and grows in steps of `initial_size` above
    that; once it is empty, it shrinks to `initial_size`. Positions count from the first unconsumed byte.

    >>> buffer = ReceiveBuffer(4, 16)
    >>> for part in (b"abc", b"defgh"):
    ...     space = buffer.free_space(len(part))
    ...     space[:len(part)] = part
    ...     space.release()
    ...     buffer.commit(len(part))
    >>> buffer.consume(2), buffer.find(b"gh"), len(buffer), len(buffer.data)
    (b'ab', 4, 6, 8)
    >>> buffer.consume(6), len(buffer.data)
    (b'cdefgh', 4)
    """

    def __init__(self, initial_size: int, doubling_limit: int) -> None:
        self.initial_size = initial_size
        self.doubling_limit = doubling_limit
        self.data = bytearray(initial_size)
        self.begin = 0  # index in `data` of the first unconsumed byte
        self.end = 0  # index in `data` after the last received byte

    def __len__(self) -> int:
        return self.end - self.begin

    @property
    def allocated_bytes(self) -> int:
        """Memory that the buffer has."""
        return len(self.data)

    def free_space(self, at_least: int = 1) -> memoryview:
        """Returns the free space at the end, for a read of at least `at_least` bytes.

        The caller releases the view before any other call."""
        if len(self.data) - self.end < at_least and self.begin:
            self.data[: len(self)] = self.data[self.begin : self.end]
            self.end = len(self)
            self.begin = 0
        while len(self.data) - self.end < at_least:
            doubled = min(len(self.data), self.doubling_limit - len(self.data))
            self.data.extend(bytes(max(self.initial_size, doubled)))
        return memoryview(self.data)[self.end :]

    def commit(self, count: int) -> None:
        """Appends `count` bytes, which the caller has written to the free space."""
        self.end += count

    def find(self, pattern: bytes, start: int = 0) -> int:
        """Returns the position of the pattern, or a negative number if the buffer does not contain it."""
        return self.data.find(pattern, self.begin + max(0, start), self.end) - self.begin

    def peek(self, start: int, stop: int) -> bytes:
        """Returns a copy of the bytes from `start` to `stop`, and leaves them in the buffer."""
        return bytes(memoryview(self.data)[self.begin + start : self.begin + stop])

    def consume(self, count: int) -> bytes:
        """Removes the first `count` bytes and returns them."""
        consumed = self.peek(0, count)
        self.begin += count
        if self.begin == self.end:
            self.begin = 0
            self.end = 0
            del self.data[self.initial_size :]  # an idle connection keeps no memory of a large message
        return consumed
