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
        self.established_connections = 0
        self._first_failures: dict[Address, int] = {}  # by address, how many dials had come up by then

    def connection_established(self, address: Address) -> None:
        """There is a route."""
        self.established_connections += 1
        self._first_failures.pop(address, None)

    def is_local_outage(self, address: Address) -> bool:
        """Whether a dial without a route, to this address and just now, is a fault of this machine."""
        if len(self._first_failures) >= MAX_ADDRESSES:
            self._first_failures.clear()
        return (
            self._first_failures.setdefault(address, self.established_connections)
            == self.established_connections
        )
