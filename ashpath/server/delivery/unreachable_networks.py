"""Tells a network that is down here from a place that cannot be reached.

A dial that ends with "no route" is a fault of this machine unless another dial has come up since the first
such end at that address: then the network works, and the place does not.
"""

from __future__ import annotations

from ashpath.server.addresses import Address

MAX_ADDRESSES = 4096  # past it all are forgotten: each is learnt again by two dials


class UnreachableNetworks:
    """Keeps the addresses without a route, until a dial there comes up."""

    def __init__(self) -> None:
        self.dials_up = 0
        self._first_seen: dict[Address, int] = {}  # by address, how many dials had come up by then

    def dial_came_up(self, address: Address) -> None:
        """There is a route."""
        self.dials_up += 1
        self._first_seen.pop(address, None)

    def is_local(self, address: Address) -> bool:
        """Whether a dial without a route, to this address and just now, is a fault of this machine."""
        if len(self._first_seen) >= MAX_ADDRESSES:
            self._first_seen.clear()
        return self._first_seen.setdefault(address, self.dials_up) == self.dials_up
