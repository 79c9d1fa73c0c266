"""The idle connections of one sender."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from ashpath.emulator.simulation.event_queue import EventQueue
from ashpath.emulator.units import SECOND

IDLE_MARGIN = SECOND // 5
"""An idle connection is given up so long before the far end would close it."""


class ConnectionCounter(Protocol):
    """Who counts connections at endpoints."""

    def connections_closed(self, endpoint: str, count: int) -> None:
        """So many connections to an endpoint are closed."""


class IdleConnections:
    """`_idle_since` is emptied as connections are taken or closed. Times are microseconds."""

    def __init__(self, events: EventQueue, connection_counter: ConnectionCounter, idle_timeout: int) -> None:
        self._events = events
        self._connection_counter = connection_counter
        self._max_idle_time = idle_timeout - IDLE_MARGIN
        self._idle_since: dict[str, deque[int]] = {}  # by endpoint: since when each connection is idle

    def keep(self, endpoint: str) -> None:
        """A connection is open, and no call is on it."""
        self._idle_since.setdefault(endpoint, deque()).append(self._events.now)

    def take(self, endpoint: str) -> bool:
        """Whether there was a connection that the far end will not close just now; it is no longer idle."""
        idle = self._idle_since.get(endpoint)
        while idle:
            since = idle.popleft()
            if not idle:
                del self._idle_since[endpoint]
            if self._events.now - since < self._max_idle_time:
                return True
            self._connection_counter.connections_closed(endpoint, 1)
        return False

    def close(self, endpoint: str) -> None:
        """Closes those to an endpoint."""
        count = len(self._idle_since.pop(endpoint, ()))
        if count:
            self._connection_counter.connections_closed(endpoint, count)

    def close_all(self) -> None:
        """Closes those to all endpoints."""
        for endpoint in list(self._idle_since):
            self.close(endpoint)

    def discard(self, endpoint: str) -> None:
        """The endpoint is gone, and with it the connections that it held."""
        self._idle_since.pop(endpoint, None)
