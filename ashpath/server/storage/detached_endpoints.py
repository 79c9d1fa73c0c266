"""The endpoints that operators have detached, kept so that they outlive a hot upgrade and a kill.

One file, `held-endpoints`: JSON, `{"version": 1, "held": [endpoint ids]}`. It is changed under a lock, as
the other process of a hot upgrade may change it at the same time, and replaced as a whole. A file that
cannot be read counts as no endpoint detached, with one line in the log. What being detached means is the
policy's (`set_detached`); this only keeps the ids.
"""

from __future__ import annotations

import fcntl
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from ashpath.server.logs import Logger
from ashpath.server.storage.atomic_file import replace_shared_file
from ashpath.server.storage.errors import DetachedEndpointsError
from ashpath.server.storage.file_lock import FileLock
from ashpath.server.storage.versioned_file import READ_ERRORS, VersionedFile

FILE_NAME = "held-endpoints"
VERSION = 1
MAX_ENDPOINTS = 4096
LOCK_ATTEMPTS = 50
LOCK_PAUSE_S = 0.001  # between attempts: the other process has the lock for one small write


class DetachedEndpoints:
    """The file in one state directory. Holds nothing in memory: another process may have changed it."""

    def __init__(self, directory: Path, logger: Logger) -> None:
        self._file = VersionedFile(
            directory / FILE_NAME, version=VERSION, rows_name="held", contents="detached endpoints"
        )
        self._lock_path = directory / f"{FILE_NAME}.lock"
        self._logger = logger

    def read(self) -> set[str]:
        """The ids when the file was last written; none where there is no file or it cannot be read."""
        try:
            rows = self._file.read_rows()
            self._check(rows)
            return set(rows[:MAX_ENDPOINTS])
        except FileNotFoundError:
            return set()
        except READ_ERRORS as error:
            self._logger.error(  # noqa: TRY400 - one line is enough
                "detached endpoints not read, none are detached", file=str(self._file.path), error=str(error)
            )
            return set()

    def _check(self, rows: list[object]) -> None:
        if not all(isinstance(endpoint_id, str) for endpoint_id in rows):
            raise self._file.foreign_file_error()

    def change(self, endpoint_id: str, *, detached: bool) -> None:
        """One endpoint more or fewer, in what the file says by now.

        Raises OSError, DetachedEndpointsError among them, where it cannot be stored: nothing is changed then.
        """
        with self._locked():
            endpoint_ids = self.read()
            if not detached:
                self._write(endpoint_ids - {endpoint_id})
                return
            if len(endpoint_ids) >= MAX_ENDPOINTS:
                raise DetachedEndpointsError.too_many(MAX_ENDPOINTS)
            self._write(endpoint_ids | {endpoint_id})

    def _write(self, endpoint_ids: set[str]) -> None:
        replace_shared_file(self._file.path, self._file.encode(sorted(endpoint_ids)))

    @contextmanager
    def _locked(self) -> Iterator[None]:
        lock = FileLock(self._lock_path)
        try:
            _acquire(lock)
            yield
        finally:
            lock.release()


def _acquire(lock: FileLock) -> None:
    """Raises DetachedEndpointsError where another process keeps the lock, and any other OSError as it is.

    `FileLock.acquire` would take the latter for a lock that is held, and an operator reads the reason.
    """
    for attempt in range(LOCK_ATTEMPTS):
        with suppress(BlockingIOError):
            fcntl.flock(lock.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        if attempt < LOCK_ATTEMPTS - 1:
            time.sleep(LOCK_PAUSE_S)
    raise DetachedEndpointsError.locked()
