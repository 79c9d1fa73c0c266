"""Memory that the processes of one sender share: Retry-After notices, and changes of detached endpoints.

Theory of operation. The rules treat the two processes of a hot upgrade as one sender. Each process owns one
of MAX_PROCESSES files of the state directory, `board-0` and so on, which it locks for its lifetime and maps
for writing. It maps the other files for reading. A notice is a record in memory that the kernel shares. The
notice applies to another process from that process's next check: a process checks in each batch of the
policy, and before the first byte of each attempt. The notice stays in force even if the process that wrote it
is killed. A check compares two counters in memory, so no records are read while no hot upgrade takes place.

A record is complete before its counter changes (`shared_memory_layout.py`). The disk space of a file is
allocated when the file is created: on a full disk, a store into an unallocated page would end the process. If
MAX_NOTICES notices are in force, a new one replaces the notice that ends first.
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

MAX_PROCESSES = 3  # an old process, a new one, and one that was killed and has not ended yet
ZERO_COUNTERS = bytes(COUNTERS.stop - COUNTERS.start)


class PublishedUpdates(Struct, frozen=True):
    """The updates that other processes have published since the last check."""

    notices: list[RetryAfterNotice]
    """The notices that have not ended."""
    detached_changed: bool
    """Whether the file of detached endpoints may have changed."""


class SharedMemory:
    """The memory that this process writes, and read-only views of the other processes' memory."""

    def __init__(self, directory: Path, max_processes: int = MAX_PROCESSES) -> None:
        """`max_processes`: 1 if no other process can serve beside this one.

        Without a free file, or without disk space for the file, `own` stays None: this process receives the
        updates of the others, and its own updates do not reach them.
        """
        self.own: mmap.mmap | None = None
        self.counters = Counters(0, 0)  # of this process's memory
        self._others: list[mmap.mmap] = []
        self._lock = -1  # a descriptor of this process's file, which holds its lock
        self._ends = [0] * MAX_NOTICES  # ends of this process's notices by index; 0: never used
        self._indexes: dict[tuple[int, str], int] = {}  # of the same notices, by destination and endpoint
        for number in range(max_processes):
            with suppress(OSError):  # a file without disk space is left out
                self._open(directory / f"board-{number}")
        self._seen = [ZERO_COUNTERS for _ in self._others]  # the others' counters at the last check
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
        """Recovers the notices of the memory's last owner, an earlier incarnation or a process that has just
        ended: this process receives them, and they stay in force for the others."""
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
        """Publishes a notice that this process received; `end` in microseconds of the stored clock.

        Does nothing if a notice for the same endpoint with the same or a later end is published already.
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
        """Publishes that this process has written the file of detached endpoints."""
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
        """Returns the others' updates since the last check; `now` in microseconds of the stored clock."""
        notices = self._recovered
        self._recovered = []
        detached_changed = False
        for number, other in enumerate(self._others):
            seen = self._seen[number]
            counters = other[COUNTERS]  # read before the records, so that the next check finds later ones
            if counters != seen:
                detached_changed = detached_changed or counters[DETACHED_COUNTER] != seen[DETACHED_COUNTER]
                self._seen[number] = counters
                notices = [*notices, *read_notices(other).values()]
        return PublishedUpdates([notice for notice in notices if notice.end > now], detached_changed)

    def close(self) -> None:
        """Releases this process's file for another process. The published notices stay in force."""
        for memory in (self.own, *self._others):
            if memory is not None:
                memory.close()
        if self._lock >= 0:
            os.close(self._lock)


def remove_files(directory: Path, count: int) -> None:
    """Removes the files of an earlier boot, whose notices are not valid any more."""
    for number in range(count):
        with suppress(OSError):
            (directory / f"board-{number}").unlink()
