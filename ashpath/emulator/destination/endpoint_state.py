"""The state of one endpoint of a destination model."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(eq=False, slots=True)
class EndpointState:
    """One endpoint of a destination."""

    workers_free_at: list[int]
    """The time at which each worker becomes free, as a heap. Endpoints that share workers share the heap."""
    queued_starts: deque[int] = field(default_factory=deque)
    """Start times of the waiting calls; those that have started are removed when a call arrives."""
    connections: int = 0
