"""How destinations stand, for the status API and the metrics: read-only copies of the policy's state."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class BreakerState(Enum):
    """The circuit breaker of a gate; the values are those of the metrics."""

    CLOSED = 0
    OPEN = 1
    HALF_OPEN = 2


class GateSnapshot(Struct, frozen=True):
    """The gate of a destination, or of one route."""

    route: str
    """The endpoint, where endpoints are separate routes; else empty."""
    concurrency_limit: int
    in_flight: int
    breaker: BreakerState
    rate_limit: float
    """Calls a second; 0: not paced."""
    delivery_rate: float
    """Deliveries a second."""
    down: bool
    """In an outage, as far as this sender knows."""
    retry_after_until: int
    """Nothing is sent before, in microseconds of the policy's clock."""


class DestinationSnapshot(Struct, frozen=True):
    """One destination."""

    number: int
    endpoints: int
    """Listed and active."""
    unfinished_messages: int
    gates: tuple[GateSnapshot, ...]
