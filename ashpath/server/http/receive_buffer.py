"""The one receive buffer of a connection: grown as needed, compacted in place."""

from __future__ import annotations


class ReceiveBuffer:
    """Bytes that were received and are not consumed yet.

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
        self.begin = 0  # of what is not consumed, within `data`
        self.end = 0

    def __len__(self) -> int:
        return self.end - self.begin

    def free_space(self, at_least: int = 1) -> memoryview:
        """Free space at the end, for a read; to be released before anything else is done here."""
        if len(self.data) - self.end < at_least and self.begin:
            self.data[: len(self)] = self.data[self.begin : self.end]
            self.end = len(self)
            self.begin = 0
        while len(self.data) - self.end < at_least:
            doubled = min(len(self.data), self.doubling_limit - len(self.data))
            self.data.extend(bytes(max(self.initial_size, doubled)))
        return memoryview(self.data)[self.end :]

    def commit(self, count: int) -> None:
        """So many bytes have been written to the free space."""
        self.end += count

    def find(self, pattern: bytes, start: int = 0) -> int:
        """Where the pattern begins; below 0 if it is not there."""
        return self.data.find(pattern, self.begin + max(0, start), self.end) - self.begin

    def peek(self, start: int, stop: int) -> bytes:
        """A copy of these bytes, which stay here."""
        return bytes(memoryview(self.data)[self.begin + start : self.begin + stop])

    def consume(self, count: int) -> bytes:
        """The first bytes, which leave the buffer."""
        consumed = self.peek(0, count)
        self.begin += count
        if self.begin == self.end:
            self.begin = 0
            self.end = 0
            del self.data[self.initial_size :]  # guards memory against connections that once carried much
        return consumed
