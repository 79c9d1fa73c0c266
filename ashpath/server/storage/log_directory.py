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
        """Returns the bytes of the logs of living processes and of logs not yet adopted, with their copies.

        Raises OSError if the directory cannot be listed.
        """
        total = 0
        for path in self.path.iterdir():
            if path.name != own.name and LOG_NAME.fullmatch(path.name.removesuffix(TEMPORARY_SUFFIX)):
                with suppress(OSError):
                    total += path.stat().st_size
        return total

    def is_unlocked(self, log: Path) -> bool:
        """Whether no living process has a log of this name."""
        lock = _try_lock(log) if _lock_path(log).exists() else None
        if lock is None:
            return not _lock_path(log).exists()
        lock.release()
        return True


def log_number(log: Path) -> int:
    """Returns the number of a log's name: 1 for the first log, else the process id plus 1.

    >>> log_number(Path("journal")), log_number(Path("journal-41"))
    (1, 42)
    """
    return 1 + int(log.name.removeprefix(FIRST_LOG).removeprefix("-") or 0)


def log_name(number: int) -> str:
    """Returns the name of a log from its number.

    >>> log_name(1), log_name(42)
    ('journal', 'journal-41')
    """
    return FIRST_LOG if number == 1 else f"{FIRST_LOG}-{number - 1}"


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
