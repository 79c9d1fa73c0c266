"""The one buffer of a connection: grown as needed, compacted in place."""

from __future__ import annotations


class Buffer:
    """Bytes that came in and are not taken yet.

    >>> buffer = Buffer(4, 16)
    >>> for part in (b"abc", b"defgh"):
    ...     space = buffer.space(len(part))
    ...     space[:len(part)] = part
    ...     space.release()
    ...     buffer.added(len(part))
    >>> buffer.take(2), buffer.find(b"gh"), len(buffer), len(buffer.data)
    (b'ab', 4, 6, 8)
    >>> buffer.take(6), len(buffer.data)
    (b'cdefgh', 4)
    """

    def __init__(self, start: int, most: int) -> None:
        self.start, self.most = start, most  # doubled from one up to the other, and past that as it must
        self.data = bytearray(start)
        self.begin = self.end = 0

    def __len__(self) -> int:
        return self.end - self.begin

    def space(self, least: int = 1) -> memoryview:
        """Free space at the end, for a read; to be released before anything else is done here."""
        if len(self.data) - self.end < least and self.begin:
            self.data[: len(self)] = self.data[self.begin : self.end]
            self.begin, self.end = 0, len(self)
        while len(self.data) - self.end < least:
            self.data.extend(bytes(max(self.start, min(len(self.data), self.most - len(self.data)))))
        return memoryview(self.data)[self.end :]

    def added(self, count: int) -> None:
        self.end += count

    def find(self, mark: bytes, start: int = 0) -> int:
        """Where the mark begins, counted from the first byte not taken; below 0 if it is not there."""
        return self.data.find(mark, self.begin + max(0, start), self.end) - self.begin

    def peek(self, start: int, stop: int) -> bytes:
        return bytes(memoryview(self.data)[self.begin + start : self.begin + stop])

    def take(self, count: int) -> bytes:
        taken = self.peek(0, count)
        self.begin += count
        if self.begin == self.end:
            self.begin = self.end = 0
            del self.data[self.start :]  # guards memory against connections that once carried much
        return taken
