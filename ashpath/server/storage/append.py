"""Atomic appends, without a sync: a file receives all of the data or none of it."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.errors import PartialWriteError


class AppendOnlyFile:
    """A file in which each append stores all of its data or none, open from `use` until `close`.

    A write that fails may leave a part of its data. The part is truncated at once, or before the next append
    if that fails, since it would make the data after it unreadable.
    """

    def __init__(self) -> None:
        self.descriptor = -1  # not open yet
        self.written = 0  # bytes of complete appends in the file
        self.torn = False  # the file may have bytes of an incomplete append after them
        self.separator = b""  # written before the data of the next append

    @property
    def is_open(self) -> bool:
        """Whether data can be appended."""
        return self.descriptor >= 0

    def use(self, descriptor: int, written: int) -> None:
        """Appends to an open file of `written` bytes from now on, and closes the former one, if any."""
        former = self.descriptor
        self.descriptor = descriptor
        self.written = written
        self.torn = False
        self.separator = b""
        if former >= 0:
            os.close(former)

    def append(self, data: bytes) -> None:
        """Appends all of `data` or nothing. Raises OSError if the write or a truncation fails."""
        if self.torn:
            os.ftruncate(self.descriptor, self.written)
            self.torn = False
        separated = self.separator + data
        try:
            append_whole(self.descriptor, separated, self.written)
        except OSError:
            self.torn = True
            with suppress(OSError):
                self.torn = os.fstat(self.descriptor).st_size != self.written
            raise
        self.separator = b""
        self.written += len(separated)

    def close(self) -> None:
        """Closes the file. No data is pending, since each append is written at once."""
        if self.is_open:
            os.close(self.descriptor)


def ends_within_line(path: Path) -> bool:
    """Whether a file of lines ends within a line that a kill cut off; False if it cannot be read."""
    with suppress(OSError), path.open("rb") as file:
        file.seek(-1, os.SEEK_END)  # raises OSError if the file is empty
        return file.read() != b"\n"
    return False


def append_whole(descriptor: int, data: bytes, size: int) -> None:
    """Appends `data` to a file of `size` bytes in one write, and truncates the file to `size` if that fails.

    Raises OSError if the write or the truncation fails, and PartialWriteError if the write is short.
    """
    try:
        write_whole(descriptor, data)
    except OSError:
        os.ftruncate(descriptor, size)
        raise


def write_whole(descriptor: int, data: bytes) -> None:
    """Writes `data` in one write.

    Raises PartialWriteError if the write is short, and any other OSError of the write.
    """
    written = os.write(descriptor, data)
    if written < len(data):
        raise PartialWriteError(written, len(data))
