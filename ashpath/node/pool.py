"""Connections to endpoints: kept while they are of use, never beyond what the descriptors allow."""

from __future__ import annotations

from collections import deque
from time import monotonic

import gevent

from ashpath.node.codec import Wire, dial
from ashpath.node.limits import Limits

Address = tuple[str, int]


class Pool:
    """Idle connections by endpoint, longest idle first; an endpoint goes with its last connection.
    Not by address: a successor may have that of one that is gone, whose connections lead nowhere."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.idle: dict[str, deque[tuple[float, Wire]]] = {}
        self.open = 0  # connections, idle or not

    def take(self, endpoint: str) -> Wire | None:
        """An idle connection fit for a call: the longest idle one, as it would be the next to be closed."""
        waiting = self.idle.get(endpoint)
        while waiting:
            since, wire = waiting.popleft()
            if not waiting:
                del self.idle[endpoint]
            if monotonic() - since < self.limits.idle_life and wire.quiet():
                return wire
            self.close(wire)
        return None

    def connect(self, address: Address) -> Wire:
        self.open += 1
        try:
            return dial(address, self.limits)
        except BaseException:
            self.open -= 1
            raise

    def give_back(self, endpoint: str, wire: Wire) -> None:
        if wire.spoilt or len(wire.buffer):
            self.close(wire)
        else:
            self.idle.setdefault(endpoint, deque()).append((monotonic(), wire))

    def close(self, wire: Wire) -> None:
        wire.close()
        self.open -= 1

    def release(self, endpoint: str) -> None:
        for _, wire in self.idle.pop(endpoint, ()):
            self.close(wire)

    def has_room(self) -> bool:
        """For one more connection, if need be in place of the one that is idle longest."""
        if self.open >= self.limits.outward and self.idle:
            endpoint = min(self.idle, key=lambda endpoint: self.idle[endpoint][0][0])
            self.close(self.idle[endpoint].popleft()[1])
            if not self.idle[endpoint]:
                del self.idle[endpoint]
        return self.open < self.limits.outward

    def sweep(self) -> None:
        """Closes what has been idle for long or was closed or written to by the far end."""
        oldest = monotonic() - self.limits.idle_life + self.limits.sweep  # the next sweep would be too late
        for endpoint in list(self.idle):
            keep = deque[tuple[float, Wire]]()
            for since, wire in self.idle.pop(endpoint):
                if since > oldest and wire.quiet():
                    keep.append((since, wire))
                else:
                    self.close(wire)
            if keep:
                self.idle[endpoint] = keep

    def run(self) -> None:
        while True:
            gevent.sleep(self.limits.sweep)
            self.sweep()
