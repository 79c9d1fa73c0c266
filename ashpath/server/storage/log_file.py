"""The file of one write-ahead log: records are appended, and now and then all of it is written anew.

Nothing is synced: what the kernel has survives a kill of the process. An append is one write; one that
fails half way is cut off again, since a torn record would hide all that follow it. A rewrite goes to a file
beside it, `NAME.new`, which is renamed over: at any moment one of the two is whole, and a kill leaves the
old one.

| a call fails | the file |
| --- | --- |
| the write of an append | as it was, or torn where it cannot be cut back |
| any of a rewrite | as it was: the descriptor in use changes only once the new file has its name |

While it is torn nothing is appended: each append cuts it back first, and fails where it cannot.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.append import append_whole
from ashpath.server.storage.errors import LogNotOpenError, PartialWriteError

TEMPORARY_SUFFIX = ".new"
CHUNK_BYTES = 256 << 10  # of a rewrite, at once


def temporary_path(path: Path) -> Path:
    """Where a log is written anew, beside it."""
    return path.with_name(f"{path.name}{TEMPORARY_SUFFIX}")


class LogFile:
    """Open for appending from the first `rewrite` until `close`. Only one process may have it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.temporary = temporary_path(path)
        self.descriptor = -1  # not open yet
        self.written = 0  # bytes of whole records in the file
        self.torn = False  # there may be more bytes behind them

    def append(self, data: bytes) -> None:
        """All of it or nothing. Raises OSError."""
        if self.descriptor < 0:
            raise LogNotOpenError(self.path)
        if self.torn:
            os.ftruncate(self.descriptor, self.written)
            self.torn = False
        try:
            append_whole(self.descriptor, data, self.written)
        except OSError:
            self.torn = True
            with suppress(OSError):
                self.torn = os.fstat(self.descriptor).st_size != self.written
            raise
        self.written += len(data)

    def rewrite(self, records: Iterable[bytes]) -> None:
        """These records in place of all that it had. Raises OSError; the file is then as it was."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        descriptor = os.open(self.temporary, flags, 0o666)
        try:
            written = write_all(descriptor, records)
            os.replace(self.temporary, self.path)
        except OSError:
            os.close(descriptor)
            raise
        if self.descriptor >= 0:
            os.close(self.descriptor)
        self.descriptor = descriptor
        self.written = written
        self.torn = False

    def close(self) -> None:
        """Nothing is left to be written: each record was, as it came."""
        if self.descriptor >= 0:
            os.close(self.descriptor)


def write_all(descriptor: int, records: Iterable[bytes]) -> int:
    """Bytes written. Raises OSError, PartialWriteError among them."""
    written = 0
    chunk = bytearray()
    for record in records:
        chunk += record
        if len(chunk) >= CHUNK_BYTES:
            written += write_chunk(descriptor, bytes(chunk))
            chunk.clear()
    return written + write_chunk(descriptor, bytes(chunk))


def write_chunk(descriptor: int, chunk: bytes) -> int:
    """Bytes written. Raises OSError, PartialWriteError among them."""
    if not chunk:
        return 0
    written = os.write(descriptor, chunk)
    if written < len(chunk):
        raise PartialWriteError(written, len(chunk))
    return written
