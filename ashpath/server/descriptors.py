"""Leases of descriptors: a process takes one before it opens or accepts a connection.

In a hot upgrade the processes of a sender share the limit of descriptors (`policy/descriptor_budget.py`).
What each of them holds is in a table that all map (`storage/descriptor_table.py`). A process that binds its
address itself has no other process beside it, and counts nothing.

The event loop closes a socket at the end of its iteration at the earliest, so a lease that is released counts
for two iterations more.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from gevent import get_hub

from ashpath.policy.descriptor_budget import DescriptorBudget, DescriptorKind, ProcessDescriptors
from ashpath.server.logs import Logger
from ashpath.server.storage.descriptor_table import DescriptorTable

ROOM_WAIT_S = 1.0  # for the other processes to make room for this one's services; a stopped one does not
ROOM_CHECK_INTERVAL_S = 0.005


class Lease:
    """The right to hold one descriptor, from before it is opened until it is closed."""

    __slots__ = ("_release",)

    def __init__(self, release: Callable[[], None] | None = None) -> None:
        self._release = release

    def release(self) -> None:
        """Gives the lease back; called after the close of the socket. A second call has no effect."""
        release = self._release
        if release is not None:
            self._release = None
            release()


UNCOUNTED = Lease()


class DescriptorLeases:
    """The leases of this process, which is the only one of its sender."""

    is_shared = False
    """Whether the sender may have other processes."""

    def take(self, kind: DescriptorKind) -> Lease | None:
        """Returns a lease for one more connection, or None if there is no room for it."""
        return UNCOUNTED

    def want(self, kind: DescriptorKind, count: int) -> None:
        """Tells the other processes how many connections of a kind wait for a lease."""

    def is_below_share(self, kind: DescriptorKind) -> bool:
        """Whether other processes are to make room for a connection that waits for a lease."""
        return False

    def begin_draining(self) -> None:
        """Tells the other processes that this one gives back what they want."""


UNSHARED = DescriptorLeases()


class SharedDescriptorLeases(DescriptorLeases):
    """The leases of this process, whose sender may have others."""

    is_shared = True

    def __init__(
        self,
        table: DescriptorTable,
        budget: DescriptorBudget,
        services: Callable[[], int],
        logger: Logger,
    ) -> None:
        """`services`: returns the descriptors that this process's services may hold now."""
        self.table = table
        self.budget = budget
        self.services = services
        self.logger = logger
        self._held = [0, 0]  # by kind
        self._wanted = [0, 0]
        self._draining = False
        self._own = ProcessDescriptors(services())
        self._other_processes: int | None = None  # as last logged
        self._closing = ClosingDescriptors(self._closed)
        self._releases = [lambda kind=kind: self._closing.add(kind) for kind in DescriptorKind]

    def await_room(self) -> None:
        """Registers this process, and waits until the others have made room for its services."""
        self.table.free_ended()
        self._write()
        until = time.monotonic() + ROOM_WAIT_S
        while time.monotonic() < until and not self._has_room_for_services():
            time.sleep(ROOM_CHECK_INTERVAL_S)
            self.table.free_ended()
        self.log_processes()

    def _has_room_for_services(self) -> bool:
        processes = (self._own, *self.table.others())
        return all(self.budget.free(kind, processes) >= 0 for kind in DescriptorKind)

    def take(self, kind: DescriptorKind) -> Lease | None:
        """See `DescriptorLeases`."""
        if not self.table.lock():
            return None
        try:
            if not self.budget.may_open(kind, self._own, self.table.others()):
                return None
            self._change_held(kind, 1)
        finally:
            self.table.unlock()
        return Lease(self._releases[kind])

    def want(self, kind: DescriptorKind, count: int) -> None:
        """See `DescriptorLeases`."""
        if self._wanted[kind] != count:
            self._wanted[kind] = count
            self._write()

    def is_below_share(self, kind: DescriptorKind) -> bool:
        """See `DescriptorLeases`."""
        others = self.table.others()
        return bool(others) and self.budget.is_below_share(kind, self._own, (self._own, *others))

    def begin_draining(self) -> None:
        """See `DescriptorLeases`."""
        self._draining = True
        self._write()

    def surplus(self, kind: DescriptorKind) -> int:
        """Returns how many connections of a kind this process should close now for others."""
        return self.budget.surplus(kind, self._own, self.table.others())

    def has_others(self) -> bool:
        """Whether the sender has another process."""
        return bool(self.table.others())

    def refresh(self) -> None:
        """Tells the others if the services of this process need more or fewer descriptors."""
        if self.services() != self._own.services:
            self._write()

    def log_processes(self) -> None:
        """Logs what this process may hold, as another one has started or ended."""
        others = self.table.others()
        if len(others) == self._other_processes:
            return
        self._other_processes = len(others)
        processes = (self._own, *others)
        self.logger.info(
            "descriptors shared",
            processes=len(processes),
            client_capacity=self.budget.capacity(DescriptorKind.CLIENT, processes),
            endpoint_capacity=self.budget.capacity(DescriptorKind.ENDPOINT, processes),
            clients=self._held[DescriptorKind.CLIENT],
            endpoints=self._held[DescriptorKind.ENDPOINT],
        )

    def _closed(self, kind: DescriptorKind, count: int) -> None:
        self._change_held(kind, -count)

    def _change_held(self, kind: DescriptorKind, change: int) -> None:
        self._held[kind] += change
        self.table.write_held(kind, self._held[kind])
        own = self._own
        self._own = ProcessDescriptors(own.services, (self._held[0], self._held[1]), own.wanted, own.draining)

    def _write(self) -> None:
        held = (self._held[0], self._held[1])
        wanted = (self._wanted[0], self._wanted[1])
        self._own = ProcessDescriptors(self.services(), held, wanted, self._draining)
        self.table.write(self._own)


class ClosingDescriptors:
    """Descriptors whose sockets the event loop has been told to close and may not have closed yet."""

    def __init__(self, closed: Callable[[DescriptorKind, int], None]) -> None:
        self._report_closed = closed
        self._generations = [[0, 0], [0, 0]]  # by kind: of this iteration, and of the one before
        self._timer = get_hub().loop.timer(0)  # fires in the next iteration
        self._scheduled = False

    def add(self, kind: DescriptorKind) -> None:
        """Adds a descriptor whose socket has just been closed."""
        self._generations[0][kind] += 1
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._timer.start(self._next_iteration)

    def _next_iteration(self) -> None:
        self._scheduled = False
        closed = self._generations.pop()
        self._generations.insert(0, [0, 0])
        for kind in DescriptorKind:
            if closed[kind]:
                self._report_closed(kind, closed[kind])
        if any(map(any, self._generations)):
            self._schedule()
