"""Connections to endpoints: kept while they are of use, never beyond what the descriptors allow."""

from __future__ import annotations

from collections import deque
from time import monotonic

import gevent

from ashpath.server.http.connection import HttpConnection, open_connection
from ashpath.server.limits import ServerLimits

Address = tuple[str, int]


class ConnectionPool:
    """Idle connections by endpoint, longest idle first; an endpoint goes with its last connection.
    Not by address: a successor may have that of one that is gone, whose connections lead nowhere."""

    def __init__(self, limits: ServerLimits) -> None:
        self.limits = limits
        self.idle: dict[str, deque[tuple[float, HttpConnection]]] = {}
        self.open = 0  # connections, idle or not
        # How long far ends keep idle ones, where that is shorter, and until when; emptied by the sweep.
        self.idle_limits: dict[str, tuple[float, float]] = {}

    def acquire(self, endpoint: str) -> HttpConnection | None:
        """An idle connection fit for a call: the longest idle one, as it would be the next to be closed; the
        one used last where the far end drops them early."""
        waiting = self.idle.get(endpoint)
        while waiting:
            since, wire = waiting.pop() if endpoint in self.idle_limits else waiting.popleft()
            if not waiting:
                del self.idle[endpoint]
            wire.idle_before_use_s = monotonic() - since
            if wire.idle_before_use_s < self.idle_limit(endpoint) and wire.is_quiet():
                return wire
            self.close(wire)
        return None

    def idle_limit(self, endpoint: str) -> float:
        return self.idle_limits.get(endpoint, (self.limits.endpoint_idle_s,))[0]

    def connection_dropped(self, endpoint: str, wire: HttpConnection) -> None:
        """Reset without a byte of an answer. Guards against far ends that drop idle connections sooner than
        they were said to, and say nothing: as long a silence is not trusted again for a while."""
        if wire.idle_before_use_s > self.limits.min_endpoint_idle_s:
            life = max(
                self.limits.min_endpoint_idle_s, min(self.idle_limit(endpoint), 0.8 * wire.idle_before_use_s)
            )
            self.idle_limits[endpoint] = (life, monotonic() + self.limits.idle_distrust_s)

    def connect(self, address: Address) -> HttpConnection:
        self.open += 1
        try:
            return open_connection(address, self.limits)
        except BaseException:
            self.open -= 1
            raise

    def release(self, endpoint: str, wire: HttpConnection) -> None:
        if wire.unusable or len(wire.buffer):
            self.close(wire)
        else:
            self.idle.setdefault(endpoint, deque()).append((monotonic(), wire))

    def close(self, wire: HttpConnection) -> None:
        wire.close()
        self.open -= 1

    def close_idle(self, endpoint: str) -> None:
        for _, wire in self.idle.pop(endpoint, ()):
            self.close(wire)

    def has_capacity(self) -> bool:
        """For one more connection, if need be in place of the one that is idle longest."""
        if self.open >= self.limits.endpoint_connections and self.idle:
            endpoint = min(self.idle, key=lambda endpoint: self.idle[endpoint][0][0])
            self.close(self.idle[endpoint].popleft()[1])
            if not self.idle[endpoint]:
                del self.idle[endpoint]
        return self.open < self.limits.endpoint_connections

    def sweep(self) -> None:
        """Closes what has been idle for long or was closed or written to by the far end."""
        now = monotonic()
        self.idle_limits = {endpoint: told for endpoint, told in self.idle_limits.items() if told[1] > now}
        for endpoint in list(self.idle):
            keep = deque[tuple[float, HttpConnection]]()
            oldest = (
                now - self.idle_limit(endpoint) + self.limits.pool_sweep_s
            )  # the next sweep would be too late
            for since, wire in self.idle.pop(endpoint):
                if since > min(oldest, now - self.limits.min_endpoint_idle_s) and wire.is_quiet():
                    keep.append((since, wire))
                else:
                    self.close(wire)
            if keep:
                self.idle[endpoint] = keep

    def run(self) -> None:
        while True:
            gevent.sleep(self.limits.pool_sweep_s)
            self.sweep()
