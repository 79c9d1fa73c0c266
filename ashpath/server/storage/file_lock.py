"""Advisory locks that end with the process that holds them, however it ends.

The kernel drops a lock with the last descriptor of its open file, so a lock that is free means that its
holder is gone. Two locks of one process on one file exclude each other as those of two processes do.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path


def try_lock(descriptor: int) -> bool:
    """Locks an open file for as long as it stays open; False where another holds the lock."""
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return False
    return True


class FileLock:
    """A lock file, made where there is none. Raises OSError where it cannot be opened."""

    def __init__(self, path: Path) -> None:
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)

    def acquire(self) -> bool:
        """Without waiting; False where another holds it."""
        return try_lock(self.descriptor)

    def release(self) -> None:
        """The file stays: removed, it could be locked under one name by two processes."""
        os.close(self.descriptor)


def try_acquire(path: Path) -> FileLock | None:
    """The lock, held; None where another holds it. Raises OSError where the file cannot be opened."""
    lock = FileLock(path)
    if lock.acquire():
        return lock
    lock.release()
    return None
