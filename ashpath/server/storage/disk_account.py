"""The account of the disk limit that the logs of one state directory share.

To the limit of the disk, both processes of a hot upgrade are one sender, and so are logs of processes that
have ended, until they are adopted. Each process has a slot in a file that all of them map
(`disk_usage_table.py`). It raises its slot before it writes and lowers it after a file has become smaller,
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

All methods but `close` are called within the context of the account, where the slots of the others do not
change.
"""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from types import TracebackType

from ashpath.server.storage.directory_lock import DirectoryLock
from ashpath.server.storage.directory_usage import BLOCK_BYTES, whole_blocks
from ashpath.server.storage.disk_usage_layout import LogUsage
from ashpath.server.storage.disk_usage_table import DiskUsageTable, OtherUsage
from ashpath.server.storage.errors import DiskLimitError
from ashpath.server.storage.log_directory import LogDirectory, log_name, log_number
from ashpath.server.storage.log_file import temporary_path

RESERVE_BYTES = 4096  # for the records that follow a rewrite at the limit
OWED_FACTOR = 2.1  # a log of all live messages, its copy, and a twentieth of them for further records
UNREGISTERED_FACTOR = 1.1  # a log of an earlier release and some growth; its copy counts as much again
NO_USAGE = LogUsage(0, 0, 0)


class DiskAccount:
    """One process's view of the account, and the context in which the process holds the directory's lock.

    Entering the context raises DirectoryBusyError, or another OSError if a file cannot be opened.
    """

    def __init__(self, directory: LogDirectory, max_bytes: int) -> None:
        """`max_bytes`: the limit of all logs and copies together."""
        self.max_bytes = max_bytes
        self._directory = directory
        self._lock = DirectoryLock(directory.path)
        self._table: DiskUsageTable | None = None
        self._slot = -1  # of this process's log; -1: not registered yet
        self._number = 0  # of this process's log
        self._own = NO_USAGE
        self._others = OtherUsage()
        self._unregistered = 0  # bytes that logs without a slot may take, without their copies

    def __enter__(self) -> DiskAccount:
        self._lock.__enter__()
        try:
            if self._table is None:
                self._table = DiskUsageTable(self._directory.path)
            if self._slot >= 0:
                self._others = self._table.others(self._slot)
        except OSError:
            self._lock.__exit__(None, None, None)
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._lock.__exit__(kind, error, trace)

    @property
    def is_registered(self) -> bool:
        """Whether this process's log has a slot."""
        return self._slot >= 0

    def register(self, log: Path, owed: int) -> None:
        """Takes a slot for this process's log, whose lock the process holds, with what is on disk of it."""
        table = self._opened_table()
        self._correct_ended(table)
        numbers = [number for number, _ in table.slots()]
        self._number = log_number(log)
        if self._number not in numbers and 0 not in numbers:
            raise DiskLimitError(self.max_bytes)
        self._slot = numbers.index(self._number if self._number in numbers else 0)
        self._write_own(usage_on_disk(log, owed))
        self._others = table.others(self._slot)
        self.find_unregistered(log)

    def find_unregistered(self, own: Path) -> None:
        """Looks for logs of earlier releases."""
        slots = {number: usage.log + usage.copy for number, usage in self._opened_table().slots()}
        total = 0
        for path in self._directory.other_logs(own):
            size = size_of(path) + size_of(temporary_path(path))
            if size > slots.get(log_number(path), 0):
                total += whole_blocks(int(UNREGISTERED_FACTOR * size)) + BLOCK_BYTES
        self._unregistered = total

    def grow_log(self, size: int) -> None:
        """Claims a size of this process's log before it is written. Raises DiskLimitError."""
        self._claim(LogUsage(whole_blocks(size), self._own.copy, self._own.owed))

    def grow_copy(self, size: int) -> None:
        """Claims a size of this process's copy before it is written. Raises DiskLimitError."""
        self._claim(LogUsage(self._own.log, whole_blocks(size), self._own.owed))

    def replaced(self, size: int) -> None:
        """The copy, of `size` bytes, has become the log."""
        self._write_own(LogUsage(whole_blocks(size), 0, self._own.owed))

    def copy_removed(self) -> None:
        """The copy is gone."""
        self._write_own(LogUsage(self._own.log, 0, self._own.owed))

    def set_owed(self, owed: int) -> None:
        """Notes the most bytes that a copy of this process's live messages takes."""
        if owed != self._own.owed:
            self._write_own(LogUsage(self._own.log, self._own.copy, owed))

    def forget(self, log: Path) -> None:
        """Frees the slot of an adopted log, which is empty or removed. The caller holds its lock."""
        table = self._opened_table()
        for slot, (number, _) in enumerate(table.slots()):
            if number == log_number(log):
                table.write(slot, 0, NO_USAGE)
        self._others = table.others(self._slot)

    def has_room(self, size: int) -> bool:
        """Whether the log may have `size` bytes while a later rewrite of any log still fits."""
        return self._used_with(size) + self._largest_copy() + RESERVE_BYTES <= self.max_bytes

    def has_room_for_owed(self, size: int) -> bool:
        """Whether the log may have `size` bytes by records of accepted messages, although it cannot be
        rewritten: half of the room of a copy is left, so that a later rewrite fits once half of the messages
        have ended."""
        return self._used_with(size) + self._largest_copy() // 2 + RESERVE_BYTES <= self.max_bytes

    def may_owe(self, owed: int) -> bool:
        """Whether this process's live messages may take `owed` bytes, beside those of the other logs."""
        all_owed = self._others.all_owed + owed
        return OWED_FACTOR * all_owed <= self.max_bytes - RESERVE_BYTES - 2 * self._unregistered

    def room_beside_copy(self) -> int:
        """Returns the bytes that a rewrite leaves beside the logs and the largest copy of live messages."""
        used = self._used_with(self._own.log) + self._largest_copy()
        return max(0, self.max_bytes - used - RESERVE_BYTES)

    def assign_message_id(self, highest_known: int) -> int:
        """Returns an id above `highest_known` and above all that any process of the sender has assigned."""
        table = self._opened_table()
        message_id = max(table.last_message_id, highest_known) + 1
        table.last_message_id = message_id
        return message_id

    def has_other_logs(self) -> bool:
        """Whether there is another log: that of a living process, or one to be adopted."""
        return self._others.exists or bool(self._unregistered)

    def close(self) -> None:
        """Closes the files. The slot stays, as the log does."""
        self._lock.close()
        if self._table is not None:
            self._table.close()
            self._table = None
            self._slot = -1

    def _used_with(self, log_size: int) -> int:
        return self._others.used + self._unregistered + self._own.copy + whole_blocks(log_size)

    def _largest_copy(self) -> int:
        return max(self._own.owed, self._others.largest_owed, self._unregistered)

    def _claim(self, usage: LogUsage) -> None:
        used = self._others.used + self._unregistered + usage.log + usage.copy
        grows = usage.log + usage.copy > self._own.log + self._own.copy
        if grows and used > self.max_bytes:
            raise DiskLimitError(self.max_bytes)
        self._write_own(usage)

    def _write_own(self, usage: LogUsage) -> None:
        self._own = usage
        self._opened_table().write(self._slot, self._number, usage)

    def _correct_ended(self, table: DiskUsageTable) -> None:
        """Gives slots of logs whose process has ended the sizes on disk, and frees those without a log."""
        for slot, (number, usage) in enumerate(table.slots()):
            if not number:
                continue
            path = self._directory.path / log_name(number)
            if self._directory.is_unlocked(path):
                on_disk = usage_on_disk(path, min(usage.owed, self.max_bytes))
                table.write(slot, number if on_disk.log + on_disk.copy else 0, on_disk)

    def _opened_table(self) -> DiskUsageTable:
        assert self._table is not None  # within the context
        return self._table


def usage_on_disk(log: Path, owed: int) -> LogUsage:
    """Returns what is on disk of a log, whose process has ended or is this one."""
    size = whole_blocks(size_of(log))
    return LogUsage(size, whole_blocks(size_of(temporary_path(log))), owed)


def size_of(path: Path) -> int:
    """Returns the size of a file, 0 if there is none."""
    with suppress(OSError):
        return path.stat().st_size
    return 0
