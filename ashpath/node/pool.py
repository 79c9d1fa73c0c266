"""Connections to endpoints: kept while they are of use, never beyond what the descriptors allow."""

from __future__ import annotations

from collections import deque
from time import monotonic

import gevent

from ashpath.node.codec import Wire, dial
from ashpath.node.limits import Limits

Address = tuple[str, int]


class Pool:
    """Idle connections by address, longest idle first; an address goes with its last connection."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.idle: dict[Address, deque[tuple[float, Wire]]] = {}
        self.open = 0  # connections, idle or not

    def take(self, address: Address) -> Wire | None:
        """An idle connection fit for a call: the longest idle one, as it would be the next to be closed."""
        waiting = self.idle.get(address)
        while waiting:
            since, wire = waiting.popleft()
            if not waiting:
                del self.idle[address]
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

    def give_back(self, address: Address, wire: Wire) -> None:
        if wire.spoilt or len(wire.buffer):
            self.close(wire)
        else:
            self.idle.setdefault(address, deque()).append((monotonic(), wire))

    def close(self, wire: Wire) -> None:
        wire.close()
        self.open -= 1

    def release(self, address: Address) -> None:
        for _, wire in self.idle.pop(address, ()):
            self.close(wire)

    def has_room(self) -> bool:
        """For one more connection, if need be in place of the one that is idle longest."""
        if self.open >= self.limits.outward and self.idle:
            address = min(self.idle, key=lambda address: self.idle[address][0][0])
            self.close(self.idle[address].popleft()[1])
            if not self.idle[address]:
                del self.idle[address]
        return self.open < self.limits.outward

    def sweep(self) -> None:
        """Closes what has been idle for long or was closed or written to by the far end."""
        oldest = monotonic() - self.limits.idle_life + self.limits.sweep  # the next sweep would be too late
        for address in list(self.idle):
            keep = deque[tuple[float, Wire]]()
            for since, wire in self.idle.pop(address):
                if since > oldest and wire.quiet():
                    keep.append((since, wire))
                else:
                    self.close(wire)
            if keep:
                self.idle[address] = keep

    def run(self) -> None:
        while True:
            gevent.sleep(self.limits.sweep)
            self.sweep()
