"""Connections to endpoints: kept while they are of use, never beyond what the descriptors allow.

A connection is in one of three states, and only the pool moves it between them:

| state | entered by | left by |
| --- | --- | --- |
| in use | `acquire`: an idle one, or a new one | `release`, `close` |
| idle | `release`, if it can carry a further request | `acquire`, `sweep`, `close_idle`, `make_room` |
| closed | `close`, and `release` if it cannot | |

Whoever acquires a connection owns it until it calls `release` or `close`, exactly once. `open` counts those
in use and the idle ones. Idle connections are kept by endpoint, not by address: a successor may have the
address of an endpoint that is gone, whose connections lead nowhere.
"""

from __future__ import annotations

from collections import deque
from time import monotonic
from typing import NamedTuple

import gevent

from ashpath.server.addresses import Address
from ashpath.server.delivery.errors import ConnectionPoolFullError
from ashpath.server.http.connection import HttpConnection, open_connection
from ashpath.server.limits import ServerLimits

TRUSTED_IDLE_FRACTION = 0.8  # of an idle time that ended in a reset: so long is trusted from then on


class IdleConnection(NamedTuple):
    """A connection that carries no request."""

    since: float
    """Seconds of the monotonic clock."""
    connection: HttpConnection


class IdleLimit(NamedTuple):
    """How long an endpoint keeps idle connections, where that is shorter than it should be."""

    longest_idle: float
    """Seconds."""
    until: float
    """Seconds of the monotonic clock at which this is forgotten."""


class ConnectionPool:
    """Idle connections by endpoint, longest idle first; an endpoint leaves with its last connection."""

    def __init__(self, limits: ServerLimits) -> None:
        self.limits = limits
        self.idle: dict[str, deque[IdleConnection]] = {}
        self.open = 0
        """Connections in use and idle."""
        self.idle_limits: dict[str, IdleLimit] = {}
        """Of endpoints that closed idle connections early; emptied by the sweep."""

    def apply_limits(self, limits: ServerLimits) -> None:
        """Other limits from now on; connections that are open stay."""
        self.limits = limits

    def acquire(self, endpoint_id: str, address: Address) -> HttpConnection:
        """A connection fit for a request: an idle one, else a new one to the address.

        Raises ConnectionPoolFullError, and OSError where no connection can be made."""
        connection = self.acquire_idle(endpoint_id)
        if connection is not None:
            return connection
        if not self.make_room():
            raise ConnectionPoolFullError
        return self.connect(address)

    def acquire_idle(self, endpoint_id: str) -> HttpConnection | None:
        """The longest idle one, as it would be the next to be closed; the one used last where the far end
        closes them early. None if none is fit for a request."""
        idle = self.idle.get(endpoint_id)
        while idle:
            since, connection = idle.pop() if endpoint_id in self.idle_limits else idle.popleft()
            if not idle:
                del self.idle[endpoint_id]
            connection.idle_before_use_s = monotonic() - since
            if connection.idle_before_use_s < self.idle_limit(endpoint_id) and connection.is_quiet():
                return connection
            self.close(connection)
        return None

    def connect(self, address: Address) -> HttpConnection:
        """A new connection, in use. Raises OSError."""
        self.open += 1
        try:
            return open_connection(address, self.limits)
        except BaseException:
            self.open -= 1
            raise

    def release(self, endpoint_id: str, connection: HttpConnection) -> None:
        """Gives it back: it is idle from now on, or closed if it can carry no further request."""
        if connection.unusable or len(connection.buffer):
            self.close(connection)
        else:
            self.idle.setdefault(endpoint_id, deque()).append(IdleConnection(monotonic(), connection))

    def close(self, connection: HttpConnection) -> None:
        """Closes one that is in use or has just been taken from the idle ones."""
        connection.close()
        self.open -= 1

    def close_idle(self, endpoint_id: str) -> None:
        """Closes all idle connections of an endpoint."""
        for idle in self.idle.pop(endpoint_id, ()):
            self.close(idle.connection)

    def make_room(self) -> bool:
        """Whether one more may be open, if need be in place of the longest idle one, which is closed."""
        if self.open >= self.limits.endpoint_connections and self.idle:
            endpoint_id = min(self.idle, key=lambda endpoint_id: self.idle[endpoint_id][0].since)
            self.close(self.idle[endpoint_id].popleft().connection)
            if not self.idle[endpoint_id]:
                del self.idle[endpoint_id]
        return self.open < self.limits.endpoint_connections

    def idle_limit(self, endpoint_id: str) -> float:
        """Seconds that connections of the endpoint may be idle before they are closed."""
        limit = self.idle_limits.get(endpoint_id)
        return self.limits.endpoint_idle_s if limit is None else limit.longest_idle

    def connection_dropped(self, endpoint_id: str, connection: HttpConnection) -> None:
        """Reset without a byte of a response. Guards against far ends that drop idle connections sooner than
        they should, and say nothing: so long a silence is not trusted again for a while."""
        shortest = self.limits.min_endpoint_idle_s
        if connection.idle_before_use_s > shortest:
            trusted = min(self.idle_limit(endpoint_id), TRUSTED_IDLE_FRACTION * connection.idle_before_use_s)
            until = monotonic() + self.limits.idle_distrust_s
            self.idle_limits[endpoint_id] = IdleLimit(max(shortest, trusted), until)

    def sweep(self) -> None:
        """Closes what has been idle for long or was closed or written to by the far end."""
        now = monotonic()
        self.idle_limits = {
            endpoint_id: limit for endpoint_id, limit in self.idle_limits.items() if limit.until > now
        }
        for endpoint_id in list(self.idle):
            kept = deque[IdleConnection]()
            # The next sweep would be too late.
            oldest = now - self.idle_limit(endpoint_id) + self.limits.pool_sweep_s
            for idle in self.idle.pop(endpoint_id):
                young = idle.since > min(oldest, now - self.limits.min_endpoint_idle_s)
                if young and idle.connection.is_quiet():
                    kept.append(idle)
                else:
                    self.close(idle.connection)
            if kept:
                self.idle[endpoint_id] = kept

    def run(self) -> None:
        """Sweeps until its greenlet is killed."""
        while True:
            gevent.sleep(self.limits.pool_sweep_s)
            self.sweep()
