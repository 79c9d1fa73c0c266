"""What binds every process of a sender at once: Retry-After notices, and changes of detached endpoints.

Theory of operation. To the rules, the two processes of a hot upgrade are one sender. Each holds one of
MAX_PROCESSES files of the state directory, `board-0` and so on: locked for as long as it lives, and mapped
to write. It maps the others to read. A notice is a record stored in memory that the kernel shares: it binds
the other processes from their next look, which each batch of the policy takes, and each attempt before its
first byte; and it outlives its writer however that ends. A look compares two counters in memory, so nothing
is read on a day without a hot upgrade.

A record is whole before its counter moves (`shared_memory_layout.py`). The disk for a file is taken when it
is made, since a store into a mapped hole on a full disk would end the process. Where MAX_NOTICES are
running, the one that ends first gives way.
"""

from __future__ import annotations

import mmap
import os
from contextlib import suppress
from pathlib import Path

from msgspec import Struct

from ashpath.server.storage.file_lock import try_lock
from ashpath.server.storage.shared_memory_layout import (
    COUNTERS,
    DETACHED_COUNTER,
    FILE_BYTES,
    HEADER,
    MAX_NOTICES,
    Counters,
    RetryAfterNotice,
    encode_header,
    encode_notice,
    has_magic,
    read_counters,
    read_notices,
    record_slice,
)

MAX_PROCESSES = 3  # an old process, a new one, and one more that was killed and is not gone yet
ZERO_COUNTERS = bytes(COUNTERS.stop - COUNTERS.start)


class PublishedUpdates(Struct, frozen=True):
    """What other processes have published since the last look."""

    notices: list[RetryAfterNotice]
    """Those that still run."""
    detached_changed: bool
    """The file of detached endpoints may have changed."""


class SharedMemory:
    """This process's memory and the view of the others'."""

    def __init__(self, directory: Path, max_processes: int = MAX_PROCESSES) -> None:
        """`max_processes`: 1 where no other process can serve beside this one.

        Without a free file, or without disk for it, `own` stays None: this process reads what the others
        publish, and they do not receive what it does.
        """
        self.own: mmap.mmap | None = None
        self.counters = Counters(0, 0)  # of the own memory
        self._others: list[mmap.mmap] = []
        self._lock = -1  # a descriptor of the own file, which keeps its lock
        self._ends = [0] * MAX_NOTICES  # of the own records; 0: never used
        self._indexes: dict[tuple[int, str], int] = {}  # of the own records, by destination and endpoint
        for number in range(max_processes):
            with suppress(OSError):  # no disk: that file is not to be had
                self._open(directory / f"board-{number}")
        self._seen = [ZERO_COUNTERS for _ in self._others]  # the others' counters at the last look
        self._recovered: list[RetryAfterNotice] = []
        if self.own is not None:
            self._recover(self.own)

    def _open(self, path: Path) -> None:
        file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            if os.fstat(file).st_size < FILE_BYTES:
                os.posix_fallocate(file, 0, FILE_BYTES)
            if self.own is None and try_lock(file):
                self.own = mmap.mmap(file, FILE_BYTES)
                self._lock = os.dup(file)
            else:
                self._others.append(mmap.mmap(file, FILE_BYTES, access=mmap.ACCESS_READ))
        finally:
            os.close(file)

    def _recover(self, own: mmap.mmap) -> None:
        """What the memory's last owner published, an earlier incarnation or a process that is just gone, is
        received by this one and goes on to bind the others."""
        notices = read_notices(own)
        self._recovered = list(notices.values())
        if has_magic(own):
            self.counters = read_counters(own)
        else:
            own[:] = bytes(FILE_BYTES)
        own[: HEADER.size] = encode_header(self.counters)
        for index, notice in notices.items():
            self._ends[index] = notice.end
            self._indexes[notice.destination, notice.endpoint] = index

    def publish_retry_after(self, destination: int, endpoint: str, end: int) -> None:
        """A notice that this process received; `end` in microseconds of the stored clock.

        Nothing where one with the same or a later end stands for the same endpoint.
        """
        if self.own is None:
            return
        index = self._indexes.get((destination, endpoint))
        if index is None:
            index = self._ends.index(min(self._ends))
            self._indexes = {key: used for key, used in self._indexes.items() if used != index}
            self._indexes[destination, endpoint] = index
        elif end <= self._ends[index]:
            return
        self._ends[index] = end
        self.own[record_slice(index)] = encode_notice(RetryAfterNotice(destination, endpoint, end))
        self._publish(Counters(self.counters.notices + 1, self.counters.detached_changes))

    def publish_detached_change(self) -> None:
        """This process has written the file of detached endpoints."""
        self._publish(Counters(self.counters.notices, self.counters.detached_changes + 1))

    def _publish(self, counters: Counters) -> None:
        self.counters = counters
        if self.own is not None:
            self.own[: HEADER.size] = encode_header(counters)

    def changed(self) -> bool:
        """Whether another process has published anything since the last `updates`."""
        return bool(self._recovered) or any(
            other[COUNTERS] != seen for other, seen in zip(self._others, self._seen, strict=True)
        )

    def updates(self, now: int) -> PublishedUpdates:
        """What others have published since the last look; `now` in microseconds of the stored clock."""
        notices = self._recovered
        self._recovered = []
        detached_changed = False
        for number, other in enumerate(self._others):
            seen = self._seen[number]
            counters = other[COUNTERS]  # before the records: one that comes meanwhile is seen the next time
            if counters != seen:
                detached_changed = detached_changed or counters[DETACHED_COUNTER] != seen[DETACHED_COUNTER]
                self._seen[number] = counters
                notices = [*notices, *read_notices(other).values()]
        return PublishedUpdates([notice for notice in notices if notice.end > now], detached_changed)

    def close(self) -> None:
        """Another process may have the own file. What is published in it goes on to bind."""
        for memory in (self.own, *self._others):
            if memory is not None:
                memory.close()
        if self._lock >= 0:
            os.close(self._lock)


def remove_files(directory: Path, count: int) -> None:
    """What processes of an earlier boot published binds nobody."""
    for number in range(count):
        with suppress(OSError):
            (directory / f"board-{number}").unlink()
