"""Read-only copies of the policy's state of destinations, for the status API and the metrics."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class BreakerState(Enum):
    """The state of a circuit breaker; the values are those in the metrics."""

    CLOSED = 0
    OPEN = 1
    HALF_OPEN = 2


class GateSnapshot(Struct, frozen=True):
    """The state of the gate of a destination or one route."""

    route: str
    """The endpoint id if endpoints are separate routes, else empty."""
    concurrency_limit: int
    in_flight: int
    breaker: BreakerState
    rate_limit: float
    """Calls per second; 0: not limited."""
    delivery_rate: float
    """Deliveries per second."""
    down: bool
    """This sender considers the destination or route to be in an outage."""
    retry_after_until: int
    """The latest end of any Retry-After received, in microseconds of the policy's clock."""


class DestinationSnapshot(Struct, frozen=True):
    """The state of one destination."""

    number: int
    endpoints: int
    """The number of active endpoints, without detached ones."""
    unfinished_messages: int
    gates: tuple[GateSnapshot, ...]
