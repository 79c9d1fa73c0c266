"""The file of one write-ahead log: records are appended, and now and then all of it is written anew.

Nothing is synced: what the kernel has survives a kill of the process. An append is one write; one that
fails half way is cut off again, since a torn record would hide all that follow it. A rewrite goes to a file
beside it, `NAME.new`, which is renamed over: at any moment one of the two is whole, and a kill leaves the
old one.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

from ashpath.server.storage.append import append_whole

TEMPORARY_SUFFIX = ".new"


def temporary_path(path: Path) -> Path:
    """Where a log is written anew, beside it."""
    return path.with_name(f"{path.name}{TEMPORARY_SUFFIX}")


class LogFile:
    """Open for appending from the first `rewrite` until `close`. Only one process may have it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.temporary = temporary_path(path)
        self.descriptor = -1  # not open yet
        self.written = 0  # bytes in the file

    def append(self, data: bytes) -> None:
        """All of it or nothing. Raises OSError."""
        append_whole(self.descriptor, data, self.written)
        self.written += len(data)

    def rewrite(self, records: Iterable[bytes]) -> None:
        """These records in place of all that it had. Raises OSError; the file is then as it was."""
        with self.temporary.open("wb") as file:
            for record in records:
                file.write(record)
        os.replace(self.temporary, self.path)
        if self.descriptor >= 0:
            os.close(self.descriptor)
        self.descriptor = os.open(self.path, os.O_WRONLY | os.O_APPEND)
        self.written = os.fstat(self.descriptor).st_size

    def close(self) -> None:
        """Nothing is left to be written: each record was, as it came."""
        os.close(self.descriptor)
