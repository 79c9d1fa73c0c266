"""Limits of the connections to endpoints."""

from __future__ import annotations

from msgspec import Struct

CLOSING_DIVISOR = 4  # connections that may be listened to, as a part of all to endpoints


class EndpointConnectionLimits(Struct, frozen=True):
    """Number of connections to endpoints, and how long they and their destinations are kept."""

    endpoint_connections: int
    """Connections to endpoints, including idle ones."""
    endpoint_idle_s: float
    """Idle time after which a connection is closed, before the far end can close it during a request."""
    min_endpoint_idle_s: float = 0.1
    """The lower bound of the idle time, which is shortened after resets."""
    idle_distrust_s: float = 10.0
    """Time after a reset during which the idle time of that endpoint's connections is shortened."""
    pool_sweep_s: float = 0.25
    """Interval between checks of idle connections."""
    forget_destination_s: float = 60.0
    """Time for which a destination without endpoints is still known, as a replacement endpoint may be listed
    late."""

    @property
    def closing_connections(self) -> int:
        """Connections that are closed on this side only, and listened to."""
        return self.endpoint_connections // CLOSING_DIVISOR
