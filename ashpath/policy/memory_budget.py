"""Divides the memory of a process, and decides which requests in progress give theirs back.

Each part has a share, so that no peer can take what another part needs. What a part holds is counted, not
measured: a size is reserved before it is allocated. A quarter is left to the allocator, and to parts that
nobody else can make grow. Sizes are bytes.

The source (ADR 0122) treats the capacity of destinations, not that of the process, and has no such rule.
"""

from __future__ import annotations

from collections.abc import Iterable
from fractions import Fraction

from msgspec import Struct

MIN_FREE_BYTES = 2_000_000
"""Shared out even where less is free: with less a sender serves nobody."""
FREE_SHARE = Fraction(3, 4)
"""Part of the free memory that is shared out."""
CONNECTION_SHARE = Fraction(2, 5)
REQUEST_SHARE = Fraction(1, 5)
MESSAGE_SHARE = Fraction(3, 10)
RESPONSE_SHARE = Fraction(1, 10)
CONNECTION_BYTES = 20 << 10
"""Of a client connection: its greenlet, socket and first buffer."""
MIN_CLIENT_CONNECTIONS = 48
COPIES_OF_MESSAGE = 2
MESSAGE_BYTES = 2 << 10
"""Of an accepted message, beside its record."""
UNKNOWN_CLIENT_SHARE = Fraction(3, 4)
"""Part of the memory for requests that connections may hold before a message of theirs was accepted."""
RECLAIMED_SHARE = Fraction(1, 8)
"""Part of the memory for requests that is taken back at once, so that each choice serves several requests."""


class MemoryShares(Struct, frozen=True):
    """What the parts of a process may hold."""

    client_connections: int
    """Number of client connections."""
    request_bytes: int
    """Buffers of requests in progress, beyond the first one of each connection."""
    response_bytes: int
    """Buffers of endpoints' responses, beyond the first one of each connection."""
    message_bytes: int
    """Accepted messages without a final outcome."""


UNLIMITED = MemoryShares(
    client_connections=1 << 30, request_bytes=1 << 60, response_bytes=1 << 60, message_bytes=1 << 60
)


class RequestInProgress(Struct, frozen=True):
    """A request that has not been received in full."""

    connection_id: int
    age_s: float
    """Time since its first byte."""
    held_bytes: int
    """Memory that its buffer holds beyond the first one."""
    received_bytes: int
    has_accepted_messages: bool
    """Whether a message of its client was accepted on the same connection."""

    @property
    def progress(self) -> float:
        """Bytes received a second."""
        return self.received_bytes / self.age_s if self.age_s > 0 else float("inf")


def least_memory(resident_bytes: int) -> int:
    """Returns the least limit of a process that has this resident size at its start."""
    return resident_bytes + MIN_FREE_BYTES


def divide(limit_bytes: int, resident_bytes: int, private_bytes: int, processes: int) -> MemoryShares:
    """Divides what is left of the limit. `resident_bytes`: of one process at its start; each further one of
    the `processes` of a sender adds its `private_bytes`. They have equal parts of the rest.

    >>> shares = divide(96_000_000, 36_000_000, 22_000_000, 1)
    >>> shares.client_connections, shares.request_bytes, shares.response_bytes, shares.message_bytes
    (878, 9000000, 4500000, 13500000)
    >>> divide(64_000_000, 36_000_000, 22_000_000, 2).request_bytes
    450000
    """
    held_bytes = resident_bytes + (processes - 1) * private_bytes
    free_bytes = max(MIN_FREE_BYTES, (limit_bytes - held_bytes) // processes)
    shared_bytes = free_bytes * FREE_SHARE
    return MemoryShares(
        client_connections=max(
            MIN_CLIENT_CONNECTIONS, int(shared_bytes * CONNECTION_SHARE / CONNECTION_BYTES)
        ),
        request_bytes=int(shared_bytes * REQUEST_SHARE),
        response_bytes=int(shared_bytes * RESPONSE_SHARE),
        message_bytes=int(shared_bytes * MESSAGE_SHARE),
    )


def request_limit(shares: MemoryShares, *, has_accepted_messages: bool) -> int:
    """Returns how much all requests in progress may hold for this one to get more memory.

    Clients with an accepted message keep a part that others cannot take."""
    return shares.request_bytes if has_accepted_messages else int(shares.request_bytes * UNKNOWN_CLIENT_SHARE)


def message_cost(message_count: int, record_bytes: int) -> int:
    """Returns the memory of accepted messages, whose records have `record_bytes` in all.

    The request of an attempt is a copy of its message."""
    return message_count * MESSAGE_BYTES + COPIES_OF_MESSAGE * record_bytes


def reclaimed(
    requests: Iterable[RequestInProgress], needed_bytes: int, shares: MemoryShares
) -> list[RequestInProgress]:
    """Returns the requests that are given up so that another one gets `needed_bytes`.

    Clients without an accepted message come first, and of these the request with the least progress. Returns
    none if all together hold less than is needed.
    """
    order = sorted(requests, key=lambda request: (request.has_accepted_messages, request.progress))
    wanted_bytes = max(needed_bytes, int(shares.request_bytes * RECLAIMED_SHARE))
    chosen: list[RequestInProgress] = []
    freed_bytes = 0
    for request in order:
        if freed_bytes >= wanted_bytes:
            break
        chosen.append(request)
        freed_bytes += request.held_bytes
    return chosen if freed_bytes >= needed_bytes else []
