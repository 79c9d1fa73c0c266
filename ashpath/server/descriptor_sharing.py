"""Gives connections back to the other processes of a hot upgrade as they want them."""

from __future__ import annotations

from time import monotonic
from typing import Protocol

import gevent

from ashpath.policy.descriptor_budget import DescriptorKind
from ashpath.server.descriptors import SharedDescriptorLeases

INTERVAL_S = 0.01  # while the sender has another process
INTERVAL_ALONE_S = 0.05


class ConnectionOwner(Protocol):
    """Owns connections of one kind."""

    def give_way(self, count: int, waited_s: float) -> None:
        """Closes up to `count` connections that are needed least. Other processes wait for `waited_s`
        seconds."""


class DescriptorSharing:
    """Checks at each interval whether other processes want more connections than there is room for."""

    def __init__(self, leases: SharedDescriptorLeases, clients: ConnectionOwner, endpoints: ConnectionOwner):
        self.leases = leases
        self.owners = {DescriptorKind.CLIENT: clients, DescriptorKind.ENDPOINT: endpoints}
        self._surplus_since: dict[DescriptorKind, float] = {}

    def run(self) -> None:
        """Checks at each interval. Never returns."""
        while True:
            has_others = self.leases.has_others()
            gevent.sleep(INTERVAL_S if has_others else INTERVAL_ALONE_S)
            self.check()

    def check(self) -> None:
        """Checks once."""
        self.leases.refresh()
        if self.leases.has_others():
            self.leases.table.free_ended()
        self.leases.log_processes()
        for kind, owner in self.owners.items():
            surplus = self.leases.surplus(kind)
            if not surplus:
                self._surplus_since.pop(kind, None)
                continue
            since = self._surplus_since.setdefault(kind, monotonic())
            owner.give_way(surplus, monotonic() - since)
