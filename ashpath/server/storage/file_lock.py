"""Advisory locks (flock) that end with the process that holds them, even if the process is killed.

The kernel releases a lock when the last descriptor of its open file is closed, so a free lock means that its
former holder has ended or closed it. Two locks of one process on one file exclude each other as the locks of
two processes do.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path


def try_lock(descriptor: int) -> bool:
    """Locks an open file until it is closed, without waiting.

    Returns False if that fails, as when the lock is held elsewhere.
    """
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return False
    return True


class FileLock:
    """A lock file, created if it does not exist. Raises OSError if the file cannot be opened."""

    def __init__(self, path: Path) -> None:
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)

    def acquire(self) -> bool:
        """Acquires the lock without waiting; returns False if it is held elsewhere."""
        return try_lock(self.descriptor)

    def is_current(self, path: Path) -> bool:
        """Whether the locked file is still the one of that name; its last holder may have removed it."""
        try:
            return os.path.samestat(os.fstat(self.descriptor), path.stat())
        except FileNotFoundError:
            return False

    def release(self) -> None:
        """Releases the lock. The file stays, as otherwise two processes could lock two files of one name."""
        os.close(self.descriptor)


def try_acquire(path: Path) -> FileLock | None:
    """Returns the acquired lock, or None if it is held elsewhere.

    Raises OSError if the file cannot be opened.
    """
    while True:
        lock = FileLock(path)
        if not lock.acquire():
            lock.release()
            return None
        try:
            if lock.is_current(path):
                return lock
        except OSError:
            lock.release()
            raise
        lock.release()
