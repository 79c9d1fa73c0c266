"""Receive buffer of a connection: grows as needed, and is compacted in place."""

from __future__ import annotations


class ReceiveBuffer:
    """Received bytes that are not consumed yet.

    The buffer has no memory while it is empty. It begins with `initial_size`, doubles up to `doubling_limit`,
    and grows in steps of `initial_size` above that. Positions count from the first unconsumed byte.

    >>> buffer = ReceiveBuffer(4, 16)
    >>> for part in (b"abc", b"defgh"):
    ...     space = buffer.free_space(len(part))
    ...     space[:len(part)] = part
    ...     space.release()
    ...     buffer.commit(len(part))
    >>> buffer.consume(2), buffer.find(b"gh"), len(buffer), buffer.allocated_bytes
    (b'ab', 4, 6, 8)
    >>> buffer.consume(6), buffer.allocated_bytes
    (b'cdefgh', 0)
    """

    def __init__(self, initial_size: int, doubling_limit: int) -> None:
        self.initial_size = initial_size
        self.doubling_limit = doubling_limit
        self.data = bytearray()
        self.begin = 0  # index in `data` of the first unconsumed byte
        self.end = 0  # index in `data` after the last received byte

    def __len__(self) -> int:
        return self.end - self.begin

    @property
    def allocated_bytes(self) -> int:
        """Memory that the buffer has."""
        return len(self.data)

    def resize(self, size: int) -> None:
        """Changes the memory of the buffer; bytes from `size` on are lost."""
        if not size:
            self.data = bytearray()  # a read in progress may still have a view of the old memory
        elif not self.data:
            self.data = bytearray(size)
        elif size > len(self.data):
            self.data.extend(bytes(size - len(self.data)))
        else:
            del self.data[size:]

    def free_space(self, at_least: int = 1) -> memoryview:
        """Returns the free space at the end, for a read of at least `at_least` bytes.

        The caller releases the view before any other call."""
        self.compact(at_least)
        size = len(self.data)
        while size - self.end < at_least:
            size += max(self.initial_size, min(size, self.doubling_limit - size))
        if size > len(self.data):
            self.resize(size)
        return memoryview(self.data)[self.end :]

    def make_room_for(self, size: int) -> None:
        """Gives the buffer room for `size` unconsumed bytes at once, and for no more than needed."""
        self.compact(size - len(self))
        if self.begin + size > len(self.data):
            self.resize(max(self.initial_size, self.begin + size))

    def compact(self, wanted: int) -> None:
        """Moves the unconsumed bytes to the start if `wanted` further bytes have no room otherwise."""
        if len(self.data) - self.end < wanted and self.begin:
            self.data[: len(self)] = self.data[self.begin : self.end]
            self.end = len(self)
            self.begin = 0

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
            self.clear()
        return consumed

    def clear(self) -> None:
        """Removes all bytes, and gives the memory back."""
        self.begin = 0
        self.end = 0
        self.resize(0)
