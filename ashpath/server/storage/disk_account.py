"""The account of the disk limit that the logs of one state directory share.

To the limit of the disk, both processes of a hot upgrade are one sender, and so are logs of processes that
have ended, until they are adopted. Each process has a slot in a file that all of them map
(`disk_usage_layout.py`). It raises its slot before it writes and lowers it after a file has become smaller,
both under the lock of the directory, so at any instant the slots are no less than what is on disk, also after
a kill.

| question | condition |
| --- | --- |
| may a file grow? (`grow_log`, `grow_copy`) | all logs and copies stay within the limit |
| is there room beside a later rewrite? (`has_room`) | the same, with room for the largest copy of all |
| may a record of an accepted message follow? (`has_room_for_owed`) | the same, with half of that room |
| may a message be accepted? (`may_owe`) | the live messages of all logs fit beside a copy of them all |

One process at a time has a copy, so the room of the largest one serves all. A log without a slot, or larger
than its slot, is of an earlier release: it counts 2.2 times its size, for its records, their growth and its
copy.
"""

from __future__ import annotations

import mmap
import os
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from ashpath.server.storage.directory_lock import DirectoryLock
from ashpath.server.storage.directory_usage import BLOCK_BYTES, whole_blocks
from ashpath.server.storage.disk_usage_layout import (
    FILE_BYTES,
    HEADER_BYTES,
    MAGIC,
    SLOT,
    TABLE,
    LogUsage,
    slot_offset,
)
from ashpath.server.storage.errors import DiskLimitError
from ashpath.server.storage.log_directory import LogDirectory, log_name, log_number
from ashpath.server.storage.log_file import temporary_path

USAGE_FILE = "disk-usage"
RESERVE_BYTES = 4096  # for the records that follow a rewrite at the limit
OWED_FACTOR = 2.1  # a log of all live messages, its copy, and a twentieth of them for further records
UNREGISTERED_FACTOR = 1.1  # a log of an earlier release and some growth; its copy counts as much again


class DiskAccount:
    """One process's view of the account. Each method raises OSError if the account cannot be opened."""

    def __init__(self, directory: LogDirectory, max_bytes: int) -> None:
        """`max_bytes`: the limit of all logs and copies together."""
        self.max_bytes = max_bytes
        self._directory = directory
        self._lock = DirectoryLock(directory.path)
        self._table: mmap.mmap | None = None
        self._slot = -1  # of this process's log; -1: not registered yet
        self._unregistered = 0  # bytes that logs without a slot may take, without their copies

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Holds the lock of the directory within the context. Raises DirectoryBusyError."""
        with self._lock.locked():
            if self._table is None:
                self._table = open_table(self._directory.path / USAGE_FILE)
            yield

    @property
    def is_registered(self) -> bool:
        """Whether this process's log has a slot."""
        return self._slot >= 0

    def register(self, log: Path, owed: int) -> None:
        """Takes a slot for this process's log, whose lock the process holds, with what is on disk of it."""
        with self.locked():
            self._correct_ended()
            numbers = [usage[0] for usage in self._slots()]
            number = log_number(log)
            if number not in numbers and 0 not in numbers:
                raise DiskLimitError(self.max_bytes)
            self._slot = numbers.index(number if number in numbers else 0)
            self._write(self._slot, number, usage_on_disk(log, owed))
            self.find_unregistered(log)

    def find_unregistered(self, own: Path) -> None:
        """Looks for logs of earlier releases."""
        with self.locked():
            slots = {number: log + copy for number, log, copy, _ in self._slots()}
            total = 0
            for path in self._directory.other_logs(own):
                size = size_of(path) + size_of(temporary_path(path))
                if size > slots.get(log_number(path), 0):
                    total += whole_blocks(int(UNREGISTERED_FACTOR * size)) + BLOCK_BYTES
            self._unregistered = total

    def grow_log(self, size: int) -> None:
        """Claims a size of this process's log before it is written. Raises DiskLimitError."""
        usage = self._own()
        self._claim(LogUsage(whole_blocks(size), usage.copy, usage.owed))

    def grow_copy(self, size: int) -> None:
        """Claims a size of this process's copy before it is written. Raises DiskLimitError."""
        usage = self._own()
        self._claim(LogUsage(usage.log, whole_blocks(size), usage.owed))

    def replaced(self, size: int) -> None:
        """The copy, of `size` bytes, has become the log."""
        self._write_own(LogUsage(whole_blocks(size), 0, self._own().owed))

    def copy_removed(self) -> None:
        """The copy is gone."""
        usage = self._own()
        self._write_own(LogUsage(usage.log, 0, usage.owed))

    def set_owed(self, owed: int) -> None:
        """Notes the most bytes that a copy of this process's live messages takes."""
        usage = self._own()
        if owed != usage.owed:
            self._write_own(LogUsage(usage.log, usage.copy, owed))

    def forget(self, log: Path) -> None:
        """Frees the slot of an adopted log, which is empty or removed. The caller holds its lock."""
        with self.locked():
            for slot, usage in enumerate(self._slots()):
                if usage[0] == log_number(log):
                    self._write(slot, 0, LogUsage(0, 0, 0))

    def has_room(self, size: int) -> bool:
        """Whether the log may have `size` bytes while a later rewrite of any log still fits."""
        usage = self._own()
        used = self._total() - usage.log + whole_blocks(size)
        return used + self._largest_copy() + RESERVE_BYTES <= self.max_bytes

    def has_room_for_owed(self, size: int) -> bool:
        """Whether the log may have `size` bytes by records of accepted messages, although it cannot be
        rewritten: half of the room of a copy is left, so that a later rewrite fits once half of the messages
        have ended."""
        used = self._total() - self._own().log + whole_blocks(size)
        return used + self._largest_copy() // 2 + RESERVE_BYTES <= self.max_bytes

    def may_owe(self, owed: int) -> bool:
        """Whether this process's live messages may take `owed` bytes, beside those of the other logs."""
        table = self._table_values()
        all_owed = sum(table[3::4]) - self._own().owed + owed
        return OWED_FACTOR * all_owed <= self.max_bytes - RESERVE_BYTES - 2 * self._unregistered

    def room_beside_copy(self) -> int:
        """Returns the bytes that a rewrite leaves beside the logs and the largest copy of live messages."""
        return max(0, self.max_bytes - self._total() - self._largest_copy() - RESERVE_BYTES)

    def has_other_logs(self) -> bool:
        """Whether another log has a slot: that of a living process, or one to be adopted."""
        if self._table is None:
            return False
        return bool(self._unregistered) or any(
            number for slot, number in enumerate(self._table_values()[::4]) if slot != self._slot
        )

    def close(self) -> None:
        """Closes the files. The slot stays, as the log does."""
        self._lock.close()
        if self._table is not None:
            self._table.close()
            self._table = None
            self._slot = -1

    def _claim(self, usage: LogUsage) -> None:
        current = self._own()
        growth = usage.log + usage.copy - current.log - current.copy
        if growth > 0 and self._total() + growth > self.max_bytes:
            raise DiskLimitError(self.max_bytes)
        self._write_own(usage)

    def _correct_ended(self) -> None:
        """Gives slots of logs whose process has ended the sizes on disk, and frees those without a log."""
        for slot, (number, _, _, owed) in enumerate(self._slots()):
            if not number:
                continue
            path = self._directory.path / log_name(number)
            if self._directory.is_unlocked(path):
                usage = usage_on_disk(path, min(owed, self.max_bytes))
                self._write(slot, number if usage.log + usage.copy else 0, usage)

    def _slots(self) -> list[tuple[int, int, int, int]]:
        """Returns the log's number, and bytes of log, copy and live messages, of each slot."""
        return list(SLOT.iter_unpack(TABLE.pack(*self._table_values())))

    def _table_values(self) -> tuple[int, ...]:
        assert self._table is not None  # the caller holds the lock, or has opened the table
        return TABLE.unpack_from(self._table, HEADER_BYTES)

    def _total(self) -> int:
        table = self._table_values()
        return sum(table[1::4]) + sum(table[2::4]) + self._unregistered

    def _largest_copy(self) -> int:
        return max(*self._table_values()[3::4], self._unregistered)

    def _own(self) -> LogUsage:
        table = self._table_values()
        return LogUsage(*table[4 * self._slot + 1 : 4 * self._slot + 4])

    def _write_own(self, usage: LogUsage) -> None:
        self._write(self._slot, self._table_values()[4 * self._slot], usage)

    def _write(self, slot: int, number: int, usage: LogUsage) -> None:
        assert self._table is not None
        SLOT.pack_into(self._table, slot_offset(slot), number, usage.log, usage.copy, usage.owed)


def open_table(path: Path) -> mmap.mmap:
    """Maps the file of the slots, and writes it anew if it has another layout. Raises OSError."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        if os.fstat(descriptor).st_size < FILE_BYTES:
            os.posix_fallocate(descriptor, 0, FILE_BYTES)
        table = mmap.mmap(descriptor, FILE_BYTES)
    finally:
        os.close(descriptor)
    if table[: len(MAGIC)] != MAGIC:
        table[:] = MAGIC + bytes(FILE_BYTES - len(MAGIC))
    return table


def usage_on_disk(log: Path, owed: int) -> LogUsage:
    """Returns what is on disk of a log, whose process has ended or is this one."""
    size = whole_blocks(size_of(log))
    return LogUsage(size, whole_blocks(size_of(temporary_path(log))), owed)


def size_of(path: Path) -> int:
    """Returns the size of a file, 0 if there is none."""
    with suppress(OSError):
        return path.stat().st_size
    return 0
