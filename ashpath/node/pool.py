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
        # How long far ends keep idle ones, where that is shorter, and until when; emptied by the sweep.
        self.lives: dict[str, tuple[float, float]] = {}

    def take(self, endpoint: str) -> Wire | None:
        """An idle connection fit for a call: the longest idle one, as it would be the next to be closed; the
        one used last where the far end drops them early."""
        waiting = self.idle.get(endpoint)
        while waiting:
            since, wire = waiting.pop() if endpoint in self.lives else waiting.popleft()
            if not waiting:
                del self.idle[endpoint]
            wire.idled = monotonic() - since
            if wire.idled < self.life(endpoint) and wire.quiet():
                return wire
            self.close(wire)
        return None

    def life(self, endpoint: str) -> float:
        return self.lives.get(endpoint, (self.limits.idle_life,))[0]

    def dropped(self, endpoint: str, wire: Wire) -> None:
        """Reset without a byte of an answer. Guards against far ends that drop idle connections sooner than
        they were said to, and say nothing: as long a silence is not trusted again for a while."""
        if wire.idled > self.limits.least_life:
            life = max(self.limits.least_life, min(self.life(endpoint), 0.8 * wire.idled))
            self.lives[endpoint] = (life, monotonic() + self.limits.distrust)

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
        now = monotonic()
        self.lives = {endpoint: told for endpoint, told in self.lives.items() if told[1] > now}
        for endpoint in list(self.idle):
            keep = deque[tuple[float, Wire]]()
            oldest = now - self.life(endpoint) + self.limits.sweep  # the next sweep would be too late
            for since, wire in self.idle.pop(endpoint):
                if since > min(oldest, now - self.limits.least_life) and wire.quiet():
                    keep.append((since, wire))
                else:
                    self.close(wire)
            if keep:
                self.idle[endpoint] = keep

    def run(self) -> None:
        while True:
            gevent.sleep(self.limits.sweep)
            self.sweep()
