"""The file of one write-ahead log: records are appended, and from time to time the file is rewritten.

The file is not synced: data in the kernel's page cache survives a kill of the process. An append is one
write; a short write is truncated again, since a torn record would hide the records after it. A rewrite goes
to a second file, `NAME.new`, which is renamed to the log's name: at any moment one of the two files is
complete, and a kill before the rename leaves the old log.

| failed call | state of the file afterwards |
| --- | --- |
| the write of an append | unchanged, or torn if the truncation fails too |
| any call of a rewrite | unchanged: the descriptor in use changes only after the rename |

Nothing is appended to a torn file: each append truncates the file first, and fails if that fails.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.append import AppendOnlyFile, append_whole, write_whole
from ashpath.server.storage.errors import LogNotOpenError

TEMPORARY_SUFFIX = ".new"
CHUNK_BYTES = 256 << 10  # buffered by a rewrite before each write


def temporary_path(path: Path) -> Path:
    """Returns the path of the file to which a log is rewritten."""
    return path.with_name(f"{path.name}{TEMPORARY_SUFFIX}")


class LogFile(AppendOnlyFile):
    """A log that is open for appending from the first `rewrite` until `close`, in one process at a time.

    `open_existing` opens it too.
    """

    def __init__(self, path: Path) -> None:
        super().__init__()
        self.path = path
        self.temporary = temporary_path(path)

    def append(self, data: bytes) -> None:
        """Appends all of `data` or nothing.

        Raises LogNotOpenError before the log is open, and OSError if the write or a truncation fails.
        """
        if not self.is_open:
            raise LogNotOpenError(self.path)
        super().append(data)

    def open_existing(self, valid_bytes: int, first_record: bytes) -> None:
        """Opens the file as it is, without what follows its valid records, and appends one record.

        For a start whose rewrite fails; the file is created if it does not exist. Raises OSError, in which
        case the log is not open.
        """
        descriptor = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o666)
        try:
            os.ftruncate(descriptor, valid_bytes)
            append_whole(descriptor, first_record, valid_bytes)
        except OSError:
            os.close(descriptor)
            raise
        self.use(descriptor, valid_bytes + len(first_record))

    def rewrite(self, records: Iterable[bytes], claim: Callable[[int], None]) -> None:
        """Replaces the content with `records`. `claim` is called with the size of the copy before each write.

        Raises OSError, also one of `claim`: the file is unchanged then.
        """
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        descriptor = os.open(self.temporary, flags, 0o666)
        try:
            written = write_all(descriptor, records, claim)
            os.replace(self.temporary, self.path)
        except OSError:
            os.close(descriptor)
            with suppress(OSError):  # appends may need the space that an incomplete copy takes
                self.temporary.unlink(missing_ok=True)
            raise
        self.use(descriptor, written)


def write_all(descriptor: int, records: Iterable[bytes], claim: Callable[[int], None]) -> int:
    """Writes the records and returns the bytes written; calls `claim` with their sum before each write.

    Raises PartialWriteError if a write is short, and any other OSError of a write or of `claim`.
    """
    written = 0
    for chunk in chunks(records):
        claim(written + len(chunk))
        write_whole(descriptor, chunk)
        written += len(chunk)
    return written


def chunks(records: Iterable[bytes]) -> Iterator[bytes]:
    """Yields the records joined to chunks of at least CHUNK_BYTES, but for the last one."""
    chunk = bytearray()
    for record in records:
        chunk += record
        if len(chunk) >= CHUNK_BYTES:
            yield bytes(chunk)
            chunk.clear()
    if chunk:
        yield bytes(chunk)
