"""The idle connections of one sender."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from ashpath.core.time_units import SECOND
from ashpath.emulator.simulation.event_queue import EventQueue

IDLE_MARGIN = SECOND // 5
"""Microseconds before the endpoint closes an idle connection at which the sender no longer uses it."""


class ConnectionCounter(Protocol):
    """The counter of open connections at each endpoint."""

    def connections_closed(self, endpoint: str, count: int) -> None:
        """Records that `count` connections to an endpoint were closed."""


class IdleConnections:
    """Idle connections by endpoint. Times are in microseconds.

    Entries of `_idle_since` are removed when connections are taken or closed.
    """

    def __init__(self, events: EventQueue, connection_counter: ConnectionCounter, idle_timeout: int) -> None:
        self._events = events
        self._connection_counter = connection_counter
        self._max_idle_time = idle_timeout - IDLE_MARGIN
        self._idle_since: dict[str, deque[int]] = {}  # by endpoint: when each connection became idle

    def keep(self, endpoint: str) -> None:
        """Adds an open connection that no call uses."""
        self._idle_since.setdefault(endpoint, deque()).append(self._events.now)

    def take(self, endpoint: str) -> bool:
        """Takes an idle connection that its endpoint will not close soon, and returns whether one was found.

        Connections that are too old are closed.
        """
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
        """Closes the idle connections to an endpoint."""
        count = len(self._idle_since.pop(endpoint, ()))
        if count:
            self._connection_counter.connections_closed(endpoint, count)

    def close_all(self) -> None:
        """Closes all idle connections."""
        for endpoint in list(self._idle_since):
            self.close(endpoint)

    def discard(self, endpoint: str) -> None:
        """Drops the idle connections to a removed endpoint without counting them as closed."""
        self._idle_since.pop(endpoint, None)
