"""The lock of a state directory's disk space: one process at a time lets the files of the directory grow.

A process holds the lock for one write, or for the rewrite of its log, and switches no greenlet meanwhile. The
kernel releases the lock of a process that is killed.
"""

from __future__ import annotations

import fcntl
import time
from contextlib import suppress
from pathlib import Path
from types import TracebackType

from ashpath.server.storage.errors import DirectoryBusyError
from ashpath.server.storage.file_lock import FileLock

LOCK_FILE = "disk.lock"
PATIENCE_S = 0.2  # a sender may be held up for 0.15 s between two of its steps
PAUSE_S = 0.0005  # between two attempts to lock
BUSY_S = 1.0  # after the lock was not to be had, for so long it is tried without patience


class DirectoryLock:
    """The lock of one state directory. The same object may be locked again while it is locked."""

    def __init__(self, directory: Path) -> None:
        self._path = directory / LOCK_FILE
        self._file: FileLock | None = None  # opened by the first use
        self._depth = 0
        self._impatient_until = 0.0  # of the monotonic clock

    def __enter__(self) -> DirectoryLock:
        """Locks the directory.

        Raises DirectoryBusyError if another process, perhaps a stopped one, holds the lock for longer than
        PATIENCE_S, and any other OSError if the lock file cannot be opened or locked.
        """
        if not self._depth:
            self._acquire()
        self._depth += 1
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._depth -= 1
        if not self._depth:
            self._unlock()

    def _acquire(self) -> None:
        if self._file is None:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            self._file = FileLock(self._path)
        try:
            fcntl.flock(self._file.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            self._wait(self._file, error)

    def _wait(self, file: FileLock, busy: BlockingIOError) -> None:
        began = time.monotonic()
        until = began + (0.0 if began < self._impatient_until else PATIENCE_S)
        while time.monotonic() < until:
            time.sleep(PAUSE_S)
            with suppress(BlockingIOError):
                fcntl.flock(file.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return
        self._impatient_until = time.monotonic() + BUSY_S
        raise DirectoryBusyError(self._path) from busy

    def _unlock(self) -> None:
        """Unlocks the file, or closes it if that fails: what was written under the lock has succeeded."""
        if self._file is not None:
            try:
                fcntl.flock(self._file.descriptor, fcntl.LOCK_UN)
            except OSError:
                self.close()

    def close(self) -> None:
        """Closes the lock file, if it is open; a later use opens it again."""
        if self._file is not None:
            self._file.release()
            self._file = None
