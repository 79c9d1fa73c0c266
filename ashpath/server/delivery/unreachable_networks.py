"""Distinguishes an outage of the local network from an address that cannot be reached.

A connect that fails with "no route" is a fault of this machine, unless another connection has been
established since the first such failure at that address: the local network works then, and the address is
unreachable.
"""

from __future__ import annotations

from ashpath.server.addresses import Address

MAX_ADDRESSES = 4096  # beyond it all are dropped; two connects per address restore them


class UnreachableNetworks:
    """Stores addresses that failed with "no route", until a connection to them is established."""

    def __init__(self) -> None:
        self.established_connections = 0
        # By address: `established_connections` at the first "no route" failure.
        self._first_failures: dict[Address, int] = {}

    def connection_established(self, address: Address) -> None:
        """Records that a connection to the address was established."""
        self.established_connections += 1
        self._first_failures.pop(address, None)

    def is_local_outage(self, address: Address) -> bool:
        """Whether a "no route" failure at this address, just now, is a fault of this machine."""
        if len(self._first_failures) >= MAX_ADDRESSES:
            self._first_failures.clear()
        return (
            self._first_failures.setdefault(address, self.established_connections)
            == self.established_connections
        )
