"""Limits of the connections of clients."""

from __future__ import annotations

from msgspec import Struct


class ClientConnectionLimits(Struct, frozen=True):
    """Number of client connections, their timeouts, and when they are evicted."""

    client_connections: int
    """Client connections."""
    idle_client_connections: int
    """Client connections without a request."""
    turn_s: float = 0.002
    """Time for which clients without an accepted message are served, all together, between two looks at
    everything else."""
    request_s: float = 2.4
    """Timeout from a request's first byte to its last; for the first request, from the connection's start."""
    client_idle_s: float = 2.2
    """Time without a request after which a connection is closed."""
    silent_eviction_s: float = 0.3
    """Time after which a connection that has sent nothing may be evicted in favor of another."""
    idle_eviction_s: float = 1.0
    """Time without a request after which a connection may be evicted in favor of another."""
    eviction_patience_s: float = 0.25
    """Time for which a new connection waits for another one to make room before an idle one is evicted that
    was used just now."""
    eviction_candidates: int = 16
    """Connections that are considered for eviction, as a request may just have arrived on the first ones."""
    stalled_request_s: float = 0.5
    """Time after which a connection whose request is incomplete may be evicted."""
    drain_bytes: int = 256 << 10
    """Bytes that are read and discarded after a rejection. Closing a connection with unread bytes would reset
    it, and the client could lose the response."""
    drain_clients_s: float = 1.5
    """Time during which drained clients may send one more request on an idle connection."""
