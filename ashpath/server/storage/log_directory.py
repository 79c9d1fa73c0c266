"""The logs of a state directory: which one a process takes, which are orphans, and the disk they take.

In a hot upgrade two processes share the directory. Beside each log stands a lock file, held by the process
that writes the log for as long as that process lives. A process takes `journal` where its lock is free,
else `journal-PID`. A log whose lock is free and that is not its own is an orphan: its process is gone. No
process writes a file of another that lives.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from msgspec import Struct

from ashpath.server.storage.errors import LogLockedError
from ashpath.server.storage.file_lock import FileLock, try_acquire
from ashpath.server.storage.log_file import TEMPORARY_SUFFIX, temporary_path

FIRST_LOG = "journal"  # the log of a process that found no other alive
LOG_NAME = re.compile(r"journal(-[0-9]+)?")
BLOCK_BYTES = 4096  # what rounding up to whole blocks may add, a log and its rewritten copy together
OTHER_LOG_FACTOR = 2.2  # disk per byte of another log: rewritten beside itself, and grown a little


class LockedLog(Struct, frozen=True):
    """A log whose lock this process holds until it releases it."""

    path: Path
    lock: FileLock


class LogDirectory:
    """The logs in one state directory, which is made where there is none."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def claim(self) -> LockedLog:
        """This process's log: the first one if no living process holds it. Raises OSError, LogLockedError."""
        self.path.mkdir(parents=True, exist_ok=True)
        for name in (FIRST_LOG, f"{FIRST_LOG}-{os.getpid()}"):
            path = self.path / name
            lock = try_acquire(_lock_path(path))
            if lock is not None:
                return LockedLog(path, lock)
        raise LogLockedError(self.path, os.getpid())

    def orphans(self, own: Path) -> Iterator[LockedLog]:
        """Logs of processes that are gone; the caller releases each lock before it asks for the next."""
        for path in sorted(self.path.iterdir()):
            if path.name != own.name and LOG_NAME.fullmatch(path.name):
                lock = try_acquire(_lock_path(path))
                if lock is not None:
                    yield LockedLog(path, lock)

    def other_logs_bytes(self, own: Path) -> int:
        """Bytes of disk that other logs may need, of a living process or not yet adopted.

        Each may be rewritten beside itself, and what is live in it grows with its later records: 2.2 times
        its size and a block.
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
    """Empties an adopted log: the first one stays, for the next process to take; the others are removed."""
    temporary = temporary_path(path)
    if path.name == FIRST_LOG:
        temporary.write_bytes(b"")
        os.replace(temporary, path)
        return
    path.unlink(missing_ok=True)
    temporary.unlink(missing_ok=True)
    _lock_path(path).unlink(missing_ok=True)


def _lock_path(log: Path) -> Path:
    return log.with_name(f"{log.name}.lock")
