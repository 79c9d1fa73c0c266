"""The logs of a state directory: which log a process claims, which are orphans, and their use of the disk.

In a hot upgrade two processes share the directory. Each log has a lock file, whose lock the process that
writes the log holds until that process ends. A process claims `journal` if its lock is free, and
`journal-PID` otherwise. Any other log whose lock is free is an orphan: its process has ended. No process
writes a file of another living process.
"""

from __future__ import annotations

import errno
import os
import re
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from msgspec import Struct

from ashpath.server.storage.errors import LogLockedError
from ashpath.server.storage.file_lock import FileLock, try_acquire
from ashpath.server.storage.log_file import TEMPORARY_SUFFIX, temporary_path

FIRST_LOG = "journal"  # claimed by a process that starts while no living process holds it
LOG_NAME = re.compile(r"journal(-[0-9]+)?")
DISK_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)  # the disk, not the configuration, may be at fault
BLOCK_BYTES = 4096  # bytes that rounding up to whole blocks may add to a log and its rewritten copy together
OTHER_LOG_FACTOR = 2.2  # bytes of disk per byte of another log: the log, its rewritten copy, and some growth


class LockedLog(Struct, frozen=True):
    """A log whose lock this process holds until it releases it."""

    path: Path
    lock: FileLock


class LogDirectory:
    """The logs in one state directory."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def claim(self, *, unused: bool = False) -> LockedLog:
        """Locks and returns this process's log, which is the first log unless a living process holds it.

        `unused`: a log that has records is left to its next incarnation or adopter.
        Creates the directory if it does not exist. Raises LogLockedError if the log named after this process
        cannot be claimed either, and OSError if a lock file cannot be opened.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        for name in (FIRST_LOG, f"{FIRST_LOG}-{os.getpid()}"):
            path = self.path / name
            lock = try_acquire(_lock_path(path))
            if lock is None:
                continue
            if not unused or not _may_have_records(path):
                return LockedLog(path, lock)
            lock.release()
        raise LogLockedError(self.path, os.getpid())

    def is_new(self) -> bool:
        """Whether the directory certainly has no log; it may not exist yet."""
        try:
            return not any(LOG_NAME.fullmatch(path.name) for path in self.path.iterdir())
        except FileNotFoundError:
            return True
        except OSError:
            return False

    def orphans(self, own: Path) -> Iterator[LockedLog]:
        """Yields the logs of processes that have ended, each locked.

        The caller releases each lock before it asks for the next log. A log whose lock file cannot be opened
        is left out, so that it does not keep the others from being adopted.
        """
        for path in self.other_logs(own):
            lock = _try_lock(path)
            if lock is not None:
                yield LockedLog(path, lock)

    def other_logs(self, own: Path) -> list[Path]:
        """Returns the paths of the logs of other processes. Raises OSError."""
        return [
            path
            for path in sorted(self.path.iterdir())
            if path.name != own.name and LOG_NAME.fullmatch(path.name)
        ]

    def other_logs_bytes(self, own: Path) -> int:
        """Returns the bytes of disk that logs of living processes and logs not yet adopted may need.

        Each such log may be rewritten to a second file beside it, and its live messages grow with later
        records: each counts 2.2 times its size and one block.
        """
        total = 0
        count = 0
        for path in self.path.iterdir():
            if path.name != own.name and LOG_NAME.fullmatch(path.name.removesuffix(TEMPORARY_SUFFIX)):
                with suppress(OSError):
                    size = path.stat().st_size
                    total += size
                    count += size > 0
        return int(OTHER_LOG_FACTOR * total) + BLOCK_BYTES * count


def clear_adopted(path: Path) -> None:
    """Empties the first log, which the next process claims, or removes any other log.

    Raises OSError if the log cannot be emptied or removed.
    """
    temporary = temporary_path(path)
    if path.name == FIRST_LOG:
        temporary.write_bytes(b"")
        os.replace(temporary, path)
        return
    path.unlink(missing_ok=True)
    temporary.unlink(missing_ok=True)
    _lock_path(path).unlink(missing_ok=True)


def _may_have_records(log: Path) -> bool:
    try:
        return log.stat().st_size > 0
    except FileNotFoundError:
        return False
    except OSError:
        return True


def _try_lock(log: Path) -> FileLock | None:
    try:
        return try_acquire(_lock_path(log))
    except OSError:
        return None


def _lock_path(log: Path) -> Path:
    return log.with_name(f"{log.name}.lock")
