"""Counts the memory of receive buffers against the share that they have.

| what a message needs | where there is room | where there is none |
| --- | --- | --- |
| its first buffer | part of its connection's cost | never refused: the number of connections is bounded |
| a larger buffer for its head, or for a chunked body | reserved as it grows | MemoryBudgetError |
| a request's body of a declared length | reserved in full before any byte of it is read | MemoryBudgetError |

A request without memory is answered 503. Requests that have stalled for a while give way first:
`ashpath/policy/memory_budget.py` says in which order. A response without memory is one that cannot be read
to its end; its status and Retry-After have been read before.
"""

from __future__ import annotations

from collections.abc import Callable

from ashpath.policy import memory_budget
from ashpath.policy.memory_budget import UNLIMITED
from ashpath.server.http.errors import MemoryBudgetError
from ashpath.server.http.receive_buffer import ReceiveBuffer


class BufferMemory:
    """The account of all buffers of one kind."""

    def __init__(self) -> None:
        self.shares = UNLIMITED
        self.reserved_bytes = 0
        self.peak_bytes = 0
        self.refused = 0  # messages that got no memory

    def reserve(self, size: int, limit: int) -> None:
        """Reserves `size` more bytes if all together stay within `limit`. Raises MemoryBudgetError."""
        if self.reserved_bytes + size > limit:
            self.refused += 1
            raise MemoryBudgetError
        self.reserved_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.reserved_bytes)

    def release(self, size: int) -> None:
        """Gives back `size` bytes."""
        self.reserved_bytes -= size


class RequestMemory(BufferMemory):
    """The account of requests in progress."""

    def __init__(self) -> None:
        super().__init__()
        self.reclaim: Callable[[int], None] = lambda _: None
        """Set by the owner: gives up stalled requests, to free so many bytes. Does not wait."""

    def reserve_for(self, size: int, *, has_accepted_messages: bool) -> None:
        """Reserves `size` more bytes for a client. Raises MemoryBudgetError."""
        limit = memory_budget.request_limit(self.shares, has_accepted_messages=has_accepted_messages)
        excess = self.reserved_bytes + size - limit
        if excess > 0:
            self.reclaim(excess)
        self.reserve(size, limit)


class ResponseMemory(BufferMemory):
    """The account of endpoints' responses in progress."""

    def reserve_for(self, size: int) -> None:
        """Reserves `size` more bytes. Raises MemoryBudgetError."""
        self.reserve(size, self.shares.response_bytes)


class AccountedBuffer(ReceiveBuffer):
    """A receive buffer whose growth beyond its initial size is reserved first."""

    def __init__(
        self,
        initial_size: int,
        doubling_limit: int,
        reserve: Callable[[int], None],
        release: Callable[[int], None],
    ) -> None:
        """`reserve` raises MemoryBudgetError if there is no room."""
        super().__init__(initial_size, doubling_limit)
        self.reserved_bytes = 0
        self._reserve = reserve
        self._release = release

    def resize(self, size: int) -> None:
        """Reserves the growth first. Raises MemoryBudgetError, and leaves the buffer as it is then."""
        growth = max(0, size - self.initial_size) - self.reserved_bytes
        if growth > 0:
            self._reserve(growth)
        elif growth < 0:
            self._release(-growth)
        self.reserved_bytes += growth  # `_reserve` may have cleared this buffer to make room
        super().resize(size)
