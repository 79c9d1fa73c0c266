"""Pool of connections to endpoints: reuses idle ones, and limits the open ones to the available descriptors.

A connection is in one of three states, and only the pool moves it between them:

| state | entered by | left by |
| --- | --- | --- |
| in use | `acquire`: an idle connection, or a new one | `release`, `close` |
| idle | `release`, if it can carry a further request | `acquire`, `sweep`, `close_idle`, `make_room` |
| closed | `close`, and `release` if it cannot carry a further request | |

The caller of `acquire` owns the connection, and calls either `release` or `close`, exactly once. `open`
counts connections in use and idle ones. Idle connections are stored by endpoint, not by address: a new
endpoint may take the address of one that is gone, and the old connections do not lead to it.
"""

from __future__ import annotations

from collections import deque
from time import monotonic
from typing import NamedTuple

import gevent

from ashpath.server.addresses import Address
from ashpath.server.delivery.errors import ConnectionPoolFullError
from ashpath.server.http.connection import HttpConnection, open_connection
from ashpath.server.limits.endpoint_connections import EndpointConnectionLimits
from ashpath.server.limits.http import HttpLimits

# The new idle limit of an endpoint, as a fraction of the idle time after which it dropped a connection.
TRUSTED_IDLE_FRACTION = 0.8


class IdleConnection(NamedTuple):
    """A connection that carries no request, and since when."""

    since: float
    """Seconds of the monotonic clock."""
    connection: HttpConnection


class IdleLimit(NamedTuple):
    """The shorter idle limit of an endpoint that drops idle connections before the configured limit."""

    longest_idle: float
    """Seconds."""
    until: float
    """Seconds of the monotonic clock at which this limit expires."""


class ConnectionPool:
    """Idle connections by endpoint, longest idle first; an endpoint without idle connections has no entry."""

    def __init__(self, limits: EndpointConnectionLimits, http_limits: HttpLimits) -> None:
        self.limits = limits
        self.http_limits = http_limits
        self.idle: dict[str, deque[IdleConnection]] = {}
        self.open = 0
        """Number of connections in use and idle."""
        self.idle_limits: dict[str, IdleLimit] = {}
        """By endpoint that dropped idle connections early; the sweep removes expired limits."""

    def apply_limits(self, limits: EndpointConnectionLimits, http_limits: HttpLimits) -> None:
        """Replaces the limits; open connections stay open."""
        self.limits = limits
        self.http_limits = http_limits

    def acquire(self, endpoint_id: str, address: Address) -> HttpConnection:
        """Returns a usable idle connection, else a new one to the address.

        Raises ConnectionPoolFullError, and OSError if the connection fails."""
        connection = self.acquire_idle(endpoint_id)
        if connection is not None:
            return connection
        if not self.make_room():
            raise ConnectionPoolFullError
        return self.connect(address)

    def acquire_idle(self, endpoint_id: str) -> HttpConnection | None:
        """Returns a usable idle connection, or None; closes the unusable ones that precede it.

        The longest idle connection comes first, as it would be the next to be closed. If the endpoint drops
        idle connections early, the most recently used one comes first."""
        idle = self.idle.get(endpoint_id)
        while idle:
            since, connection = idle.pop() if endpoint_id in self.idle_limits else idle.popleft()
            if not idle:
                del self.idle[endpoint_id]
            connection.idle_before_use_s = monotonic() - since
            if connection.idle_before_use_s < self.idle_limit(endpoint_id) and connection.is_idle():
                return connection
            self.close(connection)
        return None

    def connect(self, address: Address) -> HttpConnection:
        """Returns a new connection, in use. Raises OSError if the connection fails."""
        self.open += 1
        try:
            return open_connection(address, self.http_limits)
        except BaseException:
            self.open -= 1
            raise

    def release(self, endpoint_id: str, connection: HttpConnection) -> None:
        """Makes a connection idle, or closes it if it cannot carry a further request."""
        if connection.unusable or len(connection.buffer):
            self.close(connection)
        else:
            self.idle.setdefault(endpoint_id, deque()).append(IdleConnection(monotonic(), connection))

    def close(self, connection: HttpConnection) -> None:
        """Closes a connection that is in use or has just been removed from the idle ones."""
        connection.close()
        self.open -= 1

    def close_idle(self, endpoint_id: str) -> None:
        """Closes all idle connections of an endpoint."""
        for idle in self.idle.pop(endpoint_id, ()):
            self.close(idle.connection)

    def make_room(self) -> bool:
        """Whether one more connection may be opened; at the limit, closes the longest idle one first."""
        if self.open >= self.limits.endpoint_connections and self.idle:
            endpoint_id = min(self.idle, key=lambda endpoint_id: self.idle[endpoint_id][0].since)
            self.close(self.idle[endpoint_id].popleft().connection)
            if not self.idle[endpoint_id]:
                del self.idle[endpoint_id]
        return self.open < self.limits.endpoint_connections

    def idle_limit(self, endpoint_id: str) -> float:
        """Returns the seconds for which connections of the endpoint may be idle before they are closed."""
        limit = self.idle_limits.get(endpoint_id)
        return self.limits.endpoint_idle_s if limit is None else limit.longest_idle

    def connection_dropped(self, endpoint_id: str, connection: HttpConnection) -> None:
        """Shortens the endpoint's idle limit after a connection was lost without a byte of a response.

        Some endpoints drop idle connections early and without a FIN; the next request on such a connection is
        lost. For `idle_distrust_s`, connections of the endpoint are closed after a shorter idle time."""
        shortest = self.limits.min_endpoint_idle_s
        if connection.idle_before_use_s > shortest:
            trusted = min(self.idle_limit(endpoint_id), TRUSTED_IDLE_FRACTION * connection.idle_before_use_s)
            until = monotonic() + self.limits.idle_distrust_s
            self.idle_limits[endpoint_id] = IdleLimit(max(shortest, trusted), until)

    def sweep(self) -> None:
        """Closes idle connections past their limit, and those that the endpoint has closed or written to."""
        now = monotonic()
        self.idle_limits = {
            endpoint_id: limit for endpoint_id, limit in self.idle_limits.items() if limit.until > now
        }
        for endpoint_id in list(self.idle):
            kept = deque[IdleConnection]()
            # Connections that would exceed their limit before the next sweep are closed now, unless they have
            # been idle for less than `min_endpoint_idle_s`.
            oldest = now - self.idle_limit(endpoint_id) + self.limits.pool_sweep_s
            for idle in self.idle.pop(endpoint_id):
                young = idle.since > min(oldest, now - self.limits.min_endpoint_idle_s)
                if young and idle.connection.is_idle():
                    kept.append(idle)
                else:
                    self.close(idle.connection)
            if kept:
                self.idle[endpoint_id] = kept

    def run(self) -> None:
        """Sweeps every `pool_sweep_s` until its greenlet is killed."""
        while True:
            gevent.sleep(self.limits.pool_sweep_s)
            self.sweep()
