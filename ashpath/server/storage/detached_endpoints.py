"""The endpoints that operators have detached, stored so that they survive a hot upgrade and a kill.

The file `held-endpoints` is JSON, `{"version": 1, "held": [endpoint ids]}`. A change takes a lock, since the
other process of a hot upgrade may change the file at the same time, and replaces the file atomically. A file
that cannot be read counts as no detached endpoint and is logged once. This module stores the ids only; the
policy applies them (`set_detached`).
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
MAX_FILE_BYTES = 16 << 10  # some 1,200 endpoints with ids of ten characters
LOCK_ATTEMPTS = 50
LOCK_PAUSE_S = 0.001  # between two attempts; the other process holds the lock for one small write


class DetachedEndpoints:
    """The file in one state directory. Nothing is cached in memory: another process may change the file."""

    def __init__(self, directory: Path, logger: Logger, max_file_bytes: int = MAX_FILE_BYTES) -> None:
        self._file = VersionedFile(
            directory / FILE_NAME, version=VERSION, rows_name="held", contents="detached endpoints"
        )
        self._lock_path = directory / f"{FILE_NAME}.lock"
        self._logger = logger
        self._max_file_bytes = max_file_bytes

    def read(self) -> set[str]:
        """Returns the stored ids; an empty set if the file does not exist or cannot be read."""
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
        """Adds one endpoint to the current content of the file, or removes it.

        Raises OSError, which includes DetachedEndpointsError, if the change cannot be stored: the file is
        unchanged then.
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
        content = self._file.encode(sorted(endpoint_ids))
        if len(content) > self._max_file_bytes:
            raise DetachedEndpointsError.too_large(self._max_file_bytes)
        replace_shared_file(self._file.path, content)

    @contextmanager
    def _locked(self) -> Iterator[None]:
        lock = FileLock(self._lock_path)
        try:
            _acquire(lock)
            yield
        finally:
            lock.release()


def _acquire(lock: FileLock) -> None:
    """Acquires the lock, in up to LOCK_ATTEMPTS attempts.

    Raises DetachedEndpointsError if another process still holds the lock, and any other OSError unchanged:
    `FileLock.acquire` would report such an error as a held lock, and the operator needs the reason.
    """
    for attempt in range(LOCK_ATTEMPTS):
        with suppress(BlockingIOError):
            fcntl.flock(lock.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        if attempt < LOCK_ATTEMPTS - 1:
            time.sleep(LOCK_PAUSE_S)
    raise DetachedEndpointsError.locked()
