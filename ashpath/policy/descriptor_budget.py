"""Divides the descriptors of a sender between its processes, which a hot upgrade has two or more of.

To the limit of descriptors all processes are one sender. Connections of each kind have one capacity, which
all processes share: what one of them holds, no other one may open. Each process tells the others what it
holds, and how many more it wants (`ProcessDescriptors`); from the same figures each decides for itself.

| process | may open another connection | gives connections back |
| --- | --- | --- |
| any | within the capacity | those beyond the capacity, as a further process has started |
| that serves, up to its fair share | also while others want more | none |
| that serves, beyond its fair share | only if no process wants more up to its share | as many as those want |
| that drains | as beyond its fair share, which is 0 | the same |

The source (ADR 0122) treats the capacity of destinations, not that of the process, and has no such rule.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum

from msgspec import Struct

SERVICE_DESCRIPTORS = 24
"""Sockets of one process beside its connections to clients and endpoints: listeners, the connections of
operators, polls and notifications."""
METRICS_DESCRIPTORS = 6
"""The listener of the metrics, and the connections that it serves."""
GOSSIP_DESCRIPTORS = 2
"""The socket of the gossip, and the one that replaces it."""
MIN_CLIENT_CAPACITY = 8
"""Shared by all processes, however many there are."""
CLIENTS_WANTED = 8
"""Asked for by a process that has no place for a client, as more clients follow."""
ENDPOINT_WAIT_US = 250_000
"""Time for which an attempt waits until another process gives a descriptor back."""


class DescriptorKind(IntEnum):
    """What a connection is for; the value is an index of the tuples below."""

    CLIENT = 0
    ENDPOINT = 1


class ProcessDescriptors(Struct, frozen=True):
    """What one process of a sender tells the others of its descriptors."""

    services: int
    """Kept for the process's own services, whether used or not."""
    held: tuple[int, int] = (0, 0)
    """Connections by kind."""
    wanted: tuple[int, int] = (0, 0)
    """Further connections by kind that the process would open at once."""
    draining: bool = False
    """The process has received SIGTERM."""


class DescriptorBudget(Struct, frozen=True):
    """The limits of one process that is alone."""

    reserved: int
    """Descriptors that are no connection to a client or an endpoint."""
    capacities: tuple[int, int]
    """Connections by kind."""

    def capacity(self, kind: DescriptorKind, processes: Sequence[ProcessDescriptors]) -> int:
        """Returns how many connections of a kind all processes may hold together."""
        capacity = self.capacities[kind]
        if kind is DescriptorKind.ENDPOINT:
            return capacity
        services = sum(process.services for process in processes)
        return max(min(MIN_CLIENT_CAPACITY, capacity), capacity - max(0, services - self.reserved))

    def free(self, kind: DescriptorKind, processes: Sequence[ProcessDescriptors]) -> int:
        """Returns how many more connections of a kind may be opened; negative beyond the capacity."""
        return self.capacity(kind, processes) - sum(process.held[kind] for process in processes)

    def fair_share(
        self, kind: DescriptorKind, process: ProcessDescriptors, processes: Sequence[ProcessDescriptors]
    ) -> int:
        """Returns the connections that a process need not give back for another one."""
        if process.draining:
            return 0
        serving = sum(not one.draining for one in processes)
        return self.capacity(kind, processes) // serving

    def is_below_share(
        self, kind: DescriptorKind, process: ProcessDescriptors, processes: Sequence[ProcessDescriptors]
    ) -> bool:
        """Whether a process holds less than its fair share."""
        return process.held[kind] < self.fair_share(kind, process, processes)

    def may_open(
        self, kind: DescriptorKind, own: ProcessDescriptors, others: Sequence[ProcessDescriptors]
    ) -> bool:
        """Whether the process `own` may open one more connection of a kind."""
        processes = (own, *others)
        if self.free(kind, processes) <= 0:
            return False
        if not others:
            return True
        return self.is_below_share(kind, own, processes) or not self._wanted_by_shares(kind, own, others)

    def surplus(
        self, kind: DescriptorKind, own: ProcessDescriptors, others: Sequence[ProcessDescriptors]
    ) -> int:
        """Returns how many connections of a kind the process `own` should give back now."""
        processes = (own, *others)
        beyond_share = own.held[kind] - self.fair_share(kind, own, processes)
        missing = self._wanted_by_shares(kind, own, others) - self.free(kind, processes)
        return max(0, min(beyond_share, missing))

    def _wanted_by_shares(
        self, kind: DescriptorKind, own: ProcessDescriptors, others: Sequence[ProcessDescriptors]
    ) -> int:
        """Returns how many connections the other processes want that hold less than their fair shares."""
        processes = (own, *others)
        return sum(one.wanted[kind] for one in others if self.is_below_share(kind, one, processes))
